// Package share holds callers and cold targets to their limits over all hosts without a central counter. The grant of a
// key is divided among owner hosts, and owners lend parts of their shares to other hosts for short terms. It is a pure
// state machine; one State runs on each host, and the caller carries its messages.
//
// A loan ends at the borrower before it ends at the owner, measured from the sending of the request, and a host uses
// what a new table gives it only after every other host has stopped using it. So the usable amounts of all hosts never
// add up to more than the grant, whatever messages are lost, late, repeated or out of order, for clocks whose rates
// differ by up to 10 %. A rate is per second of the fastest clock.
package share

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// fenceTime is the age of the configuration at which a host refuses new work and stops lending.
	fenceTime = 3 * time.Second
	// takeoverMargin covers clocks of different rates.
	takeoverMargin = time.Second
	// MaxKeys bounds the limits that one host keeps.
	MaxKeys = 10_000
)

// takeoverWait is the time for which a new or restarted owner leaves its share unused: until every earlier owner has
// seen the new table or is fenced, and the loans that it gave have ended.
func (k Key) takeoverWait() time.Duration {
	if k.Kind == InFlight {
		return fenceTime + lenderTerm(LongestTerm) + takeoverMargin
	}
	return fenceTime + 2*time.Second + takeoverMargin
}

// Config names the host.
type Config struct {
	Self model.HostID
	// Run tells the runs of the host apart. A later run has a higher value.
	Run model.Incarnation
	// Started is the time at which the process started.
	Started time.Duration
}

// State is the state machine of one host. It is not safe for concurrent use.
type State struct {
	cfg     Config
	fenced  bool
	tables  []heldTable
	entries map[Key]*entry
	nonce   uint64
	// runs holds the newest known run of each host; messages of older ones are dropped.
	runs map[model.HostID]model.Incarnation
	takeover
	// stopped tells that this host stops and borrows nothing any more.
	stopped bool
}

// entry is the state of one key.
type entry struct {
	// firstAsked is the position of the owner that is asked first for units the next time.
	firstAsked int
	key        Key
	grant      float64
	// shares holds this host's part of the grant by table generation.
	shares map[uint64]float64
	// portions holds the parts of the owners in the newest table, for the generation and grant below.
	portions      map[model.HostID]float64
	portionsOf    uint64
	portionsGrant float64

	bucket   bucket
	demand   demand
	ownInUse int
	accounts map[Sender]*account
	debts    map[model.HostID]*debt
	// usedAt is the time of the last request or message about the key.
	usedAt time.Duration
	// busySince is the time of the first use after a pause.
	busySince time.Duration
	// refused counts the units refused in a slot of demand.
	refused     int
	refusedSlot int64
	term        time.Duration
	termAt      time.Duration
}

// New returns a host without table and grants. It owns nothing until it has held a table for the takeover wait.
func New(cfg Config) *State {
	// The first entry stands for the tables that this host did not see.
	unknown := heldTable{replacedAt: never}
	return &State{
		cfg:     cfg,
		tables:  []heldTable{unknown},
		entries: map[Key]*entry{},
		runs:    map[model.HostID]model.Incarnation{},
		// A late grant for a former run never has the nonce of a request of this one.
		nonce: uint64(cfg.Run),
	}
}

// SetFenced says whether this host may be cut off from newer tables. A fenced host uses no share and lends nothing.
func (s *State) SetFenced(now time.Duration, fenced bool) {
	if fenced == s.fenced {
		return
	}
	s.advanceAll(now)
	s.fenced = fenced
	for _, e := range s.entries {
		s.refreshRate(e, now)
	}
}

// Generation returns the generation of the newest table.
func (s *State) Generation() uint64 { return s.newest().generation }

func (s *State) newest() heldTable { return s.tables[len(s.tables)-1] }

// ConfirmNoTable records that no table had been written when this host last confirmed its configuration. Nobody owned
// anything before the first table, so its owners need not wait.
func (s *State) ConfirmNoTable() {
	if s.Generation() == 0 {
		s.tables = []heldTable{{replacedAt: never, none: true}}
	}
}

