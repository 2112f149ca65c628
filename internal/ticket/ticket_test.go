package ticket

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// TestTicketsOfBothKeysAreAccepted guards against a key rotation invalidating issued tickets, and against accepting
// forged ones.
func TestTicketsOfBothKeysAreAccepted(t *testing.T) {
	old, err := NewSigner([]byte("old"))
	require.NoError(t, err)
	both, err := NewSigner([]byte("new"), []byte("old"))
	require.NoError(t, err)
	want := Ticket{Origin: Origin{"h1", 7}, Address: "127.0.0.1:1", Sequence: 3, Caller: "c", Service: "s"}
	text, err := old.Sign(want)
	require.NoError(t, err)
	got, err := both.Verify(text)
	require.NoError(t, err)
	require.Equal(t, want, got)

	text, err = both.Sign(want)
	require.NoError(t, err)
	_, err = old.Verify(text)
	require.ErrorIs(t, err, ErrNotAuthentic)
	for _, forged := range []string{"", "%", text[:20], strings.Repeat("A", MaxTextBytes+1)} {
		_, err = both.Verify(forged)
		require.ErrorIs(t, err, ErrMalformed)
	}
	_, err = both.Verify(text[:60] + "A" + text[61:])
	require.ErrorIs(t, err, ErrNotAuthentic)
}

// TestLedgerAnswersRepeats guards against executing a repeated request again, also after its record was evicted.
func TestLedgerAnswersRepeats(t *testing.T) {
	ledgers := New(Config{Limits: Limits{Records: 2, Bytes: 1 << 20, ResultBytes: 4}})
	tickets := make([]Ticket, 4)
	for i := range tickets {
		tickets[i], _ = ledgers.Issue("c", "s")
	}
	begin := func(i int) Verdict {
		verdict, _ := ledgers.Begin(tickets[i], 1)
		return verdict
	}
	require.Equal(t, Execute, begin(1))
	require.Equal(t, Running, begin(1))
	verdict, _ := ledgers.Begin(tickets[1], 2)
	require.Equal(t, Mismatch, verdict)
	require.Equal(t, Execute, begin(3))
	require.Equal(t, Full, begin(2), "two running records fill the ledger")
	ledgers.Finish(tickets[1], Outcome{Execution: fault.Ran, Result: []byte("long result")})
	verdict, outcome := ledgers.Begin(tickets[1], 1)
	require.Equal(t, Finished, verdict)
	require.Equal(t, fault.Ran, outcome.Execution)
	require.Empty(t, outcome.Result)
	require.Equal(t, Unknown, begin(0), "the eviction for this ticket moves lowWater past it")
	require.Equal(t, Execute, begin(2), "the finished record is evicted")
	require.Equal(t, Unknown, begin(1), "the record was evicted")
	require.Equal(t, Unknown, begin(0), "a sequence below lowWater is never executed")
	tickets[0].Sequence = 4
	require.Equal(t, Unknown, begin(0), "the sequence was not issued")
}

// TestHandoverFitsFrames guards against handover messages larger than the peer frame limit of 64 KiB, and against
// a closed host that still executes tickets.
func TestHandoverFitsFrames(t *testing.T) {
	old := New(DefaultConfig(Origin{"old", 1}, "127.0.0.1:1"))
	var last Ticket
	for range 200 {
		last, _ = old.Issue("c", "s")
		verdict, _ := old.Begin(last, 1)
		require.Equal(t, Execute, verdict)
		old.Finish(last, Outcome{Execution: fault.Ran, Result: make([]byte, 16<<10)})
	}
	unused, _ := old.Issue("c", "s")
	require.Nil(t, old.Export(Origin{"new", 1}))
	old.Close()
	verdict, _ := old.Begin(unused, 1)
	require.Equal(t, Closed, verdict)
	successor := New(DefaultConfig(Origin{"new", 1}, "127.0.0.1:2"))
	chunks := old.Export(Origin{"new", 1})
	require.Nil(t, old.Export(Origin{"third", 1}), "only one successor may get the ledger")
	_, err := New(DefaultConfig(Origin{"new", 2}, "127.0.0.1:2")).Receive(chunks[0])
	require.ErrorIs(t, err, ErrRefused, "another incarnation of the successor must not adopt the ledger")
	for i, chunk := range chunks {
		frame, err := msgpack.Marshal(chunk)
		require.NoError(t, err)
		require.LessOrEqual(t, len(frame), 64<<10)
		complete, err := successor.Receive(chunk)
		require.NoError(t, err)
		require.Equal(t, i == len(chunks)-1, complete)
	}
	verdict, outcome := successor.Begin(last, 1)
	require.Equal(t, Finished, verdict)
	require.Len(t, outcome.Result, 16<<10)
	verdict, _ = successor.Begin(unused, 1)
	require.Equal(t, Execute, verdict)
}
