package ticket

import (
	"cmp"
	"errors"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// Chunk is a part of a closed ledger that is being handed over to the successor.
type Chunk struct {
	Origin Origin `msgpack:"origin"`
	// Successor is the only incarnation of a host that may adopt the ledger. If the successor has restarted before
	// a chunk arrives, the new incarnation must not adopt a ledger from which the former one may have executed
	// tickets.
	Successor Origin `msgpack:"successor"`
	// Index numbers the chunks of a ledger from 0. Total is the number of chunks.
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
	// ErrRefused means that this host does not adopt the ledger: it is closed, it is not the incarnation named as
	// successor, or its table of ledgers is full.
	ErrRefused = errors.New("ticket: ledger refused")
	// ErrInvalidChunk means that the chunk is inconsistent, by itself or with an earlier one.
	ErrInvalidChunk = errors.New("ticket: invalid chunk")
)

// chunks splits the closed ledger into chunks of at most the given estimated size in bytes. A larger entry gets a
// chunk of its own.
func (l *ledger) chunks(origin, successor Origin, bytes int) []Chunk {
	parts := [][]Entry{{}}
	size := 0
	for _, entry := range l.entries() {
		entrySize := recordOverhead + outcomeSize(entry.Outcome)
		if size > 0 && size+entrySize > bytes {
			parts = append(parts, nil)
			size = 0
		}
		size += entrySize
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

// entries returns the records ordered by sequence. One that is still running gets an unknown outcome, because the
// successor will not learn how it ended.
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

// incoming is a ledger of which some chunks are missing.
type incoming struct {
	ledger   *ledger
	received map[int]bool
	total    int
}

func newIncoming(limits Limits, chunk Chunk) *incoming {
	l := newLedger(limits)
	l.next = chunk.Next
	l.lowWater = chunk.LowWater
	return &incoming{ledger: l, received: map[int]bool{}, total: chunk.Total}
}

func (in *incoming) add(chunk Chunk) error {
	if chunk.Total != in.total || chunk.Next != in.ledger.next || chunk.LowWater != in.ledger.lowWater {
		return ErrInvalidChunk
	}
	if in.received[chunk.Index] {
		return nil
	}
	in.received[chunk.Index] = true
	for _, entry := range chunk.Entries {
		if _, duplicate := in.ledger.records[entry.Sequence]; duplicate || entry.Sequence >= chunk.Next {
			return ErrInvalidChunk
		}
		r := &record{fingerprint: entry.Fingerprint, finished: true, outcome: entry.Outcome}
		r.bytes = recordOverhead + outcomeSize(entry.Outcome)
		in.ledger.put(entry.Sequence, r)
		in.ledger.countFinished(entry.Sequence)
	}
	if in.ledger.bytes > 2*in.ledger.limits.Bytes {
		return ErrInvalidChunk
	}
	return nil
}

func (in *incoming) complete() bool { return len(in.received) == in.total }
