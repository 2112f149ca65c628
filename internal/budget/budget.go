// Package budget limits extra attempts (hedges and retries) to a share of the first attempts, and spaces retries. It is
// pure.
package budget

import (
	"math/rand/v2"
	"time"
)

// Config describes a bucket.
type Config struct {
	// Share is the number of extra attempts per first attempt in steady state.
	Share float64
	// Burst is the number of extra attempts that can be saved up.
	Burst float64
}

// Bucket holds the right to extra attempts. It starts full.
type Bucket struct {
	cfg    Config
	tokens float64
}

// New returns a full bucket.
func New(cfg Config) *Bucket { return &Bucket{cfg: cfg, tokens: cfg.Burst} }

// Earn adds the share of one first attempt.
func (b *Bucket) Earn() { b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Share) }

// Tokens returns the number of extra attempts that are saved up.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Limit lowers the number of extra attempts that are saved up.
func (b *Bucket) Limit(tokens float64) { b.tokens = min(b.tokens, tokens) }

// Take takes the right to one extra attempt, if there is one.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// CanSpend tells whether one extra attempt is within the budget and leaves the reserve, a share of the burst.
func (b *Bucket) CanSpend(reserve float64) bool { return b.tokens >= 1+reserve*b.cfg.Burst }

// Refund gives back the right to an extra attempt that was not sent.
func (b *Bucket) Refund() { b.tokens = min(b.cfg.Burst, b.tokens+1) }

// Spend takes the right to one extra attempt from both buckets or from neither, and leaves the reserve, a share of the
// burst, in both.
func Spend(group, caller *Bucket, reserve float64) bool {
	if !group.CanSpend(reserve) || !caller.CanSpend(reserve) {
		return false
	}
	group.tokens--
	caller.tokens--
	return true
}

// Backoff describes the waits between retries.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Wait returns the wait before the given retry, counted from 1: a random time from half to the whole of Base doubled per
// retry, at most Max. It is never 0.
func (b Backoff) Wait(rng *rand.Rand, retry int) time.Duration {
	wait := b.Max
	if shift := retry - 1; shift < 20 && b.Base<<shift < b.Max {
		wait = b.Base << shift
	}
	half := max(1, wait/2)
	return half + time.Duration(rng.Int64N(int64(half)+1))
}
