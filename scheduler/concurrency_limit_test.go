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
		t.Fatalf("%v units in flight, want at most the initial limit of %v", node.unitsInFlight, InitialRequests*2)
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
		{"formula within the bounds", 500, 0.02, 500 * ((2+latencyTolerance)*0.02 - 0.02)},
		{"raised to the largest request", 500, 1, h.settings.Sizes.MaxUnits},
		{"lowered to the highest limit", 1e6, 0.02, maxLimitRequests * 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := h.nodes["a"]
			node.maxRate = test.maxRate
			node.setLatency(test.latency, 0.02)
			h.setConcurrencyLimit(node)
			if node.concurrencyLimit != test.want {
				t.Fatalf("concurrency limit is %v, want %v", node.concurrencyLimit, test.want)
			}
		})
	}
}

// A cut by one host does not empty a node to which other hosts send requests. So the latency that this host measures
// during the cut may raise the minimum latency by no more than maxRetestRaise.
func TestRetestRaisesMinLatencyByOneStepAtMost(t *testing.T) {
	h := newHarness(t, baseSettings())
	node := h.nodes["a"]
	node.maxRate = 500
	node.setLatency(0.02, 0.02)
	node.unitsInFlight = 40
	node.retestAt = h.now
	h.Scheduler.now = h.now
	h.retestMinLatency(node)
	if node.concurrencyLimit > retestCutShare*40 {
		t.Fatalf("concurrency limit after a cut is %v, want at most %v", node.concurrencyLimit, retestCutShare*40)
	}
	h.Scheduler.now += time.Second
	h.smoothLatency(node, 1, 4)
	if node.minLatency != maxRetestRaise*0.02 {
		t.Fatalf("minimum latency after a cut is %v s, want %v s", node.minLatency, maxRetestRaise*0.02)
	}
	h.smoothLatency(node, 1, 4)
	if node.minLatency != maxRetestRaise*0.02 {
		t.Fatalf("minimum latency changed to %v s without a cut, want %v s", node.minLatency, maxRetestRaise*0.02)
	}
}
