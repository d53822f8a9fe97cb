package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A node that has never answered is assumed to have the median queue of the nodes that have answered recently.
// One slow node of three does not cause rejections at such a node, but two slow nodes do.
func TestFleetMedianQueueIsThePriorOfAnUnobservedNode(t *testing.T) {
	for slow, rejections := range map[int]int{1: 0, 2: 1} {
		t.Run(fmt.Sprint("slow nodes: ", slow), func(t *testing.T) {
			h := newHarness(t, baseSettings())
			h.list(DeltaList, Node{ID: "c", Shard: 2}, Node{ID: "d", Shard: 3})
			for i, id := range []string{"a", "b", "c"} {
				queue := 0.0
				if i < slow {
					queue = 2
				}
				h.nodes[id].setLatency(0.05, 0.05)
				h.setQueue(h.nodes[id], queue, 1)
			}
			h.advance(30 * ms)
			h.arrive(Request{Shard: 3})
			h.wantActions("reject", rejections)
		})
	}
}

// An attempt that takes far longer than its work explains indicates a queue even before its answer arrives, unless a
// later attempt has been served or it takes so long that its answer is probably lost.
func TestOverdueAttemptIndicatesAQueue(t *testing.T) {
	queue := func(inFlightFor time.Duration, overtaken int) float64 {
		h := newHarness(t, baseSettings())
		node := h.nodes["a"]
		node.setLatency(0.02, 0.02)
		h.arrive(Request{})
		h.advance(inFlightFor)
		node.pending[0].overtaken = overtaken
		h.updateFleetEstimates()
		return h.estimatedQueueTime(node)
	}
	if q := queue(400*ms, 0); q < 0.1 {
		t.Errorf("overdue attempt: queue of %v s, want at least 0.1 s", q)
	}
	if q := queue(400*ms, 1); q > 0 {
		t.Errorf("attempt overtaken by a later one: queue of %v s, want none", q)
	}
	if q := queue(lostAfterObjectives*500*ms-100*ms, 0); q < 1 {
		t.Errorf("attempt that is almost lost: queue of %v s, want at least 1 s", q)
	}
}

// An attempt whose client disconnects after 15 ms says nothing about the node's queue.
func TestEarlyDisconnectIndicatesNoQueue(t *testing.T) {
	h := newHarness(t, baseSettings())
	for range 8 {
		h.serve(Request{})
	}
	id := h.arrive(Request{})
	h.now += 15 * ms
	h.ClientDisconnected(h.now, id)
	h.endAttempt(id, 0, Canceled)
	if queue := h.nodes["a"].queueTime; queue > 0 {
		t.Errorf("queue of %v s after an early disconnect, want none", queue)
	}
}

// If clients disconnect early, only the quick answers still arrive, and only unanswered attempts indicate the queue. If
// those did not count, nodes would fill up with the work of clients that have disconnected.
func TestUnansweredAttemptIndicatesAQueue(t *testing.T) {
	h := newHarness(t, baseSettings())
	node := h.nodes["a"]
	node.setLatency(0.02, 0.02)
	for i := range 6 {
		id := h.arrive(Request{Key: fmt.Sprint(i)})
		h.advance(100 * ms)
		if i%2 == 0 {
			h.ClientDisconnected(h.now, id)
			h.endAttempt(id, 0, Canceled)
		} else {
			h.endAttempt(id, 0, Served)
		}
	}
	if queue := h.estimatedQueueTime(node); queue < 0.05 {
		t.Fatalf("queue of %v s, want at least 0.05 s", queue)
	}
}

// The number of queued requests in a load report determines the estimate of the node's queue if it gives a longer time
// than the latency does. The time that each queued request adds is learned from earlier reports. A negative number
// means that the node does not report its queue.
func TestReportedQueueCountsIfItIsLonger(t *testing.T) {
	settings := baseSettings()
	settings.Plans[0].Reserve = 1000 // unreserved requests would be rejected because of the queue at the node
	queue := func(queued float64) float64 {
		h := newHarness(t, settings)
		node := h.nodes["a"]
		for i := range 30 {
			id := h.arrive(Request{Key: fmt.Sprint(i)})
			latency := 400 * ms
			if i == 29 {
				latency = 20 * ms
			}
			node.setLatency(0.02, 0.02)
			node.queueTime = 0
			node.queueWeight = 0
			h.AttemptEnded(h.now, Outcome{
				ID:        id,
				Node:      "a",
				Result:    Served,
				Latency:   latency,
				Concluded: true,
				VolumeUse: -1,
				Load:      &Load{InFlight: -1, Queued: queued, Busy: -1},
			})
		}
		return node.queueTime
	}
	if q := queue(10); q < 0.1 {
		t.Errorf("load report with ten queued requests: queue of %v s, want at least 0.1 s", q)
	}
	if q := queue(-7); q > 0 {
		t.Errorf("load report with a negative queue: queue of %v s, want none", q)
	}
}
