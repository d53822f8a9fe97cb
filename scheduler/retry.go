package scheduler

import (
	"slices"
	"time"

	"reachpulley/internal/retrybudget"
)

const (
	// lostFactor is the multiple of the expected time after which an overtaken attempt counts as lost.
	lostFactor = 6
	// discountFactor is the multiple of the expected time after which an attempt that was overtaken
	// discountOvertaken times no longer holds capacity at its node.
	discountFactor    = 3
	discountOvertaken = 2
)

// RetryPolicy says whether, where and for how long a request may be retried. The policy of a Request narrows
// that of its class and never widens it; the zero value narrows nothing. A RetryPolicy is stored as an array,
// so the order of its fields is fixed.
type RetryPolicy struct {
	_           struct{}    `cbor:",toarray"`
	Idempotency Idempotency `json:"Repeats"`
	// Scope and Window apply to IdempotentWithKey: they say which nodes discard a repeated request, and for
	// how long after its first attempt.
	Scope  DedupScope    `json:"Group"`
	Window time.Duration `json:"For"`
}

// RetryPolicy returns the policy that the class allows.
func (c *Class) RetryPolicy() RetryPolicy {
	return RetryPolicy{Idempotency: c.Idempotency, Scope: c.DedupScope, Window: c.DedupWindow}
}

// NarrowedBy returns the policy that allows only retries that both policies allow. If one scope is the zone
// and the other the shard, only nodes in both discard repeated requests. No DedupScope describes these nodes,
// so the result allows no retry.
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

// retryOrReject queues a request for another attempt if it may have one, and otherwise rejects or fails it,
// after an attempt at the node ended without concluding the request.
func (s *Scheduler) retryOrReject(request *requestState, node *nodeState, result Result) {
	if s.mayRetry(request, node, result) {
		s.enqueue(request)
	} else {
		s.rejectOrFail(request, s.retryAfter(nil))
	}
}

// mayRetry reports whether a request may wait for another attempt after one at the node ended. An attempt
// that was never sent costs no token of the retry budget.
func (s *Scheduler) mayRetry(request *requestState, node *nodeState, result Result) bool {
	if result == TimedOut || s.noMoreAttempts(request) || s.now >= request.answerBy {
		return false
	}
	return result == NotSent || s.takeRetryToken(request, node)
}

// noMoreAttempts reports whether no node may get another attempt of the request, so that it must not keep
// waiting.
func (s *Scheduler) noMoreAttempts(request *requestState) bool {
	return s.maxAttemptsReached(request) ||
		request.firstNode != nil && !s.safeToRetry(request, request.firstNode)
}

// maxAttemptsReached reports whether a request has had as many attempts as the settings allow.
func (s *Scheduler) maxAttemptsReached(request *requestState) bool {
	return s.settings.Allowed.MaxAttempts > 0 && request.attempts >= s.settings.Allowed.MaxAttempts
}

// safeToRetry reports whether the request may be sent to the node: no earlier attempt may have run, or a
// second run at the node would have no further effect.
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

// safeToReject reports whether the client may safely send the request again, which a rejection promises.
func (s *Scheduler) safeToReject(request *requestState) bool {
	if request.firstNode == nil {
		return true
	}
	policy := &request.effectivePolicy
	if s.distrusted(request, request.firstNode) {
		return false
	}
	discardedEverywhere := policy.Idempotency == IdempotentWithKey && policy.Scope == ScopeAll
	return policy.Idempotency == Idempotent || discardedEverywhere && !request.UnkeyedClient
}

// recordExecution records whether an attempt that ended may have run or may still run.
func (s *Scheduler) recordExecution(request *requestState, attempt *attemptState, result Result) {
	switch result {
	case Overloaded, ConnectFailed, NotSent:
		if result == Overloaded && s.restrictionLevel(request, attempt.node) >= NoRetries {
			return // this node has run requests that it claimed not to have run
		}
		// Compared by number, because a later attempt may have been sent at the same instant.
		if request.firstAttempt == attempt.number {
			request.firstNode = nil
		}
	case TimedOut, ConnectionReset, Canceled:
		request.mayStillRun = true
		s.startQuietPeriod(request)
	}
}

// RetryWindowLeft returns the time that is left for the latest attempt of a request to reach its node. This
// time is limited only for a retry under IdempotentWithKey, because nodes discard repeated requests for a
// limited time, and a retry that reaches its node later could run twice. RetryWindowLeft may be called while
// the attempt is being sent.
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

// cancelLost cancels, if the settings allow it, attempts that will probably never be answered: those that
// take far longer than expected although attempts that were sent later have been served. Otherwise they would
// hold capacity until their clients give up. Attempts that were overtaken several times stop holding capacity
// even earlier. This covers requests and answers that were lost on the network, and stuck workers. In return,
// an attempt whose work is far greater than its size suggests may run twice.
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

// takeRetryToken takes a token for a retry from the retry budget that covers the request at the node, and
// reports whether there was one. Without retry budgets, every retry is allowed.
func (s *Scheduler) takeRetryToken(request *requestState, node *nodeState) bool {
	if s.retryBudget == nil || s.retryBudget.Take(s.now, retryBudgetKey(request, node)) {
		return true
	}
	s.logf("retry denied, retry budget exhausted: class=%s node=%s", request.class.Name, node.ID)
	return false
}

// reportToRetryBudget reports the end of an attempt to the retry budget that covers it, if the settings
// define retry budgets.
func (s *Scheduler) reportToRetryBudget(attempt *attemptState, result Result) {
	if s.retryBudget != nil {
		key := retryBudgetKey(attempt.request, attempt.node)
		s.retryBudget.AttemptEnded(s.now, key, attempt.number > 0, result == Served)
	}
}

// retryBudgetKey returns the key of the retry budget that covers the request's operation and class at the
// nodes of the same shard and zone as the node.
func retryBudgetKey(request *requestState, node *nodeState) retrybudget.Key {
	return retrybudget.Key{
		Operation: request.Operation,
		Class:     request.Class,
		Shard:     node.Shard,
		Zone:      node.Zone,
	}
}
