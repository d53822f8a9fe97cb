package scheduler

import (
	"math"
	"time"
)

// Tuned values of the admission; ours.
const (
	optimisticShare     = 0.6 // share of the expected time at a node that often suffices
	unreservedAdmit     = 0.6 // share of the shortest objective that the queue at a node may take to admit
	minRetryAfter       = 100 * time.Millisecond
	maxRetryAfterSpread = 0.25 // share by which a Retry-After grows at random
)

// admit takes a request that has arrived, unless it names no class, and puts it into a queue or rejects it at
// once.
func (s *Scheduler) admit(arrived Request) (admitted bool) {
	if arrived.Class < 0 || arrived.Class >= len(s.settings.Classes) {
		s.actions.Fail(arrived.ID)
		return false
	}
	r := s.newRequest(arrived)
	if r.answerBy <= s.now {
		s.rejectOrFail(r, 0)
	} else {
		s.enqueue(r)
	}
	return true
}

// rejectLate walks the node's queue in the order in which it will be sent and rejects what cannot be answered
// within its objective. What exceeds the share of a volume is last, so that the least weight is lost.
func (s *Scheduler) rejectLate(n *node) {
	if len(n.waiting) == 0 {
		return
	}
	s.sortQueue(n)
	unitsAhead := n.unitsInFlight
	limitedAhead := map[*volume]float64{} // units that the limits of the volumes still have to grant
	var late []*request
	for _, r := range n.waiting {
		wait := waitForCapacity(r, n, unitsAhead)
		if s.now < n.backoffUntil {
			wait = max(wait, (n.backoffUntil - s.now).Seconds())
		}
		limited := !r.charged && r.volume.plan.Limit > 0
		if limited {
			wait = max(wait, s.waitForLimit(r, limitedAhead[r.volume]))
		}
		if s.tooLate(n, r, wait) || s.exhausted(r) {
			late = append(late, r)
			continue
		}
		unitsAhead += r.Units
		if limited {
			limitedAhead[r.volume] += r.Units
		}
	}
	for _, r := range late {
		s.rejectOrFail(r, s.retryAfter(n))
	}
}

// waitForCapacity is the time, in seconds, until the node's concurrency limit lets a request be sent that has
// so many units ahead of it. The first one for an idle node is sent at once.
func waitForCapacity(r *request, n *node, unitsAhead float64) float64 {
	if n.attemptsInFlight == 0 && unitsAhead == n.unitsInFlight {
		return 0
	}
	return max(0, unitsAhead+r.Units-n.concurrencyLimit) / n.drainRate()
}

// waitForLimit is the time, in seconds, until the limit of the request's volume lets it be sent after so many
// units; below 0 if it does so now.
func (s *Scheduler) waitForLimit(r *request, unitsAhead float64) float64 {
	limit := &r.volume.limit
	missing := unitsAhead + min(r.Units, limit.burst) - limit.refill(s.now)
	return missing / limit.rate
}

// tooLate says whether a request that has to wait so many seconds would probably miss its objective, or
// saturates the node.
func (s *Scheduler) tooLate(n *node, r *request, wait float64) bool {
	left := (r.objectiveAt - s.now).Seconds()
	atNode := s.estimatedQueueTime(n) + s.serviceTime(n, r)
	return wait+optimisticShare*atNode > left || s.saturated(n, r, unreservedAdmit)
}

// saturated says whether the request is unreserved and the queue at the node takes more than a share of the
// shortest objective, which the reserved requests of others need there. Heavy requests may use more of it.
func (s *Scheduler) saturated(n *node, r *request, share float64) bool {
	return r.tier != reservedTier &&
		s.estimatedQueueTime(n) > share*s.shortestObjective()*s.relativeWeight(r)
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
func (s *Scheduler) relativeWeight(r *request) float64 {
	highest := 0.0
	for i := range s.settings.Classes {
		highest = max(highest, s.settings.Classes[i].PriorityWeight/s.classWork[i])
	}
	return math.Sqrt(s.weightPerWork(r) / highest)
}

// expire ends a request whose final answer is due, unless its stream has started.
func (s *Scheduler) expire(r *request) {
	if !r.ended && !r.streamStarted {
		s.rejectOrFail(r, s.retryAfter(r.node))
	}
}

// retryAfter is the Retry-After of a rejection: the time in which the node's queue will drain, if there is a
// node, with a random part so that clients do not come back together.
func (s *Scheduler) retryAfter(n *node) time.Duration {
	if !s.settings.Allowed.RetryAfter {
		return 0
	}
	wait := minRetryAfter.Seconds()
	if n != nil {
		wait = max(wait, n.waitingUnits()/n.drainRate())
	}
	wait *= (1 + maxRetryAfterSpread*s.random.Float64()) * float64(time.Second)
	return min(time.Duration(wait), s.settings.Allowed.MaxRetryAfter)
}

// rejectOrFail ends a request at once: by a rejection if the client may safely send it again, else by a
// failure.
func (s *Scheduler) rejectOrFail(r *request, retryAfter time.Duration) {
	s.rejected[r.fingerprint()] = r
	rejectable := s.safeToReject(r)
	s.end(r)
	if rejectable {
		s.actions.Reject(r.ID, retryAfter)
	} else {
		s.actions.Fail(r.ID)
	}
	s.cancelInFlight(r)
	s.release(r)
}
