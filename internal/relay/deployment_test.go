package relay

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/follow"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// fakeStore is a store.Feed with leases. refuses selects the hosts whose calls fail.
type fakeStore struct {
	mu       sync.Mutex
	revision store.Revision
	entries  map[string]store.Entry
	leases   map[store.LeaseID]time.Time
	owner    map[string]store.LeaseID
	changes  []store.Change
	changed  chan struct{}
	reads    map[model.HostID]int
	refuses  map[model.HostID]bool
	// hangs selects the hosts whose calls for changes never return.
	hangs map[model.HostID]bool
	next  store.LeaseID
	// compacted is the revision up to which the history was discarded.
	compacted store.Revision
	// pagePause is the time between the two pages of a listing. Keys from secondPage on are on the second.
	pagePause time.Duration
	// latency is the time that a call for changes takes at least.
	latency time.Duration
}

const secondPage = "m"

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision: 1, entries: map[string]store.Entry{}, leases: map[store.LeaseID]time.Time{}, owner: map[string]store.LeaseID{},
		changed: make(chan struct{}), reads: map[model.HostID]int{}, refuses: map[model.HostID]bool{},
		hangs: map[model.HostID]bool{},
	}
}

// set writes or removes a key. The caller holds s.mu.
func (s *fakeStore) set(key string, value []byte, removed bool) {
	s.revision++
	entry := store.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = entry
	if removed {
		delete(s.entries, key)
		delete(s.owner, key)
	}
	s.changes = append(s.changes, store.Change{Entry: entry, Removed: removed})
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes expired leases and their keys. The caller holds s.mu.
func (s *fakeStore) expire() {
	for lease, until := range s.leases {
		if time.Now().Before(until) {
			continue
		}
		delete(s.leases, lease)
		for key, owner := range s.owner {
			if owner == lease {
				s.set(key, nil, true)
			}
		}
	}
}

// discardHistory discards all changes and wakes the calls that wait for some.
func (s *fakeStore) discardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.changes = s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, nil, true)
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, []byte(value), false)
}

// hostFeed is the store as accessed by one host.
type hostFeed struct {
	*fakeStore
	host model.HostID
}

// startCall counts the reads of a call. If it returns nil, the caller must unlock f.mu.
func (f hostFeed) startCall(reads int) error {
	f.mu.Lock()
	f.expire()
	f.reads[f.host] += reads
	if f.refuses[f.host] {
		f.mu.Unlock()
		return store.ErrUnavailable
	}
	return nil
}

func (f hostFeed) list(prefix string, reads int) ([]store.Entry, store.Revision, error) {
	if err := f.startCall(reads); err != nil {
		return nil, 0, err
	}
	defer f.mu.Unlock()
	var all []store.Entry
	for key, entry := range f.entries {
		if strings.HasPrefix(key, prefix) {
			all = append(all, entry)
		}
	}
	return all, f.revision, nil
}

func (f hostFeed) List(_ context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	entries, revision, err := f.list(prefix, 1)
	f.mu.Lock()
	pause := f.pagePause
	f.mu.Unlock()
	if err != nil || pause == 0 {
		return entries, revision, err
	}
	time.Sleep(pause)
	later, _, err := f.list(prefix, 1)
	first := slices.DeleteFunc(entries, func(e store.Entry) bool { return e.Key >= secondPage })
	second := slices.DeleteFunc(later, func(e store.Entry) bool { return e.Key < secondPage })
	return append(first, second...), revision, err
}

func (f hostFeed) ListStale(_ context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := f.list(prefix, 0)
	return entries, err
}

func (f hostFeed) Changes(ctx context.Context, _ string, after store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	end := time.Now().Add(wait)
	f.mu.Lock()
	latency := f.latency
	f.mu.Unlock()
	time.Sleep(latency)
	for first := 1; ; first = 0 {
		if err := f.startCall(first); err != nil {
			return nil, 0, err
		}
		if after < f.compacted {
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
		hangs := f.hangs[f.host]
		f.mu.Unlock()
		if hangs {
			<-ctx.Done()
			return nil, 0, store.ErrUnavailable
		}
		if len(found) > 0 || !time.Now().Before(end) {
			return found, revision, nil
		}
		timer := time.NewTimer(min(time.Until(end), time.Second))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, 0, store.ErrUnavailable
		}
	}
}

