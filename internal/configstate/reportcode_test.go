package configstate

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid registers the flag
	os.Exit(m.Run())
}

// TestReportsSurviveEncoding guards against a report that becomes younger or otherwise changes when encoded and
// decoded, and against a panic on corrupt input.
func TestReportsSurviveEncoding(t *testing.T) {
	catalogue := &model.Catalogue{Generation: 7, DataCentres: []model.DataCentreInfo{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	rapid.Check(t, func(t *rapid.T) {
		now := 10 * time.Second
		sent := []Report{}
		for range rapid.IntRange(0, 6).Draw(t, "count") {
			sent = append(sent, Report{
				DataCentre: rapid.SampledFrom([]model.DataCentreID{"a", "b", "c"}).Draw(t, "centre"),
				Slot:       rapid.Uint8Range(0, RelaysPerDataCentre-1).Draw(t, "slot"),
				Reach:      rapid.SampledFrom([]Reachability{Reachable, Failing, Unreachable}).Draw(t, "reach"),
				Generation: model.Generation(rapid.Uint64Range(5, 9).Draw(t, "generation")),
				At:         now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond,
			})
		}
		encoded := encodeReports(sent, now, catalogue)
		received := decodeReports(encoded, now, catalogue)
		require.Len(t, received, len(sent))
		for i, r := range received {
			require.LessOrEqual(t, r.At, sent[i].At)
			require.Less(t, sent[i].At-r.At, reportAgeUnit)
			r.At = sent[i].At
			require.Equal(t, sent[i], r)
		}
		decodeReports(rapid.SliceOf(rapid.Byte()).Draw(t, "corrupt"), now, catalogue)
	})
}
