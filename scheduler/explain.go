package scheduler

import (
	"math"
	"time"
)

// Candidate describes a node as a candidate for a request, with the values by which nodes are selected.
type Candidate struct {
	Node             string
	Phase            Phase
	ExpectedWait     time.Duration // expected time until the node has served the request
	QueueTime        time.Duration // time that the request is expected to spend in the node's queue
	ServiceTime      time.Duration // time that the request takes there without a queue
	InFlight         float64       // units that this host has in flight at the node
	Waiting          float64       // units that wait for the node at this host
	ConcurrencyLimit float64       // in units
	Backoff          time.Duration // time until the node's backoff ends
	WarmingUp        bool
	BlockedBy        string // reason why the request cannot be sent there now; empty if it can
}

// BlockedByMissingData is the BlockedBy of a node that does not hold the data of the request.
const BlockedByMissingData = "it has not the data"

// Explain describes every listed node as a candidate for a request, which is either a request in the Scheduler or one
// that might arrive. It may refill token buckets, so use it on copies of a Scheduler as [Resume] makes them, not on one
// that makes decisions.
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
			ExpectedWait:     toDuration(s.expectedWait(request, node)),
			QueueTime:        toDuration(s.estimatedQueueTime(node)),
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

// hypotheticalRequest returns the state of a request that might arrive now. Its random draw is above those of all real
// requests, so guardSlowStart holds it back wherever it might hold back a real request for the same data.
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

// blockedBy returns the reason why the request cannot be sent to the node now, or "" if it can. The guards are checked
// in the same order as in permitted.
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

// toDuration converts seconds to a Duration.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
