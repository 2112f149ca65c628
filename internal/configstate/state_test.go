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

// history builds the heads of successive generations, each of which takes one more host out.
type history struct {
	head     Head[change.Change]
	document *model.Catalogue
	segments map[SegmentID][]byte
}

func newHistory(t *testing.T, generations int) *history {
	h := &history{segments: map[SegmentID][]byte{}}
	for range generations {
		h.next(t)
	}
	return h
}

func (h *history) next(t *testing.T) {
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

func (h *history) value(t *testing.T) []byte {
	value, err := h.head.Encode()
	require.NoError(t, err)
	return value
}

// feed gives a state the segments that it misses.
func (h *history) feed(t *testing.T, s *State) {
	for _, id := range s.Missing() {
		require.NoError(t, s.AddSegment(h.segments[id]))
	}
}

func fenced(s *State, now time.Duration) bool { return s.ServesUntil(now, true) <= now }

// Guards against hosts of one generation that hold different catalogues, depending on whether they came by it from the
// store, by changes, or by a base of another host.
func TestEveryWayLeadsToTheSameCatalogue(t *testing.T) {
	h := newHistory(t, 5)
	fromStore, early := NewState(), NewState()
	require.NoError(t, early.TakeStore(0, h.value(t), nil))
	h.feed(t, early)
	for range 150 {
		h.next(t)
	}
	require.NoError(t, fromStore.TakeStore(0, h.value(t), nil))
	h.feed(t, fromStore)
	for _, from := range []*State{early, NewState()} {
		for i := 0; from.Catalogue.Generation() < h.head.Generation; i++ {
			require.Less(t, i, 5)
			reply, err := fromStore.Answer(0, Pull{Generation: from.Catalogue.Generation()})
			require.NoError(t, err)
			require.NoError(t, from.Take(0, reply))
			for _, id := range from.Missing() {
				content, ok := fromStore.Segment(id)
				require.True(t, ok)
				require.NoError(t, from.AddSegment(content))
			}
		}
		require.Equal(t, fromStore.Catalogue.Document(), from.Catalogue.Document())
	}
	require.Equal(t, h.document, fromStore.Catalogue.Document())
}

// Guards against a confirmation of a generation that is known but not yet in force, and against a head whose damaged
// segment is applied.
func TestConfirmationCountsOnlyWithTheGenerationInForce(t *testing.T) {
	h := newHistory(t, 1)
	s := NewState()
	reply := PullReply{Generation: 1, AgeMS: 0, HeadUpdate: h.value(t)}
	require.NoError(t, s.Take(time.Second, reply))
	require.NoError(t, s.TakeStore(time.Second, h.value(t), nil))
	require.NoError(t, s.AddSegment([]byte("damaged")))
	_, confirmed := s.Age(time.Second)
	require.False(t, confirmed)
	h.feed(t, s)
	require.EqualValues(t, 1, s.Catalogue.Generation())
	require.True(t, fenced(s, time.Second), "applying is no confirmation")
	require.NoError(t, s.Take(2*time.Second, PullReply{Generation: 1, AgeMS: 500}))
	require.False(t, fenced(s, 4499*time.Millisecond))
	require.True(t, fenced(s, 4500*time.Millisecond))
}

// Guards against a restarted host that takes work with an older generation than its earlier run had in force (P10): a
// confirmation from before its start may lack that generation.
func TestConfirmationFromBeforeTheStartDoesNotCount(t *testing.T) {
	h := newHistory(t, 1)
	s := NewState()
	require.NoError(t, s.Take(0, PullReply{Generation: 1, AgeMS: -1, HeadUpdate: h.value(t)}))
	h.feed(t, s)
	require.NoError(t, s.Take(time.Second, PullReply{Generation: 1, AgeMS: 1500}))
	require.True(t, fenced(s, time.Second))
	require.NoError(t, s.Take(2*time.Second, PullReply{Generation: 1, AgeMS: 1500}))
	require.False(t, fenced(s, 2*time.Second))
}

// Guards against taking a cut for an outage of the store, in which an accepted change would be missed (P4).
func TestOutageProof(t *testing.T) {
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
	require.True(t, few.OutageProven(2*time.Second, catalogue, hosts, 7), "data centres without hosts have no relay")
	for name, c := range map[string]struct {
		reports []Report
		now     time.Duration
		proven  bool
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
		require.Equal(t, c.proven, r.OutageProven(c.now, catalogue, Fleet{}, 7), name)
	}
}
