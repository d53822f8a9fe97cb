package scheduler

import (
	"cmp"
	"slices"
	"time"

	"reachpulley/internal/retrybudget"
)

// Bound tells how far a request may be repeated. As a part of a Request it narrows what the class allows and never widens it; the zero
// value narrows nothing.
type Bound struct {
	_       struct{} `cbor:",toarray"`
	Repeats Repeats
	Group   Group         // for Keyed: the nodes that discard a repeat
	For     time.Duration // for Keyed: how long they discard it
}

// Bound is what the class allows.
func (c *Class) Bound() Bound {
	return Bound{Repeats: c.Repeats, Group: c.RepeatGroup, For: c.RepeatFor}
}

// Narrowed is what both allow. Groups of two kinds have no nodes in common that anybody vouches for.
func (b Bound) Narrowed(by Bound) Bound {
	switch {
	case b.Repeats != by.Repeats:
		if by.Repeats > b.Repeats {
			return by
		}
		return b
	case b.Repeats != Keyed:
		return b
	case b.Group != by.Group && b.Group != GroupAll && by.Group != GroupAll:
		return Bound{Repeats: Unsafe}
	}
	return Bound{Repeats: Keyed, Group: max(b.Group, by.Group), For: min(b.For, by.For)}
}

// Care is how carefully an operation is handled at a node that was seen to contradict its description. Each level holds what is below it.
type Care int

// The levels of Care.
const (
	CareNone    Care = iota
	CareCopies       // what may still run is not sent again
	CareRepeats      // what may have run is not sent again, and a claim not to have run is not believed
	CareAvoid        // nothing new is sent while another node may take it; where none may, it is refused
)

// Caution tells how carefully to handle an operation at a node; Node "" stands for all nodes.
type Caution struct {
	Operation string
	Node      string
	Level     Care
}

// MostCautions bounds the Cautions above CareNone that a Scheduler holds. Beyond it, all operations that have one are handled as the most
// careful Caution that found no room says, at every node.
const MostCautions = 4096

type careKey struct{ operation, node string }

// Caution takes how carefully an operation is to be handled from now on.
func (s *Scheduler) Caution(now time.Duration, c Caution) {
	s.tick(now)
	key := careKey{c.Operation, c.Node}
	switch _, known := s.cares[key]; {
	case c.Level <= CareNone:
		delete(s.cares, key)
	case known || len(s.cares) < MostCautions:
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
func (s *Scheduler) care(r *request, n *node) Care {
	if r.Operation == "" {
		return CareNone
	}
	return max(s.careful, s.cares[careKey{r.Operation, ""}], s.cares[careKey{r.Operation, n.ID}])
}

// doubted tells whether what may have run at a node is not to be sent again.
func (s *Scheduler) doubted(r *request, n *node) bool {
	care := s.care(r, n)
	return care >= CareRepeats || care == CareCopies && r.mayRun
}

// cautions gives what a snapshot keeps.
func (s *Scheduler) cautions() (out []Caution) {
	for key, level := range s.cares {
		out = append(out, Caution{key.operation, key.node, level})
	}
	slices.SortFunc(out, func(a, b Caution) int {
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
		s.budget.Ended(s.now, retryKey(a.request, a.node), a.number > 0, result == Served)
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
			if found = true; s.care(r, n) < CareAvoid {
				return false
			}
		}
	}
	return found
}

// BeginWithin tells within what time the latest attempt of a request has to begin, where nodes discard repeats for some time only: the way to
// a node may outlast the rest of it. It may be asked while the attempt is being sent.
func (s *Scheduler) BeginWithin(id string) (within time.Duration, bound bool) {
	r := s.requests[id]
	if r == nil || r.bound.Repeats != Keyed || r.ranOn == nil || r.ranBy == r.attempts-1 {
		return 0, false
	}
	return r.ranAt + r.bound.For - s.now, true
}
