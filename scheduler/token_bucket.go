package scheduler

import (
	"math"
	"time"
)

// tokenBucket refills continuously at a rate, up to a burst.
type tokenBucket struct {
	tokens     float64
	rate       float64 // tokens a second
	burst      float64 // largest number of tokens
	refilledAt time.Duration
}

// refill adds the tokens for the time since the last refill and returns the number of tokens in the bucket.
func (b *tokenBucket) refill(now time.Duration) float64 {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	return b.tokens
}

// decayingSum is a sum of values that decay exponentially, by a factor of e within the span that callers pass.
type decayingSum struct {
	value     float64
	updatedAt time.Duration
}

// valueAt returns the sum at the time now, which is not before the last update.
func (d *decayingSum) valueAt(now, span time.Duration) float64 {
	return d.value * math.Exp(-(now-d.updatedAt).Seconds()/max(span, time.Millisecond).Seconds())
}

// add adds a value to the sum at the time now.
func (d *decayingSum) add(now, span time.Duration, value float64) {
	d.value = d.valueAt(now, span) + value
	d.updatedAt = now
}