// SetTable replaces the table. Older tables are ignored.
func (s *State) SetTable(now time.Duration, table Table) {
	if table.Generation <= s.Generation() {
		return
	}
	s.advanceAll(now)
	last := &s.tables[len(s.tables)-1]
	last.replacedAt = now
	if last.none && table.Generation == 1 {
		s.tables = nil
	} else if table.Generation != last.generation+1 {
		// A skipped table may have given this host's share to another one.
		s.tables = append(s.tables, heldTable{generation: last.generation, replacedAt: now})
	}
	s.tables = append(s.tables, hold(table))
	s.takeover.restart()
	for _, e := range s.entries {
		s.refreshRate(e, now)
	}
}

// SetGrant sets the fleet-wide amount of a key: a rate per second or a number of units. 0 removes the key. It returns
// false when there are MaxKeys already; the key then has no grant at this host.
func (s *State) SetGrant(now time.Duration, key Key, amount float64) bool {
	e := s.entries[key]
	if e == nil {
		if amount <= 0 {
			return true
		}
		if len(s.entries) >= MaxKeys {
			return false
		}
		e = &entry{key: key, accounts: map[Sender]*account{}, debts: map[model.HostID]*debt{}}
		e.bucket.at = now
		e.demand.advance(now)
		s.entries[key] = e
	}
	if e.grant == amount {
		return true
	}
	s.advance(e, now)
	e.grant = max(0, amount)
	clear(e.shares)
	s.refreshRate(e, now)
	if amount <= 0 && e.idle() {
		delete(s.entries, key)
	}
	return true
}

// idle tells whether nothing depends on the entry any more.
func (e *entry) idle() bool {
	return e.ownInUse == 0 && len(e.accounts) == 0 && e.borrowed() == 0 && !e.busy()
}

func (e *entry) busy() bool {
	for _, d := range e.debts {
		if d.inUse > 0 {
			return true
		}
	}
	return false
}

// Step handles a message of another host and returns the answers.
func (s *State) Step(now time.Duration, from Sender, message Message) []Send {
	if from.Incarnation < s.runs[from.Host] {
		return nil
	}
	s.runs[from.Host] = from.Incarnation
	switch m := message.(type) {
	case LoanRequest:
		return s.lend(now, from, m)
	case LoanGrant:
		s.accept(now, from, m)
	case LoanReturn:
		s.takeBack(now, from, m)
	case TableQuestion:
		return s.answer(now, from, m)
	case TableAnswer:
		s.noteAnswer(now, from, m)
	}
	return nil
}

// touch returns the entry of a key, carried to now.
func (s *State) touch(now time.Duration, key Key) *entry {
	e := s.entries[key]
	if e != nil {
		s.advance(e, now)
		e.use(now)
	}
	return e
}

func (e *entry) use(now time.Duration) {
	if now-e.usedAt > demandSlots*demandSlot {
		e.busySince = now
	}
	e.usedAt = now
}

// IsNewDemand tells whether a key is in use for less than a time. Until then a refusal may only mean that this host has
// not borrowed yet.
func (s *State) IsNewDemand(now time.Duration, key Key, within time.Duration) bool {
	e := s.entries[key]
	return e != nil && now-e.busySince < within
}

// Tick ends loans and returns the requests and returns that are due. It is called about every 50 ms.
func (s *State) Tick(now time.Duration) []Send {
	s.forgetTables(now)
	sends := s.ask(now)
	for _, key := range s.activeKeys(now) {
		e := s.entries[key]
		s.advance(e, now)
		e.expirePending(now)
		if e.grant <= 0 {
			sends = append(sends, s.giveBack(e, now)...)
			if e.idle() {
				delete(s.entries, key)
			}
			continue
		}
		sends = append(sends, s.borrow(e, now)...)
	}
	return sends
}

// Take takes tokens of a rate. It returns false when there are too few.
func (s *State) Take(now time.Duration, key Key, amount float64) bool {
	e := s.touch(now, key)
	if e == nil {
		return false
	}
	e.demand.add(now, amount)
	return e.bucket.take(amount)
}

// Retry takes tokens for a request that Take has refused before. It adds nothing to the demand: a request that waits for a
// loan would otherwise ask for as many times its need as it tries.
func (s *State) Retry(now time.Duration, key Key, amount float64) bool {
	e := s.touch(now, key)
	return e != nil && e.bucket.take(amount)
}

