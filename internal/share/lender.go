package share

import (
	"math"
	"time"
)

// ownerReserveFraction is the fraction of its share that an owner without demand keeps for its first requests.
const ownerReserveFraction = 0.02

// borrowerState is an owner's record of its loans to one incarnation of a borrower.
type borrowerState struct {
	loans     []lentLoan
	wanted    float64
	wantedAt  time.Duration
	lastNonce uint64
}

type lentLoan struct {
	nonce   uint64
	amount  float64
	expires time.Duration
}

// lenderTerm is the time for which the owner counts a loan as lent. A borrower whose clock is 10 % slower stops
// using the loan before that, whatever the message delay, and 0.5 s remain for the attempt to end at its target.
func lenderTerm(term time.Duration) time.Duration { return term + term/8 + 500*time.Millisecond }

// reserved returns the amount that the borrower may be using. A newer loan replaces older ones at the borrower, so
// it is at most the largest of them.
func (b *borrowerState) reserved() float64 {
	var highest float64
	for _, loan := range b.loans {
		highest = max(highest, loan.amount)
	}
	return highest
}

// dropLoans removes the loans for which drop returns true.
func (b *borrowerState) dropLoans(drop func(lentLoan) bool) {
	kept := b.loans[:0]
	for _, loan := range b.loans {
		if !drop(loan) {
			kept = append(kept, loan)
		}
	}
	b.loans = kept
}

// lent returns the amount that all borrowers together may be using.
func (e *entry) lent() float64 {
	var sum float64
	for _, borrower := range e.byBorrower {
		sum += borrower.reserved()
	}
	return sum
}

// nextLentExpiry returns the earliest expiry of a loan that this host gave.
func (e *entry) nextLentExpiry() time.Duration {
	next := never
	for _, borrower := range e.byBorrower {
		for _, loan := range borrower.loans {
			next = min(next, loan.expires)
		}
	}
	return next
}

// expireLent removes expired loans and borrowers without recent requests.
func (e *entry) expireLent(now time.Duration) {
	for sender, borrower := range e.byBorrower {
		borrower.dropLoans(func(l lentLoan) bool { return l.expires <= now })
		if len(borrower.loans) == 0 && now-borrower.wantedAt > lenderTerm(RateTerm) {
			delete(e.byBorrower, sender)
		}
	}
}

// handleLoanRequest lends the requested amount, or as much of it as is available, and returns the answer.
func (s *State) handleLoanRequest(now time.Duration, from Sender, request LoanRequest) []OutgoingMessage {
	e := s.advanceAndUse(now, request.Key)
	if e == nil || s.fenced || from.Host == s.cfg.Self || !s.newest().contains(from.Host) {
		return nil
	}
	if s.ownedAmount(e, now) <= 0 || request.Term <= 0 || request.Term > e.key.longestTerm() {
		return nil
	}
	borrower := e.borrowerState(from)
	if request.Nonce <= borrower.lastNonce || math.IsNaN(request.Amount) {
		return nil
	}
	borrower.lastNonce = request.Nonce
	borrower.wanted = max(0, request.Amount)
	borrower.wantedAt = now
	borrower.dropLoans(func(l lentLoan) bool { return l.nonce < request.Applied })
	amount := s.lendableAmount(e, now, borrower)
	if amount > 0 {
		loan := lentLoan{request.Nonce, amount, now + lenderTerm(request.Term)}
		borrower.loans = append(borrower.loans, loan)
	}
	s.refreshRate(e, now)
	return []OutgoingMessage{{from.Host, LoanGrant{request.Key, request.Nonce, amount, s.Generation()}}}
}

func (e *entry) borrowerState(from Sender) *borrowerState {
	if e.byBorrower[from] == nil {
		e.byBorrower[from] = &borrowerState{}
	}
	return e.byBorrower[from]
}

// lendableAmount divides the share in proportion to demand and returns the borrower's part, limited to what nobody
// else may be using.
func (s *State) lendableAmount(e *entry, now time.Duration, borrower *borrowerState) float64 {
	owned := s.ownedAmount(e, now)
	own := e.wanted(now)
	if !e.key.Kind.isUnits() {
		own = max(own, ownerReserveFraction*owned)
	}
	total := min(own, owned)
	for _, other := range e.byBorrower {
		if now-other.wantedAt <= lenderTerm(RateTerm) {
			total += other.wanted
		}
	}
	part := borrower.wanted
	if total > owned {
		part = owned * borrower.wanted / total
	}
	free := owned - e.lent() + borrower.reserved() - float64(e.ownInUse)
	if !e.key.Kind.isUnits() {
		return max(0, min(part, free))
	}
	if borrower.wanted >= 1 {
		part = max(part, 1)
	}
	return max(0, math.Floor(min(part, free)))
}

// handleLoanReturn removes the loans that a borrower returned.
func (s *State) handleLoanReturn(now time.Duration, from Sender, message LoanReturn) {
	e := s.advanceAndUse(now, message.Key)
	if e == nil {
		return
	}
	borrower := e.borrowerState(from)
	borrower.dropLoans(func(l lentLoan) bool { return l.nonce <= message.Nonce })
	borrower.lastNonce = max(borrower.lastNonce, message.Nonce)
	borrower.wanted = 0
	borrower.wantedAt = now
	s.refreshRate(e, now)
}
