package scheduler

import (
	"slices"
	"time"
)

// permitted says whether all guards let the request be sent to the node. Each guard keeps one rule.
func (s *Scheduler) permitted(r *request, n *node) bool {
	return s.guardEnded(r) &&
		s.guardDraining(n) &&
		s.guardBackoff(n) &&
		s.guardRetry(r, n) &&
		s.guardOrderedKey(r) &&
		s.guardVolumeLimit(r) &&
		s.guardSlowStart(r, n) &&
		s.guardRetryBudget(r)
}

// guardEnded keeps requests back that have ended or whose final answer is due.
func (s *Scheduler) guardEnded(r *request) bool { return !r.ended && s.now < r.answerBy }

// guardDraining keeps requests from nodes that are known to drain or to have been removed.
func (s *Scheduler) guardDraining(n *node) bool { return n.Phase == Up }

// guardBackoff keeps requests from nodes that rejected requests or could not be reached.
func (s *Scheduler) guardBackoff(n *node) bool { return s.now >= n.backoffUntil }

// guardRetry keeps a request from having its effect twice.
func (s *Scheduler) guardRetry(r *request, n *node) bool {
	return len(r.inFlight) == 0 && !s.attemptsUsedUp(r) && s.safeToRetry(r, n)
}

// guardOrderedKey lets the requests of an ordered key run one at a time, in the order of their arrival.
func (s *Scheduler) guardOrderedKey(r *request) bool {
	queue := s.orderedKeyQueue(r)
	if queue == nil || len(queue.waiters) == 0 {
		return true
	}
	return queue.waiters[0] == r && (queue.quietExempt == r || s.now >= queue.quietUntil)
}

// guardVolumeLimit keeps the first attempts of a volume within this host's part of its limit.
func (s *Scheduler) guardVolumeLimit(r *request) bool {
	limit := &r.volume.limit
	return r.charged || r.volume.plan.Limit <= 0 || limit.refill(s.now) >= min(r.Units, limit.burst)
}

// guardRetryBudget keeps the retries of this host within the budget of the rules.
func (s *Scheduler) guardRetryBudget(r *request) bool {
	rules := &s.settings.Rules
	if r.attempts == 0 || rules.RetryBudgetWindow == 0 {
		return true
	}
	expired := func(at time.Duration) bool { return at <= s.now-rules.RetryBudgetWindow }
	s.arrivedAt = slices.DeleteFunc(s.arrivedAt, expired)
	s.retriedAt = slices.DeleteFunc(s.retriedAt, expired)
	allowed := rules.RetryBudgetBase + rules.RetryBudgetShare*float64(len(s.arrivedAt))
	return float64(len(s.retriedAt)+1) <= allowed
}
