package scheduler

import "time"

// The shortest and the longest backoff of a node that rejects requests or cannot be reached. The backoff
// doubles with each failure in a row, not counting failures during a backoff.
const (
	initialBackoff = 40 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// updateHealth updates the state of the node, and of the request's volume, with the outcome of an attempt.
func (s *Scheduler) updateHealth(attempt *attemptState, outcome Outcome) {
	switch outcome.Result {
	case Served:
		s.markServing(attempt)
		s.updateReserveShare(attempt.request.volume, attempt.request.Units, outcome.VolumeUse)
		s.recordServed(attempt.node, attempt.request, outcome.Latency, outcome.Load)
	case Canceled, TimedOut:
		s.recordUnansweredQueue(attempt.node, attempt)
	case Overloaded, ConnectFailed:
		s.backOff(attempt.node, outcome.Result)
	}
}

// markServing records that the node has served an attempt, and ends the node's backoff. The attempts that
// were sent earlier and are still pending have been overtaken by this one. If the node was down, it may just
// have restarted, so it counts as warming up since the attempt was sent.
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

// backOff starts the backoff of a node that rejected a request or could not be reached, unless the node is in
// backoff already. A single failed connection may come from a full connection table, so the node counts as
// down only when a connection fails at the second failure in a row or later.
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
