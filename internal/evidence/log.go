package evidence

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxFacts bounds the facts of each kind: about 100 KiB. The fact of the oldest event is evicted first.
	maxFacts = 1024
	// maxBatch bounds the facts of one batch. The receiver asks for the rest with its next position.
	maxBatch = 256
	// factLifetime is how long a fact is kept after the event. It exceeds the longest quarantine, so that the request is
	// still a suspect when that ends.
	factLifetime = 30 * time.Minute
	// minCorrection is how much earlier a host must have seen a known crash for its time to be corrected. Facts lose a few
	// milliseconds on their way, which are not worth telling everyone again.
	minCorrection = 20 * time.Millisecond
	// leavingLifetime is how long a leaving instance is remembered. It exceeds the time that an instance takes to leave by far;
	// one that still registers after it is used again until its next answer.
	leavingLifetime = 24 * time.Hour
)

func lifetime(k Kind) time.Duration {
	if k == Leaving {
		return leavingLifetime
	}
	return factLifetime
}

// Log holds the facts known to a host. It is safe for concurrent use.
type Log struct {
	origin uint64

	mu       sync.Mutex
	position uint64
	digest   uint64 // the exclusive or of the hashes of all facts
	records  map[factKey]*record
	counts   [kinds]int
	requests map[uint64]*history // by fingerprint
	// witnesses holds the crashes at each instance by the request that was there.
	witnesses map[Instance]map[uint64]*record
	// answers holds requests that were answered here, whether or not they are suspects.
	answers answerMemory
	// isRanked is false if the ranks of the crashes have to be determined again.
	isRanked bool
	changed  chan struct{}
}

// history holds the facts about one request.
type history struct {
	crashes map[Instance]*record
	// firsts holds the times of the crashes at instances to which no other request was sent long before, in order; see rank.
	firsts []time.Duration
	// answered is the latest answer, or nil.
	answered *record
}

// NewLog returns an empty log. origin must differ from that of every other log, those of earlier processes included.
func NewLog(origin uint64) *Log {
	return &Log{
		origin:    origin,
		records:   map[factKey]*record{},
		requests:  map[uint64]*history{},
		witnesses: map[Instance]map[uint64]*record{},
		changed:   make(chan struct{}),
	}
}

// Observe adds a fact that this host has seen. It returns false if the fact changes nothing, or is a crash that an answer refutes.
func (l *Log) Observe(now time.Duration, f Fact) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.add(now, f, true) {
		return false
	}
	l.notify()
	return f.Kind != Crashed || !l.requests[f.Fingerprint].isRefuted(l.records[f.key()])
}

// Merge adds the facts of another host and returns those that were new.
func (l *Log) Merge(now time.Duration, b Batch) []Fact {
	l.mu.Lock()
	defer l.mu.Unlock()
	var added []Fact
	for _, f := range b.Facts {
		if f.Age >= 0 && l.add(now, f, false) {
			added = append(added, f)
		}
	}
	if len(added) > 0 {
		l.notify()
	}
	return added
}

// add adds a fact unless it is known or outdated. Refuted crashes are kept: whether they are refuted depends on times that other
// hosts may still correct. The caller holds l.mu.
func (l *Log) add(now time.Duration, f Fact, own bool) bool {
	at := now - f.Age
	known := l.records[f.key()]
	switch {
	case f.Kind < Crashed || f.Kind >= kinds || f.Age > lifetime(f.Kind):
		return false
	case known != nil && f.Kind == Crashed:
		return l.correct(known, at, f.Silent, own)
	case known != nil && (f.Kind != Answered || at <= known.at):
		return false
	}
	if known != nil {
		l.remove(known)
	}
	l.expire(now)
	if !l.makeRoom(f.Kind, at) {
		return false
	}
	l.position++
	r := &record{fact: f, at: at, known: now, position: l.position, own: own}
	l.records[f.key()] = r
	l.counts[f.Kind]++
	l.digest ^= f.hash()
	if f.Kind != Leaving {
		l.addToHistory(r)
	}
	if f.Kind == Crashed {
		l.recallAnswer(now, f.Fingerprint)
	}
	return true
}

// correct takes over what is known better about a crash: an earlier attempt, since the same request may have been sent to an instance
// that had already ended, or that this attempt was cut. own is set if this host has seen it itself. It returns whether the
// others must be told. The caller holds l.mu.
func (l *Log) correct(known *record, at time.Duration, silent, own bool) bool {
	switch {
	case at < known.at-minCorrection:
		known.fact.Silent = silent
	case at <= known.at+minCorrection && known.fact.Silent && !silent:
		known.fact.Silent = false
	default:
		return false
	}
	l.position++
	known.at, known.position = min(at, known.at), l.position
	known.own = known.own || own
	l.isRanked = false
	return true
}

// RecordAnswer records that a target has answered a request for this host. It returns true if that clears a suspect.
func (l *Log) RecordAnswer(now time.Duration, fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers.add(fingerprint, now)
	h := l.requests[fingerprint]
	if h.countCrashes() == 0 || !l.add(now, Fact{Kind: Answered, Fingerprint: fingerprint}, true) {
		return false
	}
	l.notify()
	return true
}

