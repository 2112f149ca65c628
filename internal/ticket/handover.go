package ticket

import (
	"cmp"
	"errors"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// Chunk is a part of a closed ledger on its way to the successor.
type Chunk struct {
	Origin Origin `msgpack:"origin"`
	// Successor is the only run of a host that may take the ledger. A chunk that arrives after the successor was
	// restarted must not give the new run a ledger under which the former one has executed.
	Successor Origin `msgpack:"successor"`
	// Index numbers the chunks of a ledger from 0. Total is their number.
	Index    int     `msgpack:"index"`
	Total    int     `msgpack:"total"`
	Next     uint64  `msgpack:"next"`
	LowWater uint64  `msgpack:"low_water"`
	Entries  []Entry `msgpack:"entries"`
}

// Entry is one record of a closed ledger.
type Entry struct {
	Sequence    uint64  `msgpack:"sequence"`
	Fingerprint uint64  `msgpack:"fingerprint"`
	Outcome     Outcome `msgpack:"outcome"`
}

// The errors of Receive.
var (
	// ErrRefused means that this host does not take the ledger over: it is closing, it is another run
	// than the one named as successor, or its table of ledgers is full.
	ErrRefused = errors.New("ticket: ledger refused")
	// ErrChunk means that the chunk contradicts an earlier one or itself.
	ErrChunk = errors.New("ticket: faulty chunk")
)

// chunks divides the closed ledger into parts of at most the given number of bytes.
func (l *ledger) chunks(origin, successor Origin, bytes int) []Chunk {
	parts := [][]Entry{{}}
	size := 0
	for _, entry := range l.entries() {
		weight := recordOverhead + outcomeBytes(entry.Outcome)
		if size > 0 && size+weight > bytes {
			parts = append(parts, nil)
			size = 0
		}
		size += weight
		parts[len(parts)-1] = append(parts[len(parts)-1], entry)
	}
	result := make([]Chunk, len(parts))
	for i, part := range parts {
		result[i] = Chunk{
			Origin: origin, Successor: successor, Index: i, Total: len(parts), Next: l.next, LowWater: l.lowWater, Entries: part,
		}
	}
	return result
}

// entries returns the records by sequence. One that is still running gets an unknown outcome, because nobody will tell
// the successor how it ended.
func (l *ledger) entries() []Entry {
	result := make([]Entry, 0, len(l.records))
	for sequence, r := range l.records {
		outcome := r.outcome
		if !r.finished {
			outcome = Outcome{Execution: fault.OutcomeUnknown, Fault: fault.New(fault.Stopping, fault.OutcomeUnknown,
				"read the state from the service itself", "the host stopped while the request was running")}
		}
		result = append(result, Entry{Sequence: sequence, Fingerprint: r.fingerprint, Outcome: outcome})
	}
	slices.SortFunc(result, func(a, b Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return result
}

// incoming is a ledger whose chunks have not all arrived.
type incoming struct {
	ledger *ledger
	seen   map[int]bool
	total  int
}

func newIncoming(limits Limits, chunk Chunk) *incoming {
	l := newLedger(limits)
	l.next = chunk.Next
	l.lowWater = chunk.LowWater
	return &incoming{ledger: l, seen: map[int]bool{}, total: chunk.Total}
}

func (in *incoming) add(chunk Chunk) error {
	if chunk.Total != in.total || chunk.Next != in.ledger.next || chunk.LowWater != in.ledger.lowWater {
		return ErrChunk
	}
	if in.seen[chunk.Index] {
		return nil
	}
	in.seen[chunk.Index] = true
	for _, entry := range chunk.Entries {
		if _, twice := in.ledger.records[entry.Sequence]; twice || entry.Sequence >= chunk.Next {
			return ErrChunk
		}
		r := &record{fingerprint: entry.Fingerprint, finished: true, outcome: entry.Outcome}
		r.bytes = recordOverhead + outcomeBytes(entry.Outcome)
		in.ledger.put(entry.Sequence, r)
		in.ledger.countFinished(entry.Sequence)
	}
	if in.ledger.bytes > 2*in.ledger.limits.Bytes {
		return ErrChunk
	}
	return nil
}

func (in *incoming) complete() bool { return len(in.seen) == in.total }
