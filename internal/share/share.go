// Package share enforces the limits of callers and cold targets across all hosts without a central counter. The
// grant of a key is divided among owner hosts, and owners lend parts of their shares to other hosts for short
// terms. It is a state machine without I/O: one State runs on each host, and the caller of the package delivers
// its messages.
//
// A loan ends at the borrower before it ends at the owner, measured from the time the request was sent, and a host
// uses a share from a new table only after every other host has stopped using it. The usable amounts of all hosts
// therefore never add up to more than the grant, even if messages are lost, delayed, duplicated or reordered, as
// long as clock rates differ by at most 10 %. A rate is per second of the fastest clock.
package share

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// fenceTime is the age of the configuration above which a host refuses new requests and stops lending.
	fenceTime = 3 * time.Second
	// takeoverMargin compensates for differing clock rates.
	takeoverMargin = time.Second
	// MaxKeys bounds the number of limits that one host tracks.
	MaxKeys = 10_000
)

// takeoverWait is the time for which a new or restarted owner leaves its share unused: until every earlier owner
// has seen the new table or is fenced, and the loans it gave have expired.
func (k Key) takeoverWait() time.Duration {
	if k.Kind == InFlight {
		return fenceTime + lenderTerm(LongestTerm) + takeoverMargin
	}
	return fenceTime + 2*time.Second + takeoverMargin
}

// Config identifies the host and its incarnation.
type Config struct {
	Self model.HostID
	// Incarnation is the incarnation of the host. It is higher after each restart.
	Incarnation model.Incarnation
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
	// incarnations holds the newest known incarnation of each host. Messages from older ones are dropped.
	incarnations map[model.HostID]model.Incarnation
	takeover
	// stopping is set when the host is shutting down and no longer borrows.
	stopping bool
}

// entry is the state of one key.
type entry struct {
	// nextOwnerOffset is incremented with each round of unit requests, so that each round starts at a different
	// owner.
	nextOwnerOffset int
	key             Key
	grant           float64
	// shares caches this host's part of the grant by table generation.
	shares map[uint64]float64
	// ownerShares caches the shares of the other owners in the newest table, for the generation and grant below.
	ownerShares           map[model.HostID]float64
	ownerSharesGeneration uint64
	ownerSharesGrant      float64

	bucket     bucket
	demand     demand
	ownInUse   int
	byBorrower map[Sender]*borrowerState
	byOwner    map[model.HostID]*ownerState
	// usedAt is the time of the last request or message about the key.
	usedAt time.Duration
	// activeSince is the time of the first use after an idle period.
	activeSince time.Duration
	// refused counts the units refused in the demand slot refusedSlot.
	refused     int
	refusedSlot int64
	term        time.Duration
	termAt      time.Duration
}

// New returns the state of a host without a table or grants. The host owns nothing until it has held a table for
// the takeover wait.
func New(cfg Config) *State {
	// This placeholder stands for tables that this host has not seen.
	unknown := heldTable{replacedAt: never}
	return &State{
		cfg:          cfg,
		tables:       []heldTable{unknown},
		entries:      map[Key]*entry{},
		incarnations: map[model.HostID]model.Incarnation{},
		// Starting at the incarnation keeps a late grant for a former incarnation from matching a request of this
		// one.
		nonce: uint64(cfg.Incarnation),
	}
}

// SetFenced sets whether this host may be cut off from newer tables. A fenced host uses no share and lends
// nothing.
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

// ConfirmNoTable records that no table had been written when this host last confirmed its configuration. There are
// no owners before the first table, so the owners in the first table need not wait.
func (s *State) ConfirmNoTable() {
	if s.Generation() == 0 {
		s.tables = []heldTable{{replacedAt: never, confirmedEmpty: true}}
	}
}

// SetTable installs a newer table. It ignores tables that are not newer.
func (s *State) SetTable(now time.Duration, table Table) {
	if table.Generation <= s.Generation() {
		return
	}
	s.advanceAll(now)
	last := &s.tables[len(s.tables)-1]
	last.replacedAt = now
	if last.confirmedEmpty && table.Generation == 1 {
		s.tables = nil
	} else if table.Generation != last.generation+1 {
		// A skipped table may have assigned this host's share to another host.
		s.tables = append(s.tables, heldTable{generation: last.generation, replacedAt: now})
	}
	s.tables = append(s.tables, newHeldTable(table))
	s.takeover.restart()
	for _, e := range s.entries {
		s.refreshRate(e, now)
	}
}

