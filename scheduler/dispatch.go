package scheduler

import "slices"

// unreservedSendShare is the share of the shortest objective that the queue at a node may take for an
// unreserved request to be sent there.
const unreservedSendShare = 0.1

// dispatch sends every waiting request that may be sent now. A request that a guard holds back does not delay
// those behind it, but one that only lacks capacity does.
func (s *Scheduler) dispatch() {
	for _, node := range s.listed {
		for i := 0; i < len(node.waiting); {
			request := node.waiting[i]
			if !s.hasCapacity(request, node) && s.permitted(request, node) {
				break // only capacity is missing, and requests behind this one may not overtake it
			}
			if s.send(request, node) {
				node.waiting = slices.Delete(node.waiting, i, i+1)
				s.advanceTags(request, node)
			} else {
				i++
			}
		}
	}
}

// hasCapacity reports whether the node's concurrency limit leaves capacity for the request. An idle node
// always has capacity for one request, and a node that failed gets one request at a time until it serves one.
// Unreserved requests wait at this host until the queue at the node is short, because they would delay
// reserved requests there.
func (s *Scheduler) hasCapacity(request *requestState, node *nodeState) bool {
	if node.attemptsInFlight == 0 {
		return true
	}
	return node.failures == 0 &&
		node.unitsInFlight+request.Units <= node.concurrencyLimit &&
		!s.saturated(request, node, unreservedSendShare)
}

// send sends the request to the node if all guards permit it, and reports whether it did. No other function
// sends requests.
func (s *Scheduler) send(request *requestState, node *nodeState) bool {
	if !s.permitted(request, node) {
		return false
	}
	s.charge(request)
	attempt := &attemptState{request: request, number: request.attempts, node: node, sentAt: s.now}
	request.node = nil
	request.inFlight = append(request.inFlight, attempt)
	request.attempts++
	if request.firstNode == nil {
		request.firstNode = node
		request.firstSentAt = s.now
		request.firstAttempt = attempt.number
	}
	node.recordSend(attempt, s.settings.Rules.SlowStartWindow)
	s.actions.Send(request.ID, node.ID, 0)
	return true
}

// charge accounts for an attempt that is about to be sent. The first attempt of a request takes its units
// from the volume's limit; each later attempt counts against the retry budget of the rules.
func (s *Scheduler) charge(request *requestState) {
	if !request.charged && request.volume.plan.Limit > 0 {
		request.volume.limit.tokens -= request.Units
	}
	request.charged = true
	if request.attempts > 0 && s.settings.Rules.RetryBudgetWindow > 0 {
		s.retriedAt = append(s.retriedAt, s.now)
	}
}

// cancelInFlight cancels the attempts of an ended request, if canceling is allowed and its stream has not
// started.
func (s *Scheduler) cancelInFlight(request *requestState) {
	if !s.settings.Allowed.Cancel || request.streamStarted {
		return
	}
	for _, attempt := range request.inFlight {
		s.actions.Cancel(request.ID, attempt.number)
	}
}
