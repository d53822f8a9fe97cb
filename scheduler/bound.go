package scheduler

import (
	"cmp"
	"slices"
	"time"

	"reachpulley/internal/retrybudget"
)

// RetryPolicy tells how far a request may be repeated. As a part of a Request it narrows what the class allows and never widens it; the zero
// value narrows nothing.
type RetryPolicy struct {
	_           struct{}      `cbor:",toarray"`
	Idempotency Idempotency   `json:"Repeats"`
	Scope       DedupScope    `json:"Group"` // for Keyed: the nodes that discard a repeat
	Window      time.Duration `json:"For"`   // for Keyed: how long they discard it
}

// RetryPolicy is what the class allows.
func (c *Class) RetryPolicy() RetryPolicy {
	return RetryPolicy{Idempotency: c.Idempotency, Scope: c.DedupScope, Window: c.DedupWindow}
}

// NarrowedBy is what both allow. Groups of two kinds have no nodes in common that anybody vouches for.
func (b RetryPolicy) NarrowedBy(by RetryPolicy) RetryPolicy {
	switch {
	case b.Idempotency != by.Idempotency:
		if by.Idempotency > b.Idempotency {
			return by
		}
		return b
	case b.Idempotency != IdempotentWithKey:
		return b
	case b.Scope != by.Scope && b.Scope != ScopeAll && by.Scope != ScopeAll:
		return RetryPolicy{Idempotency: NonIdempotent}
	}
	return RetryPolicy{Idempotency: IdempotentWithKey, Scope: max(b.Scope, by.Scope), Window: min(b.Window, by.Window)}
}

// RestrictionLevel is how carefully an operation is handled at a node that was seen to contradict its description. Each level holds what is below it.
type RestrictionLevel int

// The levels of Care.
const (
	Unrestricted RestrictionLevel = iota
	NoHedging                     // what may still run is not sent again
	NoRetries                     // what may have run is not sent again, and a claim not to have run is not believed
	AvoidNode                     // nothing new is sent while another node may take it; where none may, it is refused
)

// Restriction tells how carefully to handle an operation at a node; Node "" stands for all nodes.
type Restriction struct {
	Operation string
	Node      string
	Level     RestrictionLevel
}

// MaxRestrictions bounds the Cautions above Unrestricted that a Scheduler holds. Beyond it, all operations that have one are handled as the most
// careful Caution that found no room says, at every node.
const MaxRestrictions = 4096

type careKey struct{ operation, node string }

// Restriction takes how carefully an operation is to be handled from now on.
func (s *Scheduler) Restrict(now time.Duration, c Restriction) {
	s.tick(now)
	key := careKey{c.Operation, c.Node}
	switch _, known := s.cares[key]; {
	case c.Level <= Unrestricted:
		delete(s.cares, key)
	case known || len(s.cares) < MaxRestrictions:
		s.cares[key] = c.Level
	default:
		s.careful = max(s.careful, c.Level)
	}
	for _, n := range s.listed { // what waits may have to go elsewhere, or nowhere
		for _, r := range slices.Clone(n.waiting) {
			if r.Operation == c.Operation && !s.mayHold(r, n) {
				n.waiting = slices.DeleteFunc(n.waiting, func(w *request) bool { return w == r })
				s.homeless = append(s.homeless, r)
			}
		}
	}
	s.rehouse()
	s.pump()
}

// care is how carefully a request is to be handled at a node.
func (s *Scheduler) care(r *request, n *node) RestrictionLevel {
	if r.Operation == "" {
		return Unrestricted
	}
	return max(s.careful, s.cares[careKey{r.Operation, ""}], s.cares[careKey{r.Operation, n.ID}])
}

// doubted tells whether what may have run at a node is not to be sent again.
func (s *Scheduler) doubted(r *request, n *node) bool {
	care := s.care(r, n)
	return care >= NoRetries || care == NoHedging && r.mayRun
}

// cautions gives what a snapshot keeps.
func (s *Scheduler) cautions() (out []Restriction) {
	for key, level := range s.cares {
		out = append(out, Restriction{key.operation, key.node, level})
	}
	slices.SortFunc(out, func(a, b Restriction) int {
		return cmp.Or(cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Node, b.Node))
	})
	return out
}

// earned asks the budget of further attempts, where there is one.
func (s *Scheduler) earned(r *request, n *node) bool {
	if s.budget == nil || s.budget.Take(s.now, retryKey(r, n)) {
		return true
	}
	s.log("further attempts of class %s at node %s are not earned", r.class.Name, n.ID)
	return false
}

// spent tells the budget how an attempt ended.
func (s *Scheduler) spent(a *attempt, result Result) {
	if s.budget != nil {
		s.budget.AttemptEnded(s.now, retryKey(a.request, a.node), a.number > 0, result == Served)
	}
}

func retryKey(r *request, n *node) retrybudget.Key {
	return retrybudget.Key{Operation: r.Operation, Class: r.Class, Shard: n.Shard, Zone: n.Zone}
}

// avoided tells whether all nodes that might take a request are to be avoided for its operation: waiting for them is of no use.
func (s *Scheduler) avoided(r *request) bool {
	found := false
	for _, n := range s.listed {
		if n.Phase == Up && (r.Shard == AnyShard || r.Shard == n.Shard) {
			if found = true; s.care(r, n) < AvoidNode {
				return false
			}
		}
	}
	return found
}

// RetryWindowLeft tells within what time the latest attempt of a request has to begin, where nodes discard repeats for some time only: the way to
// a node may outlast the rest of it. It may be asked while the attempt is being sent.
func (s *Scheduler) RetryWindowLeft(id string) (within time.Duration, bound bool) {
	r := s.requests[id]
	if r == nil || r.bound.Idempotency != IdempotentWithKey || r.ranOn == nil || r.ranBy == r.attempts-1 {
		return 0, false
	}
	return r.ranAt + r.bound.Window - s.now, true
}
