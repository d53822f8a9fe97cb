package scheduler

import (
	"slices"
	"time"
)

// orderedKeyQueue holds the requests of an ordered key, which run one at a time in the order of their arrival.
type orderedKeyQueue struct {
	waiters     []*request    // the first may run
	quietUntil  time.Duration // an attempt may still run until then
	quietExempt *request      // the request of that attempt, which the quiet period does not hold back
}

// joinOrderedKey adds a request to the queue of its key, if its class is ordered.
func (s *Scheduler) joinOrderedKey(r *request) {
	if !r.class.Ordered || r.Key == "" {
		return
	}
	queue := s.orderedKeys[r.Key]
	if queue == nil {
		queue = &orderedKeyQueue{}
		s.orderedKeys[r.Key] = queue
	}
	queue.waiters = append(queue.waiters, r)
}

// leaveOrderedKey removes a request from the queue of its key, so that the next one may run.
func (s *Scheduler) leaveOrderedKey(r *request) {
	if queue := s.orderedKeyQueue(r); queue != nil {
		queue.waiters = removeRequest(queue.waiters, r)
	}
}

// startQuietPeriod holds the key of a request back, as an attempt of the request may still run.
func (s *Scheduler) startQuietPeriod(r *request) {
	if queue := s.orderedKeyQueue(r); queue != nil {
		queue.quietUntil = s.now + s.settings.Rules.OrderedKeyQuietPeriod
		queue.quietExempt = r
	}
}

// orderedKeyQueue is the queue of the request's key; nil if its class is not ordered.
func (s *Scheduler) orderedKeyQueue(r *request) *orderedKeyQueue {
	if !r.class.Ordered {
		return nil
	}
	return s.orderedKeys[r.Key]
}

// removeRequest removes a request from a list.
func removeRequest(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(other *request) bool { return other == r })
}
