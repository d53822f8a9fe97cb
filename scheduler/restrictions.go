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
	for _, n := range s.listed {
		for _, r := range slices.Clone(n.waiting) {
			if r.Operation == restriction.Operation && !s.mayWaitFor(r, n) {
				n.waiting = removeRequest(n.waiting, r)
				s.unassigned = append(s.unassigned, r)
			}
		}
	}
	s.reassign()
	s.dispatch()
}

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
func (s *Scheduler) restrictionLevel(r *request, n *node) RestrictionLevel {
	if r.Operation == "" {
		return Unrestricted
	}
	return max(
		s.overflowRestriction,
		s.restrictions[restrictionKey{operation: r.Operation}],
		s.restrictions[restrictionKey{operation: r.Operation, node: n.ID}],
	)
}

// distrusted says whether a request that may have run at the node must not be sent again.
func (s *Scheduler) distrusted(r *request, n *node) bool {
	level := s.restrictionLevel(r, n)
	return level >= NoRetries || level == NoHedging && r.mayStillRun
}

// avoidedEverywhere says whether the operation of the request is to avoid all nodes that could take it, so
// that it waits in vain.
func (s *Scheduler) avoidedEverywhere(r *request) bool {
	found := false
	for _, n := range s.listed {
		if !n.holdsData(r) {
			continue
		}
		if s.restrictionLevel(r, n) < AvoidNode {
			return false
		}
		found = true
	}
	return found
}
