package ticket

import (
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// Verdict tells what to do with a request that bears a ticket.
type Verdict int

// The verdicts. The zero value is none of them.
const (
	// Execute means that the ticket is recorded as running now: the holder of the verdict executes it and calls Finish.
	Execute Verdict = iota + 1
	// Running means that an earlier copy of the request is being executed.
	Running
	// Finished means that the first outcome is known.
	Finished
	// Unknown means that the ledger cannot tell whether the ticket was used. Nothing may be executed.
	Unknown
	// Mismatch means that the ticket was used for a request with other contents.
	Mismatch
	// Full means that every record of the ledger is running, so the ticket cannot be recorded. It was not executed, but
	// an earlier or later copy may be.
	Full
	// Closed means that the ledger is closed and has no record: its successor may execute the ticket.
	Closed
	// NotHeld means that this host has no ledger of the ticket's origin.
	NotHeld
)

// Outcome is the first and only result of a ticket. An outcome "not run" is final as well: a delayed copy of the request
// must not run after a caller was told that it did not.
type Outcome struct {
	Execution fault.Execution `msgpack:"execution"`
	// Result is the target's result, if Execution is Ran and Fault is nil.
	Result []byte `msgpack:"result"`
	// Fault tells why there is no result.
	Fault *fault.Error `msgpack:"fault"`
}

// Limits bound a ledger.
type Limits struct {
	// Records is the number of records.
	Records int
	// Bytes is the memory of all records, in bytes.
	Bytes int
	// ResultBytes is the largest result that is kept for repeats, in bytes.
	ResultBytes int
}

// recordOverhead estimates the memory of a record without its outcome, in bytes.
const recordOverhead = 128

type record struct {
	fingerprint uint64
	finished    bool
	outcome     Outcome
	bytes       int
}

// ledger records which tickets of one origin were used. A sequence below lowWater without a record has aged out; one from
// lowWater upwards without a record was never used.
type ledger struct {
	limits   Limits
	next     uint64
	lowWater uint64
	closed   bool
	records  map[uint64]*record
	// late lists finished records below lowWater: they were still running when lowWater passed them.
	late []uint64
	// finished counts the finished records from lowWater upwards.
	finished int
	bytes    int
}

func newLedger(limits Limits) *ledger {
	return &ledger{limits: limits, records: map[uint64]*record{}}
}

func (l *ledger) begin(sequence, fingerprint uint64) (Verdict, Outcome) {
	if known, ok := l.records[sequence]; ok {
		return known.verdict(fingerprint)
	}
	switch {
	case sequence < l.lowWater || sequence >= l.next:
		return Unknown, Outcome{}
	case l.closed:
		return Closed, Outcome{}
	}
	l.makeRoom(1, recordOverhead)
	if len(l.records) >= l.limits.Records {
		return Full, Outcome{}
	}
	// Making room may have moved lowWater over this very sequence.
	if sequence < l.lowWater {
		return Unknown, Outcome{}
	}
	l.put(sequence, &record{fingerprint: fingerprint, bytes: recordOverhead})
	return Execute, Outcome{}
}

func (r *record) verdict(fingerprint uint64) (Verdict, Outcome) {
	switch {
	case r.fingerprint != fingerprint:
		return Mismatch, Outcome{}
	case r.finished:
		return Finished, r.outcome
	}
	return Running, Outcome{}
}

func (l *ledger) put(sequence uint64, r *record) {
	l.records[sequence] = r
	l.bytes += r.bytes
}

func (l *ledger) finish(sequence uint64, outcome Outcome) {
	r, ok := l.records[sequence]
	if !ok || r.finished {
		return
	}
	r.finished = true
	r.outcome = l.keepable(outcome)
	l.resize(r, recordOverhead+outcomeBytes(r.outcome))
	l.countFinished(sequence)
	l.makeRoom(0, 0)
}

func (l *ledger) countFinished(sequence uint64) {
	if sequence < l.lowWater {
		l.late = append(l.late, sequence)
		return
	}
	l.finished++
}

func (l *ledger) resize(r *record, bytes int) {
	l.bytes += bytes - r.bytes
	r.bytes = bytes
}

// keepable drops a result that is too large to keep. The outcome still says that the request ran.
func (l *ledger) keepable(outcome Outcome) Outcome {
	if len(outcome.Result) <= l.limits.ResultBytes {
		return outcome
	}
	return Outcome{Execution: outcome.Execution, Fault: fault.New(fault.TicketGone, outcome.Execution,
		"read the result from the service itself", "the request ran; its result was too large to keep")}
}

func outcomeBytes(o Outcome) int {
	bytes := len(o.Result)
	if o.Fault != nil {
		bytes += len(o.Fault.Message) + len(o.Fault.Remedy)
	}
	return bytes
}

// makeRoom removes the oldest finished records until the given number of records and bytes fits, or only running ones are
// left.
func (l *ledger) makeRoom(records, bytes int) {
	for len(l.records)+records > l.limits.Records || l.bytes+bytes > l.limits.Bytes {
		if !l.removeOldest() {
			return
		}
	}
}

func (l *ledger) removeOldest() bool {
	if len(l.late) > 0 {
		l.remove(l.late[0])
		l.late = l.late[1:]
		return true
	}
	// Without this check a ledger full of running records would declare every unused ticket aged out.
	if l.finished == 0 {
		return false
	}
	for {
		sequence := l.lowWater
		l.lowWater++
		if r, ok := l.records[sequence]; ok && r.finished {
			l.finished--
			l.remove(sequence)
			return true
		}
	}
}

func (l *ledger) remove(sequence uint64) {
	l.bytes -= l.records[sequence].bytes
	delete(l.records, sequence)
}
