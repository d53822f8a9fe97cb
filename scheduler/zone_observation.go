package scheduler

import (
	"time"

	"reachpulley/internal/zonefailover"
)

const (
	// resetBurstSpan is the time within which two connections to a node that break are taken to have broken for the
	// same reason.
	resetBurstSpan = 50 * time.Millisecond
	// minUnanswered is the time that an unanswered attempt has to last to show that a node does not respond.
	minUnanswered = 100 * time.Millisecond
)

// recordResponse records, for the zone tracker, whether an outcome shows that its node responds. Answers, rejections
// and connections that are refused quickly show this. An attempt that ends before a response could be expected shows
// neither that the node responds nor that it does not.
func (s *Scheduler) recordResponse(attempt *attemptState, outcome Outcome) {
	if s.zoneTracker == nil {
		return
	}
	node := attempt.node
	idle := len(node.pending) == 0
	early := outcome.Latency < minUnanswered // too early to expect a response
	switch outcome.Result {
	case Served, Errored, Overloaded:
		s.markResponding(node)
		if node.down {
			node.recoveredAt = s.now
		}
	case ConnectFailed:
		if 2*outcome.Latency < s.settings.Allowed.ConnectTimeout {
			s.markResponding(node)
		}
	case NotSent:
		if idle && (early || node.unansweredSince == attempt.sentAt) {
			node.unansweredSince = 0
		}
	default:
		if outcome.Result == ConnectionReset {
			s.recordReset(node)
		}
		if idle && early {
			node.unansweredSince = 0
		}
	}
}

// markResponding records a response of the node. The attempts that are still in flight may have been sent before or
// after the node gave it, so they count as unanswered only from now on.
func (s *Scheduler) markResponding(node *nodeState) {
	node.lastResponseAt = s.now
	node.unansweredSince = 0
	if len(node.pending) > 0 {
		node.unansweredSince = s.now
	}
}

// recordReset records that a connection to the node broke. If no other attempt is pending, or two connections broke
// within resetBurstSpan, the node may have restarted so quickly that no attempt to connect failed. It then counts as
// down; the endpoint list will show later whether it did restart.
func (s *Scheduler) recordReset(node *nodeState) {
	if len(node.pending) == 0 || node.resetAt > 0 && s.now-node.resetAt < resetBurstSpan {
		node.down = true
	}
	node.resetAt = s.now
}

// ProbeEnded reports the result of a probe. Only a probe that was served changes what is known of the node.
func (s *Scheduler) ProbeEnded(now time.Duration, probe ProbeResult) {
	s.tick(now)
	node := s.nodes[probe.Node]
	if s.zoneTracker == nil || node == nil || !probe.Served {
		return
	}
	node.lastResponseAt = s.now
	node.unansweredSince = 0
	if node.down {
		node.recoveredAt = s.now
	}
}

// markUnavailable records that the zone tracker considers the node unavailable. The attempts that are pending there no
// longer count as in flight, because they say nothing about the node's queue once it has recovered.
func (s *Scheduler) markUnavailable(node *nodeState) {
	node.down = true
	node.recoveredAt = 0
	for _, attempt := range node.pending {
		attempt.discount()
	}
}

// endMistakenSlowStart ends the slow start of a recovered node if the endpoint list is current and does not report a
// restart within the membership delay. Then only the network path to the node was cut, and the node has stayed warm.
func (s *Scheduler) endMistakenSlowStart(node *nodeState) {
	delay := s.settings.ZoneFailover.MembershipDelay
	if node.recoveredAt == 0 || delay == 0 || s.now-node.recoveredAt < delay {
		return
	}
	membershipCurrent := s.nextWatchAt == 0
	restarted := node.StartedAt >= node.recoveredAt-delay
	if membershipCurrent && !restarted && node.warmingSince > node.StartedAt && node.failures == 0 {
		node.warmingSince = node.StartedAt
	}
	node.recoveredAt = 0
}

// observation returns what the zone tracker needs to know of the node: its entry, its latency and when it responded.
func (s *Scheduler) observation(node *nodeState) zonefailover.Observation {
	observation := zonefailover.Observation{
		ID:           node.ID,
		Zone:         node.Zone,
		Size:         node.Size,
		Removed:      node.Phase != Up,
		LastResponse: node.lastResponseAt,
		UsualLatency: toDuration(node.latency),
	}
	if node.unansweredSince > 0 {
		observation.UnansweredFor = s.now - node.unansweredSince
	}
	return observation
}

// spareRate returns the difference between the highest rate that the node has served and its current rate, in units
// a second.
func (s *Scheduler) spareRate(node *nodeState) float64 {
	open := max(s.now-node.window.openedAt, windowDuration)
	return max(0, node.maxRate-node.window.units/open.Seconds())
}
