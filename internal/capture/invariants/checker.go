package invariants

import (
	"fmt"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/scheduler"
)

// Checker follows a capture step by step and checks the invariants. It keeps the open requests and, for the time
// retainAnswered, those that were answered.
type Checker struct {
	// Checked counts how often each invariant was checked.
	Checked map[Rule]int

	settings     scheduler.Settings
	nodes        map[string]*node
	requests     map[string]*request
	arrivals     []*request            // the requests in the order of their arrival
	orderedKeys  map[string][]*request // requests of ordered classes by key, in the order of their arrival
	volumes      map[string]*volume
	restrictions map[restrictionKey]scheduler.RestrictionLevel
	budget       retryBudget

	now        time.Duration
	sweptAt    time.Duration
	event      uint64 // number of the current event
	violations []Violation
}

// New returns a Checker for captures with these settings.
func New(settings scheduler.Settings) *Checker {
	c := &Checker{settings: settings, Checked: map[Rule]int{}}
	c.reset()
	return c
}

// Step processes an event and its actions, and returns the violations of invariants that it finds.
func (c *Checker) Step(step *capture.Step) []Violation {
	c.violations = nil
	if step.ResumedFrom != nil {
		c.restore(step.ResumedFrom)
	}
	c.now = max(c.now, step.Event.At)
	c.event = step.Number
	c.applyEvent(step.Event)
	for i := range step.Actions {
		c.applyAction(&step.Actions[i])
	}
	c.sweep()
	return c.violations
}

// check counts a check of an invariant and reports a violation unless the invariant holds.
func (c *Checker) check(rule Rule, holds bool, id, node, format string, args ...any) {
	c.Checked[rule]++
	if !holds {
		c.report(rule, id, node, format, args...)
	}
}

func (c *Checker) report(rule Rule, id, node, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Rule:  rule,
		Event: c.event,
		At:    c.now,
		ID:    id,
		Node:  node,
		Text:  fmt.Sprintf(format, args...),
	})
}

func (c *Checker) applyEvent(event *capture.Record) {
	switch event.Kind {
	case capture.KindRequestArrived:
		c.requestArrived(*event.Request)
	case capture.KindClientDisconnected:
		if r := c.requests[event.ID]; r != nil && !r.answered {
			r.answered = true
			r.answeredAt = c.now
		}
	case capture.KindStreamStarted:
		if r := c.requests[event.ID]; r != nil {
			r.streamStarted = true
		}
	case capture.KindAttemptEnded:
		c.attemptEnded(event.Outcome)
	case capture.KindMembershipChanged:
		c.membershipChanged(event.Membership)
	case capture.KindRestricted:
		restricted := event.Restriction
		c.restrictions[restrictionKey{restricted.Operation, restricted.Node}] = restricted.Level
	}
}

func (c *Checker) requestArrived(arrived scheduler.Request) {
	previous := c.requests[arrived.ID]
	duplicate := previous != nil && !previous.answered
	if duplicate || arrived.Class < 0 || arrived.Class >= len(c.settings.Classes) {
		return // the scheduler does not accept it
	}
	c.budget.requestArrived(c.now)
	arrived.Units = max(arrived.Units, 0)
	c.addRequest(&request{
		Request:        arrived,
		class:          &c.settings.Classes[arrived.Class],
		allowedRetries: c.allowedRetries(arrived),
		arrivedAt:      c.now,
		inFlight:       map[int]bool{},
		mayHaveRun:     map[int]attempt{},
	})
}

func (c *Checker) attemptEnded(outcome *scheduler.Outcome) {
	r := c.requests[outcome.ID]
	if r == nil || !r.inFlight[outcome.Attempt] {
		return
	}
	delete(r.inFlight, outcome.Attempt)
	if c.neverRan(r, outcome) {
		delete(r.mayHaveRun, outcome.Attempt)
	}
	if outcome.Concluded && !r.answered {
		c.answer(r, "served")
	}
}

// neverRan reports whether the outcome of an attempt shows that it did not run. If the operation's retries are
// restricted at the node, the node's claim of overload does not show that.
func (c *Checker) neverRan(r *request, outcome *scheduler.Outcome) bool {
	switch outcome.Result {
	case scheduler.Overloaded:
		return c.restriction(r, outcome.Node) < scheduler.NoRetries
	case scheduler.ConnectFailed, scheduler.NotSent:
		return true
	}
	return false
}

func (c *Checker) applyAction(action *capture.Record) {
	switch action.Kind {
	case capture.KindSend:
		c.send(action.ID, action.Node)
	case capture.KindReject:
		if r := c.requests[action.ID]; r != nil {
			c.checkRejection(r)
			c.answer(r, "rejected")
		}
	case capture.KindFail:
		// A request that is not accepted fails on arrival and is not in c.requests.
		if r := c.requests[action.ID]; r != nil {
			c.answer(r, "failed")
		}
	}
}

// send checks all invariants that concern the sending of an attempt, and notes the attempt.
func (c *Checker) send(id, nodeID string) {
	r, n := c.requests[id], c.nodes[nodeID]
	c.check(RuleKnownNames, r != nil && n != nil, id, nodeID, "sent, but the request or the node is unknown")
	if r == nil || n == nil {
		return
	}
	c.check(RuleOneAnswer, !r.answered, id, nodeID, "sent after the request was answered")
	c.check(RuleDraining, n.Phase == scheduler.Up, id, nodeID, "sent to a node that is draining or removed")
	c.checkRetry(r, n)
	c.checkKeyOrder(r)
	c.checkVolumeLimit(r)
	c.checkSlowStart(r, n)
	c.checkRetryBudget(r)
	number := r.attempts
	r.attempts++
	r.inFlight[number] = true
	r.mayHaveRun[number] = attempt{
		node:   n.ID,
		zone:   n.Zone,
		shard:  n.Shard,
		sentAt: c.now,
	}
	r.charged = true
}
