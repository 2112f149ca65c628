package share

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const started = 20 * time.Second

// fleetOf returns the states of hosts that have held the first table for longer than every takeover wait.
func fleetOf(count int, grants map[Key]float64) []*State {
	table := Table{Generation: 1}
	for i := range count {
		table.Hosts = append(table.Hosts, TableHost{ID: hostID(i)})
	}
	var states []*State
	for i := range count {
		state := New(Config{Self: hostID(i)})
		state.SetTable(0, table)
		for key, grant := range grants {
			state.SetGrant(0, key, grant)
		}
		states = append(states, state)
	}
	return states
}

// exchange runs one tick of a host and delivers its messages and the replies without delay.
func exchange(states []*State, from int, now time.Duration) {
	for _, outgoing := range states[from].Tick(now) {
		for to, state := range states {
			if outgoing.To != hostID(to) {
				continue
			}
			for _, answer := range state.Step(now, Sender{Host: hostID(from)}, outgoing.Message) {
				states[from].Step(now, Sender{Host: outgoing.To}, answer.Message)
			}
		}
	}
}

// TestOneHostCanUseNinetyPercentOfGrant guards against holding a caller to a twelfth of its grant because all its
// requests reach one host of twelve. The caller must get 90 % of the grant from 0.5 s after its first request; with one
// dead owner, 90 % of the other eleven shares.
func TestOneHostCanUseNinetyPercentOfGrant(t *testing.T) {
	for _, dead := range []int{0, 1} {
		states := fleetOf(12, map[Key]float64{rateKey: 600, unitKey: 60})
		live := states[:12-dead]
		taken, most := 0.0, 0
		var units []Unit
		for now := started; now < started+2500*time.Millisecond; now += 5 * time.Millisecond {
			for range 5 {
				if states[0].Take(now, rateKey, 1) && now >= started+500*time.Millisecond {
					taken++
				}
			}
			if unit, ok := states[0].Acquire(now, unitKey, now+400*time.Millisecond); ok {
				units = append(units, unit)
			}
			if len(units) > 70 || now%(300*time.Millisecond) == 0 {
				most = max(most, len(units))
				for _, unit := range units {
					states[0].Release(now, unit)
				}
				units = nil
			}
			if now%(50*time.Millisecond) == 0 {
				exchange(live, 0, now)
			}
		}
		part := float64(12-dead) / 12
		require.GreaterOrEqual(t, taken, 0.9*600*2*part)
		require.GreaterOrEqual(t, most, int(0.9*60*part))
	}
}

// TestDemandDividesTheGrant guards against the first borrower keeping the grant from hosts that need it later.
func TestDemandDividesTheGrant(t *testing.T) {
	states := fleetOf(4, map[Key]float64{rateKey: 400})
	taken := make([]float64, 4)
	for now := started; now < started+8*time.Second; now += 10 * time.Millisecond {
		for host := range 2 {
			if host == 1 && now < started+2*time.Second {
				continue
			}
			for range 4 {
				if states[host].Take(now, rateKey, 1) && now >= started+5*time.Second {
					taken[host]++
				}
			}
		}
		for host := range states {
			if now%(50*time.Millisecond) == 0 {
				exchange(states, host, now)
			}
		}
	}
	require.InDelta(t, 600, taken[0], 90)
	require.InDelta(t, 600, taken[1], 90)
}

// askOwner makes host 0 request a loan of the rate from host 1 and returns the request.
func askOwner(t *testing.T, states []*State, now time.Duration) LoanRequest {
	for range 200 {
		states[0].Take(now, rateKey, 1)
	}
	messages := states[0].Tick(now)
	require.Len(t, messages, 1)
	return messages[0].Message.(LoanRequest)
}

// TestLateGrantExpiresWithItsRequest guards against use of a delayed grant after the owner has counted the loan as
// expired.
func TestLateGrantExpiresWithItsRequest(t *testing.T) {
	states := fleetOf(2, map[Key]float64{rateKey: 200})
	request := askOwner(t, states, started)
	grant := states[1].Step(started, Sender{Host: hostID(0)}, request)[0].Message
	late := started + RateTerm - time.Millisecond
	states[0].Step(late, Sender{Host: hostID(1)}, grant)
	require.Greater(t, states[0].Usable(late, rateKey), 190.0)
	require.InDelta(t, 100, states[0].Usable(started+RateTerm, rateKey), 1e-9)
}

