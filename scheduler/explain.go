package scheduler

import (
	"math"
	"time"
)

// Candidate says how a node stood before a request, in the terms by which nodes are selected.
type Candidate struct {
	Node        string
	Phase       Phase
	Expected    time.Duration // until the node would have served the request
	Queue       time.Duration // that its queue takes
	ServiceTime time.Duration // that the request takes there without a queue
	InFlight    float64       // units
	Waiting     float64       // units
	Cap         float64       // concurrency limit, in units
	Backoff     time.Duration // left of its pause
	WarmingUp   bool
	BlockedBy   string // what keeps the request from being sent there now; empty: nothing does
}

// BlockedByMissingData is the BlockedBy of a node that does not hold the data of the request.
const BlockedByMissingData = "it has not the data"

// Explain says how every listed node stands before a request, either one that is known or one that might arrive. It
// may refill token buckets, so it is for copies of a Scheduler as [Resume] makes them, not for one that decides.
func (s *Scheduler) Explain(request Request) []Candidate {
	if request.Class < 0 || request.Class >= len(s.settings.Classes) {
		return nil
	}
	r := s.requests[request.ID]
	if r == nil {
		r = s.hypotheticalRequest(request)
	}
	var candidates []Candidate
	for _, n := range s.listed {
		candidates = append(candidates, Candidate{
			Node:        n.ID,
			Phase:       n.Phase,
			Expected:    toDuration(s.expectedWait(n, r)),
			Queue:       toDuration(s.estimatedQueueTime(n)),
			ServiceTime: toDuration(s.serviceTime(n, r)),
			InFlight:    n.unitsInFlight,
			Waiting:     n.waitingUnits(),
			Cap:         n.concurrencyLimit,
			Backoff:     max(0, n.backoffUntil-s.now),
			WarmingUp:   s.warmingUp(n),
			BlockedBy:   s.blockedBy(r, n),
		})
	}
	return candidates
}

// hypotheticalRequest makes a request that might arrive now, with the random draw that the guards hold back first.
func (s *Scheduler) hypotheticalRequest(arriving Request) *request {
	r := &request{
		Request:    arriving,
		class:      &s.settings.Classes[arriving.Class],
		sequence:   math.MaxUint64,
		randomDraw: 1,
		volume:     s.volumeOf(arriving),
	}
	s.setDeadlines(r)
	return r
}

// blockedBy names the first guard that keeps a request from a node, in the order of permitted.
func (s *Scheduler) blockedBy(r *request, n *node) string {
	switch {
	case r.Shard != AnyShard && r.Shard != n.Shard:
		return BlockedByMissingData
	case !s.guardEnded(r):
		return "the request has ended"
	case !s.guardDraining(n):
		return "the node is draining or removed"
	case !s.guardBackoff(n):
		return "the node is in backoff after it rejected requests or could not be reached"
	case len(r.inFlight) > 0:
		return "an attempt is in flight"
	case !s.guardRetry(r, n):
		return "the class allows no retry there"
	case !s.guardOrderedKey(r):
		return "an earlier request of the ordered key goes first"
	case !s.guardVolumeLimit(r):
		return "the volume's limit is used up"
	case !s.guardSlowStart(r, n):
		return "the node is warming up and has had its slow-start allowance"
	case !s.guardRetryBudget(r):
		return "the retry budget is used up"
	case !s.hasCapacity(r, n):
		return "the concurrency limit of the node is reached"
	}
	return ""
}

// toDuration converts seconds.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
