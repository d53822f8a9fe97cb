package scheduler

import (
	"slices"
	"time"

	"reachpulley/internal/retrybudget"
)

// Tuned values of lost attempts; ours.
const (
	lostFactor        = 6 // expected times after which an attempt that was overtaken is lost
	discountFactor    = 3 // expected times after which one that was overtaken often holds no capacity
	discountOvertaken = 2 // how often
)

// RetryPolicy says how far a request may be retried. The policy of a Request narrows that of its class and
// never widens it; the zero value narrows nothing. It is stored as an array, so the order of its fields is
// fixed.
type RetryPolicy struct {
	_           struct{}    `cbor:",toarray"`
	Idempotency Idempotency `json:"Repeats"`
	// Scope and Window say, for IdempotentWithKey, which nodes discard a repeated request, and for how long.
	Scope  DedupScope    `json:"Group"`
	Window time.Duration `json:"For"`
}

// RetryPolicy is the policy that the class allows.
func (c *Class) RetryPolicy() RetryPolicy {
	return RetryPolicy{Idempotency: c.Idempotency, Scope: c.DedupScope, Window: c.DedupWindow}
}

// NarrowedBy is the policy that allows what both allow. Two different scopes have no nodes in common for
// which both policies vouch.
func (p RetryPolicy) NarrowedBy(other RetryPolicy) RetryPolicy {
	switch {
	case p.Idempotency < other.Idempotency:
		return other
	case p.Idempotency > other.Idempotency || p.Idempotency != IdempotentWithKey:
		return p
	case p.Scope != other.Scope && p.Scope != ScopeAll && other.Scope != ScopeAll:
		return RetryPolicy{Idempotency: NonIdempotent}
	}
	return RetryPolicy{
		Idempotency: IdempotentWithKey,
		Scope:       max(p.Scope, other.Scope),
		Window:      min(p.Window, other.Window),
	}
}

// retryOrReject decides what follows an attempt at the node that did not conclude the request.
func (s *Scheduler) retryOrReject(request *requestState, node *nodeState, result Result) {
	if s.mayRetry(request, node, result) {
		s.enqueue(request)
	} else {
		s.rejectOrFail(request, s.retryAfter(nil))
	}
}

// mayRetry says whether a request may wait for another attempt. What was not sent needs no token for that.
func (s *Scheduler) mayRetry(request *requestState, node *nodeState, result Result) bool {
	if result == TimedOut || s.exhausted(request) || s.now >= request.answerBy {
		return false
	}
	return result == NotSent || s.takeRetryToken(request, node)
}

// exhausted says whether a request can never be sent again, so that it waits in vain.
func (s *Scheduler) exhausted(request *requestState) bool {
	return s.attemptsUsedUp(request) || request.firstNode != nil && !s.safeToRetry(request, request.firstNode)
}

// attemptsUsedUp says whether a request has had all attempts that it may have.
func (s *Scheduler) attemptsUsedUp(request *requestState) bool {
	return s.settings.Allowed.MaxAttempts > 0 && request.attempts >= s.settings.Allowed.MaxAttempts
}

// safeToRetry says whether the request may be sent to the node after the attempt that may have run: whether a
// second run has no effect there.
func (s *Scheduler) safeToRetry(request *requestState, node *nodeState) bool {
	if request.firstNode == nil {
		return true
	}
	if s.distrusted(request, request.firstNode) || s.distrusted(request, node) {
		return false
	}
	policy := &request.effectivePolicy
	if policy.Idempotency == Idempotent {
		return true
	}
	if policy.Idempotency == NonIdempotent || s.now >= request.firstSentAt+policy.Window {
		return false
	}
	switch policy.Scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return node.Zone == request.firstNode.Zone
	}
	return node.Shard == request.firstNode.Shard
}

// safeToReject says whether the client may safely send the request again, as a rejection promises.
func (s *Scheduler) safeToReject(request *requestState) bool {
	if request.firstNode == nil {
		return true
	}
	policy := &request.effectivePolicy
	return !s.distrusted(request, request.firstNode) && (policy.Idempotency == Idempotent ||
		policy.Idempotency == IdempotentWithKey && policy.Scope == ScopeAll)
}

// recordExecution records whether an attempt that ended may have run, or may still run.
func (s *Scheduler) recordExecution(request *requestState, attempt *attemptState, result Result) {
	switch result {
	case Overloaded, ConnectFailed, NotSent:
		if result == Overloaded && s.restrictionLevel(request, attempt.node) >= NoRetries {
			return // the node was seen to run what it claimed not to have run
		}
		if request.firstAttempt == attempt.number { // later attempts may have been sent at the same instant
			request.firstNode = nil
		}
	case TimedOut, ConnectionReset, Canceled:
		request.mayStillRun = true
		s.startQuietPeriod(request)
	}
}

// RetryWindowLeft returns the time within which the latest attempt of a request has to reach its node, if it
// is a retry that nodes discard for a limited time only: the way to the node may take longer than that. It
// may be called while the attempt is being sent.
func (s *Scheduler) RetryWindowLeft(id string) (left time.Duration, limited bool) {
	request := s.requests[id]
	if request == nil || request.firstNode == nil || request.firstAttempt == request.attempts-1 {
		return 0, false
	}
	if request.effectivePolicy.Idempotency != IdempotentWithKey {
		return 0, false
	}
	return request.firstSentAt + request.effectivePolicy.Window - s.now, true
}

// cancelLost cancels attempts that will hardly be answered: that take far longer than expected, while others
// that were sent later have been served. They would hold capacity until their clients give up; somewhat
// earlier, they stop holding any. This covers all losses on the way and stuck workers. Its price is that an
// attempt with far more work than its size says runs twice.
func (s *Scheduler) cancelLost(node *nodeState) {
	for _, attempt := range slices.Clone(node.pending) {
		age := (s.now - attempt.sentAt).Seconds()
		expected := max(s.estimatedQueueTime(node)+s.serviceTime(attempt.request, node), node.latency)
		if attempt.overtaken >= discountOvertaken && age > discountFactor*expected {
			attempt.discount()
		}
		lost := attempt.overtaken > 0 && age > lostFactor*expected
		if lost && s.settings.Allowed.Cancel && !attempt.canceled && !attempt.request.streamStarted {
			attempt.canceled = true
			s.logf("lost attempt canceled: node=%s age=%.0fms overtaken=%d",
				node.ID, age*1000, attempt.overtaken)
			s.actions.Cancel(attempt.request.ID, attempt.number)
		}
	}
}

// takeRetryToken takes a token for a retry from the budget of the operation at the node, if there are
// budgets.
func (s *Scheduler) takeRetryToken(request *requestState, node *nodeState) bool {
	if s.retryBudget == nil || s.retryBudget.Take(s.now, retryBudgetKey(request, node)) {
		return true
	}
	s.logf("retry denied by the budget: class=%s node=%s", request.class.Name, node.ID)
	return false
}

// reportToRetryBudget reports the end of an attempt to the budget of its operation, if there are budgets.
func (s *Scheduler) reportToRetryBudget(attempt *attemptState, result Result) {
	if s.retryBudget != nil {
		key := retryBudgetKey(attempt.request, attempt.node)
		s.retryBudget.AttemptEnded(s.now, key, attempt.number > 0, result == Served)
	}
}

// retryBudgetKey names the budget of a request's operation at the nodes that hold the same data as the node.
func retryBudgetKey(request *requestState, node *nodeState) retrybudget.Key {
	return retrybudget.Key{
		Operation: request.Operation,
		Class:     request.Class,
		Shard:     node.Shard,
		Zone:      node.Zone,
	}
}
