package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var asker = Sender{Host: hostID(2), Incarnation: 5}

// newHostsAfterTableChange returns two hosts that change from a table of two hosts to one of three while the owner has
// lent nearly all of its share.
func newHostsAfterTableChange(t *testing.T) (owner, borrower *State, request LoanRequest) {
	states := fleetOf(2, map[Key]float64{rateKey: 200})
	request = askOwner(t, states, started)
	grant := states[1].Step(started, Sender{Host: hostID(0)}, request)[0].Message
	states[0].Step(started, Sender{Host: hostID(1)}, grant)
	three := Table{Generation: 2, Hosts: []TableHost{{ID: hostID(0)}, {ID: hostID(1)}, {ID: hostID(2)}}}
	states[0].SetTable(started, three)
	states[1].SetTable(started, three)
	return states[1], states[0], request
}

// firstRequest makes a host want more than its share and returns its first loan request.
func firstRequest(t *testing.T, state *State, now time.Duration) OutgoingMessage {
	for range 300 {
		state.Take(now, rateKey, 1)
	}
	for _, outgoing := range state.Tick(now) {
		if _, ok := outgoing.Message.(LoanRequest); ok {
			return outgoing
		}
	}
	require.FailNow(t, "no request")
	return OutgoingMessage{}
}

// TestHostsConfirmOnlyWithoutOldLoans guards against a host confirming a takeover while it has lent more than its new
// share, while it uses a loan from an older table, or for a table that it does not hold.
func TestHostsConfirmOnlyWithoutOldLoans(t *testing.T) {
	owner, borrower, _ := newHostsAfterTableChange(t)
	question := TableQuestion{Generation: 2}
	require.Empty(t, owner.Step(started, asker, question))
	require.Empty(t, borrower.Step(started, asker, question))
	later := started + 3*time.Second
	require.Empty(t, owner.Step(later, asker, TableQuestion{Generation: 1}))
	require.Empty(t, owner.Step(later, asker, TableQuestion{Generation: 3}))
	for _, state := range []*State{owner, borrower} {
		answers := state.Step(later, asker, question)
		require.Equal(t, []OutgoingMessage{{asker.Host, TableAnswer{2, asker.Incarnation}}}, answers)
	}
}

// TestOldLoansAreRejectedAfterConfirmation guards against a host using a late grant from an older table, or from a
// former incarnation of the owner, after it has confirmed that it uses nothing from them.
func TestOldLoansAreRejectedAfterConfirmation(t *testing.T) {
	owner, borrower, _ := newHostsAfterTableChange(t)
	later := started + 3*time.Second
	require.NotEmpty(t, borrower.Step(later, asker, TableQuestion{Generation: 2}))
	outgoing := firstRequest(t, borrower, later)
	request := outgoing.Message.(LoanRequest)
	own := borrower.Usable(later, rateKey)
	old := LoanGrant{rateKey, request.Nonce, 20, 1}
	borrower.Step(later, Sender{Host: outgoing.To}, old)
	require.InDelta(t, own, borrower.Usable(later, rateKey), 1e-9)
	borrower.Step(later, Sender{Host: outgoing.To, Incarnation: 7}, TableQuestion{Generation: 9})
	old.Generation = 2
	borrower.Step(later, Sender{Host: outgoing.To, Incarnation: 6}, old)
	require.InDelta(t, own, borrower.Usable(later, rateKey), 1e-9)
	borrower.Step(later, Sender{Host: outgoing.To, Incarnation: 7}, old)
	require.InDelta(t, own+20, borrower.Usable(later, rateKey), 1e-9)
	require.Empty(t, owner.Step(later, Sender{Host: "not-in-the-table"}, request))
}

// TestAnswersAndGrantsBelongToOneIncarnation guards against a restarted host accepting an answer or a grant that was
// sent to its former incarnation.
func TestAnswersAndGrantsBelongToOneIncarnation(t *testing.T) {
	table := Table{Generation: 1, Hosts: []TableHost{{ID: hostID(0)}, {ID: hostID(1)}}}
	state := New(Config{Self: hostID(0), Incarnation: 2 << 40})
	state.SetGrant(0, rateKey, 200)
	state.SetTable(0, table)
	other := Sender{Host: hostID(1)}
	state.Step(formerAttemptsTime, other, TableAnswer{1, 1 << 40})
	require.Zero(t, state.Usable(formerAttemptsTime, rateKey))
	state.Step(formerAttemptsTime, other, TableAnswer{1, 2 << 40})
	require.InDelta(t, 100, state.Usable(formerAttemptsTime, rateKey), 1e-9)
	former, present := New(Config{Self: hostID(0), Incarnation: 1 << 40}), state
	former.SetGrant(0, rateKey, 200)
	former.SetTable(0, table)
	request := firstRequest(t, former, formerAttemptsTime).Message.(LoanRequest)
	firstRequest(t, present, formerAttemptsTime)
	present.Step(formerAttemptsTime, other, LoanGrant{rateKey, request.Nonce, 50, 1})
	require.InDelta(t, 100, present.Usable(formerAttemptsTime, rateKey), 1e-9)
}
