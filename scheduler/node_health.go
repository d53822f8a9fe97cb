package scheduler

import "time"

// The pauses of a node that rejects requests or cannot be reached; ours.
const (
	initialBackoff = 40 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// updateHealth updates what is known of a node, and of the volume, by the outcome of an attempt.
func (s *Scheduler) updateHealth(attempt *attemptState, outcome Outcome) {
	switch outcome.Result {
	case Served:
		s.markServing(attempt)
		s.meterReserve(attempt.request.volume, attempt.request.Units, outcome.VolumeUse)
		s.recordServed(attempt.node, attempt.request, outcome.Latency, outcome.Load)
	case Canceled, TimedOut:
		s.recordUnansweredQueue(attempt.node, attempt)
	case Overloaded, ConnectFailed:
		s.backOff(attempt.node, outcome.Result)
	}
}

// markServing records that the node has served an attempt, before those that were sent earlier and are still
// pending. If the node was down, it may have restarted just before that, so it counts as warming up.
func (s *Scheduler) markServing(attempt *attemptState) {
	node := attempt.node
	for _, other := range node.pending {
		if other.sentAt < attempt.sentAt {
			other.overtaken++
		}
	}
	if node.down {
		node.down = false
		node.warmingSince = max(node.warmingSince, attempt.sentAt)
	}
	node.failures = 0
	node.backoffUntil = 0
}

// backOff pauses a node that rejected a request or could not be reached. One failed connection alone may come
// from a full table of connections; the node is down after the second.
func (s *Scheduler) backOff(node *nodeState, result Result) {
	if s.now >= node.backoffUntil {
		node.backoffUntil = s.now + min(initialBackoff<<min(node.failures, 10), maxBackoff)
		node.failures++
	}
	if result == ConnectFailed && node.failures > 1 {
		node.down = true
		s.logf("node unreachable: node=%s backoff=%v", node.ID, node.backoffUntil-s.now)
	}
}
