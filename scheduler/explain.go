package scheduler

import (
	"math"
	"time"
)

// Candidate says how a node stood before a request, in the terms by which nodes are selected.
type Candidate struct {
	Node             string
	Phase            Phase
	Expected         time.Duration // until the node would have served the request
	Queue            time.Duration // that its queue takes
	ServiceTime      time.Duration // that the request takes there without a queue
	InFlight         float64       // units
	Waiting          float64       // units
	ConcurrencyLimit float64       // concurrency limit, in units
	Backoff          time.Duration // left of its pause
	WarmingUp        bool
	BlockedBy        string // what keeps the request from being sent there now; empty: nothing does
}

// BlockedByMissingData is the BlockedBy of a node that does not hold the data of the request.
const BlockedByMissingData = "it has not the data"

// Explain says how every listed node stands before a request, either one that is known or one that might arrive. It
// may refill token buckets, so it is for copies of a Scheduler as [Resume] makes them, not for one that decides.
func (s *Scheduler) Explain(arriving Request) []Candidate {
	if arriving.Class < 0 || arriving.Class >= len(s.settings.Classes) {
		return nil
	}
	request := s.requests[arriving.ID]
	if request == nil {
		request = s.hypotheticalRequest(arriving)
	}
	var candidates []Candidate
	for _, node := range s.listed {
		candidates = append(candidates, Candidate{
			Node:             node.ID,
			Phase:            node.Phase,
			Expected:         toDuration(s.expectedWait(request, node)),
			Queue:            toDuration(s.estimatedQueueTime(node)),
			ServiceTime:      toDuration(s.serviceTime(request, node)),
			InFlight:         node.unitsInFlight,
			Waiting:          node.waitingUnits(),
			ConcurrencyLimit: node.concurrencyLimit,
			Backoff:          max(0, node.backoffUntil-s.now),
			WarmingUp:        s.warmingUp(node),
			BlockedBy:        s.blockedBy(request, node),
		})
	}
	return candidates
}

// hypotheticalRequest makes a request that might arrive now, with the random draw that the guards hold back first.
func (s *Scheduler) hypotheticalRequest(arriving Request) *requestState {
	request := &requestState{
		Request:    arriving,
		class:      &s.settings.Classes[arriving.Class],
		sequence:   math.MaxUint64,
		randomDraw: 1,
		volume:     s.volumeOf(arriving),
	}
	s.setDeadlines(request)
	return request
}

// blockedBy names the first guard that keeps a request from a node, in the order of permitted.
func (s *Scheduler) blockedBy(request *requestState, node *nodeState) string {
	switch {
	case request.Shard != AnyShard && request.Shard != node.Shard:
		return BlockedByMissingData
	case !s.guardEnded(request):
		return "the request has ended"
	case !s.guardDraining(node):
		return "the node is draining or removed"
	case !s.guardBackoff(node):
		return "the node is in backoff after it rejected requests or could not be reached"
	case len(request.inFlight) > 0:
		return "an attempt is in flight"
	case !s.guardRetry(request, node):
		return "the class allows no retry there"
	case !s.guardOrderedKey(request):
		return "an earlier request of the ordered key goes first"
	case !s.guardVolumeLimit(request):
		return "the volume's limit is used up"
	case !s.guardSlowStart(request, node):
		return "the node is warming up and has had its slow-start allowance"
	case !s.guardRetryBudget(request):
		return "the retry budget is used up"
	case !s.hasCapacity(request, node):
		return "the concurrency limit of the node is reached"
	}
	return ""
}

// toDuration converts seconds.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
