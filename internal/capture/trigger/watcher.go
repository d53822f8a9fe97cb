// Package trigger decides when a recording is kept automatically. Its conditions are written in the expression
// language of the rules and refer to the counts of one second.
package trigger

import (
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// Rule is a trigger: a condition, and how much time before and after it is kept.
type Rule struct {
	Name        string
	Condition   *expression.Predicate[SecondCounts]
	Before      time.Duration // time before the condition held that is kept, as far as the recorder's memory reaches
	After       time.Duration // time after the condition held that is kept
	QuietPeriod time.Duration // time after a recording of this trigger in which it does not fire again
}

// ruleState says whether a rule can fire, waits for the end of its recording, or is quiet.
type ruleState struct {
	firedAt    time.Duration // time at which the condition held; 0: the rule waits for no recording
	quietUntil time.Duration // the rule does not fire before this time
}

// Watcher is a capture.Watcher that checks the conditions of rules every second. It keeps the open requests and
// the listed nodes, and nothing of earlier seconds.
type Watcher struct {
	rules   []Rule
	states  []ruleState // state of each rule, in the order of the rules
	classes []scheduler.Class

	second    SecondCounts  // counts of the current second
	startedAt time.Duration // start of the current second; 0: there was no event yet
	requests  map[string]openRequest
	nodes     map[string]*node
}

type openRequest struct {
	class         int
	arrivedAt     time.Duration
	clientTimeout time.Duration
	sent          bool // an attempt was sent
}

type node struct {
	phase scheduler.Phase
	sent  bool // it got an attempt within the current second
}

// New returns a Watcher for captures with these settings.
func New(rules []Rule, settings scheduler.Settings) *Watcher {
	return &Watcher{
		rules:    rules,
		states:   make([]ruleState, len(rules)),
		classes:  settings.Classes,
		second:   SecondCounts{MinTimeLeft: noAnswer},
		requests: map[string]openRequest{},
		nodes:    map[string]*node{},
	}
}

// Add counts a record; now is the time of the event that it belongs to.
func (w *Watcher) Add(r *capture.Record, now time.Duration) {
	switch r.Kind {
	case capture.KindRequestArrived:
		w.requestArrived(r.Request, now)
	case capture.KindClientDisconnected:
		if _, open := w.requests[r.ID]; open {
			delete(w.requests, r.ID)
			w.second.Disconnected++
		}
	case capture.KindAttemptEnded:
		w.attemptEnded(r.Outcome, now)
	case capture.KindReject:
		if _, open := w.answered(r.ID, now); open {
			w.second.Rejected++
		}
	case capture.KindFail:
		if _, open := w.answered(r.ID, now); open {
			w.second.Failed++
		}
	case capture.KindSend:
		w.sent(r.ID, r.Node)
	case capture.KindMembershipChanged:
		w.membershipChanged(r.Membership)
	}
}

func (w *Watcher) requestArrived(request *scheduler.Request, now time.Duration) {
	_, duplicate := w.requests[request.ID]
	if duplicate || request.Class < 0 || request.Class >= len(w.classes) {
		return
	}
	w.requests[request.ID] = openRequest{
		class:         request.Class,
		arrivedAt:     now,
		clientTimeout: request.ClientTimeout,
	}
	w.second.Arrived++
}

func (w *Watcher) sent(id, nodeID string) {
	w.second.Sent++
	if request, open := w.requests[id]; open {
		if request.sent {
			w.second.Retries++
		}
		request.sent = true
		w.requests[id] = request
	}
	if n := w.nodes[nodeID]; n != nil {
		n.sent = true
	}
}

func (w *Watcher) attemptEnded(outcome *scheduler.Outcome, now time.Duration) {
	switch outcome.Result {
	case scheduler.Errored, scheduler.ConnectionReset:
		w.second.Errors++
	case scheduler.ConnectFailed:
		w.second.Unreachable++
	case scheduler.Overloaded:
		w.second.Overloaded++
	case scheduler.Served:
		if outcome.Concluded {
			w.served(outcome.ID, now)
		}
	}
}

func (w *Watcher) served(id string, now time.Duration) {
	request, open := w.answered(id, now)
	if !open {
		return
	}
	if now-request.arrivedAt <= w.classes[request.class].LatencyObjective {
		w.second.Served++
	} else {
		w.second.Late++
	}
}

// answered removes a request that got its final answer, counts the time that was left until its client timeout, and
// returns the request. It returns false if the request is not open.
func (w *Watcher) answered(id string, now time.Duration) (request openRequest, open bool) {
	request, open = w.requests[id]
	if !open {
		return request, false
	}
	delete(w.requests, id)
	left := request.arrivedAt + request.clientTimeout - now
	w.second.MinTimeLeft = min(w.second.MinTimeLeft, float64(left)/float64(time.Millisecond))
	return request, true
}

func (w *Watcher) membershipChanged(membership *scheduler.Membership) {
	if membership.Kind == scheduler.WatchFailed {
		return
	}
	if membership.Kind != scheduler.DeltaList {
		clear(w.nodes)
	}
	for _, listed := range membership.Nodes {
		if listed.Phase == scheduler.Removed {
			delete(w.nodes, listed.ID)
			continue
		}
		// A node that was just listed must not be counted as unused in this second, so sent is set.
		w.nodes[listed.ID] = &node{phase: listed.Phase, sent: true}
	}
}

// Due returns the triggers whose recordings are complete now. It is called between two events.
func (w *Watcher) Due(now time.Duration) (due []capture.TriggerMatch) {
	if w.startedAt == 0 {
		w.startedAt = now
	}
	if now-w.startedAt >= time.Second {
		w.endSecond(now)
	}
	for i := range w.rules {
		rule, state := &w.rules[i], &w.states[i]
		if state.firedAt == 0 || now < state.firedAt+rule.After {
			continue
		}
		due = append(due, capture.TriggerMatch{Name: rule.Name, From: max(0, state.firedAt-rule.Before)})
		state.quietUntil = state.firedAt + rule.After + rule.QuietPeriod
		state.firedAt = 0
	}
	return due
}

// endSecond checks the conditions over the current second and begins the next one.
func (w *Watcher) endSecond(now time.Duration) {
	w.second.Open = len(w.requests)
	w.countNodes()
	for i := range w.rules {
		state := &w.states[i]
		if state.firedAt == 0 && now >= state.quietUntil && w.rules[i].Condition.Holds(w.second) {
			state.firedAt = now
		}
	}
	w.startedAt = now
	w.second = SecondCounts{MinTimeLeft: noAnswer}
}

func (w *Watcher) countNodes() {
	for _, n := range w.nodes {
		if n.phase == scheduler.Up {
			w.second.Nodes++
			if !n.sent && w.second.Sent > 0 {
				w.second.UnusedNodes++
			}
		}
		n.sent = false
	}
}
