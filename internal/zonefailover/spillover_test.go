package zonefailover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// spilledWork is work that was allowed to spill over.
type spilledWork struct {
	at    time.Duration
	units float64
}

// For any number of gateways and any requests, the work that spills over in any period stays within the bound for all
// gateways together.
func TestSpilloverStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{
			Tiers:     []int{0, 1},
			Spillover: float64(rapid.IntRange(0, 100).Draw(t, "spillover")),
			Burst:     float64(rapid.IntRange(0, 40).Draw(t, "burst")),
			Share:     rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "share"),
			Siblings:  rapid.IntRange(1, 5).Draw(t, "gateways"),
		}
		var gateways []*SpilloverLimiter
		for range settings.Siblings {
			gateways = append(gateways, NewSpilloverLimiter(settings))
		}
		var log []spilledWork
		now := time.Hour
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			units := float64(rapid.IntRange(1, 8).Draw(t, "units"))
			for _, gateway := range gateways {
				gateway.Refill(now, []float64{0, 50})
			}
			limiter := gateways[rapid.IntRange(0, settings.Siblings-1).Draw(t, "gateway")]
			if limiter.Take(now, 1, units) {
				log = append(log, spilledWork{now, units})
			} else if wait, ever := limiter.Wait(now, units); ever && settings.Share == 0 {
				expectTakenAfter(t, limiter, now, units, wait)
			}
		}
		expectBound(t, settings, log)
	})
}

// expectTakenAfter checks on a copy of a limiter that units which are rejected now are taken after the wait.
func expectTakenAfter(t *rapid.T, limiter *SpilloverLimiter, now time.Duration, units float64, wait time.Duration) {
	t.Helper()
	resumed := NewSpilloverLimiter(limiter.settings)
	resumed.Resume(limiter.Snapshot())
	if !resumed.Take(now+wait+time.Microsecond, 1, units) {
		t.Fatalf("%v units are rejected again after a wait of %v", units, wait)
	}
}

// expectBound checks the bound over every period that begins and ends with work that spilled over.
func expectBound(t *rapid.T, settings Settings, log []spilledWork) {
	t.Helper()
	for i, first := range log {
		sum := 0.0
		for _, last := range log[i:] {
			sum += last.units
			period := last.at - first.at
			if bound := settings.Spillover*period.Seconds() + settings.Burst; sum > bound+1e-6 {
				t.Fatalf("%v units spilled over within %v, at most %v are allowed", sum, period, bound)
			}
		}
	}
}
