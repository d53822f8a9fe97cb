package scheduler

import (
	"slices"
	"time"
)

// MaxRestrictions is the number of restrictions that a Scheduler holds. Beyond it, the strictest restriction
// that found no place applies to all operations that have a name, at every node.
const MaxRestrictions = 4096

type restrictionKey struct {
	operation string
	node      string // empty: all nodes
}

// Restrict sets how cautiously an operation is handled at a node from now on. Requests that wait for the node
// are reassigned, or rejected if no other node may take them.
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

// setRestriction replaces the restriction of an operation at a node.
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

// restrictionLevel is how cautiously a request is handled at a node.
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

// distrusted says whether a request that may have run at the node must not be sent again.
func (s *Scheduler) distrusted(request *requestState, node *nodeState) bool {
	level := s.restrictionLevel(request, node)
	return level >= NoRetries || level == NoHedging && request.mayStillRun
}

// avoidedEverywhere says whether the operation of the request is to avoid all nodes that could take it, so
// that it waits in vain.
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
