package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A node that was not heard for long is taken to have the median queue of those that were: one slow node of
// three does not shut the others, an overload of most does.
func TestFleetMedianQueueIsThePriorOfAnUnobservedNode(t *testing.T) {
	for slow, refused := range map[int]int{1: 0, 2: 1} {
		h := newHarness(t, baseSettings())
		h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "c", Shard: 2}, {ID: "d", Shard: 3}}})
		for i, id := range []string{"a", "b", "c"} {
			n := h.nodes[id]
			n.minLatency, n.latency, n.queueWeight, n.lastServedAt = 0.05, 0.05, 1, h.now
			if i < slow {
				n.queueTime = 2
			}
		}
		h.advance(30 * ms)
		h.arrive(Request{Shard: 3})
		h.wantActions("refuse", refused)
	}
}

// An attempt that is out far longer than its work explains tells of a queue before its answer does, unless a
// later one was served or it has been out for so long that its answer is more likely lost.
func TestOverdueAttemptIndicatesAQueue(t *testing.T) {
	queue := func(out time.Duration, passed int) float64 {
		h := newHarness(t, baseSettings())
		n := h.nodes["a"]
		n.minLatency, n.latency = 0.02, 0.02
		h.arrive(Request{})
		h.advance(out)
		n.pending[0].overtaken = passed
		h.updateFleetEstimates()
		return h.estimatedQueueTime(n)
	}
	if q := queue(400*ms, 0); q < 0.1 {
		t.Errorf("overdue: queue %v", q)
	}
	if q := queue(400*ms, 1); q > 0 {
		t.Errorf("passed by a later one: queue %v", q)
	}
	if q := queue(lostAfterObjectives*500*ms-100*ms, 0); q < 1 {
		t.Errorf("out for long: queue %v", q)
	}
}

// A client that leaves after a moment tells nothing of a queue.
func TestEarlyDisconnectIndicatesNoQueue(t *testing.T) {
	h := newHarness(t, baseSettings())
	for range 8 {
		h.endAttempt(h.arrive(Request{}), 0, Served)
	}
	id := h.arrive(Request{})
	h.now += 15 * ms
	h.ClientDisconnected(h.now, id)
	if h.endAttempt(id, 0, Canceled); h.nodes["a"].queueTime > 0 {
		t.Errorf("a queue of %v s", h.nodes["a"].queueTime)
	}
}

// Where clients leave early, the answers that are still seen are the quick ones: only unanswered attempts tell of
// the queue. Nodes once filled up with the work of those who had left.
func TestUnansweredAttemptIndicatesAQueue(t *testing.T) {
	h := newHarness(t, baseSettings())
	n := h.nodes["a"]
	n.minLatency, n.latency = 0.02, 0.02
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
	if q := h.estimatedQueueTime(n); q < 0.05 {
		t.Fatalf("queue %v", q)
	}
}

// The queue that answers report counts once they have shown how long a queued request takes; an impossible
// report counts as none.
func TestReportedQueueCountsWhereItIsLonger(t *testing.T) {
	set := baseSettings()
	set.Plans[0].Reserve = 1000 // beyond the reserve a queue at the node is a ground to refuse
	queue := func(queued float64) float64 {
		h := newHarness(t, set)
		n := h.nodes["a"]
		for i := range 30 {
			id := h.arrive(Request{Key: fmt.Sprint(i)})
			latency := 400 * ms
			if i == 29 {
				latency = 20 * ms
			}
			n.queueTime, n.queueWeight, n.minLatency, n.latency = 0, 0, 0.02, 0.02
			h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: Served, Latency: latency, Concluded: true, VolumeUse: -1,
				Load: &Load{InFlight: -1, Queued: queued, Busy: -1}})
		}
		return n.queueTime
	}
	if q := queue(10); q < 0.1 {
		t.Errorf("ten waiting: queue %v", q)
	}
	if q := queue(-7); q > 0 {
		t.Errorf("impossible report: queue %v", q)
	}
}
