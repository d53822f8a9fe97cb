package scheduler

import (
	"math"
	"time"
)

// selection is where a request goes: to a node; or nowhere until the membership changes, without a node; or,
// if it is rejected, back to the client.
type selection struct {
	node       *node
	rejected   bool
	retryAfter time.Duration // when a rejected request may be of use again
}

// enqueue selects the node for a request and puts it into the node's queue.
func (s *Scheduler) enqueue(r *request) {
	selected := s.selectNode(r)
	if selected.rejected {
		retryAfter := min(selected.retryAfter, s.settings.Allowed.MaxRetryAfter)
		s.rejectOrFail(r, max(s.retryAfter(nil), retryAfter))
		return
	}
	r.node = selected.node
	if r.node == nil {
		s.unassigned = append(s.unassigned, r)
		return
	}
	r.node.waiting = append(r.node.waiting, r)
	s.rejectLate(r.node)
}

// selectNode selects the node with the shortest expected wait, within the tiers of zones if the settings have
// any.
func (s *Scheduler) selectNode(r *request) selection {
	r.spilledOver = false
	switch {
	case s.zoneTracker == nil:
		n, _ := s.shortestWait(r, anyNode)
		return selection{node: n}
	case r.Shard == AnyShard:
		return s.selectForNewObject(r)
	default:
		return s.selectForData(r)
	}
}

// shortestWait returns the eligible node with the shortest expected wait and that wait, in seconds; nil if
// the request may wait for none.
func (s *Scheduler) shortestWait(r *request, eligible func(*node) bool) (*node, float64) {
	nodes := s.listed
	if r.Shard != AnyShard {
		nodes = s.nodesByShard[r.Shard]
	}
	var best *node
	shortest := math.Inf(1)
	for _, n := range nodes {
		if !s.mayWaitFor(r, n) || !eligible(n) {
			continue
		}
		if wait := s.expectedWait(n, r); wait < shortest {
			best = n
			shortest = wait
		}
	}
	return best, shortest
}

// anyNode makes every node eligible.
func anyNode(*node) bool { return true }

// holdsData says whether the node is up and holds the data of the request, as any node does for a new object.
func (n *node) holdsData(r *request) bool {
	return n.Phase == Up && (r.Shard == AnyShard || r.Shard == n.Shard)
}

// mayWaitFor says whether the request may wait for the node.
func (s *Scheduler) mayWaitFor(r *request, n *node) bool {
	return n.holdsData(r) && s.restrictionLevel(r, n) < AvoidNode && s.safeToRetry(r, n)
}

// expectedWait is the time, in seconds, until the node would have served the request.
func (s *Scheduler) expectedWait(n *node, r *request) float64 {
	unitsAhead := n.unitsInFlight + n.waitingUnits()
	atNode := s.estimatedQueueTime(n) + s.serviceTime(n, r)
	wait := atNode * (1 + unitsAhead/s.settings.Sizes.MeanUnits)
	if s.now < n.backoffUntil {
		wait += (n.backoffUntil - s.now).Seconds()
	}
	if !s.guardSlowStart(r, n) {
		wait += s.settings.Rules.SlowStartWindow.Seconds()
	}
	return wait
}

// unassignWaiting takes all requests that wait for the node out of its queue, to be reassigned.
func (s *Scheduler) unassignWaiting(n *node) {
	s.unassigned = append(s.unassigned, n.waiting...)
	n.waiting = nil
}

// reassign selects nodes for requests that have none. It rejects those for which that is too late or in vain.
func (s *Scheduler) reassign() {
	unassigned := s.unassigned
	s.unassigned = nil
	for _, r := range unassigned {
		switch {
		case r.ended:
		case s.now >= r.objectiveAt || s.exhausted(r) || s.avoidedEverywhere(r):
			s.rejectOrFail(r, s.retryAfter(nil))
		default:
			s.enqueue(r)
		}
	}
}
