package share

import (
	"math"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// RateTerm is the time for which a borrower uses a loan of rate, or of units for short requests, from the sending
	// of its request.
	RateTerm = 1500 * time.Millisecond
	// LongestTerm is the longest term of a loan of in-flight units: the longest deadline of a request and the time
	// until the next renewal.
	LongestTerm = model.MaxDeadline + renewInterval + 500*time.Millisecond
	// renewInterval is the time between two requests to an owner while the need lasts.
	renewInterval = 500 * time.Millisecond
	// urgentInterval is the time between two requests to an owner while the need grows.
	urgentInterval = 50 * time.Millisecond
	// unitsInterval is the time between two requests to an owner that lent fewer units than were asked for.
	unitsInterval = 100 * time.Millisecond
	// maxPending bounds the requests to one owner that wait for an answer.
	maxPending = 32
)

// longestTerm is the longest term that an owner of the key accepts.
func (k Key) longestTerm() time.Duration {
	if k.Kind == InFlight {
		return LongestTerm
	}
	return RateTerm
}

// longestDeadline is the longest time for which work may use a unit of the key.
func (k Key) longestDeadline() time.Duration {
	if k.Kind == InFlight {
		return model.MaxDeadline
	}
	return RateTerm
}

// debt is what this host has borrowed from one owner.
type debt struct {
	// nonce, amount and expires describe the newest loan; it replaces older ones for new work.
	nonce   uint64
	amount  float64
	expires time.Duration
	// applied is the oldest nonce whose units may still be in use.
	applied uint64
	inUse   int
	// busyUntil is the latest deadline of the units in use.
	busyUntil time.Duration
	// given is where the newest loan comes from, oldest that of the oldest unit that may still be in use.
	given, oldest origin
	pending       []pendingRequest
	// refused is the highest nonce whose grant must not be accepted any more.
	refused  uint64
	asked    float64
	sentAt   time.Duration
	everSent bool
}

// origin is the owner's table and run that a loan was given under.
type origin struct {
	generation  uint64
	incarnation model.Incarnation
}

type pendingRequest struct {
	nonce  uint64
	sentAt time.Duration
	term   time.Duration
}

// borrowed returns the amount that loans add at the moment.
func (e *entry) borrowed() float64 {
	var sum float64
	for _, d := range e.debts {
		sum += d.amount
	}
	return sum
}

// nextBorrowedExpiry returns the earliest end of a loan that this host holds.
func (e *entry) nextBorrowedExpiry() time.Duration {
	next := never
	for _, d := range e.debts {
		if d.amount > 0 {
			next = min(next, d.expires)
		}
	}
	return next
}

// expireBorrowed stops the use of ended loans.
func (e *entry) expireBorrowed(now time.Duration) {
	for _, d := range e.debts {
		if d.amount > 0 && d.expires <= now {
			d.amount = 0
		}
	}
}

// accept takes a grant, unless it answers no known request, has ended, or a newer one was accepted.
func (s *State) accept(now time.Duration, from Sender, grant LoanGrant) {
	e := s.touch(now, grant.Key)
	if e == nil || e.debts[from.Host] == nil || grant.Generation < s.answered {
		return
	}
	d := e.debts[from.Host]
	request, ok := d.answer(grant.Nonce)
	if !ok || grant.Nonce <= max(d.nonce, d.refused) {
		return
	}
	expires := request.sentAt + request.term
	if expires <= now || grant.Amount < 0 || math.IsNaN(grant.Amount) {
		return
	}
	d.nonce = grant.Nonce
	d.amount = grant.Amount
	d.expires = expires
	d.given = origin{grant.Generation, from.Incarnation}
	if d.inUse == 0 {
		d.oldest = d.given
	}
	d.settle()
	s.refreshRate(e, now)
}

// settle marks the newest loan as the only one in use when it covers all units in use up to their deadlines.
func (d *debt) settle() {
	covered := float64(d.inUse) <= d.amount && d.busyUntil <= d.expires
	if covered || d.inUse == 0 {
		d.applied = d.nonce
	}
}

// answer removes and returns the pending request of a nonce.
func (d *debt) answer(nonce uint64) (pendingRequest, bool) {
	for i, request := range d.pending {
		if request.nonce == nonce {
			d.pending = append(d.pending[:i], d.pending[i+1:]...)
			return request, true
		}
	}
	return pendingRequest{}, false
}

