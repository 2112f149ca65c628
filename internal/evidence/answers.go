package evidence

import "time"

// maxAnswers bounds the answered requests of each of the two generations in an answerMemory: about 250 KiB in all.
const maxAnswers = 4096

// answerMemory holds the requests that this host has seen answered lately, with the times. Popular requests stay in it, since each
// answer renews them. It has two generations: when the current one is full, it replaces the previous one.
type answerMemory struct {
	current, previous map[uint64]time.Duration
}

func (m *answerMemory) add(fingerprint uint64, at time.Duration) {
	if m.current == nil || len(m.current) >= maxAnswers {
		m.previous, m.current = m.current, make(map[uint64]time.Duration)
	}
	m.current[fingerprint] = at
}

// latest returns the time of the latest answer to a request, and false if none is remembered.
func (m *answerMemory) latest(fingerprint uint64) (time.Duration, bool) {
	at, ok := m.current[fingerprint]
	if !ok {
		at, ok = m.previous[fingerprint]
	}
	return at, ok
}
