package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestRejectsEarlyWhatCannotBeAnsweredInTime(t *testing.T) {
	h := newHarness(t, baseSettings())
	n := h.nodes["a"]
	n.concurrencyLimit, n.latency, n.minLatency = 6, 0.3, 0.3
	for range 12 {
		h.arrive(Request{})
	}
	h.wantActions("send", 3)
	if got := h.count("refuse"); got < 6 {
		t.Fatalf("%d refused", got)
	}
	for _, l := range h.recorded {
		if strings.HasPrefix(l, "refuse") && strings.HasSuffix(l, " 0s") {
			t.Fatalf("no advice: %s", l)
		}
	}
}

// ClassWork varies: what would take a little longer than its aim in the mean is often served in time all the same.
func TestSlightlyLateEstimateIsStillAdmitted(t *testing.T) {
	for latency, sent := range map[float64]int{0.7: 1, 0.9: 0} {
		h := newHarness(t, baseSettings())
		h.nodes["a"].latency, h.nodes["a"].minLatency = latency, latency
		h.arrive(Request{})
		h.wantActions("send", sent)
	}
}

// What a light load was served is no measure of what the node could serve: requests were once refused for it.
func TestLowMeasuredRateRejectsNothing(t *testing.T) {
	h := newHarness(t, baseSettings())
	n := h.nodes["a"]
	n.concurrencyLimit, n.maxRate, n.latency, n.minLatency = 6, 3, 0.03, 0.03
	for range 6 {
		h.arrive(Request{})
	}
	h.wantActions("send", 3)
	h.wantActions("refuse", 0)
}

// Long-aim requests beyond the reserve must not keep a node full while others with a short aim have to pass.
func TestNodeQueueIsComparedWithTheShortestObjective(t *testing.T) {
	set := baseSettings()
	set.Classes = append(set.Classes, Class{Name: "bulk", LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1})
	h := newHarness(t, set)
	n := h.nodes["a"]
	n.minLatency, n.latency, n.queueTime, n.queueWeight, n.lastServedAt = 0.05, 0.8, 0.8, smoothingResponses, h.now
	h.arrive(Request{Class: 1})
	h.wantActions("refuse r1", 1)
	h.now += 4 * nodeDecay // a stale figure shuts no node
	h.arrive(Request{Class: 1})
	h.wantActions("send r2", 1)
}

// Where a fifth of a class's clients leave long before its aim, what would take longer than they stay is refused.
func TestClientsThatDisconnectEarlySetTheObjective(t *testing.T) {
	set := baseSettings()
	set.Plans[0].Reserve = 1000
	h := newHarness(t, set)
	n := h.nodes["a"]
	for i := range 20 {
		id := h.arrive(Request{Key: fmt.Sprint(i)})
		h.advance(100 * ms)
		h.ClientDisconnected(h.now, id)
		h.endAttempt(id, 0, Canceled)
	}
	n.minLatency, n.latency, n.queueTime, n.queueWeight, n.lastServedAt = 0.02, 0.02, 0.2, 4, h.now
	h.recorded = nil
	h.arrive(Request{Key: "k"})
	h.wantActions("refuse", 1)
	n.queueTime = 0
	h.arrive(Request{Key: "l"})
	h.wantActions("send", 1)
	for i := range 40 { // clients that stay end it
		h.endAttempt(h.arrive(Request{Key: fmt.Sprint("s", i)}), 0, Served)
	}
	n.queueTime, n.queueWeight, n.lastServedAt = 0.2, 4, h.now
	h.recorded = nil
	h.arrive(Request{Key: "m"})
	h.wantActions("send", 1)
}

// Clients with little patience were once taken for late repetitions and turned away.
func TestShortClientTimeoutIsNoRetry(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.arrive(Request{})
	h.arrive(Request{ClientTimeout: 300 * ms})
	h.wantActions("send r2", 1)
}

// A repetition is worth its full worth only within the aim of the first try.
func TestClientRetryKeepsTheObjectiveOfTheRejectedTry(t *testing.T) {
	h := newHarness(t, baseSettings())
	n := h.nodes["a"]
	h.arrive(Request{Key: "k1"})
	n.concurrencyLimit = 1
	h.arrive(Request{Key: "k2"})
	h.advance(600 * ms)
	h.wantActions("refuse r2", 1)
	h.arrive(Request{Key: "k2"}) // disconnectAfter for the whole deadline: another client's first try
	h.wantActions("refuse r3", 0)
	h.arrive(Request{Key: "k2", ClientTimeout: 1300 * ms})
	h.wantActions("refuse r4", 1)
	h.arrive(Request{Key: "k2", ClientTimeout: 1300 * ms}) // queueWeightNow once
	h.wantActions("refuse r5", 1)
}