// borrow sends the requests and returns that the present demand calls for.
func (s *State) borrow(e *entry, now time.Duration) []Send {
	owners := s.lenders(e)
	if len(owners) == 0 {
		return nil
	}
	wanted := min(e.wanted(now), e.grant)
	own := s.effective(e, now) - e.lent()
	if s.fenced {
		own = 0
	}
	need := max(0, wanted-max(0, own))
	if need == 0 || s.stopped {
		return s.giveBack(e, now)
	}
	missing := max(0, need-e.borrowed())
	var sends []Send
	if e.key.Kind.isUnits() {
		return s.borrowUnits(e, now, owners, need, missing)
	}
	for position, owner := range owners {
		ask := s.amountFor(e, owner, need, missing, position, len(owners))
		sends = s.request(sends, e, now, owner, ask)
	}
	return sends
}

// borrowUnits sends the requests for whole units. They can't be asked of all owners in small parts: a host that misses one
// unit would borrow one of each owner, and other hosts would find none. So twice as many owners are asked as units are
// missing, others the next time, and once nothing is missing the loans above the need are given back.
func (s *State) borrowUnits(e *entry, now time.Duration, owners []model.HostID, need, missing float64) []Send {
	var sends []Send
	left := math.Ceil(need)
	more := math.Ceil(2 * missing)
	e.firstAsked++
	for i := range owners {
		owner := owners[(i+e.firstAsked)%len(owners)]
		held := e.debt(owner).amount
		ask := min(held, left)
		if more > 0 {
			extra := max(0, min(more, need, e.portions[owner])-held)
			ask = held + extra
			more -= extra
		}
		left -= min(left, held)
		sends = s.request(sends, e, now, owner, ask)
	}
	return sends
}

// amountFor returns the amount to ask one owner for: what it lends now and twice an equal part of what is missing, so that
// owners without a surplus are made up for by the others.
func (s *State) amountFor(e *entry, owner model.HostID, need, missing float64, position, owners int) float64 {
	var held float64
	if d := e.debts[owner]; d != nil {
		held = d.amount
	}
	ask := held + 2*missing/float64(owners)
	if missing == 0 {
		ask = held * need / max(need, e.borrowed())
	}
	return min(ask, need, e.portions[owner])
}

// request asks one owner, if a request is due.
func (s *State) request(sends []Send, e *entry, now time.Duration, owner model.HostID, ask float64) []Send {
	d := e.debt(owner)
	if ask <= 0 && d.amount <= 0 && d.inUse == 0 {
		return sends
	}
	interval := renewInterval
	switch {
	case ask > d.asked*1.1:
		interval = urgentInterval
	case e.key.Kind.isUnits() && d.amount != ask:
		interval = unitsInterval
	}
	if d.everSent && now-d.sentAt < interval {
		return sends
	}
	term := max(RateTerm, min(e.key.longestTerm(), e.term))
	s.nonce++
	if len(d.pending) == maxPending {
		d.pending = d.pending[1:]
	}
	d.pending = append(d.pending, pendingRequest{s.nonce, now, term})
	d.asked = ask
	d.sentAt = now
	d.everSent = true
	return append(sends, Send{owner, LoanRequest{e.key, s.nonce, ask, term, d.applied}})
}

// giveBack returns every loan that is not in use.
func (s *State) giveBack(e *entry, now time.Duration) []Send {
	var sends []Send
	for owner, d := range e.debts {
		if d.inUse > 0 || d.amount <= 0 && len(d.pending) == 0 {
			continue
		}
		s.nonce++
		d.refused = s.nonce
		d.pending = nil
		d.amount = 0
		d.asked = 0
		d.settle()
		sends = append(sends, Send{owner, LoanReturn{e.key, s.nonce}})
	}
	s.refreshRate(e, now)
	sortSends(sends)
	return sends
}

// ReturnAll gives back every loan that is not in use and stops borrowing, because this host stops.
func (s *State) ReturnAll(now time.Duration) []Send {
	s.stopped = true
	var sends []Send
	for _, key := range s.activeKeys(now) {
		sends = append(sends, s.giveBack(s.entries[key], now)...)
	}
	return sends
}

// expirePending forgets requests whose grants would come too late.
func (e *entry) expirePending(now time.Duration) {
	for _, d := range e.debts {
		kept := d.pending[:0]
		for _, request := range d.pending {
			if request.sentAt+request.term > now {
				kept = append(kept, request)
			}
		}
		d.pending = kept
	}
}

func (e *entry) debt(owner model.HostID) *debt {
	if e.debts[owner] == nil {
		e.debts[owner] = &debt{}
	}
	return e.debts[owner]
}