// TestOlderGrantDoesNotReplaceNewer guards against a reordered grant reviving a loan that the owner has already
// dropped.
func TestOlderGrantDoesNotReplaceNewer(t *testing.T) {
	states := fleetOf(2, map[Key]float64{rateKey: 200})
	first := askOwner(t, states, started)
	later := started + 600*time.Millisecond
	second := askOwner(t, states, later)
	owner, borrower := Sender{Host: hostID(1)}, Sender{Host: hostID(0)}
	oldGrant := states[1].Step(later, borrower, first)[0].Message
	second.Amount = 10
	newGrant := states[1].Step(later, borrower, second)[0].Message
	states[0].Step(later, owner, newGrant)
	states[0].Step(later, owner, oldGrant)
	require.InDelta(t, 110, states[0].Usable(later, rateKey), 1e-9)
}

// TestReturnedLoanIsNotAccepted guards against accepting a grant that arrives after its loan was returned.
func TestReturnedLoanIsNotAccepted(t *testing.T) {
	states := fleetOf(2, map[Key]float64{rateKey: 200})
	request := askOwner(t, states, started)
	grant := states[1].Step(started, Sender{Host: hostID(0)}, request)[0].Message
	idle := started + 1400*time.Millisecond
	messages := states[0].Tick(idle)
	require.Len(t, messages, 1)
	require.IsType(t, LoanReturn{}, messages[0].Message)
	states[0].Step(idle, Sender{Host: hostID(1)}, grant)
	require.InDelta(t, 100, states[0].Usable(idle, rateKey), 1e-9)
}

// TestShareIsUnusableAfterMissedTable guards against a host using its share although it missed a table that assigned
// the share to another owner.
func TestShareIsUnusableAfterMissedTable(t *testing.T) {
	states := fleetOf(2, map[Key]float64{rateKey: 200})
	hosts := []TableHost{{ID: hostID(0)}, {ID: hostID(1)}}
	states[0].SetTable(started, Table{Generation: 3, Hosts: hosts})
	states[1].SetTable(started, Table{Generation: 2, Hosts: hosts})
	require.Zero(t, states[0].Usable(started, rateKey))
	require.Zero(t, states[0].Usable(started+5900*time.Millisecond, rateKey))
	require.InDelta(t, 100, states[0].Usable(started+6*time.Second, rateKey), 1e-9)
	require.InDelta(t, 100, states[1].Usable(started, rateKey), 1e-9)
}

// TestLongWorkKeepsItsLoan guards against the owner dropping a long loan while a request started under it is still
// running.
func TestLongWorkKeepsItsLoan(t *testing.T) {
	states := fleetOf(2, map[Key]float64{unitKey: 4})
	now := started
	held := 0
	for ; now < started+time.Second; now += 100 * time.Millisecond {
		if _, ok := states[0].Acquire(now, unitKey, now+9*time.Second); ok {
			held++
		}
		exchange(states, 0, now)
	}
	require.Equal(t, 4, held)
	for _, e := range states[0].entries {
		e.term = 0 // the following requests ask for a short term
	}
	for ; now < started+8*time.Second; now += 100 * time.Millisecond {
		exchange(states, 0, now)
		_, ok := states[1].Acquire(now, unitKey, now+50*time.Millisecond)
		require.False(t, ok)
	}
}

// TestFirstTableNeedsNoWait guards against a new fleet refusing all callers for the takeover wait, and against a
// host that merely has not seen a table yet mistaking its first one for the first table of the fleet.
func TestFirstTableNeedsNoWait(t *testing.T) {
	first, unsure := New(Config{Self: hostID(0)}), New(Config{Self: hostID(1)})
	first.ConfirmNoTable()
	for _, state := range []*State{first, unsure} {
		state.SetGrant(0, rateKey, 200)
		state.SetTable(0, Table{Generation: 1, Hosts: []TableHost{{ID: hostID(0)}, {ID: hostID(1)}}})
	}
	require.InDelta(t, 100, first.Usable(time.Second, rateKey), 1e-9)
	require.Zero(t, unsure.Usable(5999*time.Millisecond, rateKey))
	require.InDelta(t, 100, unsure.Usable(6*time.Second, rateKey), 1e-9)
}

// TestShareOfRemovedOwnerWaits guards against the remaining owners using the share of an owner that left the table
// while that owner may still use or have lent it. The rest of the grant stays usable.
func TestShareOfRemovedOwnerWaits(t *testing.T) {
	states := fleetOf(4, map[Key]float64{rateKey: 240, unitKey: 8})
	rest := Table{Generation: 2, Hosts: []TableHost{{ID: hostID(0)}, {ID: hostID(1)}, {ID: hostID(2)}}}
	for _, state := range states[:3] {
		state.SetTable(started, rest)
	}
	sum := func(key Key, after time.Duration) (total float64) {
		for _, state := range states[:3] {
			total += state.Usable(started+after, key)
		}
		return total
	}
	require.InDelta(t, 180, sum(rateKey, 5999*time.Millisecond), 1e-9)
	require.InDelta(t, 240, sum(rateKey, 6*time.Second), 1e-9)
	require.InDelta(t, 6, sum(unitKey, 16800*time.Millisecond), 1e-9)
	require.InDelta(t, 8, sum(unitKey, 16900*time.Millisecond), 1e-9)
}

