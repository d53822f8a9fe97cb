package scheduler

import (
	"time"

	"reachpulley/internal/zonefailover"
)

// Tuned values of the observations; ours.
const (
	resetBurstSpan = 50 * time.Millisecond  // connections that break within it break for one reason
	minUnanswered  = 100 * time.Millisecond // attempts that end earlier say nothing about a silent node
)

// recordResponse records, for the zone tracker, whether an outcome is a sign of life of its node. A rejection and
// a connection that is refused at once are as good as an answer.
func (s *Scheduler) recordResponse(a *attempt, o Outcome) {
	if s.zoneTracker == nil {
		return
	}
	n := a.node
	idle := len(n.pending) == 0
	early := o.Latency < minUnanswered // nobody could expect a response yet
	switch o.Result {
	case Served, Errored, Overloaded:
		s.markResponding(n)
		if n.down {
			n.recoveredAt = s.now
		}
	case ConnectFailed:
		if 2*o.Latency < s.settings.Allowed.ConnectTimeout {
			s.markResponding(n)
		}
	case NotSent:
		if idle && (early || n.unansweredSince == a.sentAt) {
			n.unansweredSince = 0
		}
	default:
		if o.Result == ConnectionReset {
			s.recordReset(n)
		}
		if idle && early {
			n.unansweredSince = 0
		}
	}
}

// markResponding records a sign of life. The attempts that are still in flight may have been sent before it or
// after it, so they count as unanswered from now on.
func (s *Scheduler) markResponding(n *node) {
	n.lastResponseAt = s.now
	n.unansweredSince = 0
	if len(n.pending) > 0 {
		n.unansweredSince = s.now
	}
}

// recordReset records that a connection broke. If all attempts broke, or two at once, the node may have restarted
// faster than anybody noticed; the endpoint list will say.
func (s *Scheduler) recordReset(n *node) {
	if len(n.pending) == 0 || n.resetAt > 0 && s.now-n.resetAt < resetBurstSpan {
		n.down = true
	}
	n.resetAt = s.now
}

// ProbeEnded takes the result of a probe.
func (s *Scheduler) ProbeEnded(now time.Duration, probe ProbeResult) {
	s.tick(now)
	n := s.nodes[probe.Node]
	if s.zoneTracker == nil || n == nil || !probe.Served {
		return
	}
	n.lastResponseAt = s.now
	n.unansweredSince = 0
	if n.down {
		n.recoveredAt = s.now
	}
}

// markUnavailable records that the zone tracker holds the node to be unavailable. Attempts that are in flight there
// will say nothing about its queue once it has recovered.
func (s *Scheduler) markUnavailable(n *node) {
	n.down = true
	n.recoveredAt = 0
	for _, a := range n.pending {
		a.discount()
	}
}

// clearFalseWarming ends the slow start of a node that recovered, once the endpoint list would have said that the
// node had restarted: then only the network path to it was cut.
func (s *Scheduler) clearFalseWarming(n *node) {
	delay := s.settings.ZoneFailover.MembershipDelay
	if n.recoveredAt == 0 || delay == 0 || s.now-n.recoveredAt < delay {
		return
	}
	membershipCurrent := s.nextWatchAt == 0
	restarted := n.StartedAt >= n.recoveredAt-delay
	if membershipCurrent && !restarted && n.warmingSince > n.StartedAt && n.failures == 0 {
		n.warmingSince = n.StartedAt
	}
	n.recoveredAt = 0
}

// observation is what the zone tracker is told of the node.
func (s *Scheduler) observation(n *node) zonefailover.Observation {
	observation := zonefailover.Observation{
		ID:           n.ID,
		Zone:         n.Zone,
		Size:         n.Size,
		Removed:      n.Phase != Up,
		LastResponse: n.lastResponseAt,
		UsualLatency: toDuration(n.latency),
	}
	if n.unansweredSince > 0 {
		observation.UnansweredFor = s.now - n.unansweredSince
	}
	return observation
}

// spareRate is the rate, in units a second, that the node has been seen to serve beyond what it serves now.
func (s *Scheduler) spareRate(n *node) float64 {
	open := max(s.now-n.window.openedAt, windowDuration)
	return max(0, n.maxRate-n.window.units/open.Seconds())
}
