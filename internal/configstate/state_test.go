package configstate

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// headHistory builds the heads of successive generations, each of which takes one more host out of service.
type headHistory struct {
	head     Head[change.Change]
	document *model.Catalogue
	segments map[SegmentID][]byte
}

func newHistory(t *testing.T, generations int) *headHistory {
	h := &headHistory{segments: map[SegmentID][]byte{}}
	for range generations {
		h.next(t)
	}
	return h
}

func (h *headHistory) next(t *testing.T) {
	id := fmt.Sprint("h", h.head.Generation+1)
	value, err := json.Marshal(model.HostOut{ID: model.HostID(id)})
	require.NoError(t, err)
	c := change.Change{ID: id, Edits: []change.Edit{{Op: change.Put, Kind: change.HostOut, ID: id, Value: value}}}
	proposal, err := CatalogueFormat().Next(h.head, h.document, id, c)
	require.NoError(t, err)
	h.head, h.document = proposal.Head, proposal.Document
	for id, content := range proposal.Segments {
		h.segments[id] = content
	}
}

func (h *headHistory) value(t *testing.T) []byte {
	value, err := h.head.Encode()
	require.NoError(t, err)
	return value
}

// addMissingSegments adds all missing segments to a state.
func (h *headHistory) addMissingSegments(t *testing.T, s *State) {
	for _, id := range s.MissingSegments() {
		require.NoError(t, s.AddSegment(h.segments[id]))
	}
}

// pullOnce lets a host pull from a source once, and fetch the segments that it lacks.
func pullOnce(t *testing.T, host, source *State) {
	reply, err := source.AnswerPull(0, Pull{Generation: host.Catalogue.Generation()})
	require.NoError(t, err)
	require.NoError(t, host.ApplyPullReply(0, reply))
	for _, id := range host.MissingSegments() {
		content, ok := source.Segment(id)
		require.True(t, ok)
		require.NoError(t, host.AddSegment(content))
	}
}

func fenced(s *State, now time.Duration) bool { return s.ServesUntil(now, true) <= now }

// TestCatalogueDoesNotDependOnUpdatePath guards against hosts of the same generation holding different catalogues
// depending on whether they received it from the store, as changes, or as a base from another host.
func TestCatalogueDoesNotDependOnUpdatePath(t *testing.T) {
	h := newHistory(t, 5)
	fromStore, early := NewState(), NewState()
	require.NoError(t, early.ApplyStoreRead(0, h.value(t), nil))
	h.addMissingSegments(t, early)
	for range 150 {
		h.next(t)
	}
	require.NoError(t, fromStore.ApplyStoreRead(0, h.value(t), nil))
	h.addMissingSegments(t, fromStore)
	for _, from := range []*State{early, NewState()} {
		for i := 0; from.Catalogue.Generation() < h.head.Generation; i++ {
			require.Less(t, i, 5)
			pullOnce(t, from, fromStore)
		}
		require.Equal(t, fromStore.Catalogue.Document(), from.Catalogue.Document())
	}
	require.Equal(t, h.document, fromStore.Catalogue.Document())
}

// TestConfirmationRequiresGenerationInForce guards against counting a confirmation of a generation that is known but
// not yet in force, and against applying a head with a corrupt segment.
func TestConfirmationRequiresGenerationInForce(t *testing.T) {
	h := newHistory(t, 1)
	s := NewState()
	reply := PullReply{Generation: 1, AgeMS: 0, HeadUpdate: h.value(t)}
	require.NoError(t, s.ApplyPullReply(time.Second, reply))
	require.NoError(t, s.ApplyStoreRead(time.Second, h.value(t), nil))
	require.NoError(t, s.AddSegment([]byte("corrupt")))
	_, confirmed := s.ConfirmationAge(time.Second)
	require.False(t, confirmed)
	h.addMissingSegments(t, s)
	require.EqualValues(t, 1, s.Catalogue.Generation())
	require.True(t, fenced(s, time.Second), "applying a head is not a confirmation")
	require.NoError(t, s.ApplyPullReply(2*time.Second, PullReply{Generation: 1, AgeMS: 500}))
	require.False(t, fenced(s, 4499*time.Millisecond))
	require.True(t, fenced(s, 4500*time.Millisecond))
}

// TestConfirmationFromBeforeStartIsIgnored guards against a restarted host accepting work with an older generation
// than its earlier incarnation had in force (invariant P10): a confirmation from before its start may not cover that
// generation.
func TestConfirmationFromBeforeStartIsIgnored(t *testing.T) {
	h := newHistory(t, 1)
	s := NewState()
	require.NoError(t, s.ApplyPullReply(0, PullReply{Generation: 1, AgeMS: -1, HeadUpdate: h.value(t)}))
	h.addMissingSegments(t, s)
	require.NoError(t, s.ApplyPullReply(time.Second, PullReply{Generation: 1, AgeMS: 1500}))
	require.True(t, fenced(s, time.Second))
	require.NoError(t, s.ApplyPullReply(2*time.Second, PullReply{Generation: 1, AgeMS: 1500}))
	require.False(t, fenced(s, 2*time.Second))
}

