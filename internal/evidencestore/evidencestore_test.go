package evidencestore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// fakeFeed keeps what is written. Only the methods that a Store calls are implemented.
type fakeFeed struct {
	store.Feed
	mu      sync.Mutex
	down    bool
	calls   int
	entries map[string]store.Entry
	ttl     time.Duration
}

func (f *fakeFeed) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return 0, store.ErrUnavailable
	}
	f.ttl = ttl
	return 1, nil
}

func (f *fakeFeed) Put(_ context.Context, key string, value []byte, _ store.LeaseID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.entries[key] = store.Entry{Key: key, Value: value}
	return nil
}

func (f *fakeFeed) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeFeed) list() []store.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []store.Entry
	for _, entry := range f.entries {
		all = append(all, entry)
	}
	return all
}

// host is a host with its evidence.
type host struct {
	*Store
	log     *evidence.Log
	learned []evidence.Fact
}

func startHost(t *testing.T, feed store.Feed, id model.HostID) *host {
	h := &host{log: evidence.NewLog(uint64(len(id)))}
	h.Store = New(zap.NewNop(), id, feed, h.log, func(_ model.HostID, facts []evidence.Fact) { h.learned = append(h.learned, facts...) })
	go h.Run(t.Context())
	return h
}

// crash records the ends of instances under a request, a second apart.
func (h *host) crash(fingerprint uint64, count int) {
	for i := range count {
		time.Sleep(time.Second)
		h.log.Observe(monotime.Now(), evidence.Fact{
			Kind: evidence.Crashed, Fingerprint: fingerprint, Instance: evidence.Instance{Target: model.TargetID(fmt.Sprint("t", i)), Incarnation: 1},
		})
	}
}

func (h *host) verdict(fingerprint uint64) evidence.Verdict {
	return h.log.Judge(monotime.Now(), fingerprint).Verdict
}

// TestStartingHostKnowsQuarantines guards against a fleet that forgets at a restart which requests crash targets, also if the
// store was down when it learned of them.
func TestStartingHostKnowsQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fakeFeed{entries: map[string]store.Entry{}, down: true}
		first := startHost(t, feed, "a")
		first.crash(7, 3)
		first.Save(7)
		time.Sleep(5 * time.Second)
		require.Empty(t, feed.list())
		feed.setDown(false)
		time.Sleep(5 * time.Second)
		require.Len(t, feed.list(), 1)
		require.Greater(t, feed.ttl, time.Minute, "the record ends before the quarantine")
		second := startHost(t, feed, "bb")
		second.Reset(feed.list(), 1)
		require.Equal(t, evidence.Quarantined, second.verdict(7))
		require.Len(t, second.learned, 3)
		calls := feed.calls
		second.Reset(feed.list(), 1)
		first.Apply([]store.Change{{Entry: feed.list()[0]}})
		time.Sleep(time.Minute)
		require.Len(t, second.learned, 3)
		require.Equal(t, calls, feed.calls, "a host that learns a record writes none")
	})
}

// TestQuarantineByFactsOfSeveralHostsIsStored guards against a quarantine without a record, because no host has seen the crash that
// completes it itself: crashes at several hosts became known to each other later.
func TestQuarantineByFactsOfSeveralHostsIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fakeFeed{entries: map[string]store.Entry{}}
		first, second, third := startHost(t, feed, "a"), startHost(t, feed, "bb"), startHost(t, feed, "ccc")
		first.crash(7, 2)
		time.Sleep(time.Second)
		second.log.Observe(monotime.Now(), evidence.Fact{Kind: evidence.Crashed, Fingerprint: 7, Instance: evidence.Instance{Target: "u"}})
		for _, h := range []*host{first, third} {
			for _, other := range []*host{first, second} {
				h.log.Merge(monotime.Now(), other.log.Since(monotime.Now(), 0, 0))
			}
			require.Equal(t, evidence.Quarantined, h.verdict(7))
		}
		third.SaveLearned(7, 3)
		time.Sleep(time.Second)
		require.Zero(t, feed.calls, "a host that has seen none of the crashes writes no record")
		first.SaveLearned(7, 3)
		time.Sleep(time.Second)
		require.Len(t, feed.list(), 1)
		calls := feed.calls
		first.SaveLearned(7, 3)
		time.Sleep(time.Second)
		require.Equal(t, calls, feed.calls, "there is a record already")
	})
}

