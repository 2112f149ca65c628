package ticket

import (
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// Verdict determines how to handle a request with a ticket.
type Verdict int

// The verdicts. The zero value is invalid.
const (
	// Execute means that the ticket is now recorded as running. The caller executes the request and calls Finish.
	Execute Verdict = iota + 1
	// Running means that an earlier copy of the request is being executed.
	Running
	// Finished means that the ticket has an outcome.
	Finished
	// Unknown means that the ledger cannot tell whether the ticket was used. The request must not be executed.
	Unknown
	// Mismatch means that the ticket was used for a request with different contents.
	Mismatch
	// Full means that the ledger is full of running records, so the ticket cannot be recorded. This copy was not
	// executed, but an earlier or later one may be.
	Full
	// Closed means that the ledger is closed and has no record of the ticket: the successor may execute it.
	Closed
	// NotHeld means that this host does not have the ledger of the ticket's origin.
	NotHeld
)

// Outcome is the only result of a ticket. An outcome of "not run" is final too: a delayed copy of the request must
// not run after a caller was told that it did not.
type Outcome struct {
	Execution fault.Execution `msgpack:"execution"`
	// Result is the target's result, if Execution is Ran and Fault is nil.
	Result []byte `msgpack:"result"`
	// Fault is the reason why there is no result.
	Fault *fault.Error `msgpack:"fault"`
}

// Limits bounds the size of a ledger.
type Limits struct {
	// Records is the maximum number of records.
	Records int
	// Bytes is the maximum memory of all records, in bytes.
	Bytes int
	// ResultBytes is the size of the largest result that is kept for repeated requests, in bytes.
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

// ledger records the used tickets of one origin. A sequence below lowWater without a record was evicted or never
// used; one from lowWater upwards without a record was never used.
type ledger struct {
	limits   Limits
	next     uint64
	lowWater uint64
	closed   bool
	records  map[uint64]*record
	// finishedBelowLowWater lists the finished records below lowWater. They were still running when lowWater
	// passed them.
	finishedBelowLowWater []uint64
	// finishedCount is the number of finished records from lowWater upwards.
	finishedCount int
	bytes         int
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
	l.evict(1, recordOverhead)
	if len(l.records) >= l.limits.Records {
		return Full, Outcome{}
	}
	// The eviction may have moved lowWater past this sequence.
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
	r.outcome = l.dropLargeResult(outcome)
	l.resize(r, recordOverhead+outcomeSize(r.outcome))
	l.countFinished(sequence)
	l.evict(0, 0)
}

func (l *ledger) countFinished(sequence uint64) {
	if sequence < l.lowWater {
		l.finishedBelowLowWater = append(l.finishedBelowLowWater, sequence)
		return
	}
	l.finishedCount++
}

func (l *ledger) resize(r *record, bytes int) {
	l.bytes += bytes - r.bytes
	r.bytes = bytes
}

// dropLargeResult removes a result that is too large to keep. The outcome still reports that the request ran.
func (l *ledger) dropLargeResult(outcome Outcome) Outcome {
	if len(outcome.Result) <= l.limits.ResultBytes {
		return outcome
	}
	return Outcome{Execution: outcome.Execution, Fault: fault.New(fault.TicketGone, outcome.Execution,
		"read the result from the service itself", "the request ran; its result was too large to keep")}
}

func outcomeSize(o Outcome) int {
	bytes := len(o.Result)
	if o.Fault != nil {
		bytes += len(o.Fault.Message) + len(o.Fault.Remedy)
	}
	return bytes
}

// evict removes the oldest finished records until the given number of records and bytes fits, or only running
// records are left.
func (l *ledger) evict(records, bytes int) {
	for len(l.records)+records > l.limits.Records || l.bytes+bytes > l.limits.Bytes {
		if !l.evictOldest() {
			return
		}
	}
}

func (l *ledger) evictOldest() bool {
	if len(l.finishedBelowLowWater) > 0 {
		l.remove(l.finishedBelowLowWater[0])
		l.finishedBelowLowWater = l.finishedBelowLowWater[1:]
		return true
	}
	// Without this check, a ledger full of running records would advance lowWater past every unused ticket.
	if l.finishedCount == 0 {
		return false
	}
	for {
		sequence := l.lowWater
		l.lowWater++
		if r, ok := l.records[sequence]; ok && r.finished {
			l.finishedCount--
			l.remove(sequence)
			return true
		}
	}
}

func (l *ledger) remove(sequence uint64) {
	l.bytes -= l.records[sequence].bytes
	delete(l.records, sequence)
}