// TestStoreOutageDetection guards against mistaking a network partition for a store outage, in which case the host
// would miss an accepted change (invariant P4).
func TestStoreOutageDetection(t *testing.T) {
	catalogue := &model.Catalogue{DataCentres: []model.DataCentreInfo{
		{ID: "a", Region: "r"}, {ID: "b", Region: "r"}, {ID: "c", Region: "s"}, {ID: "d", Region: "t"}, {ID: "e", Region: "t"},
		{ID: "out", Region: "u"},
	}, DataCentresOut: []model.DataCentreOut{{ID: "out"}}}
	down := func(centres ...model.DataCentreID) (reports []Report) {
		for _, centre := range centres {
			reports = append(reports, Report{DataCentre: centre, Reach: Unreachable, Generation: 7, At: time.Second})
		}
		return reports
	}
	with := func(reports []Report, more ...Report) []Report { return append(reports, more...) }
	var few Reports
	for _, report := range down("a", "b") {
		few.Put(report)
	}
	hosts := Fleet{Hosts: []FleetHost{{ID: "1", DataCentre: "a"}, {ID: "2", DataCentre: "b"}, {ID: "3", DataCentre: "c"}}}
	require.True(t, few.OutageDetected(2*time.Second, catalogue, hosts, 7), "data centres without hosts have no relays")
	for name, c := range map[string]struct {
		reports []Report
		now     time.Duration
		want    bool
	}{
		"all":                 {down("a", "b", "c", "d", "e"), 2 * time.Second, true},
		"all but one":         {down("a", "b", "c", "d"), 2 * time.Second, true},
		"all but a region":    {down("c", "d", "e"), 2 * time.Second, true},
		"two regions missing": {down("a", "b", "d"), 2 * time.Second, false},
		"no majority":         {down("a", "b"), 2 * time.Second, false},
		"too old":             {down("a", "b", "c", "d", "e"), 4001 * time.Millisecond, false},
		"one reaches it": {with(down("a", "b", "c", "d"), Report{DataCentre: "e", Slot: 1, Reach: Reachable, Generation: 7, At: time.Second}),
			2 * time.Second, false},
		"one outside reaches it": {with(down("a", "b", "c", "d", "e"), Report{DataCentre: "out", Reach: Reachable, At: time.Second}),
			2 * time.Second, false},
		"a newer generation": {with(down("a", "b", "c", "d"), Report{DataCentre: "e", Reach: Unreachable, Generation: 8, At: time.Second}),
			2 * time.Second, false},
		"relays undecided": {with(down("a", "b", "c"), Report{DataCentre: "c", Slot: 1, Reach: Failing, At: time.Second},
			Report{DataCentre: "a", Slot: 1, Reach: Failing, At: time.Second}), 2 * time.Second, false},
	} {
		var r Reports
		for _, report := range c.reports {
			r.Put(report)
		}
		require.Equal(t, c.want, r.OutageDetected(c.now, catalogue, Fleet{}, 7), name)
	}
}

// TestLargeChangesAreAnsweredByABase guards against a host that keeps many large changes in memory, and whose answers to hosts that lack them
// exceed a frame, so that these stay behind.
func TestLargeChangesAreAnsweredByABase(t *testing.T) {
	const editsEach, ownerBytes, changes, frameBytes = 30, 10 << 10, MaxRecords, 1 << 20
	h := newHistory(t, 1)
	source := NewState()
	require.NoError(t, source.ApplyStoreRead(0, h.value(t), nil))
	h.addMissingSegments(t, source)
	for i := range changes {
		c := change.Change{ID: fmt.Sprint("large", i)}
		for e := range editsEach {
			id := fmt.Sprintf("caller-%05d", e)
			value, err := json.Marshal(model.Caller{ID: model.CallerID(id), Owner: fmt.Sprintf("owner %*d", ownerBytes, i)})
			require.NoError(t, err)
			c.Edits = append(c.Edits, change.Edit{Op: change.Put, Kind: change.Caller, ID: id, Value: value})
		}
		generation := source.Catalogue.Generation() + 1
		record := Record[change.Change]{ID: c.ID, Generation: generation, Change: &c}
		// A host that accepts a change applies it like this.
		require.NoError(t, source.Catalogue.ApplyHead(Head[change.Change]{Generation: generation, Records: []Record[change.Change]{record}}))
	}
	kept, err := json.Marshal(source.Catalogue.Records())
	require.NoError(t, err)
	require.LessOrEqual(t, len(kept), frameBytes, "bytes of kept changes")
	require.Len(t, source.Catalogue.Records(), MaxRecords, "operators still see all of them")
	for _, generation := range []model.Generation{1, changes / 2, changes} {
		reply, err := source.AnswerPull(0, Pull{Generation: generation})
		require.NoError(t, err)
		require.LessOrEqual(t, len(reply.HeadUpdate), frameBytes)
	}
	behind := NewState()
	require.NoError(t, behind.ApplyStoreRead(0, h.value(t), nil))
	h.addMissingSegments(t, behind)
	pullOnce(t, behind, source)
	require.Equal(t, source.Catalogue.Document(), behind.Catalogue.Document())
}
