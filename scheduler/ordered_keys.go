package scheduler

import (
	"slices"
	"time"
)

// orderedKeyQueue contains the requests of an ordered key, which run one at a time in the order of their arrival.
type orderedKeyQueue struct {
	waiters     []*requestState // only the first may run
	quietUntil  time.Duration   // end of the quiet period, during which an attempt may still run
	quietExempt *requestState   // request whose attempt started the quiet period; its retries may run during it
}

// joinOrderedKey adds a request to the queue of its key, if its class is ordered.
func (s *Scheduler) joinOrderedKey(request *requestState) {
	if !request.class.Ordered || request.Key == "" {
		return
	}
	queue := s.orderedKeys[request.Key]
	if queue == nil {
		queue = &orderedKeyQueue{}
		s.orderedKeys[request.Key] = queue
	}
	queue.waiters = append(queue.waiters, request)
}

// leaveOrderedKey removes a request from the queue of its key, so that the next request may run.
func (s *Scheduler) leaveOrderedKey(request *requestState) {
	if queue := s.orderedKeyQueue(request); queue != nil {
		queue.waiters = removeRequest(queue.waiters, request)
	}
}

// startQuietPeriod holds back the other requests of a request's ordered key for the quiet period, because an attempt
// of the request may still run.
func (s *Scheduler) startQuietPeriod(request *requestState) {
	if queue := s.orderedKeyQueue(request); queue != nil {
		queue.quietUntil = s.now + s.settings.Rules.OrderedKeyQuietPeriod
		queue.quietExempt = request
	}
}

// orderedKeyQueue returns the queue of the request's key; nil if its class is not ordered or the key has no queue.
func (s *Scheduler) orderedKeyQueue(request *requestState) *orderedKeyQueue {
	if !request.class.Ordered {
		return nil
	}
	return s.orderedKeys[request.Key]
}

// removeRequest removes a request from a list.
func removeRequest(list []*requestState, request *requestState) []*requestState {
	return slices.DeleteFunc(list, func(other *requestState) bool { return other == request })
}
