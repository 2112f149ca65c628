package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

func newBootstrappedStore(t require.TestingT) *platform.Store {
	d, err := deployment.Load("vembanad")
	require.NoError(t, err)
	kv := platform.NewStore()
	require.NoError(t, Bootstrap(context.Background(), kv, d.Catalogue("127.0.0.1", 20000)))
	return kv
}

func edit(t require.TestingT, kind change.Kind, id string, entry any) change.Edit {
	value, err := json.Marshal(entry)
	require.NoError(t, err)
	return change.Edit{Op: change.Put, Kind: kind, ID: id, Value: value}
}

func hostOutChange(t require.TestingT, id string, based model.Generation, host model.HostID) change.Change {
	out := edit(t, change.HostOut, string(host), model.HostOut{ID: host, Reason: "test"})
	return change.Change{ID: id, BasedOn: based, Edits: []change.Edit{out}}
}

// TestConflictReportsBothChanges guards against one operator's change silently overwriting a concurrent change: the
// conflict must report both.
func TestConflictReportsBothChanges(t *testing.T) {
	kv := newBootstrappedStore(t)
	generation, err := Accept(t.Context(), kv, hostOutChange(t, "first", 1, "h1"))
	require.NoError(t, err)
	require.EqualValues(t, 2, generation)
	second := hostOutChange(t, "second", 1, "h2")
	_, err = Accept(t.Context(), kv, second)
	var conflict *change.Conflict
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, second, conflict.Yours)
	require.Len(t, conflict.Theirs, 1)
	require.Equal(t, "first", conflict.Theirs[0].ID)
	require.Equal(t, "h1", conflict.Theirs[0].Edits[0].ID)
}

// TestInvalidChangeIsRejectedCompletely guards against accepting a catalogue that hosts can't use, and against
// dropping the validation errors.
func TestInvalidChangeIsRejectedCompletely(t *testing.T) {
	kv := newBootstrappedStore(t)
	c := hostOutChange(t, "c", 1, "h1")
	c.Edits = append(c.Edits, edit(t, change.Search, "s", model.Search{ID: "s", Indexes: []model.IndexID{"none"}}))
	_, err := Accept(t.Context(), kv, c)
	require.True(t, fault.IsKind(err, fault.InvalidCatalogue))
	var violations model.Violations
	require.ErrorAs(t, err, &violations)
	require.Len(t, violations, 1)
	catalogue, _, err := ReadCatalogue(t.Context(), kv)
	require.NoError(t, err)
	require.Empty(t, catalogue.HostsOut)
	for _, bad := range []change.Edit{
		{Op: change.Delete, Kind: change.HostOut, ID: "h1"},
		edit(t, change.HostOut, "h1", map[string]string{"id": "h1", "raeson": "unknown field"}),
		edit(t, change.HostOut, "h2", model.HostOut{ID: "h1"}),
	} {
		_, err = Accept(t.Context(), kv, change.Change{ID: "d", BasedOn: 1, Edits: []change.Edit{bad}})
		var editError *configstate.EditError
		require.ErrorAs(t, err, &editError)
	}
}

// TestManyChangesKeepTheHeadSmall guards against a head that grows with the history, and against losing entries when
// a new base is written.
func TestManyChangesKeepTheHeadSmall(t *testing.T) {
	kv := newBootstrappedStore(t)
	for i := range 200 {
		_, err := Accept(t.Context(), kv, hostOutChange(t, fmt.Sprint("c", i), model.Generation(i+1), model.HostID(fmt.Sprint("h", i))))
		require.NoError(t, err)
	}
	catalogue, records, err := ReadCatalogue(t.Context(), kv)
	require.NoError(t, err)
	require.Len(t, catalogue.HostsOut, 200)
	require.Len(t, records, configstate.MaxRecords)
	entry, err := kv.Get(t.Context(), configstate.HeadKey)
	require.NoError(t, err)
	require.Less(t, len(entry.Value), 32<<10)
}

type acceptFunc func(context.Context, store.Store, change.Change) (model.Generation, error)

