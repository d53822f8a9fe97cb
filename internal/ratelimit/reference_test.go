package ratelimit

import (
	"flag"
	"testing"
	"time"
)

// Every run of the property tests draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

// newLimiter makes a Limiter. Definitions without a number of keys get MinKeys.
func newLimiter(t testing.TB, definitions ...Definition) *Limiter {
	t.Helper()
	for i := range definitions {
		if definitions[i].Keys == 0 {
			definitions[i].Keys = MinKeys
		}
	}
	l, err := New(definitions)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// referenceLimit implements a limit with plain maps that forget nothing, as the reference for a table.
type referenceLimit struct {
	definition         Definition
	theoreticalArrival map[string]time.Duration
	open               map[string]int
}

func newReferenceLimit(definition Definition) *referenceLimit {
	return &referenceLimit{
		definition:         definition,
		theoreticalArrival: map[string]time.Duration{},
		open:               map[string]int{},
	}
}

// take counts a request and reports whether it is admitted.
func (r *referenceLimit) take(now time.Duration, key string) bool {
	interval := emissionInterval(r.definition.Rate)
	burstTolerance := time.Duration((r.definition.Burst - 1) * float64(interval))
	if r.definition.Concurrency > 0 && r.open[key] >= r.definition.Concurrency {
		return false
	}
	if r.definition.Rate > 0 && r.theoreticalArrival[key]-now > burstTolerance {
		return false
	}
	r.theoreticalArrival[key] = max(r.theoreticalArrival[key], now) + interval
	r.open[key]++
	return true
}

// release reports that an admitted request has ended.
func (r *referenceLimit) release(key string) { r.open[key]-- }
