package share

import (
	"math"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// RateTerm is the time for which a borrower uses a loan of a rate, or of units for short requests, measured
	// from the time it sent the request.
	RateTerm = 1500 * time.Millisecond
	// LongestTerm is the longest term of a loan of in-flight units: the longest request deadline plus the time
	// until the next renewal.
	LongestTerm = model.MaxDeadline + renewInterval + 500*time.Millisecond
	// renewInterval is the time between two requests to an owner while the demand lasts.
	renewInterval = 500 * time.Millisecond
	// urgentInterval is the time between two requests to an owner if the amount to request has grown by more than
	// 10 %.
	urgentInterval = 50 * time.Millisecond
	// unitsInterval is the time between two requests to an owner whose loan differs from the number of units to
	// request.
	unitsInterval = 100 * time.Millisecond
	// maxPending bounds the unanswered requests to one owner.
	maxPending = 32
)

// longestTerm is the longest term that an owner of the key accepts.
func (k Key) longestTerm() time.Duration {
	if k.Kind == InFlight {
		return LongestTerm
	}
	return RateTerm
}

// longestDeadline is the longest time for which a request or an attempt may use a unit of the key.
func (k Key) longestDeadline() time.Duration {
	if k.Kind == InFlight {
		return model.MaxDeadline
	}
	return RateTerm
}

// ownerState is a borrower's record of its loans from one owner.
type ownerState struct {
	// nonce, amount and expires describe the newest loan, which replaces older ones for new requests.
	nonce   uint64
	amount  float64
	expires time.Duration
	// applied is the nonce of the oldest loan whose units may still be in use.
	applied uint64
	inUse   int
	// inUseUntil is the latest deadline of the units in use.
	inUseUntil time.Duration
	// newestOrigin is the origin of the newest loan, oldestOrigin that of the oldest unit that may still be in
	// use.
	newestOrigin, oldestOrigin loanOrigin
	pending                    []pendingRequest
	// rejectedUpTo is the highest nonce whose grant is no longer accepted, because its loan was returned.
	rejectedUpTo    uint64
	requestedAmount float64
	sentAt          time.Duration
	hasRequested    bool
}

// loanOrigin is the table generation and the incarnation under which an owner gave a loan.
type loanOrigin struct {
	generation  uint64
	incarnation model.Incarnation
}

type pendingRequest struct {
	nonce  uint64
	sentAt time.Duration
	term   time.Duration
}

// borrowed returns the sum of the loans that this host holds.
func (e *entry) borrowed() float64 {
	var sum float64
	for _, o := range e.byOwner {
		sum += o.amount
	}
	return sum
}

// nextBorrowedExpiry returns the earliest expiry of a loan that this host holds.
func (e *entry) nextBorrowedExpiry() time.Duration {
	next := never
	for _, o := range e.byOwner {
		if o.amount > 0 {
			next = min(next, o.expires)
		}
	}
	return next
}

// expireBorrowed stops the use of expired loans.
func (e *entry) expireBorrowed(now time.Duration) {
	for _, o := range e.byOwner {
		if o.amount > 0 && o.expires <= now {
			o.amount = 0
		}
	}
}

// handleLoanGrant applies a grant. It ignores one that answers no pending request, has expired, comes from an
// older table than this host has confirmed, or is older than the loan in use.
func (s *State) handleLoanGrant(now time.Duration, from Sender, grant LoanGrant) {
	e := s.advanceAndUse(now, grant.Key)
	if e == nil || e.byOwner[from.Host] == nil || grant.Generation < s.confirmedGeneration {
		return
	}
	o := e.byOwner[from.Host]
	request, ok := o.takePending(grant.Nonce)
	if !ok || grant.Nonce <= max(o.nonce, o.rejectedUpTo) {
		return
	}
	expires := request.sentAt + request.term
	if expires <= now || grant.Amount < 0 || math.IsNaN(grant.Amount) {
		return
	}
	o.nonce = grant.Nonce
	o.amount = grant.Amount
	o.expires = expires
	o.newestOrigin = loanOrigin{grant.Generation, from.Incarnation}
	if o.inUse == 0 {
		o.oldestOrigin = o.newestOrigin
	}
	o.updateApplied()
	s.refreshRate(e, now)
}

// updateApplied marks the newest loan as the only one in use if it covers all units in use until their deadlines.
func (o *ownerState) updateApplied() {
	covered := float64(o.inUse) <= o.amount && o.inUseUntil <= o.expires
	if covered || o.inUse == 0 {
		o.applied = o.nonce
	}
}

// takePending removes and returns the pending request with the given nonce.
func (o *ownerState) takePending(nonce uint64) (pendingRequest, bool) {
	for i, request := range o.pending {
		if request.nonce == nonce {
			o.pending = append(o.pending[:i], o.pending[i+1:]...)
			return request, true
		}
	}
	return pendingRequest{}, false
}