// naiveAccept resubmits a change after a lost response without checking whether its id was already accepted.
func naiveAccept(ctx context.Context, s store.Store, c change.Change) (model.Generation, error) {
	for {
		catalogue, _, err := ReadCatalogue(ctx, s)
		if err != nil {
			return 0, err
		}
		again := c
		again.ID = fmt.Sprintf("%s at %d", c.ID, catalogue.Generation)
		again.BasedOn = catalogue.Generation
		entry, err := s.Get(ctx, configstate.HeadKey)
		if err != nil {
			return 0, err
		}
		head, err := configstate.DecodeHead[change.Change](entry.Value)
		if err != nil {
			return 0, err
		}
		proposal, err := configstate.CatalogueFormat().Next(head, catalogue, again.ID, again)
		if err != nil {
			return 0, err
		}
		value, err := proposal.Head.Encode()
		if err != nil {
			return 0, err
		}
		_, err = s.CompareAndSwap(ctx, configstate.HeadKey, entry.Revision, value)
		if !errors.Is(err, store.ErrOutcomeUnknown) && !errors.Is(err, store.ErrConflict) {
			return head.Generation + 1, err
		}
	}
}

// storeFault is one step in a sequence of store failures.
type storeFault struct {
	faults platform.Faults
	wait   time.Duration
}

func drawFaults(t *rapid.T) []storeFault {
	plan := make([]storeFault, rapid.IntRange(0, 10).Draw(t, "faults"))
	for i := range plan {
		plan[i] = storeFault{
			faults: platform.Faults{
				Down:        rapid.IntRange(0, 4).Draw(t, "down") == 0,
				LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lost"),
				DelayMS:     int64(rapid.IntRange(0, 2).Draw(t, "delay")),
			},
			wait: time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Millisecond,
		}
	}
	return plan
}

// runOperators lets several operators submit changes concurrently to a store that loses responses and has outages. It
// returns a description of the first change that was applied twice or whose reported outcome is wrong.
func runOperators(t *testing.T, plan []storeFault, accept acceptFunc) string {
	kv := platform.NewStore()
	require.NoError(t, Bootstrap(t.Context(), kv, model.Catalogue{}))
	var mu sync.Mutex
	accepted := map[string]model.Generation{}
	var refused []string
	var running sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for o := range 3 {
		running.Go(func() {
			based := model.Generation(1)
			for i := range 5 {
				id := fmt.Sprintf("o%d-%d", o, i)
				generation, err := accept(ctx, kv, hostOutChange(t, id, based, model.HostID(id)))
				var conflict *change.Conflict
				mu.Lock()
				switch {
				case err == nil:
					accepted[id] = generation
					based = generation
				case errors.As(err, &conflict), fault.As(err).Execution == fault.NotRun:
					refused = append(refused, id)
				}
				mu.Unlock()
				if conflict != nil {
					based = conflict.Current
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	for _, step := range plan {
		kv.SetFaults(step.faults)
		time.Sleep(step.wait)
	}
	kv.SetFaults(platform.Faults{})
	running.Wait()
	return checkHistory(t, kv, accepted, refused)
}

func checkHistory(t *testing.T, kv *platform.Store, accepted map[string]model.Generation, refused []string) string {
	seen := map[string]model.Generation{}
	for _, entry := range kv.History() {
		if entry.Key != configstate.HeadKey {
			continue
		}
		head, err := configstate.DecodeHead[change.Change](entry.Value)
		require.NoError(t, err)
		last := head.Records[len(head.Records)-1]
		if last.Change == nil {
			continue // the bootstrap catalogue
		}
		host := last.Change.Edits[0].ID // each change takes out a host named after the change
		if earlier, twice := seen[host]; twice {
			return fmt.Sprintf("change %s was applied as both generation %d and generation %d", host, earlier, last.Generation)
		}
		seen[host] = last.Generation
	}
	for id, generation := range accepted {
		if seen[id] != generation {
			return fmt.Sprintf("change %s was reported as generation %d, but was applied as %d", id, generation, seen[id])
		}
	}
	for _, id := range refused {
		if seen[id] != 0 {
			return fmt.Sprintf("change %s was reported as not run, but was applied as generation %d", id, seen[id])
		}
	}
	return ""
}

// TestChangeIsAppliedOnce guards against a change that is applied twice, or reported as accepted when it is not,
// after a lost response (invariant P10). naiveAccept must fail under some plan, which proves that the test can
// detect the fault.
func TestChangeIsAppliedOnce(t *testing.T) {
	naiveFailed := false
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawFaults(rt)
		var result, naive string
		synctest.Test(t, func(t *testing.T) {
			result = runOperators(t, plan, Accept)
			naive = runOperators(t, plan, naiveAccept)
		})
		require.Empty(rt, result)
		naiveFailed = naiveFailed || naive != ""
	})
	require.True(t, naiveFailed)
}
