package scheduler

import "time"

// The pauses of a node that rejects requests or cannot be reached; ours.
const (
	initialBackoff = 40 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// updateHealth updates what is known of a node by the outcome of an attempt.
func (s *Scheduler) updateHealth(a *attempt, o Outcome) {
	switch o.Result {
	case Served:
		s.markServing(a)
		s.meterReserve(a.request.volume, a.request.Units, o.VolumeUse)
		s.recordServed(a.node, a.request, o.Latency, o.Load)
	case Canceled, TimedOut:
		s.recordUnansweredQueue(a.node, a)
	case Overloaded, ConnectFailed:
		s.backOff(a.node, o.Result)
	}
}

// markServing records that the node has served an attempt. If the node was down, it may have restarted just
// before that and is warming up.
func (s *Scheduler) markServing(a *attempt) {
	n := a.node
	for _, other := range n.pending {
		if other.sentAt < a.sentAt {
			other.overtaken++
		}
	}
	if n.down {
		n.down = false
		n.warmingSince = max(n.warmingSince, a.sentAt)
	}
	n.failures = 0
	n.backoffUntil = 0
}

// backOff pauses a node that rejected a request or could not be reached. One failed connection alone may come
// from a full table of connections; the node is down after the second.
func (s *Scheduler) backOff(n *node, result Result) {
	if s.now >= n.backoffUntil {
		n.backoffUntil = s.now + min(initialBackoff<<min(n.failures, 10), maxBackoff)
		n.failures++
	}
	if result == ConnectFailed && n.failures > 1 {
		n.down = true
		s.logf("node %s cannot be reached: held for %v", n.ID, n.backoffUntil-s.now)
	}
}
