package scheduler

import (
	"math"
	"time"
)

// Tuned values of the admission. Unreserved requests need a queue at the node shorter than unreservedAdmit.
const (
	optimisticShare     = 0.6                    // share of the expected time that often suffices (ours)
	unreservedAdmit     = 0.6                    // share of the shortest objective that a queue may take
	minRetryAfter       = 100 * time.Millisecond // shortest Retry-After (ours)
	maxRetryAfterSpread = 0.25                   // share by which a Retry-After grows at random
)

// admit takes a request that has arrived, unless it names no class, and puts it into a queue or rejects it at
// once.
func (s *Scheduler) admit(arrived Request) (admitted bool) {
	if arrived.Class < 0 || arrived.Class >= len(s.settings.Classes) {
		s.actions.Fail(arrived.ID)
		return false
	}
	request := s.newRequest(arrived)
	if request.answerBy <= s.now {
		s.rejectOrFail(request, 0)
	} else {
		s.enqueue(request)
	}
	return true
}

// rejectLate walks the node's queue in the order in which it will be sent and rejects what cannot be answered
// within its objective. What exceeds the share of a volume is last, so that the least weight is lost.
func (s *Scheduler) rejectLate(node *nodeState) {
	if len(node.waiting) == 0 {
		return
	}
	s.sortQueue(node)
	unitsAhead := node.unitsInFlight
	limitedAhead := map[*volumeState]float64{} // units that the limits of the volumes still have to grant
	var late []*requestState
	for _, request := range node.waiting {
		wait := waitForCapacity(request, node, unitsAhead)
		if s.now < node.backoffUntil {
			wait = max(wait, (node.backoffUntil - s.now).Seconds())
		}
		limited := !request.charged && request.volume.plan.Limit > 0
		if limited {
			wait = max(wait, s.waitForLimit(request, limitedAhead[request.volume]))
		}
		if s.tooLate(request, node, wait) || s.exhausted(request) {
			late = append(late, request)
			continue
		}
		unitsAhead += request.Units
		if limited {
			limitedAhead[request.volume] += request.Units
		}
	}
	for _, request := range late {
		s.rejectOrFail(request, s.retryAfter(node))
	}
}

// waitForCapacity is the time, in seconds, until the node's concurrency limit lets a request be sent that has
// so many units ahead of it. The first one for an idle node is sent at once.
func waitForCapacity(request *requestState, node *nodeState, unitsAhead float64) float64 {
	if node.attemptsInFlight == 0 && unitsAhead == node.unitsInFlight {
		return 0
	}
	return max(0, unitsAhead+request.Units-node.concurrencyLimit) / node.drainRate()
}

// waitForLimit is the time, in seconds, until the limit of the request's volume lets it be sent after so many
// units; below 0 if it does so now.
func (s *Scheduler) waitForLimit(request *requestState, unitsAhead float64) float64 {
	limit := &request.volume.limit
	missing := unitsAhead + min(request.Units, limit.burst) - limit.refill(s.now)
	return missing / limit.rate
}

// tooLate says whether a request that has to wait so many seconds would probably miss its objective, or
// saturates the node.
func (s *Scheduler) tooLate(request *requestState, node *nodeState, wait float64) bool {
	left := (request.objectiveAt - s.now).Seconds()
	atNode := s.estimatedQueueTime(node) + s.serviceTime(request, node)
	return wait+optimisticShare*atNode > left || s.saturated(request, node, unreservedAdmit)
}

// saturated says whether the request is unreserved and the queue at the node takes more than a share of the
// shortest objective, which the reserved requests of others need there. Heavy requests may use more of it.
func (s *Scheduler) saturated(request *requestState, node *nodeState, share float64) bool {
	return request.tier != reservedTier &&
		s.estimatedQueueTime(node) > share*s.shortestObjective()*s.relativeWeight(request)
}

// shortestObjective is the shortest time, in seconds, in which clients want an answer.
func (s *Scheduler) shortestObjective() float64 {
	shortest := s.minClassObjective.Seconds()
	for class, share := range s.disconnectShare {
		if share > minDisconnectShare {
			shortest = min(shortest, s.disconnectAfter[class])
		}
	}
	return shortest
}

// relativeWeight compares the request's weight per work with that of the class that has the highest, damped.
func (s *Scheduler) relativeWeight(request *requestState) float64 {
	highest := 0.0
	for i := range s.settings.Classes {
		highest = max(highest, s.settings.Classes[i].PriorityWeight/s.classWork[i])
	}
	return math.Sqrt(s.weightPerWork(request) / highest)
}

// expire ends a request whose final answer is due, unless its stream has started.
func (s *Scheduler) expire(request *requestState) {
	if !request.ended && !request.streamStarted {
		s.rejectOrFail(request, s.retryAfter(request.node))
	}
}

// retryAfter is the Retry-After of a rejection: the time in which the node's queue will drain, if there is a
// node, with a random part so that clients do not come back together.
func (s *Scheduler) retryAfter(node *nodeState) time.Duration {
	if !s.settings.Allowed.RetryAfter {
		return 0
	}
	wait := minRetryAfter.Seconds()
	if node != nil {
		wait = max(wait, node.waitingUnits()/node.drainRate())
	}
	wait *= (1 + maxRetryAfterSpread*s.random.Float64()) * float64(time.Second)
	return min(time.Duration(wait), s.settings.Allowed.MaxRetryAfter)
}

// rejectOrFail ends a request at once: by a rejection if the client may safely send it again, else by a
// failure.
func (s *Scheduler) rejectOrFail(request *requestState, retryAfter time.Duration) {
	s.rejected[request.fingerprint()] = request
	rejectable := s.safeToReject(request)
	s.end(request)
	if rejectable {
		s.actions.Reject(request.ID, retryAfter)
	} else {
		s.actions.Fail(request.ID)
	}
	s.cancelInFlight(request)
	s.release(request)
}
