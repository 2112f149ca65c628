// Package budget limits extra attempts (hedges and retries) to a fraction of the first attempts, and computes the backoff
// between retries. It performs no I/O and reads no clock.
package budget

import (
	"math/rand/v2"
	"time"
)

// Config configures a Bucket.
type Config struct {
	// Share is the number of extra attempts per first attempt in steady state.
	Share float64
	// Burst is the capacity of the bucket: the number of extra attempts that can accumulate.
	Burst float64
}

// Bucket is a token bucket for extra attempts. One token allows one extra attempt. A new bucket is full.
type Bucket struct {
	cfg    Config
	tokens float64
}

// New returns a full bucket.
func New(cfg Config) *Bucket { return &Bucket{cfg: cfg, tokens: cfg.Burst} }

// Earn adds Config.Share tokens. Call it once for each first attempt.
func (b *Bucket) Earn() { b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Share) }

// Tokens returns the number of tokens in the bucket.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Cap lowers the number of tokens in the bucket to at most the given number.
func (b *Bucket) Cap(tokens float64) { b.tokens = min(b.tokens, tokens) }

// Take removes a token for one extra attempt. It returns false if there is none.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// CanSpend reports whether a token can be taken without using the reserve, which is a fraction of the burst.
func (b *Bucket) CanSpend(reserve float64) bool { return b.tokens >= 1+reserve*b.cfg.Burst }

// Refund returns the token of an extra attempt that was not sent.
func (b *Bucket) Refund() { b.tokens = min(b.cfg.Burst, b.tokens+1) }

// Spend takes a token from both buckets or from neither. It does not use the reserve, a fraction of the burst, of either
// bucket.
func Spend(group, caller *Bucket, reserve float64) bool {
	if !group.CanSpend(reserve) || !caller.CanSpend(reserve) {
		return false
	}
	group.tokens--
	caller.tokens--
	return true
}

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	// Base is the maximum delay before the first retry; it doubles with each further retry up to Max.
	Base time.Duration
	Max  time.Duration
}

// Wait returns the delay before the given retry, counted from 1. It is random between half and all of the maximum delay of
// that retry, and never 0.
func (b Backoff) Wait(rng *rand.Rand, retry int) time.Duration {
	wait := b.Max
	if shift := retry - 1; shift < 20 && b.Base<<shift < b.Max {
		wait = b.Base << shift
	}
	half := max(1, wait/2)
	return half + time.Duration(rng.Int64N(int64(half)+1))
}
