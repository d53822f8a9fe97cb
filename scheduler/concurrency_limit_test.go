package scheduler

import (
	"testing"
	"time"
)

func TestConcurrencyLimitHoldsRequestsBack(t *testing.T) {
	h := newHarness(t, baseSettings())
	for range 20 {
		h.arrive(Request{Volume: "big", Units: 3})
	}
	if out := h.nodes["a"].unitsInFlight; out > InitialRequests*2 {
		t.Fatalf("%v units out over a cap of %v", out, h.nodes["a"].concurrencyLimit)
	}
	h.wantActions("send", 5)
}

func TestConcurrencyLimitFormula(t *testing.T) {
	h := newHarness(t, baseSettings())
	n := h.nodes["a"]
	n.maxRate, n.minLatency, n.latency = 500, 0.02, 0.02
	h.setConcurrencyLimit(n)
	if got, want := n.concurrencyLimit, 500*((2+latencyTolerance)*0.02-0.02); got != want {
		t.Fatalf("cap %v, want %v", got, want)
	}
	n.latency = 1
	h.setConcurrencyLimit(n)
	if n.concurrencyLimit != h.settings.Sizes.MaxUnits {
		t.Fatalf("cap %v under the largest request", n.concurrencyLimit)
	}
	n.maxRate, n.latency = 1e6, 0.02
	h.setConcurrencyLimit(n)
	if n.concurrencyLimit != maxLimitRequests*2 {
		t.Fatalf("cap %v over the ceiling", n.concurrencyLimit)
	}
}

// A cut by one host does not empty a node that others load: what it sees must not raise minLatency at will.
func TestRetestRaisesMinLatencyByAtMostOneStep(t *testing.T) {
	h := newHarness(t, baseSettings())
	n := h.nodes["a"]
	n.maxRate, n.minLatency, n.latency, n.unitsInFlight = 500, 0.02, 0.02, 40
	n.retestAt = h.now
	h.Scheduler.now = h.now
	h.retestMinLatency(n)
	if n.concurrencyLimit > retestCutShare*40 {
		t.Fatalf("no cut: cap %v", n.concurrencyLimit)
	}
	h.Scheduler.now += time.Second
	h.smoothLatency(n, 1, 4)
	if n.minLatency != maxRetestRaise*0.02 {
		t.Fatalf("minLatency %v", n.minLatency)
	}
	h.smoothLatency(n, 1, 4)
	if n.minLatency != maxRetestRaise*0.02 {
		t.Fatal("raised without a cut")
	}
}