// TestReturnedLoansAreAvailableImmediately guards against a host that shuts down keeping its loans from the others
// until the end of the term.
func TestReturnedLoansAreAvailableImmediately(t *testing.T) {
	states := fleetOf(2, map[Key]float64{rateKey: 200})
	request := askOwner(t, states, started)
	borrower, owner := Sender{Host: hostID(0)}, Sender{Host: hostID(1)}
	states[0].Step(started, owner, states[1].Step(started, borrower, request)[0].Message)
	require.Less(t, states[1].Usable(started, rateKey), 10.0)
	for _, outgoing := range states[0].ReturnAll(started) {
		states[1].Step(started, borrower, outgoing.Message)
	}
	require.InDelta(t, 100, states[1].Usable(started, rateKey), 1e-9)
	require.InDelta(t, 100, states[0].Usable(started, rateKey), 1e-9)
	require.Empty(t, states[0].Tick(started+100*time.Millisecond), "a stopping host borrows again")
}

// TestKeysAreBounded guards against a catalogue growing the state of a host without limit, and against a key being
// rejected without an error.
func TestKeysAreBounded(t *testing.T) {
	state := New(Config{Self: hostID(0)})
	for i := range MaxKeys {
		require.True(t, state.SetGrant(0, Key{Rate, strconv.Itoa(i)}, 1))
	}
	require.False(t, state.SetGrant(0, rateKey, 1))
	require.True(t, state.SetGrant(0, Key{Rate, "0"}, 0))
	require.True(t, state.SetGrant(0, rateKey, 1))
}

// TestConfirmationsShortenTakeover guards against the owners of a new fleet, or a restarted owner, waiting for
// seconds although every host can confirm that nothing from an older table is in use. It also guards against an
// owner skipping the wait while a host holds a loan from the owner's former incarnation, or does not answer.
func TestConfirmationsShortenTakeover(t *testing.T) {
	table := Table{Generation: 1, Hosts: []TableHost{{ID: hostID(0)}, {ID: hostID(1)}, {ID: hostID(2)}}}
	start := func(incarnation model.Incarnation, now time.Duration, host int) *State {
		state := New(Config{Self: hostID(host), Incarnation: incarnation, Started: now})
		state.SetGrant(now, rateKey, 240)
		state.SetGrant(now, unitKey, 12)
		state.SetTable(now, table)
		return state
	}
	states := []*State{start(1, 0, 0), start(1, 0, 1), start(1, 0, 2)}
	incarnations := []model.Incarnation{1, 1, 1}
	exchangeMessages := func(now time.Duration, from int) {
		for _, outgoing := range states[from].Tick(now) {
			var to int
			fmt.Sscanf(string(outgoing.To), "h%d", &to)
			if states[to] == nil {
				continue
			}
			for _, answer := range states[to].Step(now, Sender{hostID(from), incarnations[from]}, outgoing.Message) {
				states[from].Step(now, Sender{outgoing.To, incarnations[to]}, answer.Message)
			}
		}
	}
	now := formerAttemptsTime
	for host := range states {
		exchangeMessages(now, host)
		require.InDelta(t, 80, states[host].Usable(now, rateKey), 1e-9)
		require.InDelta(t, 4, states[host].Usable(now, unitKey), 1e-9)
	}
	for range 400 {
		states[0].Take(now, rateKey, 1) // host 0 borrows from the others
	}
	exchangeMessages(now, 0)
	now += 100 * time.Millisecond
	states[1], incarnations[1] = start(2, now, 1), 2
	now += formerAttemptsTime
	states[0].Take(now, rateKey, 1)
	held := states[0].entries[rateKey].byOwner[hostID(1)]
	held.amount, held.expires = 1, now+300*time.Millisecond // a loan from the former incarnation is still in force
	exchangeMessages(now, 1)
	require.Zero(t, states[1].Usable(now, rateKey))
	now += 300 * time.Millisecond
	exchangeMessages(now, 1)
	require.InDelta(t, 80, states[1].Usable(now, rateKey), 1e-9)
	states[1], incarnations[1], states[2] = start(3, now, 1), 3, nil
	for wait := time.Duration(0); wait < 6*time.Second; wait += 100 * time.Millisecond {
		exchangeMessages(now+wait, 1)
		require.Zero(t, states[1].Usable(now+wait, rateKey))
	}
	require.InDelta(t, 80, states[1].Usable(now+6*time.Second, rateKey), 1e-9)
}
