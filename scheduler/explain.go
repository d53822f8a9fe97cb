package scheduler

import (
	"math"
	"time"
)

// Candidate tells how a node stood before a request: what a choice between the nodes would go by.
type Candidate struct {
	Node        string
	Phase       Phase
	Expected    time.Duration // until the node would have served the request
	Queue       time.Duration // that its queue takes
	ServiceTime time.Duration // that the request takes there without a queue
	InFlight    float64       // units
	Waiting     float64       // units
	Cap         float64       // units
	Backoff     time.Duration // left of a pause
	WarmingUp   bool
	BlockedBy   string // what keeps the request from leaving for it now; empty: nothing does
}

// Explain tells how every listed node stands before a request, one that is held or one that might come. It may move the stores of
// volumes on in time, so it is for copies of a Scheduler, as Resume makes them, and never for one that decides.
func (s *Scheduler) Explain(q Request) []Candidate {
	if q.Class < 0 || q.Class >= len(s.set.Classes) {
		return nil
	}
	r := s.requests[q.ID]
	if r == nil {
		r = &request{Request: q, class: &s.set.Classes[q.Class], sequence: math.MaxUint64, luck: 1, volume: s.volumeOf(q)}
		s.times(r)
	}
	var out []Candidate
	for _, n := range s.listed {
		c := Candidate{Node: n.ID, Phase: n.Phase, Expected: seconds(s.expected(n, r)), Queue: seconds(s.queueAt(n)), ServiceTime: seconds(s.ownTime(n, r)),
			InFlight: n.out, Waiting: n.queuedUnits(), Cap: n.cap, WarmingUp: s.cold(n), Backoff: max(0, n.holdUntil-s.now), BlockedBy: s.bars(r, n)}
		out = append(out, c)
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bars names the first guard that keeps a request from a node, in the order in which they are asked.
func (s *Scheduler) bars(r *request, n *node) string {
	switch {
	case r.Shard != AnyShard && r.Shard != n.Shard:
		return "it has not the data"
	case !s.guardAnswer(r):
		return "the request has ended"
	case !s.guardDrain(n):
		return "it drains or is gone"
	case s.now < n.holdUntil:
		return "it rests after it could not be reached or was full"
	case len(r.open) > 0:
		return "an attempt is out"
	case !s.guardRepeat(r, n):
		return "the class allows no further attempt there"
	case !s.guardOrder(r):
		return "an earlier request of the key goes first"
	case !s.guardLimit(r):
		return "the volume's limit is used up"
	case !s.guardCold(r, n):
		return "it is cold and has had its part"
	case !s.guardBudget(r):
		return "the budget of further attempts is used up"
	case !s.fits(r, n):
		return "its cap is full"
	}
	return ""
}
