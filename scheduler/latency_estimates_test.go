package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A node that has not answered for long is assumed to have the median queue of those that have. One slow node of
// three does not block the others, an overload of most does.
func TestFleetMedianQueueIsThePriorOfAnUnobservedNode(t *testing.T) {
	for slow, rejections := range map[int]int{1: 0, 2: 1} {
		t.Run(fmt.Sprint(slow, " slow"), func(t *testing.T) {
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

// An attempt that takes far longer than its work explains indicates a queue before its answer does, unless a later
// one has been served or it takes so long that its answer is more likely lost.
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
		t.Errorf("overdue: queue %v", q)
	}
	if q := queue(400*ms, 1); q > 0 {
		t.Errorf("overtaken by a later one: queue %v", q)
	}
	if q := queue(lostAfterObjectives*500*ms-100*ms, 0); q < 1 {
		t.Errorf("in flight for long: queue %v", q)
	}
}

// A client that disconnects after a moment says nothing about a queue.
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
		t.Errorf("a queue of %v s", queue)
	}
}

// If clients disconnect early, the answers that still arrive are the quick ones, and only unanswered attempts
// indicate the queue. Nodes once filled up with the work of those who had disconnected.
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
		t.Fatalf("queue %v", queue)
	}
}

// The queue of load reports counts once they have shown how long a queued request takes. An impossible report counts
// as none.
func TestReportedQueueCountsWhereItIsLonger(t *testing.T) {
	settings := baseSettings()
	settings.Plans[0].Reserve = 1000 // an unreserved request would be rejected for the queue at the node
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
		t.Errorf("ten waiting: queue %v", q)
	}
	if q := queue(-7); q > 0 {
		t.Errorf("impossible report: queue %v", q)
	}
}
