package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// feed is a fake Source.
type feed struct {
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

func newFeed() *feed {
	return &feed{entries: map[string]store.Entry{}, revision: 10, changed: make(chan struct{})}
}

func (f *feed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	entry := store.Entry{Key: key, Value: []byte(value), Revision: f.revision}
	f.entries[key] = entry
	f.changes = append(f.changes, store.Change{Entry: entry})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) begin(ctx context.Context) error {
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

func (f *feed) List(ctx context.Context, _ string) ([]store.Entry, store.Revision, error) {
	if err := f.begin(ctx); err != nil {
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

func (f *feed) Changes(ctx context.Context, _ string, after store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	if err := f.begin(ctx); err != nil {
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

// copyOf is a Sink that keeps the values and the times at which they were learnt.
type copyOf struct {
	mu     sync.Mutex
	values map[string]string
	at     map[string]time.Time
	lost   int
	back   int
}

func newCopy() *copyOf { return &copyOf{values: map[string]string{}, at: map[string]time.Time{}} }

func (c *copyOf) take(entry store.Entry) {
	if c.values[entry.Key] != string(entry.Value) {
		c.values[entry.Key], c.at[entry.Key] = string(entry.Value), time.Now()
	}
}

func (c *copyOf) Reset(entries []store.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range entries {
		c.take(entry)
	}
}

func (c *copyOf) Apply(changes []store.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		c.take(change.Entry)
	}
}

func (c *copyOf) Lost(error) { c.mu.Lock(); c.lost++; c.mu.Unlock() }
func (c *copyOf) Regained()  { c.mu.Lock(); c.back++; c.mu.Unlock() }

func (c *copyOf) learnt(key string) (string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[key], c.at[key]
}

// counts returns how often the store was lost and regained.
func (c *copyOf) counts() (lost, back int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost, c.back
}

func run(t *testing.T, test func(f *feed, c *copyOf)) {
	synctest.Test(t, func(t *testing.T) {
		f, c := newFeed(), newCopy()
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

// TestChangesArriveWithinSeconds guards the bound on a configuration in force, also where changes come in quick succession.
func TestChangesArriveWithinSeconds(t *testing.T) {
	run(t, func(f *feed, c *copyOf) {
		for range 20 {
			f.put("config", time.Now().String())
			want, written := f.entries["config"], time.Now()
			time.Sleep(gatherTime + 50*time.Millisecond)
			value, at := c.learnt("config")
			require.Equal(t, string(want.Value), value)
			require.LessOrEqual(t, at.Sub(written), gatherTime)
		}
	})
}

// TestLostHistoryIsListedAgain guards against a change that is missed because the store has dropped its history.
func TestLostHistoryIsListedAgain(t *testing.T) {
	run(t, func(f *feed, c *copyOf) {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
		time.Sleep(changeWait + time.Second)
		f.put("config", "new")
		f.mu.Lock()
		f.silent, f.firstKept, f.changes = false, f.revision, nil
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		value, _ := c.learnt("config")
		require.Equal(t, "new", value)
	})
}

// TestSilentStoreIsNoticed guards against a watch on a connection that has fallen silent for good, and a late return.
func TestSilentStoreIsNoticed(t *testing.T) {
	run(t, func(f *feed, c *copyOf) {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
		// The call in progress still ends. The next one falls silent: every host has to learn what it missed within 4 s, and some
		// tenths are for a listing and a pull from a relay.
		time.Sleep(6 * time.Second)
		lost, _ := c.counts()
		require.Positive(t, lost)
		f.mu.Lock()
		f.silent = false
		f.mu.Unlock()
		returned := time.Now()
		f.put("config", "after")
		time.Sleep(4 * time.Second)
		value, at := c.learnt("config")
		require.Equal(t, "after", value)
		require.LessOrEqual(t, at.Sub(returned), maxCallTimeout+maxBackoff)
		_, back := c.counts()
		require.Equal(t, 1, back)
	})
}

// TestRefusedCallsBackOff guards against calls without bound while the store refuses this host.
func TestRefusedCallsBackOff(t *testing.T) {
	run(t, func(f *feed, c *copyOf) {
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
