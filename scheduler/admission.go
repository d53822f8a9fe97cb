package scheduler

import (
	"math"
	"time"
)

const (
	// optimisticFactor is the factor on the expected time at the node. Many requests need less than the
	// expected time, so one that is expected to be slightly late is still admitted.
	optimisticFactor = 0.6
	// unreservedAdmitShare is the share of the shortest objective that the queue at a node may take for an
	// unreserved request to be admitted there.
	unreservedAdmitShare = 0.6
	// minRetryAfter is the shortest Retry-After, before the random part is added.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfterSpread is the largest random part of a Retry-After, as a share of the time without it.
	maxRetryAfterSpread = 0.25
)

// admit puts an arriving request into a queue, or rejects it if its final answer is already due. It fails a
// request whose class the settings do not have, and returns false only then.
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

// rejectLate goes through the node's queue in sending order and rejects the requests that probably cannot be
// answered within their objective, or that may have no more attempts. Requests beyond their volume's share
// are last in that order, so the rejections lose as little priority weight as possible.
func (s *Scheduler) rejectLate(node *nodeState) {
	if len(node.waiting) == 0 {
		return
	}
	s.sortQueue(node)
	unitsAhead := node.unitsInFlight
	limitedAhead := map[*volumeState]float64{} // by volume; units ahead not yet charged to its limit
	var late []*requestState
	for _, request := range node.waiting {
		wait := waitForCapacity(request, node, unitsAhead)
		if s.now < node.backoffUntil {
			wait = max(wait, (node.backoffUntil - s.now).Seconds())
		}
		limited := !request.charged && request.volume.plan.Limit > 0
		if limited {
			wait = max(wait, s.waitForVolumeLimit(request, limitedAhead[request.volume]))
		}
		if s.tooLate(request, node, wait) || s.noMoreAttempts(request) {
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
// unitsAhead units in flight or ahead of it in the queue. The first request for an idle node is sent at once.
func waitForCapacity(request *requestState, node *nodeState, unitsAhead float64) float64 {
	if node.attemptsInFlight == 0 && unitsAhead == node.unitsInFlight {
		return 0
	}
	return max(0, unitsAhead+request.Units-node.concurrencyLimit) / node.drainRate()
}

// waitForVolumeLimit is the time, in seconds, until the limit of the request's volume lets the request be
// sent after unitsAhead other units of the volume. It is negative if there are more tokens than needed.
func (s *Scheduler) waitForVolumeLimit(request *requestState, unitsAhead float64) float64 {
	limit := &request.volume.limit
	missing := unitsAhead + min(request.Units, limit.burst) - limit.refill(s.now)
	return missing / limit.rate
}

// tooLate reports whether a request has to be rejected now: because it would probably miss its objective
// after waiting for the given number of seconds, or because the node is saturated for it.
func (s *Scheduler) tooLate(request *requestState, node *nodeState, wait float64) bool {
	left := (request.objectiveAt - s.now).Seconds()
	atNode := s.estimatedQueueTime(node) + s.serviceTime(request, node)
	return wait+optimisticFactor*atNode > left || s.saturated(request, node, unreservedAdmitShare)
}

// saturated reports whether the request is unreserved and the queue at the node takes more than the given
// share of the shortest objective. The rest of that time is left to the reserved requests of other volumes.
// The share is multiplied by the request's relativeWeight.
func (s *Scheduler) saturated(request *requestState, node *nodeState, share float64) bool {
	return request.tier != reservedTier &&
		s.estimatedQueueTime(node) > share*s.shortestObjective()*s.relativeWeight(request)
}

// shortestObjective is the shortest time, in seconds, within which the clients of any class want an answer:
// the latency objective, or the time after which clients disconnect in a class that exceeds
// minDisconnectShare.
func (s *Scheduler) shortestObjective() float64 {
	shortest := s.minClassObjective.Seconds()
	for class, share := range s.disconnectShare {
		if share > minDisconnectShare {
			shortest = min(shortest, s.disconnectAfter[class])
		}
	}
	return shortest
}

// relativeWeight is the square root of the ratio between the weightPerWork of the request's class and the
// highest one of all classes. The root dampens the differences between classes.
func (s *Scheduler) relativeWeight(request *requestState) float64 {
	highest := 0.0
	for i := range s.settings.Classes {
		highest = max(highest, s.settings.Classes[i].PriorityWeight/s.classWork[i])
	}
	return math.Sqrt(s.weightPerWork(request) / highest)
}

// expire rejects or fails a request whose final answer is due, unless its stream has started.
func (s *Scheduler) expire(request *requestState) {
	if !request.ended && !request.streamStarted {
		s.rejectOrFail(request, s.retryAfter(request.node))
	}
}

// retryAfter is the Retry-After of a rejection: the time until the node's queue has drained, but at least
// minRetryAfter, which also applies if node is nil. A random part keeps clients from all coming back at the
// same time. It is at most Allowed.MaxRetryAfter, and 0 if the settings do not allow a Retry-After.
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

// rejectOrFail ends a request at once: with a rejection if the client may safely send it again, otherwise
// with a failure. It also cancels the attempts that are in flight.
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
