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
	n := h.nodes["a"]
	if n.unitsInFlight > InitialRequests*2 {
		t.Fatalf("%v units in flight over a limit of %v", n.unitsInFlight, n.concurrencyLimit)
	}
	h.wantActions("send", 5)
}

func TestConcurrencyLimitFormula(t *testing.T) {
	h := newHarness(t, baseSettings())
	for _, test := range []struct {
		name    string
		maxRate float64
		latency float64
		want    float64
	}{
		{"within its bounds", 500, 0.02, 500 * ((2+latencyTolerance)*0.02 - 0.02)},
		{"at least the largest request", 500, 1, h.settings.Sizes.MaxUnits},
		{"at most the highest limit", 1e6, 0.02, maxLimitRequests * 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := h.nodes["a"]
			n.maxRate = test.maxRate
			n.setLatency(test.latency, 0.02)
			h.setConcurrencyLimit(n)
			if n.concurrencyLimit != test.want {
				t.Fatalf("limit %v, want %v", n.concurrencyLimit, test.want)
			}
		})
	}
}

// A cut by one host does not empty a node that others load, so what this host measures then may raise the minimum
// latency by one step at most.
func TestRetestRaisesMinLatencyByOneStep(t *testing.T) {
	h := newHarness(t, baseSettings())
	n := h.nodes["a"]
	n.maxRate = 500
	n.setLatency(0.02, 0.02)
	n.unitsInFlight = 40
	n.retestAt = h.now
	h.Scheduler.now = h.now
	h.retestMinLatency(n)
	if n.concurrencyLimit > retestCutShare*40 {
		t.Fatalf("no cut: limit %v", n.concurrencyLimit)
	}
	h.Scheduler.now += time.Second
	h.smoothLatency(n, 1, 4)
	if n.minLatency != maxRetestRaise*0.02 {
		t.Fatalf("minimum latency %v", n.minLatency)
	}
	h.smoothLatency(n, 1, 4)
	if n.minLatency != maxRetestRaise*0.02 {
		t.Fatal("raised without a cut")
	}
}
