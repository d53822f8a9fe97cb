package scheduler

import "slices"

// unreservedSend is the share of the shortest objective that the queue at a node may take for an unreserved
// request to be sent there; ours.
const unreservedSend = 0.1

// dispatch sends every waiting request that may be sent now.
func (s *Scheduler) dispatch() {
	for _, n := range s.listed {
		for i := 0; i < len(n.waiting); {
			r := n.waiting[i]
			if !s.hasCapacity(r, n) && s.permitted(r, n) {
				break // it waits for capacity, and requests behind it may not overtake it
			}
			if s.send(r, n) {
				n.waiting = slices.Delete(n.waiting, i, i+1)
				s.advanceTags(r, n)
			} else {
				i++
			}
		}
	}
}

// hasCapacity says whether the node's concurrency limit has capacity for the request. An idle node may always
// get one. Unreserved requests wait here until the queue at the node is short, because they would delay
// reserved ones there.
func (s *Scheduler) hasCapacity(r *request, n *node) bool {
	if n.attemptsInFlight == 0 {
		return true
	}
	return n.failures == 0 &&
		n.unitsInFlight+r.Units <= n.concurrencyLimit &&
		!s.saturated(n, r, unreservedSend)
}

// send sends the request to the node if all guards permit it. Nothing else sends requests.
func (s *Scheduler) send(r *request, n *node) bool {
	if !s.permitted(r, n) {
		return false
	}
	s.charge(r)
	a := &attempt{request: r, number: r.attempts, node: n, sentAt: s.now}
	r.node = nil
	r.inFlight = append(r.inFlight, a)
	r.attempts++
	if r.firstNode == nil {
		r.firstNode = n
		r.firstSentAt = s.now
		r.firstAttempt = a.number
	}
	n.recordSend(a, s.settings.Rules.SlowStartWindow)
	s.actions.Send(r.ID, n.ID, 0)
	return true
}

// charge accounts for an attempt that is being sent: the first one takes its units from the volume's limit,
// the others count against the retry budget.
func (s *Scheduler) charge(r *request) {
	if !r.charged && r.volume.plan.Limit > 0 {
		r.volume.limit.tokens -= r.Units
	}
	r.charged = true
	if r.attempts > 0 && s.settings.Rules.RetryBudgetWindow > 0 {
		s.retriedAt = append(s.retriedAt, s.now)
	}
}

// cancelInFlight cancels the attempts of an ended request, unless its stream has started.
func (s *Scheduler) cancelInFlight(r *request) {
	if !s.settings.Allowed.Cancel || r.streamStarted {
		return
	}
	for _, a := range r.inFlight {
		s.actions.Cancel(r.ID, a.number)
	}
}
