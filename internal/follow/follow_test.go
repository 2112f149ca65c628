package follow

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// fakeSource is a Source whose failures can be controlled.
type fakeSource struct {
	mu        sync.Mutex
	entries   map[string]store.Entry
	changes   []store.Change
	revision  store.Revision
	firstKept store.Revision
	silent    bool
	refuse    bool
	calls     int
	changed   chan struct{}
}

func newFakeSource() *fakeSource {
	return &fakeSource{entries: map[string]store.Entry{}, revision: 10, changed: make(chan struct{})}
}

func (f *fakeSource) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	entry := store.Entry{Key: key, Value: []byte(value), Revision: f.revision}
	f.entries[key] = entry
	f.changes = append(f.changes, store.Change{Entry: entry})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeSource) startCall(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	silent, refuse := f.silent, f.refuse
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return store.ErrUnavailable
	}
	if refuse {
		return store.ErrUnavailable
	}
	return nil
}

func (f *fakeSource) List(ctx context.Context, _ string) ([]store.Entry, store.Revision, error) {
	if err := f.startCall(ctx); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []store.Entry
	for _, entry := range f.entries {
		all = append(all, entry)
	}
	return all, f.revision, nil
}

func (f *fakeSource) Changes(ctx context.Context, _ string, after store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	if err := f.startCall(ctx); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		if after < f.firstKept {
			f.mu.Unlock()
			return nil, 0, store.ErrHistoryLost
		}
		var found []store.Change
		for _, change := range f.changes {
			if change.Revision > after {
				found = append(found, change)
			}
		}
		revision, changed := f.revision, f.changed
		f.mu.Unlock()
		if len(found) > 0 {
			return found, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, store.ErrUnavailable
		}
	}
}

// recordingSink is a Sink that records values and the times at which they arrived.
type recordingSink struct {
	mu       sync.Mutex
	values   map[string]string
	at       map[string]time.Time
	lost     int
	regained int
	// applied is the number of changes.
	applied int
}

func newRecordingSink() *recordingSink {
	return &recordingSink{values: map[string]string{}, at: map[string]time.Time{}}
}

func (c *recordingSink) record(entry store.Entry) {
	if c.values[entry.Key] != string(entry.Value) {
		c.values[entry.Key], c.at[entry.Key] = string(entry.Value), time.Now()
	}
}

func (c *recordingSink) Reset(entries []store.Entry, _ store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range entries {
		c.record(entry)
	}
}

func (c *recordingSink) Apply(changes []store.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied += len(changes)
	for _, change := range changes {
		c.record(change.Entry)
	}
}

func (c *recordingSink) Lost(error) { c.mu.Lock(); c.lost++; c.mu.Unlock() }
func (c *recordingSink) Regained()  { c.mu.Lock(); c.regained++; c.mu.Unlock() }

func (c *recordingSink) received(key string) (string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[key], c.at[key]
}

// counts returns the numbers of calls of Lost and Regained.
func (c *recordingSink) counts() (lost, regained int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost, c.regained
}

