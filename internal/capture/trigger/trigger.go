// Package trigger decides when a capture is kept by itself: conditions over what happened within a second, in the language of the rules.
package trigger

import (
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// Second is what happened within a second of the recorder's clock, as conditions name it.
type Second struct {
	Arrived     int     `expr:"arrived"`
	Served      int     `expr:"served"`      // answered within the class's aim
	Late        int     `expr:"late"`        // answered after it
	Refused     int     `expr:"refused"`     //
	Failed      int     `expr:"failed"`      //
	Left        int     `expr:"left"`        // clients that left before an answer
	Sent        int     `expr:"sent"`        // attempts
	Again       int     `expr:"again"`       // of them further ones
	Errors      int     `expr:"errors"`      // attempts that a node answered with an error, or whose connection broke
	Unreachable int     `expr:"unreachable"` // attempts that found no connection
	Full        int     `expr:"full"`        // attempts that a node turned away
	LeftOut     int     `expr:"left_out"`    // nodes that are up and got nothing, while others got something
	Nodes       int     `expr:"nodes"`       // that are up
	Open        int     `expr:"open"`        // requests without an answer at its end
	Tightest    float64 `expr:"tightest"`    // milliseconds of their client's patience that the final answers had left, the least; 1e9 without any
}

// Rule is a trigger.
type Rule struct {
	Name      string
	Condition *expression.Over[Second]
	Before    time.Duration // of what came before that is kept, as far as the memory reaches
	After     time.Duration // of what comes after
	Quiet     time.Duration // at least between two captures by it
}

const without = 1e9

// state is a rule's: armed, waiting for its end, or quiet.
type state struct {
	firedAt  time.Duration // 0: it has not, or its capture is kept
	quietFor time.Duration // until then
}

// Watcher follows what is recorded. Its tables hold open requests and listed nodes.
type Watcher struct {
	rules   []Rule
	states  []state
	classes []scheduler.Class
	begun   time.Duration // of the second
	second  Second
	open    map[string]opened
	nodes   map[string]*node
}

type opened struct {
	class    int
	at       time.Duration
	patience time.Duration
	sent     bool
}

type node struct {
	phase scheduler.Phase
	sent  bool
}

// New makes a Watcher.
func New(rules []Rule, set scheduler.Settings) *Watcher {
	return &Watcher{rules: rules, states: make([]state, len(rules)), classes: set.Classes, open: map[string]opened{}, nodes: map[string]*node{}, second: Second{Tightest: without}}
}

// Add follows a record; now is the time of the event that it belongs to.
func (w *Watcher) Add(r *capture.Record, now time.Duration) {
	s := &w.second
	switch r.Kind {
	case capture.KindRequestArrived:
		q := r.Request
		if _, ok := w.open[q.ID]; ok || q.Class < 0 || q.Class >= len(w.classes) {
			return
		}
		w.open[q.ID] = opened{class: q.Class, at: now, patience: q.ClientTimeout}
		s.Arrived++
	case capture.KindClientDisconnected:
		if _, ok := w.open[r.ID]; ok {
			delete(w.open, r.ID)
			s.Left++
		}
	case capture.KindAttemptEnded:
		w.ended(r.Outcome, now)
	case capture.KindReject, capture.KindFail:
		if one, ok := w.answered(r.ID, now); ok && one.class >= 0 {
			if r.Kind == capture.KindReject {
				s.Refused++
			} else {
				s.Failed++
			}
		}
	case capture.KindSend:
		s.Sent++
		one, ok := w.open[r.ID]
		if ok && one.sent {
			s.Again++
		}
		if ok {
			one.sent = true
			w.open[r.ID] = one
		}
		if n := w.nodes[r.Node]; n != nil {
			n.sent = true
		}
	case capture.KindMembershipChanged:
		w.members(r.Membership)
	}
}

func (w *Watcher) ended(o *scheduler.Outcome, now time.Duration) {
	s := &w.second
	switch o.Result {
	case scheduler.Errored, scheduler.ConnectionReset:
		s.Errors++
	case scheduler.ConnectFailed:
		s.Unreachable++
	case scheduler.Overloaded:
		s.Full++
	case scheduler.Served:
		if !o.Concluded {
			return
		}
		if one, ok := w.answered(o.ID, now); ok {
			if now-one.at <= w.classes[one.class].LatencyObjective {
				s.Served++
			} else {
				s.Late++
			}
		}
	}
}

func (w *Watcher) answered(id string, now time.Duration) (one opened, ok bool) {
	if one, ok = w.open[id]; ok {
		delete(w.open, id)
		left := one.at + one.patience - now
		w.second.Tightest = min(w.second.Tightest, float64(left)/float64(time.Millisecond))
	}
	return one, ok
}

func (w *Watcher) members(m *scheduler.Membership) {
	if m.Kind == scheduler.WatchFailed {
		return
	}
	if m.Kind != scheduler.DeltaList {
		clear(w.nodes)
	}
	for _, e := range m.Nodes {
		if e.Phase == scheduler.Removed {
			delete(w.nodes, e.ID)
			continue
		}
		w.nodes[e.ID] = &node{phase: e.Phase, sent: true} // it is only left out from the next second on
	}
}

// Due gives what is to be kept by now. It is asked at every event, after it was added.
func (w *Watcher) Due(now time.Duration) (out []capture.TriggerMatch) {
	if w.begun == 0 {
		w.begun = now
	}
	if now-w.begun >= time.Second {
		w.judge(now)
	}
	for i := range w.rules {
		rule, state := &w.rules[i], &w.states[i]
		if state.firedAt > 0 && now >= state.firedAt+rule.After {
			out = append(out, capture.TriggerMatch{Name: rule.Name, From: max(0, state.firedAt-rule.Before)})
			state.quietFor, state.firedAt = state.firedAt+rule.After+rule.Quiet, 0
		}
	}
	return out
}

// judge ends a second.
func (w *Watcher) judge(now time.Duration) {
	s := &w.second
	s.Open = len(w.open)
	for _, n := range w.nodes {
		if n.phase == scheduler.Up {
			s.Nodes++
			if !n.sent && s.Sent > 0 {
				s.LeftOut++
			}
		}
		n.sent = false
	}
	for i := range w.rules {
		state := &w.states[i]
		if state.firedAt == 0 && now >= state.quietFor && w.rules[i].Condition.Holds(*s) {
			state.firedAt = now
		}
	}
	w.begun, w.second = now, Second{Tightest: without}
}