func (f hostFeed) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := f.startCall(0); err != nil {
		return 0, err
	}
	defer f.mu.Unlock()
	f.next++
	f.leases[f.next] = time.Now().Add(ttl)
	return f.next, nil
}

func (f hostFeed) Renew(_ context.Context, lease store.LeaseID) error {
	if err := f.startCall(0); err != nil {
		return err
	}
	defer f.mu.Unlock()
	if _, ok := f.leases[lease]; !ok {
		return store.ErrLeaseEnded
	}
	f.leases[lease] = time.Now().Add(slotTTL)
	return nil
}

func (f hostFeed) Put(_ context.Context, key string, value []byte, lease store.LeaseID) error {
	if err := f.startCall(0); err != nil {
		return err
	}
	defer f.mu.Unlock()
	f.owner[key] = lease
	f.set(key, value, false)
	return nil
}

func (f hostFeed) Create(ctx context.Context, key string, value []byte, lease store.LeaseID) error {
	if err := f.startCall(0); err != nil {
		return err
	}
	_, taken := f.entries[key]
	f.mu.Unlock()
	if taken {
		return store.ErrConflict
	}
	return f.Put(ctx, key, value, lease)
}

// network connects the hosts' transports. A host that is down neither sends nor answers.
type network struct {
	mu    sync.Mutex
	hosts map[string]*transport
	// dropped selects the frame kinds that do not arrive; sent counts frames.
	dropped map[peer.Kind]bool
	sent    map[peer.Kind]int
}

type transport struct {
	network  *network
	self     peer.Sender
	handlers map[peer.Kind]peer.Handler
	down     bool
	// silent means that nothing arrives that this host sends, answers included.
	silent bool
	// mbps is the bandwidth at which answers arrive; 0 means no limit.
	mbps float64
}

func (t *transport) Handle(kind peer.Kind, handler peer.Handler) { t.handlers[kind] = handler }

func (t *transport) Send(address string, kind peer.Kind, body any) error {
	go t.Call(context.Background(), address, kind, body, nil)
	return nil
}

func (t *transport) Call(ctx context.Context, address string, kind peer.Kind, body, reply any) error {
	t.network.mu.Lock()
	other := t.network.hosts[address]
	t.network.sent[kind]++
	cut := other == nil || other.down || t.down || t.silent || t.network.dropped[kind]
	var handler peer.Handler
	if other != nil {
		handler = other.handlers[kind]
	}
	t.network.mu.Unlock()
	if cut {
		time.Sleep(10 * time.Millisecond)
		return peer.ErrNotSent
	}
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		return err
	}
	answers := make(chan any, 1)
	go func() {
		answer, _ := handler(ctx, t.self, func(into any) error { return msgpack.Unmarshal(encoded, into) })
		if tracked, ok := answer.(peer.Tracked); ok {
			defer tracked.Done()
		}
		t.network.mu.Lock()
		defer t.network.mu.Unlock()
		if !other.silent {
			answers <- answer
		}
	}()
	answer, err := t.await(ctx, other, answers)
	if err != nil || answer == nil {
		return err
	}
	encoded, err = msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	if t.mbps > 0 && ctxtime.Sleep(ctx, time.Duration(float64(8*len(encoded))/t.mbps*float64(time.Microsecond))) != nil {
		return peer.ErrNoReply
	}
	return msgpack.Unmarshal(encoded, reply)
}

// await returns the answer, or an error shortly after the other host goes down.
func (t *transport) await(ctx context.Context, other *transport, answers <-chan any) (any, error) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case answer := <-answers:
			return answer, nil
		case <-ctx.Done():
			return nil, peer.ErrNoReply
		case <-ticker.C:
			t.network.mu.Lock()
			down := other.down || other.silent
			t.network.mu.Unlock()
			if down {
				return nil, peer.ErrNoReply
			}
		}
	}
}