// TestAnsweredRequestIsWithdrawn guards against a record that has hosts refuse a request which was answered in the meantime, and
// against a write for each request that is answered.
func TestAnsweredRequestIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fakeFeed{entries: map[string]store.Entry{}}
		first := startHost(t, feed, "a")
		first.Withdraw(7)
		time.Sleep(time.Second)
		require.Zero(t, feed.calls, "there was no record")
		first.crash(7, 3)
		first.Save(7)
		time.Sleep(time.Second)
		second := startHost(t, feed, "bb")
		second.Reset(feed.list(), 1)
		second.log.Observe(monotime.Now(), evidence.Fact{Kind: evidence.Answered, Fingerprint: 7})
		second.Withdraw(7)
		time.Sleep(time.Second)
		third := startHost(t, feed, "ccc")
		third.Reset(feed.list(), 1)
		require.Equal(t, evidence.Unsuspected, third.verdict(7))
	})
}

// TestAnswerRefutesALaterRecord guards against refusing a request that was answered while the record of its crashes was on its way:
// the ages in a record are counted from the reading, so its crashes seem to be later than the answer.
func TestAnswerRefutesALaterRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fakeFeed{entries: map[string]store.Entry{}}
		first, second := startHost(t, feed, "a"), startHost(t, feed, "bb")
		first.crash(7, 3)
		second.log.Merge(monotime.Now(), first.log.Since(monotime.Now(), 0, 0))
		first.Save(7)
		second.log.Observe(monotime.Now(), evidence.Fact{Kind: evidence.Answered, Fingerprint: 7})
		second.Withdraw(7)
		time.Sleep(time.Second)
		second.Apply([]store.Change{{Entry: feed.list()[0]}})
		require.Equal(t, evidence.Unsuspected, second.verdict(7))
		time.Sleep(time.Second)
		third := startHost(t, feed, "ccc")
		third.Reset(feed.list(), 1)
		require.Equal(t, evidence.Unsuspected, third.verdict(7), "the record is still there")
	})
}

// TestMalformedRecordsAreIgnored guards against a process that ends, or a request that is refused, because of what another writer
// has put there.
func TestMalformedRecordsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHost(t, &fakeFeed{}, "a")
		values := []string{
			"", "\x00", "null", "[]", `{"crashes":7}`, `{"crashes":[{}]}`, `{"crashes":[null]}`, `{"crashes":[{"target":"a","age_ms":-1}]}`,
			`{"crashes":[{"target":"a","age_ms":1e18}]}`, `{"crashes":[{"target":"a","incarnation":-1}]}`,
		}
		for _, value := range values {
			for _, key := range []string{keyOf(7), keyPrefix, keyPrefix + "x", keyPrefix + "11111111111111111"} {
				h.Apply([]store.Change{{Entry: store.Entry{Key: key, Value: []byte(value)}}, {Entry: store.Entry{Key: key}, Removed: true}})
			}
		}
		require.Empty(t, h.learned)
	})
}

// TestFullQueueDoesNotBlock guards against a request that waits for the store because many others crash targets.
func TestFullQueueDoesNotBlock(t *testing.T) {
	s := New(zap.NewNop(), "a", &fakeFeed{}, evidence.NewLog(1), nil)
	for i := range uint64(3 * maxPending) {
		s.Save(i)
	}
	require.Len(t, s.pending, maxPending)
}

// TestCrashesBelowTheLimitOutliveTheHosts guards against a request that crashes two targets in each life of a fleet whose hosts are all
// killed again and again: below a quarantine, what they knew ended with them.
func TestCrashesBelowTheLimitOutliveTheHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fakeFeed{entries: map[string]store.Entry{}}
		first := startHost(t, feed, "a")
		first.crash(7, 2)
		require.True(t, IsWorthKeeping(first.log.Judge(monotime.Now(), 7)))
		first.Save(7)
		time.Sleep(time.Second) // all hosts are killed then
		second := startHost(t, feed, "bb")
		second.Reset(feed.list(), 1)
		require.Equal(t, evidence.Suspect, second.verdict(7))
		second.log.Observe(monotime.Now(), evidence.Fact{Kind: evidence.Crashed, Fingerprint: 7, Instance: evidence.Instance{Target: "u"}})
		require.Equal(t, evidence.Quarantined, second.verdict(7))
		second.SaveLearned(7, 3) // the record of two is not enough
		time.Sleep(time.Second)
		third := startHost(t, feed, "ccc")
		third.Reset(feed.list(), 1)
		require.Equal(t, evidence.Quarantined, third.verdict(7))
	})
}

// TestRequestThatIsAnsweredAtOnceCostsNoCall guards the calls to the store on days on which targets crash: a proper request that two of
// them ended under is answered by another one within the moment that its record waits.
func TestRequestThatIsAnsweredAtOnceCostsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fakeFeed{entries: map[string]store.Entry{}}
		h := startHost(t, feed, "a")
		h.crash(7, 2)
		h.Save(7)
		time.Sleep(settleTime / 2)
		h.log.RecordAnswer(monotime.Now(), 7)
		h.Withdraw(7)
		time.Sleep(time.Second)
		require.Zero(t, feed.calls)
	})
}
