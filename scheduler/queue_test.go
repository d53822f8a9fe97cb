package scheduler

import (
	"slices"
	"testing"
)

func TestReservedRequestsAreSentFirstThenByWeight(t *testing.T) {
	set := baseSettings()
	set.Plans = []Plan{{Name: "x", Weight: 1}, {Name: "y", Weight: 3}, {Name: "z", Weight: 1, Reserve: 100}}
	h := newHarness(t, set)
	n := h.nodes["a"]
	n.concurrencyLimit, n.latency, n.minLatency = 2, 0.001, 0.001
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
		n.concurrencyLimit = 2
	}
	if order[1] != "vz" {
		t.Fatalf("reserved did not leave first: %v", order)
	}
	if y := len(slices.DeleteFunc(slices.Clone(order[2:7]), func(v string) bool { return v != "vy" })); y < 3 {
		t.Fatalf("weights not kept: %v", order)
	}
}

// What is beyond its reserve waits at the host, and is not refused, while the node has a queue that would hold up
// what is within.
func TestUnreservedRequestWaitsForAShortQueue(t *testing.T) {
	for reserve, atOnce := range map[float64]int{0: 1, 1000: 2} {
		set := baseSettings()
		set.Plans[0].Reserve = reserve
		h := newHarness(t, set)
		n := h.nodes["a"]
		n.minLatency, n.latency, n.queueTime, n.queueWeight, n.lastServedAt = 0.02, 0.02, 0.15, smoothingResponses, h.now
		h.arrive(Request{}) // there is always one out
		h.arrive(Request{})
		h.wantActions("send", atOnce)
		h.wantActions("refuse", 0)
		n.queueTime = 0
		h.advance(10 * ms)
		h.wantActions("send", 2)
	}
}

// A volume's clients use their hosts unevenly: a host holds the part of the reserve that it serves of the volume,
// by what answers tell, and its even part where they tell nothing.
func TestReserveFollowsMeteredUse(t *testing.T) {
	for use, want := range map[float64]float64{-1: 25, 0.1: 100, 0.4: 50, 4: 25} {
		set := baseSettings()
		set.Siblings, set.Plans[0].Reserve = 4, 100
		h := newHarness(t, set)
		for range 20 { // 20 units a second
			h.advance(100 * ms)
			id := h.arrive(Request{Hosts: 4})
			h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: Served, Latency: 20 * ms, Concluded: true, VolumeUse: use})
		}
		if got := h.volumes["v"].reserve.rate; got < 0.8*want || got > 1.2*want {
			t.Errorf("at a use of %v the part is %v, want about %v", use, got, want)
		}
	}
}
