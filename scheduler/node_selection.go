package scheduler

import (
	"math"
	"time"
)

// selection is where a request goes: to a node; or nowhere until the membership changes, without a node; or,
// if it is rejected, back to the client.
type selection struct {
	node       *nodeState
	rejected   bool
	retryAfter time.Duration // when a rejected request may be of use again
}

// enqueue selects the node for a request and puts it into the node's queue.
func (s *Scheduler) enqueue(request *requestState) {
	selected := s.selectNode(request)
	if selected.rejected {
		retryAfter := min(selected.retryAfter, s.settings.Allowed.MaxRetryAfter)
		s.rejectOrFail(request, max(s.retryAfter(nil), retryAfter))
		return
	}
	request.node = selected.node
	if request.node == nil {
		s.unassigned = append(s.unassigned, request)
		return
	}
	request.node.waiting = append(request.node.waiting, request)
	s.rejectLate(request.node)
}

// selectNode selects the node with the shortest expected wait, within the tiers of zones if the settings have
// any.
func (s *Scheduler) selectNode(request *requestState) selection {
	request.spilledOver = false
	switch {
	case s.zoneTracker == nil:
		node, _ := s.shortestWait(request, anyNode)
		return selection{node: node}
	case request.Shard == AnyShard:
		return s.selectForNewObject(request)
	default:
		return s.selectForData(request)
	}
}

// shortestWait returns the eligible node with the shortest expected wait and that wait, in seconds; nil if
// the request may wait for none.
func (s *Scheduler) shortestWait(
	request *requestState, eligible func(*nodeState) bool,
) (best *nodeState, shortest float64) {
	nodes := s.listed
	if request.Shard != AnyShard {
		nodes = s.nodesByShard[request.Shard]
	}
	shortest = math.Inf(1)
	for _, node := range nodes {
		if !s.mayWaitFor(request, node) || !eligible(node) {
			continue
		}
		if wait := s.expectedWait(request, node); wait < shortest {
			best = node
			shortest = wait
		}
	}
	return best, shortest
}

// anyNode makes every node eligible.
func anyNode(*nodeState) bool { return true }

// holdsData says whether the node is up and holds the data of the request, as any node does for a new object.
func (n *nodeState) holdsData(request *requestState) bool {
	return n.Phase == Up && (request.Shard == AnyShard || request.Shard == n.Shard)
}

// mayWaitFor says whether the request may wait for the node.
func (s *Scheduler) mayWaitFor(request *requestState, node *nodeState) bool {
	return node.holdsData(request) &&
		s.restrictionLevel(request, node) < AvoidNode &&
		s.safeToRetry(request, node)
}

// expectedWait is the time, in seconds, until the node would have served the request.
func (s *Scheduler) expectedWait(request *requestState, node *nodeState) float64 {
	unitsAhead := node.unitsInFlight + node.waitingUnits()
	atNode := s.estimatedQueueTime(node) + s.serviceTime(request, node)
	wait := atNode * (1 + unitsAhead/s.settings.Sizes.MeanUnits)
	if s.now < node.backoffUntil {
		wait += (node.backoffUntil - s.now).Seconds()
	}
	if !s.guardSlowStart(request, node) {
		wait += s.settings.Rules.SlowStartWindow.Seconds()
	}
	return wait
}

// unassignWaiting takes all requests that wait for the node out of its queue, to be reassigned.
func (s *Scheduler) unassignWaiting(node *nodeState) {
	s.unassigned = append(s.unassigned, node.waiting...)
	node.waiting = nil
}

// reassign selects nodes for requests that have none. It rejects those for which that is too late or in vain.
func (s *Scheduler) reassign() {
	unassigned := s.unassigned
	s.unassigned = nil
	for _, request := range unassigned {
		switch {
		case request.ended:
		case s.now >= request.objectiveAt || s.exhausted(request) || s.avoidedEverywhere(request):
			s.rejectOrFail(request, s.retryAfter(nil))
		default:
			s.enqueue(request)
		}
	}
}
