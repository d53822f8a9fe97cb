package scheduler

import (
	"time"

	"reachpulley/internal/zonefailover"
)

// Tuned values of the observations.
const (
	resetBurstSpan = 50 * time.Millisecond  // connections that break within it break for one reason
	minUnanswered  = 100 * time.Millisecond // attempts that end earlier do not show that a node is silent
)

// recordResponse records, for the zone tracker, whether an outcome shows that its node responds. A rejection and a
// connection that is refused at once show it as well as an answer.
func (s *Scheduler) recordResponse(attempt *attemptState, outcome Outcome) {
	if s.zoneTracker == nil {
		return
	}
	node := attempt.node
	idle := len(node.pending) == 0
	early := outcome.Latency < minUnanswered // nobody could expect a response yet
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

// markResponding records a response. The attempts that are still in flight may have been sent before it or after
// it, so they count as unanswered from now on.
func (s *Scheduler) markResponding(node *nodeState) {
	node.lastResponseAt = s.now
	node.unansweredSince = 0
	if len(node.pending) > 0 {
		node.unansweredSince = s.now
	}
}

// recordReset records that a connection broke. If all attempts broke, or two at once, the node may have restarted
// faster than anybody noticed; the endpoint list will say.
func (s *Scheduler) recordReset(node *nodeState) {
	if len(node.pending) == 0 || node.resetAt > 0 && s.now-node.resetAt < resetBurstSpan {
		node.down = true
	}
	node.resetAt = s.now
}

// ProbeEnded takes the result of a probe.
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

// markUnavailable records that the zone tracker holds the node to be unavailable. Attempts that are in flight there
// will say nothing about its queue once it has recovered.
func (s *Scheduler) markUnavailable(node *nodeState) {
	node.down = true
	node.recoveredAt = 0
	for _, attempt := range node.pending {
		attempt.discount()
	}
}

// endMistakenSlowStart ends the slow start of a node that recovered, once the endpoint list would have said that the
// node had restarted: then only the network path to it was cut.
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

// observation is what the zone tracker needs to know of the node.
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

// spareRate is the rate, in units a second, that the node has been seen to serve beyond what it serves now.
func (s *Scheduler) spareRate(node *nodeState) float64 {
	open := max(s.now-node.window.openedAt, windowDuration)
	return max(0, node.maxRate-node.window.units/open.Seconds())
}