// host is a host that follows the store through its Relay. It implements follow.Sink.
type host struct {
	*Relay
	transport *transport
	stop      context.CancelFunc
	mu        sync.Mutex
	values    map[string]string
}

func (h *host) Reset(entries []store.Entry, revision store.Revision) {
	h.Relay.Reset(entries, revision)
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.values)
	for _, entry := range entries {
		h.values[entry.Key] = string(entry.Value)
	}
}

func (h *host) Apply(changes []store.Change) {
	h.Relay.Apply(changes)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, change := range changes {
		h.values[change.Key] = string(change.Value)
	}
}

func (h *host) value(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values[key]
}

type deployment struct {
	t       *testing.T
	store   *fakeStore
	network *network
	hosts   []*host
}

// deploy starts hosts in each of two data centres and waits until the relay slots are settled.
func deploy(t *testing.T, perDataCentre int) *deployment { return deployIn(t, 2, perDataCentre) }

// deployIn is deploy with a number of data centres.
func deployIn(t *testing.T, dataCentres, perDataCentre int) *deployment {
	d := &deployment{t: t, store: newFakeStore(), network: &network{
		hosts: map[string]*transport{}, dropped: map[peer.Kind]bool{}, sent: map[peer.Kind]int{},
	}}
	for dc := range dataCentres {
		for i := range perDataCentre {
			d.start(fmt.Sprintf("h%d-%d", dc, i), fmt.Sprint("dc", dc), i < 2)
		}
	}
	time.Sleep(12 * time.Second)
	return d
}

func (d *deployment) start(id, dataCentre string, large bool) *host {
	return d.startWithLink(id, dataCentre, large, 0)
}

// freeShare is the part of a link that queries leave to control.
const freeShare = 0.7

// startWithLink starts a host whose link has a bandwidth; 0 means no limit.
func (d *deployment) startWithLink(id, dataCentre string, large bool, mbps float64) *host {
	name := model.HostID(id)
	h := &host{
		transport: &transport{network: d.network, self: peer.Sender{Host: name}, handlers: map[peer.Kind]peer.Handler{}, mbps: mbps * freeShare},
		values:    map[string]string{},
	}
	h.Relay = New(zap.NewNop(), Config{
		Feed: hostFeed{d.store, name}, Transport: h.transport, Host: name, Address: id, DataCentre: model.DataCentreID(dataCentre), Large: large, LinkMbps: mbps,
		OlderIncarnation: func(model.Incarnation) {}, Clock: monotime.Now,
	})
	d.network.mu.Lock()
	d.network.hosts[id] = h.transport
	d.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go h.Run(ctx)
	go follow.New(zap.NewNop(), h.Relay, "", h).Run(ctx)
	d.hosts = append(d.hosts, h)
	return h
}

// kill stops a host abruptly.
func (d *deployment) kill(h *host) {
	d.network.mu.Lock()
	h.transport.down = true
	d.network.mu.Unlock()
	h.stop()
}

func (d *deployment) end() {
	for _, h := range d.hosts {
		d.kill(h)
	}
	time.Sleep(time.Minute) // lets the goroutines of the synctest bubble end
}

func (d *deployment) relays() (held []*host) {
	for _, h := range d.hosts {
		if h.IsRelay() {
			held = append(held, h)
		}
	}
	return held
}

// requireValueOnHosts writes a value and requires every live host to have it in time.
func (d *deployment) requireValueOnHosts(value string, within time.Duration, except ...*host) {
	d.t.Helper()
	d.store.put("config", value)
	time.Sleep(within)
	for _, h := range d.hosts {
		skip := h.transport.down
		for _, other := range except {
			skip = skip || h == other
		}
		if !skip {
			require.Equal(d.t, value, h.value("config"), "%s after %v", h.cfg.Host, within)
		}
	}
}

func (d *deployment) totalReads() int {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	total := 0
	for _, reads := range d.store.reads {
		total += reads
	}
	return total
}