// recallAnswer adds the latest answer to a request that has become a suspect, which the others can't know of. The caller holds
// l.mu.
func (l *Log) recallAnswer(now time.Duration, fingerprint uint64) {
	at, ok := l.answers.latest(fingerprint)
	if h := l.requests[fingerprint]; ok && (h.answered == nil || h.answered.at < at) {
		l.add(now, Fact{Kind: Answered, Fingerprint: fingerprint, Age: now - at}, true)
	}
}

// addToHistory adds a fact about a request to the history of that request.
func (l *Log) addToHistory(r *record) {
	f := &r.fact
	h := l.requests[f.Fingerprint]
	if h == nil {
		h = &history{crashes: map[Instance]*record{}}
		l.requests[f.Fingerprint] = h
	}
	l.isRanked = false
	if f.Kind == Answered {
		h.answered = r
		return
	}
	h.crashes[f.Instance] = r
	if l.witnesses[f.Instance] == nil {
		l.witnesses[f.Instance] = map[uint64]*record{}
	}
	l.witnesses[f.Instance][f.Fingerprint] = r
}

func (l *Log) remove(r *record) {
	f := &r.fact
	delete(l.records, f.key())
	l.counts[f.Kind]--
	l.digest ^= f.hash()
	if f.Kind == Leaving {
		return
	}
	l.isRanked = false
	h := l.requests[f.Fingerprint]
	if f.Kind == Answered {
		h.answered = nil
	} else {
		delete(h.crashes, f.Instance)
		delete(l.witnesses[f.Instance], f.Fingerprint)
		if len(l.witnesses[f.Instance]) == 0 {
			delete(l.witnesses, f.Instance)
		}
	}
	if len(h.crashes) == 0 && h.answered == nil {
		delete(l.requests, f.Fingerprint)
	}
}

func (l *Log) expire(now time.Duration) {
	for _, r := range l.records {
		if now-r.at > lifetime(r.fact.Kind) {
			l.remove(r)
		}
	}
}

// makeRoom evicts the fact of the oldest event of a kind if there are too many. It returns false if that would be the one to
// be added: hosts would otherwise pass facts that they evict to each other without end.
func (l *Log) makeRoom(k Kind, at time.Duration) bool {
	if l.counts[k] < maxFacts {
		return true
	}
	var oldest *record
	for _, r := range l.records {
		if r.fact.Kind == k && (oldest == nil || r.at < oldest.at) {
			oldest = r
		}
	}
	if at < oldest.at {
		return false
	}
	l.remove(oldest)
	return true
}

// notify wakes those who wait for Changed. The caller holds l.mu.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns the position of the latest fact, and a channel that is closed when there is a later one.
func (l *Log) Changed() (uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position, l.changed
}

// IsLeaving reports whether an instance has said that it is shutting down.
func (l *Log) IsLeaving(i Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[factKey{kind: Leaving, instance: i}] != nil
}

// HasEnded reports whether an instance is known to have ended under a request.
func (l *Log) HasEnded(i Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.witnesses[i]) > 0
}

// HasOwnCrash reports whether this host has seen an unrefuted crash of the request itself.
func (l *Log) HasOwnCrash(fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.requests[fingerprint]
	if h == nil {
		return false
	}
	for _, r := range h.crashes {
		if r.own && !h.isRefuted(r) {
			return true
		}
	}
	return false
}

// IsAnswered reports whether an answer to the request is known.
func (l *Log) IsAnswered(fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.requests[fingerprint]
	return h != nil && h.answered != nil
}

// Digest returns a hash of the known facts, which is equal for logs with the same facts.
func (l *Log) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// Since returns the facts after a position of the log with the given origin; all facts if that is not this log's.
func (l *Log) Since(now time.Duration, origin, position uint64) Batch {
	return l.batch(now, origin, position, func(*record) bool { return true })
}

// OwnSince returns the facts after a position that this host has seen itself.
func (l *Log) OwnSince(now time.Duration, position uint64) Batch {
	return l.batch(now, l.origin, position, func(r *record) bool { return r.own })
}

// Crashes returns the unrefuted crashes of a request, the latest first.
func (l *Log) Crashes(now time.Duration, fingerprint uint64) []Fact {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.requests[fingerprint]
	if h == nil {
		return nil
	}
	var facts []Fact
	for _, r := range h.crashes {
		if h.isRefuted(r) {
			continue
		}
		f := r.fact
		f.Age = max(0, now-r.at)
		facts = append(facts, f)
	}
	slices.SortFunc(facts, func(a, b Fact) int { return cmp.Compare(a.Age, b.Age) })
	return facts
}

func (l *Log) batch(now time.Duration, origin, position uint64, include func(*record) bool) Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	if origin != l.origin {
		position = 0
	}
	b := Batch{Origin: l.origin, Position: l.position}
	if position >= l.position {
		return b
	}
	var found []*record
	for _, r := range l.records {
		if r.position > position && include(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *record) int { return cmp.Compare(a.position, b.position) })
	if len(found) > maxBatch {
		found = found[:maxBatch]
		b.Position = found[maxBatch-1].position
	}
	for _, r := range found {
		f := r.fact
		f.Age = max(0, now-r.at)
		b.Facts = append(b.Facts, f)
	}
	return b
}
