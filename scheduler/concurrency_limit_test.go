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
	node := h.nodes["a"]
	if node.unitsInFlight > InitialRequests*2 {
		t.Fatalf("%v units in flight over a limit of %v", node.unitsInFlight, node.concurrencyLimit)
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
			node := h.nodes["a"]
			node.maxRate = test.maxRate
			node.setLatency(test.latency, 0.02)
			h.setConcurrencyLimit(node)
			if node.concurrencyLimit != test.want {
				t.Fatalf("limit %v, want %v", node.concurrencyLimit, test.want)
			}
		})
	}
}

// A cut by one host does not empty a node that others load, so what this host measures then may raise the minimum
// latency by one step at most.
func TestRetestRaisesMinLatencyByOneStep(t *testing.T) {
	h := newHarness(t, baseSettings())
	node := h.nodes["a"]
	node.maxRate = 500
	node.setLatency(0.02, 0.02)
	node.unitsInFlight = 40
	node.retestAt = h.now
	h.Scheduler.now = h.now
	h.retestMinLatency(node)
	if node.concurrencyLimit > retestCutShare*40 {
		t.Fatalf("no cut: limit %v", node.concurrencyLimit)
	}
	h.Scheduler.now += time.Second
	h.smoothLatency(node, 1, 4)
	if node.minLatency != maxRetestRaise*0.02 {
		t.Fatalf("minimum latency %v", node.minLatency)
	}
	h.smoothLatency(node, 1, 4)
	if node.minLatency != maxRetestRaise*0.02 {
		t.Fatal("raised without a cut")
	}
}