// SetGrant sets the fleet-wide amount of a key: a rate per second or a number of units. An amount of 0 removes the
// key. SetGrant returns false if MaxKeys keys exist already; the key then has no grant at this host.
func (s *State) SetGrant(now time.Duration, key Key, amount float64) bool {
	e := s.entries[key]
	if e == nil {
		if amount <= 0 {
			return true
		}
		if len(s.entries) >= MaxKeys {
			return false
		}
		e = &entry{key: key, byBorrower: map[Sender]*borrowerState{}, byOwner: map[model.HostID]*ownerState{}}
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

// idle reports whether the entry can be removed without losing state.
func (e *entry) idle() bool {
	return e.ownInUse == 0 && len(e.byBorrower) == 0 && e.borrowed() == 0 && !e.usesBorrowedUnits()
}

func (e *entry) usesBorrowedUnits() bool {
	for _, o := range e.byOwner {
		if o.inUse > 0 {
			return true
		}
	}
	return false
}

// Step handles a message from another host and returns the replies.
func (s *State) Step(now time.Duration, from Sender, message Message) []OutgoingMessage {
	if from.Incarnation < s.incarnations[from.Host] {
		return nil
	}
	s.incarnations[from.Host] = from.Incarnation
	switch m := message.(type) {
	case LoanRequest:
		return s.handleLoanRequest(now, from, m)
	case LoanGrant:
		s.handleLoanGrant(now, from, m)
	case LoanReturn:
		s.handleLoanReturn(now, from, m)
	case TableQuestion:
		return s.handleTableQuestion(now, from, m)
	case TableAnswer:
		s.handleTableAnswer(now, from, m)
	}
	return nil
}

// advanceAndUse returns the entry of a key, brought up to now and marked as used, or nil if there is none.
func (s *State) advanceAndUse(now time.Duration, key Key) *entry {
	e := s.entries[key]
	if e != nil {
		s.advance(e, now)
		e.markUsed(now)
	}
	return e
}

func (e *entry) markUsed(now time.Duration) {
	if now-e.usedAt > demandSlotCount*demandSlotLength {
		e.activeSince = now
	}
	e.usedAt = now
}

// IsNewlyActive reports whether the current use of a key began less than the given time ago. Until then, a refusal
// may only mean that this host has not borrowed yet.
func (s *State) IsNewlyActive(now time.Duration, key Key, within time.Duration) bool {
	e := s.entries[key]
	return e != nil && now-e.activeSince < within
}

// Tick expires loans and returns the messages that are due. It is called about every 50 ms.
func (s *State) Tick(now time.Duration) []OutgoingMessage {
	s.pruneTables(now)
	messages := s.tableQuestions(now)
	for _, key := range s.activeKeys(now) {
		e := s.entries[key]
		s.advance(e, now)
		e.expirePending(now)
		if e.grant <= 0 {
			messages = append(messages, s.returnLoans(e, now)...)
			if e.idle() {
				delete(s.entries, key)
			}
			continue
		}
		messages = append(messages, s.borrow(e, now)...)
	}
	return messages
}

// Take takes tokens from a rate limit. It returns false if there are too few.
func (s *State) Take(now time.Duration, key Key, amount float64) bool {
	e := s.advanceAndUse(now, key)
	if e == nil {
		return false
	}
	e.demand.add(now, amount)
	return e.bucket.take(amount)
}

// Retry takes tokens for a request that Take has refused before. It adds nothing to the demand: otherwise, a
// request that waits for a loan would count once for each try.
func (s *State) Retry(now time.Duration, key Key, amount float64) bool {
	e := s.advanceAndUse(now, key)
	return e != nil && e.bucket.take(amount)
}

// Refund gives back tokens that were taken at the same moment.
func (s *State) Refund(key Key, amount float64) {
	if e := s.entries[key]; e != nil {
		e.bucket.level = min(e.bucket.burst(), e.bucket.level+amount)
	}
}

// Unit is one unit in use.
type Unit struct {
	key   Key
	owner model.HostID
}

// Acquire takes one unit for work that ends by the deadline, on this host's clock. The work must have ended by
// then even if Release is called later. Acquire refuses a deadline beyond the longest deadline of the key.
func (s *State) Acquire(now time.Duration, key Key, deadline time.Duration) (Unit, bool) {
	e := s.entries[key]
	if e == nil || deadline-now > e.key.longestDeadline() {
		return Unit{}, false
	}
	s.advance(e, now)
	e.markUsed(now)
	e.demand.recordPeak(now, e.inUse()+1+e.refusedIn(now))
	e.recordTerm(now, deadline-now+renewInterval+250*time.Millisecond)
	if !s.fenced && float64(e.ownInUse)+1 <= s.ownedAmount(e, now)-e.lent() {
		e.ownInUse++
		return Unit{key, s.cfg.Self}, true
	}
	for _, owner := range slices.Sorted(maps.Keys(e.byOwner)) {
		o := e.byOwner[owner]
		if float64(o.inUse)+1 <= o.amount && deadline <= o.expires {
			o.inUse++
			o.inUseUntil = max(o.inUseUntil, deadline)
			return Unit{key, owner}, true
		}
	}
	e.refused++
	return Unit{}, false
}

// refusedIn returns the number of units refused in the current slot. Each of them adds to the demand.
func (e *entry) refusedIn(now time.Duration) float64 {
	if slot := int64(now / demandSlotLength); slot != e.refusedSlot {
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
	o := e.byOwner[unit.owner]
	o.inUse--
	if o.inUse == 0 {
		o.inUseUntil = 0
	}
	o.updateApplied()
}

// Usable returns the rate per second, or the number of units, that this host may use now.
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
		own = max(0, s.ownedAmount(e, now)-e.lent())
	}
	return own + e.borrowed()
}

// inUse returns the number of units in use at this host.
func (e *entry) inUse() float64 {
	sum := e.ownInUse
	for _, o := range e.byOwner {
		sum += o.inUse
	}
	return float64(sum)
}

// wanted returns the rate or the number of units that covers the host's recent demand.
func (e *entry) wanted(now time.Duration) float64 {
	switch e.key.Kind {
	case InFlight:
		if e.grant <= smallGrantUnits {
			return max(e.demand.peakUnits(now, smallGrantDemandSlots), e.inUse())
		}
		return math.Ceil(e.raiseToMinimum(demandHeadroom * max(e.demand.peakUnits(now, demandSlotCount), e.inUse())))
	case Cold:
		return max(e.demand.peakUnits(now, coldDemandSlots), e.inUse())
	}
	return e.raiseToMinimum(e.demand.rate(now))
}

// raiseToMinimum raises a demand above zero to the smallest fraction of the grant that is requested.
func (e *entry) raiseToMinimum(wanted float64) float64 {
	if wanted <= 0 {
		return 0
	}
	return max(wanted, minDemandFraction*e.grant)
}

// recordTerm tracks the longest term needed within about model.MaxDeadline (10 s).
func (e *entry) recordTerm(now, term time.Duration) {
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
