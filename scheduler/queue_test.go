package scheduler

import "testing"

func TestReservedRequestsAreSentFirstThenByWeight(t *testing.T) {
	settings := baseSettings()
	settings.Plans = []Plan{
		{Name: "x", Weight: 1},
		{Name: "y", Weight: 3},
		{Name: "z", Weight: 1, Reserve: 100},
	}
	h := newHarness(t, settings)
	node := h.nodes["a"]
	node.concurrencyLimit = 2
	node.setLatency(0.001, 0.001)
	h.arrive(Request{Volume: "first"})
	for range 4 {
		h.arrive(Request{Volume: "vx", Plan: 0})
	}
	for range 4 {
		h.arrive(Request{Volume: "vy", Plan: 1})
	}
	h.arrive(Request{Volume: "vz", Plan: 2})
	var order []string
	for range 9 {
		last := h.sends[len(h.sends)-1]
		order = append(order, h.requests[last.id].Volume)
		h.endAttempt(last.id, 0, Served)
		node.concurrencyLimit = 2
	}
	if order[1] != "vz" {
		t.Fatalf("the reserved request of vz was not sent first of the waiting ones: %v", order)
	}
	weightThree := 0
	for _, volume := range order[2:7] {
		if volume == "vy" {
			weightThree++
		}
	}
	if weightThree < 3 {
		t.Fatalf("%d of 5 requests are of the volume of weight 3, want at least 3: %v", weightThree, order)
	}
}

// While the node has a queue in which an unreserved request would delay reserved ones, the request waits at the host
// and is not rejected.
func TestUnreservedRequestWaitsForAShortQueue(t *testing.T) {
	for _, test := range []struct {
		name    string
		reserve float64
		atOnce  int // requests that are sent before the queue gets shorter
	}{
		{"unreserved", 0, 1},
		{"reserved", 1000, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := baseSettings()
			settings.Plans[0].Reserve = test.reserve
			h := newHarness(t, settings)
			node := h.nodes["a"]
			node.setLatency(0.02, 0.02)
			h.setQueue(node, 0.15, smoothingResponses)
			h.arrive(Request{}) // an idle node always gets one request
			h.arrive(Request{})
			h.wantActions("send", test.atOnce)
			h.wantActions("reject", 0)
			node.queueTime = 0
			h.advance(10 * ms)
			h.wantActions("send", 2)
		})
	}
}