// borrow returns the loan requests and loan returns that the current demand requires.
func (s *State) borrow(e *entry, now time.Duration) []OutgoingMessage {
	owners := s.otherOwners(e)
	if len(owners) == 0 {
		return nil
	}
	wanted := min(e.wanted(now), e.grant)
	own := s.ownedAmount(e, now) - e.lent()
	if s.fenced {
		own = 0
	}
	need := max(0, wanted-max(0, own))
	if need == 0 || s.stopping {
		return s.returnLoans(e, now)
	}
	missing := max(0, need-e.borrowed())
	var messages []OutgoingMessage
	if e.key.Kind.isUnits() {
		return s.borrowUnits(e, now, owners, need, missing)
	}
	for position, owner := range owners {
		ask := s.requestAmount(e, owner, need, missing, position, len(owners))
		messages = s.request(messages, e, now, owner, ask)
	}
	return messages
}

// borrowUnits returns the requests for whole units. Asking every owner for a small part does not work for units: a
// host that lacks one unit would borrow one from each owner, and other hosts would find none. So it asks for twice
// the missing units, starting at a different owner each time, and returns the surplus once nothing is missing.
func (s *State) borrowUnits(e *entry, now time.Duration, owners []model.HostID, need, missing float64) []OutgoingMessage {
	var messages []OutgoingMessage
	remaining := math.Ceil(need)
	additional := math.Ceil(2 * missing)
	e.nextOwnerOffset++
	for i := range owners {
		owner := owners[(i+e.nextOwnerOffset)%len(owners)]
		held := e.ownerState(owner).amount
		ask := min(held, remaining)
		if additional > 0 {
			extra := max(0, min(additional, need, e.ownerShares[owner])-held)
			ask = held + extra
			additional -= extra
		}
		remaining -= min(remaining, held)
		messages = s.request(messages, e, now, owner, ask)
	}
	return messages
}

// requestAmount returns the amount to request from one owner: its current loan plus twice an equal part of what is
// missing, so that other owners make up for those without a surplus.
func (s *State) requestAmount(e *entry, owner model.HostID, need, missing float64, position, owners int) float64 {
	var held float64
	if o := e.byOwner[owner]; o != nil {
		held = o.amount
	}
	ask := held + 2*missing/float64(owners)
	if missing == 0 {
		ask = held * need / max(need, e.borrowed())
	}
	return min(ask, need, e.ownerShares[owner])
}

// request appends a loan request to one owner if one is due.
func (s *State) request(
	messages []OutgoingMessage, e *entry, now time.Duration, owner model.HostID, ask float64,
) []OutgoingMessage {
	o := e.ownerState(owner)
	if ask <= 0 && o.amount <= 0 && o.inUse == 0 {
		return messages
	}
	interval := renewInterval
	switch {
	case ask > o.requestedAmount*1.1:
		interval = urgentInterval
	case e.key.Kind.isUnits() && o.amount != ask:
		interval = unitsInterval
	}
	if o.hasRequested && now-o.sentAt < interval {
		return messages
	}
	term := max(RateTerm, min(e.key.longestTerm(), e.term))
	s.nonce++
	if len(o.pending) == maxPending {
		o.pending = o.pending[1:]
	}
	o.pending = append(o.pending, pendingRequest{s.nonce, now, term})
	o.requestedAmount = ask
	o.sentAt = now
	o.hasRequested = true
	return append(messages, OutgoingMessage{owner, LoanRequest{e.key, s.nonce, ask, term, o.applied}})
}

// returnLoans returns every loan that is not in use to its owner.
func (s *State) returnLoans(e *entry, now time.Duration) []OutgoingMessage {
	var messages []OutgoingMessage
	for owner, o := range e.byOwner {
		if o.inUse > 0 || o.amount <= 0 && len(o.pending) == 0 {
			continue
		}
		s.nonce++
		o.rejectedUpTo = s.nonce
		o.pending = nil
		o.amount = 0
		o.requestedAmount = 0
		o.updateApplied()
		messages = append(messages, OutgoingMessage{owner, LoanReturn{e.key, s.nonce}})
	}
	s.refreshRate(e, now)
	sortMessages(messages)
	return messages
}

// ReturnAll returns every loan that is not in use and stops borrowing, because this host is shutting down.
func (s *State) ReturnAll(now time.Duration) []OutgoingMessage {
	s.stopping = true
	var messages []OutgoingMessage
	for _, key := range s.activeKeys(now) {
		messages = append(messages, s.returnLoans(s.entries[key], now)...)
	}
	return messages
}

// expirePending drops pending requests whose term has ended.
func (e *entry) expirePending(now time.Duration) {
	for _, o := range e.byOwner {
		kept := o.pending[:0]
		for _, request := range o.pending {
			if request.sentAt+request.term > now {
				kept = append(kept, request)
			}
		}
		o.pending = kept
	}
}

func (e *entry) ownerState(owner model.HostID) *ownerState {
	if e.byOwner[owner] == nil {
		e.byOwner[owner] = &ownerState{}
	}
	return e.byOwner[owner]
}