func run(t *testing.T, test func(f *fakeSource, c *recordingSink)) {
	synctest.Test(t, func(t *testing.T) {
		f, c := newFakeSource(), newRecordingSink()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			New(zap.NewNop(), f, "", c).Run(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		test(f, c)
		cancel()
		<-done
	})
}

// TestChangesArriveWithinSeconds guards the time until a configuration takes effect, also when changes come in quick
// succession.
func TestChangesArriveWithinSeconds(t *testing.T) {
	run(t, func(f *fakeSource, c *recordingSink) {
		for range 20 {
			f.put("config", time.Now().String())
			want, written := f.entries["config"], time.Now()
			time.Sleep(coalesceInterval + 50*time.Millisecond)
			value, at := c.received("config")
			require.Equal(t, string(want.Value), value)
			require.LessOrEqual(t, at.Sub(written), coalesceInterval)
		}
	})
}

// TestOutdatedVersionsAreNotApplied guards against a host that decodes each version of a large configuration that it missed before the one
// that counts: on a small host this takes longer than a change may.
func TestOutdatedVersionsAreNotApplied(t *testing.T) {
	run(t, func(f *fakeSource, c *recordingSink) {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
		time.Sleep(changeWait + time.Second)
		for i := range 25 {
			f.put("config", fmt.Sprint(i))
			f.put("other", fmt.Sprint(i))
		}
		f.mu.Lock()
		f.silent = false
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		for _, key := range []string{"config", "other"} {
			value, _ := c.received(key)
			require.Equal(t, "24", value)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Equal(t, 2, c.applied)
	})
}

// TestLostHistoryTriggersNewListing guards against missing a change because the store dropped its history.
func TestLostHistoryTriggersNewListing(t *testing.T) {
	run(t, func(f *fakeSource, c *recordingSink) {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
		time.Sleep(changeWait + time.Second)
		f.put("config", "new")
		f.mu.Lock()
		f.silent, f.firstKept, f.changes = false, f.revision, nil
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		value, _ := c.received("config")
		require.Equal(t, "new", value)
	})
}

// TestUnresponsiveStoreIsDetected guards against waiting forever on a dead connection, and against recovering late when
// the store is back.
func TestUnresponsiveStoreIsDetected(t *testing.T) {
	run(t, func(f *fakeSource, c *recordingSink) {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
		// The call in progress still completes; the next one hangs. Every host must catch up within 4 s, including some
		// tenths of a second for a listing and a pull from a relay.
		time.Sleep(6 * time.Second)
		lost, _ := c.counts()
		require.Positive(t, lost)
		f.mu.Lock()
		f.silent = false
		f.mu.Unlock()
		returned := time.Now()
		f.put("config", "after")
		time.Sleep(4 * time.Second)
		value, at := c.received("config")
		require.Equal(t, "after", value)
		require.LessOrEqual(t, at.Sub(returned), maxCallTimeout+maxBackoff)
		_, regained := c.counts()
		require.Equal(t, 1, regained)
	})
}

// TestRefusedCallsBackOff guards against an unbounded call rate while the store refuses this host.
func TestRefusedCallsBackOff(t *testing.T) {
	run(t, func(f *fakeSource, c *recordingSink) {
		f.mu.Lock()
		f.refuse, f.calls = true, 0
		close(f.changed)
		f.changed = make(chan struct{})
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		lost, _ := c.counts()
		require.LessOrEqual(t, lost, 25)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Equal(t, f.calls, lost)
	})
}

// pagedSource is a Source whose listing has an entry that was removed and written again after the revision of the listing.
type pagedSource struct{ listings atomic.Int64 }

func (p *pagedSource) List(context.Context, string) ([]store.Entry, store.Revision, error) {
	p.listings.Add(1)
	return []store.Entry{{Key: "old", Revision: 90}, {Key: "target", Value: []byte("ready"), Revision: 120}}, 100, nil
}

func (p *pagedSource) Changes(ctx context.Context, _ string, after store.Revision, _ time.Duration) ([]store.Change, store.Revision, error) {
	switch {
	case after >= 130:
		<-ctx.Done()
		return nil, 0, ctx.Err()
	case after >= 120:
		return []store.Change{{Entry: store.Entry{Key: "target", Revision: 130}, Removed: true}}, 130, nil
	case after >= 106:
		return []store.Change{{Entry: store.Entry{Key: "target", Value: []byte("ready"), Revision: 120}}}, 120, nil
	}
	return []store.Change{
		{Entry: store.Entry{Key: "target", Revision: 105}, Removed: true},
		{Entry: store.Entry{Key: "old", Revision: 106}, Removed: true},
	}, 106, nil
}

// changesSink is a Sink that records changes.
type changesSink struct {
	*recordingSink
	applied []store.Change
}

func (c *changesSink) Apply(changes []store.Change) { c.applied = append(c.applied, changes...) }

// TestListedEntryIsNotRemovedByAnEarlierChange guards against a target that is lost although it is registered: a listing of several
// pages has its entry, and the changes after the revision of the listing begin with the removal of the entry before. Each call has a change
// of it, because only the last one of a call is applied.
func TestListedEntryIsNotRemovedByAnEarlierChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, sink := &pagedSource{}, &changesSink{recordingSink: newRecordingSink()}
		ctx, cancel := context.WithCancel(t.Context())
		go New(zap.NewNop(), source, "", sink).Run(ctx)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		revisions := make([]store.Revision, len(sink.applied))
		for i, change := range sink.applied {
			revisions[i] = change.Revision
		}
		require.Equal(t, []store.Revision{106, 120, 130}, revisions)
		require.EqualValues(t, 1, source.listings.Load())
	})
}