// Untake gives back tokens that were taken at the same moment.
func (s *State) Untake(key Key, amount float64) {
	if e := s.entries[key]; e != nil {
		e.bucket.level = min(e.bucket.burst(), e.bucket.level+amount)
	}
}

// Unit is one unit in use.
type Unit struct {
	key   Key
	owner model.HostID
}

// Acquire takes one unit for work that ends at the deadline, a time of this host's clock. The work must have ended by
// then, also if Release is called later. A deadline beyond the longest term of the key is refused.
func (s *State) Acquire(now time.Duration, key Key, deadline time.Duration) (Unit, bool) {
	e := s.entries[key]
	if e == nil || deadline-now > e.key.longestDeadline() {
		return Unit{}, false
	}
	s.advance(e, now)
	e.use(now)
	e.demand.peak(now, e.inUse()+1+e.refusedIn(now))
	e.noteTerm(now, deadline-now+renewInterval+250*time.Millisecond)
	if !s.fenced && float64(e.ownInUse)+1 <= s.effective(e, now)-e.lent() {
		e.ownInUse++
		return Unit{key, s.cfg.Self}, true
	}
	for _, owner := range slices.Sorted(maps.Keys(e.debts)) {
		d := e.debts[owner]
		if float64(d.inUse)+1 <= d.amount && deadline <= d.expires {
			d.inUse++
			d.busyUntil = max(d.busyUntil, deadline)
			return Unit{key, owner}, true
		}
	}
	e.refused++
	return Unit{}, false
}

// refusedIn returns the number of units refused in the present slot. Each of them is one more unit that is needed.
func (e *entry) refusedIn(now time.Duration) float64 {
	if slot := int64(now / demandSlot); slot != e.refusedSlot {
		e.refusedSlot = slot
		e.refused = 0
	}
	return float64(e.refused)
}

// Release gives a unit back.
func (s *State) Release(now time.Duration, unit Unit) {
	e := s.entries[unit.key]
	if e == nil {
		return
	}
	s.advance(e, now)
	if unit.owner == s.cfg.Self {
		e.ownInUse--
		return
	}
	d := e.debts[unit.owner]
	d.inUse--
	if d.inUse == 0 {
		d.busyUntil = 0
	}
	d.settle()
}

// Usable returns the rate per second, or the number of units, that this host may use at the moment.
func (s *State) Usable(now time.Duration, key Key) float64 {
	e := s.entries[key]
	if e == nil {
		return 0
	}
	s.advance(e, now)
	return s.usable(e, now)
}

func (s *State) usable(e *entry, now time.Duration) float64 {
	own := 0.0
	if !s.fenced {
		own = max(0, s.effective(e, now)-e.lent())
	}
	return own + e.borrowed()
}

// inUse returns the number of units in use at this host.
func (e *entry) inUse() float64 {
	sum := e.ownInUse
	for _, d := range e.debts {
		sum += d.inUse
	}
	return float64(sum)
}

// wanted returns the rate or the number of units that the host's recent demand needs.
func (e *entry) wanted(now time.Duration) float64 {
	switch e.key.Kind {
	case InFlight:
		if e.grant <= scarceUnits {
			return max(e.demand.units(now, scarceSlots), e.inUse())
		}
		return math.Ceil(e.atLeast(headroom * max(e.demand.units(now, demandSlots), e.inUse())))
	case Cold:
		return max(e.demand.units(now, permitSlots), e.inUse())
	}
	return e.atLeast(e.demand.perSecond(now))
}

// atLeast raises a demand that is not zero to the least part of the grant that is worth a loan.
func (e *entry) atLeast(wanted float64) float64 {
	if wanted <= 0 {
		return 0
	}
	return max(wanted, leastPart*e.grant)
}

// noteTerm keeps the longest term that was needed in the last ten seconds or so.
func (e *entry) noteTerm(now, term time.Duration) {
	if term > e.term || now-e.termAt > model.MaxDeadline {
		e.term = term
		e.termAt = now
	}
}

// Owner returns the first owner of a key in the newest table, or "" without a table. A Cold key has only one.
func (s *State) Owner(key Key) model.HostID {
	owners := s.newest().owners(key)
	if len(owners) == 0 {
		return ""
	}
	return owners[0]
}
