package share

import (
	"math"
	"time"
)

// ownReserve is the fraction of its share that an owner without demand keeps for its first requests.
const ownReserve = 0.02

// account is what an owner knows about one run of a borrower.
type account struct {
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

// lenderTerm is the time that a loan counts at the owner. A borrower whose clock is 10 % slower stops using a loan
// before that, whatever the delay of the messages, and 0.5 s remain for the attempt to end at its target.
func lenderTerm(term time.Duration) time.Duration { return term + term/8 + 500*time.Millisecond }

// reserved returns the amount that the borrower may be using. A newer loan replaces older ones at the borrower, so at
// most the greatest of them is in use.
func (a *account) reserved() float64 {
	var highest float64
	for _, loan := range a.loans {
		highest = max(highest, loan.amount)
	}
	return highest
}

// forget drops the loans for which drop holds.
func (a *account) forget(drop func(lentLoan) bool) {
	kept := a.loans[:0]
	for _, loan := range a.loans {
		if !drop(loan) {
			kept = append(kept, loan)
		}
	}
	a.loans = kept
}

// lent returns the amount that all borrowers together may be using.
func (e *entry) lent() float64 {
	var sum float64
	for _, account := range e.accounts {
		sum += account.reserved()
	}
	return sum
}

// nextLentExpiry returns the earliest end of a loan that this host gave.
func (e *entry) nextLentExpiry() time.Duration {
	next := never
	for _, account := range e.accounts {
		for _, loan := range account.loans {
			next = min(next, loan.expires)
		}
	}
	return next
}

// expireLent forgets ended loans and borrowers that have asked for nothing for a while.
func (e *entry) expireLent(now time.Duration) {
	for borrower, account := range e.accounts {
		account.forget(func(l lentLoan) bool { return l.expires <= now })
		if len(account.loans) == 0 && now-account.wantedAt > lenderTerm(RateTerm) {
			delete(e.accounts, borrower)
		}
	}
}

// lend answers a request.
func (s *State) lend(now time.Duration, from Sender, request LoanRequest) []Send {
	e := s.touch(now, request.Key)
	if e == nil || s.fenced || from.Host == s.cfg.Self || !s.newest().has(from.Host) {
		return nil
	}
	if s.effective(e, now) <= 0 || request.Term <= 0 || request.Term > e.key.longestTerm() {
		return nil
	}
	borrower := e.account(from)
	if request.Nonce <= borrower.lastNonce || math.IsNaN(request.Amount) {
		return nil
	}
	borrower.lastNonce = request.Nonce
	borrower.wanted = max(0, request.Amount)
	borrower.wantedAt = now
	borrower.forget(func(l lentLoan) bool { return l.nonce < request.Applied })
	amount := s.lendable(e, now, borrower)
	if amount > 0 {
		loan := lentLoan{request.Nonce, amount, now + lenderTerm(request.Term)}
		borrower.loans = append(borrower.loans, loan)
	}
	s.refreshRate(e, now)
	return []Send{{from.Host, LoanGrant{request.Key, request.Nonce, amount, s.Generation()}}}
}

func (e *entry) account(from Sender) *account {
	if e.accounts[from] == nil {
		e.accounts[from] = &account{}
	}
	return e.accounts[from]
}

// lendable divides the share by demand and returns the borrower's part, limited to what nobody else may be using.
func (s *State) lendable(e *entry, now time.Duration, borrower *account) float64 {
	owned := s.effective(e, now)
	own := e.wanted(now)
	if !e.key.Kind.isUnits() {
		own = max(own, ownReserve*owned)
	}
	total := min(own, owned)
	for _, other := range e.accounts {
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

// takeBack ends the loans that a borrower returned.
func (s *State) takeBack(now time.Duration, from Sender, message LoanReturn) {
	e := s.touch(now, message.Key)
	if e == nil {
		return
	}
	borrower := e.account(from)
	borrower.forget(func(l lentLoan) bool { return l.nonce <= message.Nonce })
	borrower.lastNonce = max(borrower.lastNonce, message.Nonce)
	borrower.wanted = 0
	borrower.wantedAt = now
	s.refreshRate(e, now)
}
