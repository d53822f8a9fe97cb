package scheduler

import (
	"slices"
	"time"
)

// MaxRestrictions is the largest number of restrictions that a Scheduler stores. Once it is reached, new
// restrictions are not stored; the strictest level among them applies to every request that names an
// operation, at every node.
const MaxRestrictions = 4096

// restrictionKey identifies what a restriction applies to.
type restrictionKey struct {
	operation string
	node      string // empty for a restriction that applies to all nodes
}

// Restrict sets how cautiously an operation is handled at a node from now on. Waiting requests that may no
// longer be sent to their node are reassigned, or rejected if no other node may take them.
func (s *Scheduler) Restrict(now time.Duration, restriction Restriction) {
	s.tick(now)
	s.setRestriction(restriction)
	for _, node := range s.listed {
		for _, request := range slices.Clone(node.waiting) {
			if request.Operation == restriction.Operation && !s.mayWaitFor(request, node) {
				node.waiting = removeRequest(node.waiting, request)
				s.unassigned = append(s.unassigned, request)
			}
		}
	}
	s.reassign()
	s.dispatch()
}

// setRestriction stores, replaces or lifts the restriction of an operation at a node.
func (s *Scheduler) setRestriction(restriction Restriction) {
	key := restrictionKey{operation: restriction.Operation, node: restriction.Node}
	_, known := s.restrictions[key]
	switch {
	case restriction.Level <= Unrestricted:
		delete(s.restrictions, key)
	case known || len(s.restrictions) < MaxRestrictions:
		s.restrictions[key] = restriction.Level
	default:
		s.overflowRestriction = max(s.overflowRestriction, restriction.Level)
	}
}

// restrictionLevel is the strictest level that applies to a request at a node. Requests without an operation
// are unrestricted.
func (s *Scheduler) restrictionLevel(request *requestState, node *nodeState) RestrictionLevel {
	if request.Operation == "" {
		return Unrestricted
	}
	return max(
		s.overflowRestriction,
		s.restrictions[restrictionKey{operation: request.Operation}],
		s.restrictions[restrictionKey{operation: request.Operation, node: node.ID}],
	)
}

// distrusted reports whether restrictions at the node forbid sending the request again after it may have run.
func (s *Scheduler) distrusted(request *requestState, node *nodeState) bool {
	level := s.restrictionLevel(request, node)
	return level >= NoRetries || level == NoHedging && request.mayStillRun
}

// avoidedEverywhere reports whether the operation of the request has to avoid every node that is up and holds
// its data, so that no node can take the request. It returns false if there is no such node.
func (s *Scheduler) avoidedEverywhere(request *requestState) bool {
	found := false
	for _, node := range s.listed {
		if !node.holdsData(request) {
			continue
		}
		if s.restrictionLevel(request, node) < AvoidNode {
			return false
		}
		found = true
	}
	return found
}
