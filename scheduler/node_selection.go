package scheduler

import (
	"math"
	"time"
)

// selection is the result of selecting a node for a request. Without a node, the request is rejected if
// rejected is set; otherwise it waits as unassigned until a node may take it.
type selection struct {
	node       *nodeState
	rejected   bool
	retryAfter time.Duration // time after which a retry of a rejected request may succeed
}

// enqueue selects a node for a request, puts the request into the node's queue, and rejects the requests of
// this queue that are now late. It rejects the request if the selection says so, and keeps it as unassigned
// if no node may take it now.
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

// selectNode selects the node with the shortest expected wait. If the settings define tiers of zones, zone
// failover decides which nodes are eligible.
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

// shortestWait returns the eligible node with the shortest expected wait, and that wait in seconds. It
// returns nil if the request may wait for no eligible node.
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

// anyNode is the filter of shortestWait under which every node is eligible.
func anyNode(*nodeState) bool { return true }

// holdsData reports whether the node is up and holds the data of the request. Any node may hold a new object.
func (n *nodeState) holdsData(request *requestState) bool {
	return n.Phase == Up && (request.Shard == AnyShard || request.Shard == n.Shard)
}

// mayWaitFor reports whether the request may be queued for the node: the node is up and holds its data, no
// restriction excludes the node, and an attempt there is safe.
func (s *Scheduler) mayWaitFor(request *requestState, node *nodeState) bool {
	return node.holdsData(request) &&
		s.restrictionLevel(request, node) < AvoidNode &&
		s.safeToRetry(request, node)
}

// expectedWait is the expected time, in seconds, until the node has served the request.
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

// unassignWaiting moves all requests that wait for the node to the unassigned ones, for reassign.
func (s *Scheduler) unassignWaiting(node *nodeState) {
	s.unassigned = append(s.unassigned, node.waiting...)
	node.waiting = nil
}

// reassign selects nodes for the unassigned requests. It rejects or fails those whose objective has passed,
// that may have no more attempts, or whose operation has to avoid all nodes that hold their data.
func (s *Scheduler) reassign() {
	unassigned := s.unassigned
	s.unassigned = nil
	for _, request := range unassigned {
		switch {
		case request.ended:
		case s.now >= request.objectiveAt || s.noMoreAttempts(request) || s.avoidedEverywhere(request):
			s.rejectOrFail(request, s.retryAfter(nil))
		default:
			s.enqueue(request)
		}
	}
}
