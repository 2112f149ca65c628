package share

import "time"

// burstTime is the time for which unused tokens accumulate: the burst is rate x burstTime.
const burstTime = 100 * time.Millisecond

// bucket is a token bucket whose rate changes with loans. Its level never exceeds the burst at its current rate,
// so the levels of all hosts never add up to more than the burst of the grant.
type bucket struct {
	rate  float64
	level float64
	at    time.Duration
}

func (b *bucket) burst() float64 { return b.rate * burstTime.Seconds() }

// advance adds the tokens accrued since the last call.
func (b *bucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	b.level = min(b.burst(), b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// setRate changes the rate from now on. Raising the rate adds no tokens immediately.
func (b *bucket) setRate(rate float64) {
	b.rate = rate
	b.level = min(b.level, b.burst())
}

// take removes the amount if enough tokens are available. An amount above the burst needs a full bucket and leaves
// a negative level.
func (b *bucket) take(amount float64) bool {
	if b.rate <= 0 || b.level < min(amount, b.burst()) {
		return false
	}
	b.level -= amount
	return true
}
