package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestRequestsThatCannotBeAnsweredInTimeAreRejectedEarly(t *testing.T) {
	h := newHarness(t, baseSettings())
	node := h.nodes["a"]
	node.concurrencyLimit = 6
	node.setLatency(0.3, 0.3)
	for range 12 {
		h.arrive(Request{})
	}
	h.wantActions("send", 3)
	if got := h.count("reject"); got < 6 {
		t.Fatalf("got %d rejections, want at least 6", got)
	}
	for _, line := range h.recorded {
		if strings.HasPrefix(line, "reject") && strings.HasSuffix(line, " 0s") {
			t.Fatalf("rejection without Retry-After: %q", line)
		}
	}
}

// Service times vary. A request whose mean service time is slightly longer than its objective of 0.5 s is often served
// in time, so it must be sent. A request that takes far longer must not be.
func TestRequestWithSlightlyLateEstimateIsAdmitted(t *testing.T) {
	for latency, sends := range map[float64]int{0.7: 1, 0.9: 0} {
		t.Run(fmt.Sprint("latency ", latency, " s"), func(t *testing.T) {
			h := newHarness(t, baseSettings())
			h.nodes["a"].setLatency(latency, latency)
			h.arrive(Request{})
			h.wantActions("send", sends)
		})
	}
}

// Under a light load, the measured rate is far below what the node could serve. Requests must not be rejected because
// of that rate.
func TestLowMeasuredRateCausesNoRejections(t *testing.T) {
	h := newHarness(t, baseSettings())
	node := h.nodes["a"]
	node.concurrencyLimit = 6
	node.maxRate = 3
	node.setLatency(0.03, 0.03)
	for range 6 {
		h.arrive(Request{})
	}
	h.wantActions("send", 3)
	h.wantActions("reject", 0)
}

// Unreserved requests with a long objective must not keep a node full while other requests with a short objective need
// it.
func TestUnreservedRequestIsRejectedByTheShortestObjective(t *testing.T) {
	settings := baseSettings()
	settings.Classes = append(settings.Classes, Class{
		Name:             "bulk",
		LatencyObjective: 5 * time.Second,
		Deadline:         9 * time.Second,
		PriorityWeight:   1,
	})
	h := newHarness(t, settings)
	node := h.nodes["a"]
	node.setLatency(0.8, 0.05)
	h.setQueue(node, 0.8, smoothingResponses)
	h.arrive(Request{Class: 1})
	h.wantActions("reject r1", 1)
	h.now += 4 * estimateDecayTime // an old measurement must not keep requests from the node
	h.arrive(Request{Class: 1})
	h.wantActions("send r2", 1)
}

// If a fifth of a class's clients disconnect long before the objective, requests that would take longer than those
// clients wait are rejected.
func TestEarlyDisconnectsShortenTheObjective(t *testing.T) {
	settings := baseSettings()
	settings.Plans[0].Reserve = 1000
	h := newHarness(t, settings)
	node := h.nodes["a"]
	for i := range 20 {
		id := h.arrive(Request{Key: fmt.Sprint(i)})
		h.advance(100 * ms)
		h.ClientDisconnected(h.now, id)
		h.endAttempt(id, 0, Canceled)
	}
	node.setLatency(0.02, 0.02)
	h.setQueue(node, 0.2, 4)
	h.recorded = nil
	h.arrive(Request{Key: "k"})
	h.wantActions("reject", 1)
	node.queueTime = 0
	h.arrive(Request{Key: "l"})
	h.wantActions("send", 1)
	for i := range 40 { // clients that wait restore the objective of the class
		h.serve(Request{Key: fmt.Sprint("s", i)})
	}
	h.setQueue(node, 0.2, 4)
	h.recorded = nil
	h.arrive(Request{Key: "m"})
	h.wantActions("send", 1)
}

// A request with a shorter client timeout than an earlier request must not be taken for a late retry of that request,
// which was not rejected.
func TestShortClientTimeoutIsNotTakenForARetry(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.arrive(Request{})
	h.arrive(Request{ClientTimeout: 300 * ms})
	h.wantActions("send r2", 1)
}

// A client's retry earns its full weight only within the objective of the rejected first try.
func TestClientRetryKeepsTheObjectiveOfTheRejectedTry(t *testing.T) {
	h := newHarness(t, baseSettings())
	node := h.nodes["a"]
	h.arrive(Request{Key: "k1"})
	node.concurrencyLimit = 1
	h.arrive(Request{Key: "k2"})
	h.advance(600 * ms)
	h.wantActions("reject r2", 1)
	h.arrive(Request{Key: "k2"}) // its client timeout is the whole deadline, so it is another client's first try
	h.wantActions("reject r3", 0)
	h.arrive(Request{Key: "k2", ClientTimeout: 1300 * ms})
	h.wantActions("reject r4", 1)
	h.arrive(Request{Key: "k2", ClientTimeout: 1300 * ms}) // the second retry: its objective also counts from r2
	h.wantActions("reject r5", 1)
}
