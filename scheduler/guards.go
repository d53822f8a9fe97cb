package scheduler

import (
	"slices"
	"time"
)

// permitted reports whether all guards let the request be sent to the node. Each guard enforces one rule and
// returns true if the request complies with it.
func (s *Scheduler) permitted(request *requestState, node *nodeState) bool {
	return s.guardEnded(request) &&
		s.guardDraining(node) &&
		s.guardBackoff(node) &&
		s.guardRetry(request, node) &&
		s.guardOrderedKey(request) &&
		s.guardVolumeLimit(request) &&
		s.guardSlowStart(request, node) &&
		s.guardRetryBudget(request)
}

// guardEnded holds back requests that have ended or whose final answer is due.
func (s *Scheduler) guardEnded(request *requestState) bool {
	return !request.ended && s.now < request.answerBy
}

// guardDraining holds requests back from nodes that are draining or removed in the endpoint list.
func (s *Scheduler) guardDraining(node *nodeState) bool { return node.Phase == Up }

// guardBackoff holds requests back from a node while it is in backoff, after it rejected a request or could
// not be reached.
func (s *Scheduler) guardBackoff(node *nodeState) bool { return s.now >= node.backoffUntil }

// guardRetry keeps a request from taking effect twice: it allows one attempt at a time, no more than the
// maximum number of attempts, and retries only where they are safe.
func (s *Scheduler) guardRetry(request *requestState, node *nodeState) bool {
	return len(request.inFlight) == 0 && !s.maxAttemptsReached(request) && s.safeToRetry(request, node)
}

// guardOrderedKey lets the requests of an ordered key run one at a time, in the order of their arrival.
// During the key's quiet period, only the request whose attempt started it may run.
func (s *Scheduler) guardOrderedKey(request *requestState) bool {
	queue := s.orderedKeyQueue(request)
	if queue == nil || len(queue.waiters) == 0 {
		return true
	}
	return queue.waiters[0] == request && (queue.quietExempt == request || s.now >= queue.quietUntil)
}

// guardVolumeLimit keeps the first attempts of a volume's requests within this host's share of the volume's
// limit. A request that is larger than the token bucket is sent once the bucket is full.
func (s *Scheduler) guardVolumeLimit(request *requestState) bool {
	limit := &request.volume.limit
	return request.charged ||
		request.volume.plan.Limit <= 0 ||
		limit.refill(s.now) >= min(request.Units, limit.burst)
}

// guardRetryBudget keeps the retries of this host within the retry budget of the rules.
func (s *Scheduler) guardRetryBudget(request *requestState) bool {
	rules := &s.settings.Rules
	if request.attempts == 0 || rules.RetryBudgetWindow == 0 {
		return true
	}
	expired := func(at time.Duration) bool { return at <= s.now-rules.RetryBudgetWindow }
	s.arrivedAt = slices.DeleteFunc(s.arrivedAt, expired)
	s.retriedAt = slices.DeleteFunc(s.retriedAt, expired)
	allowed := rules.RetryBudgetBase + rules.RetryBudgetShare*float64(len(s.arrivedAt))
	return float64(len(s.retriedAt)+1) <= allowed
}
