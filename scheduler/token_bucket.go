package scheduler

import (
	"math"
	"time"
)

// tokenBucket refills at a rate, up to a burst.
type tokenBucket struct {
	tokens     float64
	rate       float64 // tokens a second
	burst      float64
	refilledAt time.Duration
}

// refill moves the bucket on in time and returns its tokens.
func (b *tokenBucket) refill(now time.Duration) float64 {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	return b.tokens
}

// decayingSum is a sum of recent values. Each of them fades by e within a span that the callers choose.
type decayingSum struct {
	value     float64
	updatedAt time.Duration
}

// valueAt is the sum at a time.
func (d *decayingSum) valueAt(now, span time.Duration) float64 {
	return d.value * math.Exp(-(now-d.updatedAt).Seconds()/max(span, time.Millisecond).Seconds())
}

// add adds a value at a time.
func (d *decayingSum) add(now, span time.Duration, value float64) {
	d.value = d.valueAt(now, span) + value
	d.updatedAt = now
}
