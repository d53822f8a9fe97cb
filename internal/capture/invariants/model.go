// Package invariants checks a capture against the rules of its deployment. It knows nothing of how the decisions are made: it follows what was
// told and done, and names what no rule allows.
package invariants

import (
	"fmt"
	"slices"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/scheduler"
)

// Rule is a rule that a capture is checked against.
type Rule string

// The rules.
const (
	Answer Rule = "one answer"  // each request gets one, in time
	Drain  Rule = "drain"       // nothing goes to a node that is known to drain or to be gone
	Repeat Rule = "repeat"      // what may have run is repeated as its class allows
	Order  Rule = "order"       // requests of an ordered key run one at a time, as they came
	Limit  Rule = "limit"       // a volume's requests stay within this host's part of its limit
	Cold   Rule = "cold start"  // a node that has just started gets what it bears
	Budget Rule = "budget"      // of further attempts
	Known  Rule = "known names" // nothing is sent for requests or to nodes that nobody told of
)

// Rules are all of them.
var Rules = []Rule{Answer, Drain, Repeat, Order, Limit, Cold, Budget, Known}

// Violation is a place at which a rule was broken.
type Violation struct {
	Rule  Rule
	Event uint64 // its number in the recorder's life
	At    time.Duration
	ID    string // of the request, if one is concerned
	Node  string
	Text  string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v event %d, %s: %s (request %q, node %q)", b.At, b.Event, b.Rule, b.Text, b.ID, b.Node)
}

// answerSlack is by how much an answer may come after the client's patience: the timer that gives it and the event that follows it are
// told one after the other.
const answerSlack = 100 * time.Millisecond

// forgetAfter is for how long an ended request is kept, so that what is done for it later is noticed.
const forgetAfter = 10 * time.Second

// Checker follows a capture. Its tables hold what is open and what ended lately.
type Checker struct {
	set      scheduler.Settings
	nodes    map[string]*node
	requests map[string]*request
	order    []*request // as they came, for what is overdue and what is forgotten
	volumes  map[string]*volume
	keys     map[string][]*request                    // of ordered classes, as accepted
	taken    []time.Duration                          // arrivals within the budget's window
	extra    []time.Duration                          // further attempts within it
	cares    map[[2]string]scheduler.RestrictionLevel // by operation and node
	now      time.Duration
	sweptAt  time.Duration
	event    uint64
	found    []Violation
	Checked  map[Rule]int // how often each rule was asked
}

type node struct {
	scheduler.Node
	coldSince time.Duration
	sent      []sending
}

type sending struct {
	at    time.Duration
	units float64
}

type request struct {
	scheduler.Request
	class    *scheduler.Class
	bound    scheduler.RetryPolicy // by class, description and cautions
	at       time.Duration
	answered bool
	left     bool
	endedAt  time.Duration
	attempts int
	open     map[int]bool
	ran      map[int]run // attempts that may have run
	drew     bool
	overdue  bool // told as a breach
	began    bool
}

type run struct {
	node        string
	zone, shard int
	at          time.Duration
}

type volume struct {
	level, rate, most float64
	at                time.Duration
}

// New makes a Checker by a capture's settings.
func New(settings scheduler.Settings) *Checker {
	c := &Checker{set: settings, Checked: map[Rule]int{}}
	c.reset()
	return c
}

func (c *Checker) reset() {
	c.nodes, c.requests, c.volumes, c.keys = map[string]*node{}, map[string]*request{}, map[string]*volume{}, map[string][]*request{}
	c.order, c.taken, c.extra = nil, nil, nil
	c.cares = map[[2]string]scheduler.RestrictionLevel{}
}

// bound is how far a request may be repeated: as far as both class and description allow.
func (c *Checker) bound(q scheduler.Request) scheduler.RetryPolicy {
	class := c.set.Classes[q.Class]
	b := scheduler.RetryPolicy{Idempotency: class.Idempotency, Scope: class.DedupScope, Window: class.DedupWindow}
	switch {
	case q.RetryPolicy.Idempotency > b.Idempotency:
		return q.RetryPolicy
	case q.RetryPolicy.Idempotency < b.Idempotency || b.Idempotency != scheduler.IdempotentWithKey:
		return b
	}
	b.Window = min(b.Window, q.RetryPolicy.Window)
	switch {
	case b.Scope == scheduler.ScopeAll:
		b.Scope = q.RetryPolicy.Scope
	case q.RetryPolicy.Scope != scheduler.ScopeAll && q.RetryPolicy.Scope != b.Scope:
		return scheduler.RetryPolicy{Idempotency: scheduler.NonIdempotent}
	}
	return b
}

// care is what was told of an operation at a node, or at all of them.
func (c *Checker) care(r *request, node string) scheduler.RestrictionLevel {
	if r.Operation == "" {
		return scheduler.Unrestricted
	}
	return max(c.cares[[2]string{r.Operation, ""}], c.cares[[2]string{r.Operation, node}])
}

// Step follows an event and what it called for, and gives what broke a rule.
func (c *Checker) Step(step *capture.Step) []Violation {
	c.found = nil
	if step.From != nil {
		c.begin(step.From)
	}
	c.now, c.event = max(c.now, step.Event.At), step.Number
	c.told(step.Event)
	for i := range step.Actions {
		c.done(&step.Actions[i])
	}
	c.sweep()
	return c.found
}

func (c *Checker) breach(rule Rule, id, node, format string, args ...any) {
	c.found = append(c.found, Violation{Rule: rule, Event: c.event, At: c.now, ID: id, Node: node, Text: fmt.Sprintf(format, args...)})
}

// asked counts a rule's use and tells a breach unless it was kept.
func (c *Checker) asked(rule Rule, kept bool, id, node, format string, args ...any) {
	c.Checked[rule]++
	if !kept {
		c.breach(rule, id, node, format, args...)
	}
}

// begin takes over what was open at a snapshot; what happened before it is not known.
func (c *Checker) begin(from *scheduler.Snapshot) {
	c.reset()
	for i, n := range from.Nodes {
		if i < from.Listed {
			one := &node{Node: n.Node, coldSince: n.WarmingSince}
			for _, x := range n.RecentSends {
				one.sent = append(one.sent, sending{x.At, x.Units})
			}
			c.nodes[n.Node.ID] = one
		}
	}
	for _, one := range from.Restrictions {
		c.cares[[2]string{one.Operation, one.Node}] = one.Level
	}
	for i := range from.Requests {
		one := &from.Requests[i]
		r := &request{Request: one.Request, class: &c.set.Classes[one.Request.Class], bound: c.bound(one.Request), at: one.ArrivedAt, answered: one.Ended, attempts: one.Attempts,
			drew: one.Charged, began: one.StreamStarted, open: map[int]bool{}, ran: map[int]run{}}
		r.ClientTimeout = one.AnswerBy - one.ArrivedAt
		for _, a := range one.InFlight {
			r.open[a.Number] = true
		}
		if one.FirstNode >= 0 {
			on := from.Nodes[one.FirstNode].Node
			r.ran[one.FirstAttempt] = run{on.ID, on.Zone, on.Shard, one.FirstSentAt}
		}
		c.add(r)
	}
	for _, v := range from.Volumes {
		if v.Indexed && v.Plan >= 0 && c.set.Plans[v.Plan].Limit > 0 {
			plan := c.set.Plans[v.Plan]
			c.volumes[v.Name] = &volume{level: v.Limit.Tokens + (plan.Burst+plan.Slack)/v.Hosts/2, rate: v.Limit.Rate, most: (plan.Burst + plan.Slack) / v.Hosts, at: v.Limit.RefilledAt}
		}
	}
	c.taken, c.extra = slices.Clone(from.ArrivedAt), slices.Clone(from.RetriedAt)
}

func (c *Checker) add(r *request) {
	c.requests[r.ID] = r
	c.order = append(c.order, r)
	if r.class.Ordered && r.Key != "" {
		c.keys[r.Key] = append(c.keys[r.Key], r)
	}
}

func (c *Checker) told(e *capture.Record) {
	switch e.Kind {
	case capture.KindRequestArrived:
		c.arrived(*e.Request)
	case capture.KindClientDisconnected:
		if r := c.requests[e.ID]; r != nil && !r.answered {
			r.left, r.answered, r.endedAt = true, true, c.now
		}
	case capture.KindStreamStarted:
		if r := c.requests[e.ID]; r != nil {
			r.began = true
		}
	case capture.KindAttemptEnded:
		c.ended(*e.Outcome)
	case capture.KindMembershipChanged:
		c.members(*e.Membership)
	case capture.KindRestricted:
		c.cares[[2]string{e.Restriction.Operation, e.Restriction.Node}] = e.Restriction.Level
	}
}

func (c *Checker) arrived(q scheduler.Request) {
	if c.requests[q.ID] != nil && !c.requests[q.ID].answered || q.Class < 0 || q.Class >= len(c.set.Classes) {
		return // it is not accepted
	}
	c.taken = append(c.taken, c.now)
	q.Units = max(q.Units, 0)
	c.add(&request{Request: q, class: &c.set.Classes[q.Class], bound: c.bound(q), at: c.now, open: map[int]bool{}, ran: map[int]run{}})
}

func (c *Checker) ended(o scheduler.Outcome) {
	r := c.requests[o.ID]
	if r == nil || !r.open[o.Attempt] {
		return
	}
	delete(r.open, o.Attempt)
	switch o.Result {
	case scheduler.Overloaded:
		if c.care(r, o.Node) < scheduler.NoRetries { // otherwise nobody believes it
			delete(r.ran, o.Attempt)
		}
	case scheduler.ConnectFailed, scheduler.NotSent:
		delete(r.ran, o.Attempt)
	}
	if o.Concluded && !r.answered {
		c.answer(r, "served")
	}
}

// members follows the list as the decisions are told to: a whole one removes what it does not name.
func (c *Checker) members(m scheduler.Membership) {
	if m.Kind == scheduler.WatchFailed {
		return
	}
	named := map[string]bool{}
	for _, e := range m.Nodes {
		named[e.ID] = true
		n := c.nodes[e.ID]
		if n == nil {
			n = &node{}
			c.nodes[e.ID] = n
		}
		if e.StartedAt > n.StartedAt {
			n.coldSince = max(n.coldSince, e.StartedAt)
		}
		n.Node = e
	}
	for id, n := range c.nodes {
		if m.Kind != scheduler.DeltaList && !named[id] {
			n.Phase = scheduler.Removed
		}
	}
}

func (c *Checker) done(a *capture.Record) {
	switch a.Kind {
	case capture.KindSend:
		c.send(a.ID, a.Node)
	case capture.KindReject, capture.KindFail:
		r := c.requests[a.ID]
		if r == nil {
			return // what was not accepted is failed at once
		}
		if a.Kind == capture.KindReject {
			c.refused(r)
		}
		c.answer(r, a.Kind.String())
	}
}

// answer is the one final answer.
func (c *Checker) answer(r *request, how string) {
	late := c.now - r.at - r.ClientTimeout
	c.asked(Answer, !r.answered, r.ID, "", "%s, but it was answered before", how)
	c.asked(Answer, late <= answerSlack || r.began || r.overdue, r.ID, "", "%s %v after its client's patience", how, late)
	r.answered, r.endedAt = true, c.now
}

// refused checks that a refusal, which calls another try harmless, is true.
func (c *Checker) refused(r *request) {
	harmless := len(r.ran) == 0 || r.bound.Idempotency == scheduler.Idempotent || r.bound.Idempotency == scheduler.IdempotentWithKey && r.bound.Scope == scheduler.ScopeAll
	for _, before := range r.ran {
		harmless = harmless && c.care(r, before.node) < scheduler.NoRetries
	}
	c.asked(Repeat, harmless, r.ID, "", "refused, though an attempt may have run")
}

func (c *Checker) send(id, name string) {
	r, n := c.requests[id], c.nodes[name]
	c.asked(Known, r != nil && n != nil, id, name, "sent, and never told of")
	if r == nil || n == nil {
		return
	}
	c.asked(Answer, !r.answered, id, name, "sent after its answer")
	c.asked(Drain, n.Phase == scheduler.Up, id, name, "sent to a node that drains or is gone")
	c.repeat(r, n)
	c.inOrder(r)
	c.limit(r)
	c.cold(r, n)
	c.budget(r)
	number := r.attempts
	r.attempts++
	r.open[number] = true
	r.ran[number] = run{n.ID, n.Zone, n.Shard, c.now}
	r.drew = true
}

func (c *Checker) repeat(r *request, n *node) {
	if most := c.set.Allowed.MaxAttempts; most > 0 {
		c.asked(Repeat, r.attempts < most, r.ID, n.ID, "attempt %d of %d", r.attempts+1, most)
	}
	if r.attempts == 0 {
		return
	}
	c.asked(Repeat, len(r.open) == 0, r.ID, n.ID, "a second copy beside one that is out")
	for _, before := range r.ran {
		c.asked(Repeat, c.care(r, before.node) < scheduler.NoRetries && c.care(r, n.ID) < scheduler.NoRetries, r.ID, n.ID, "a repeat of %q, which is distrusted", r.Operation)
		allowed := true
		switch r.bound.Idempotency {
		case scheduler.NonIdempotent:
			allowed = false
		case scheduler.IdempotentWithKey:
			group := r.bound.Scope
			allowed = c.now < before.at+r.bound.Window && (group == scheduler.ScopeAll || group == scheduler.ScopeZone && before.zone == n.Zone ||
				group == scheduler.ScopeShard && before.shard == n.Shard)
		}
		c.asked(Repeat, allowed, r.ID, n.ID, "an attempt of %v before may have run, and class %q forbids this one", c.now-before.at, r.class.Name)
	}
}

func (c *Checker) inOrder(r *request) {
	if !r.class.Ordered {
		return
	}
	for _, other := range c.keys[r.Key] {
		if other == r {
			return
		}
		c.asked(Order, len(other.open) == 0 && other.answered, r.ID, "", "sent before request %q of its key has ended", other.ID)
	}
}

// limit follows a store of the whole even part that this host has of burst and slack; the decisions keep to less.
func (c *Checker) limit(r *request) {
	if r.drew || r.Plan < 0 || r.Plan >= len(c.set.Plans) || c.set.Plans[r.Plan].Limit <= 0 {
		return
	}
	plan, hosts := c.set.Plans[r.Plan], float64(max(r.Hosts, 1))
	v := c.volumes[r.Volume]
	if v == nil {
		v = &volume{rate: plan.Limit / hosts, most: (plan.Burst + plan.Slack) / hosts, at: c.now}
		v.level = v.most
		c.volumes[r.Volume] = v
	}
	v.level = min(v.most, v.level+v.rate*(c.now-v.at).Seconds())
	v.at = c.now
	c.asked(Limit, v.level >= min(r.Units, v.most)-1e-6, r.ID, "", "%.2f units of volume %q with %.2f left", r.Units, r.Volume, v.level)
	v.level -= r.Units
}

// cold counts what this host alone sent within the window: more than a cold node always bears from all of them, and at once,
// is more than any part of it.
func (c *Checker) cold(r *request, n *node) {
	rules := c.set.Rules
	n.sent = append(slices.DeleteFunc(n.sent, func(x sending) bool { return x.at <= c.now-rules.SlowStartWindow }), sending{c.now, r.Units})
	if n.coldSince <= 0 || c.now-n.coldSince >= rules.SlowStartDuration || rules.SlowStartShare <= 0 {
		return
	}
	sum := 0.0
	for _, x := range n.sent {
		sum += x.units
	}
	warmed := max(0, c.now-n.coldSince).Seconds() / rules.SlowStartDuration.Seconds()
	grown := (rules.SlowStartShare + (1-rules.SlowStartShare)*warmed) / rules.SlowStartShare
	c.asked(Cold, sum <= max(1, rules.SlowStartMultiple)*rules.SlowStartAllowance*grown, r.ID, n.ID, "%.1f units within %v, %v after its start", sum, rules.SlowStartWindow, c.now-n.coldSince)
}

func (c *Checker) budget(r *request) {
	span := c.set.Rules.RetryBudgetWindow
	if span == 0 {
		return
	}
	old := func(at time.Duration) bool { return at <= c.now-span }
	c.taken, c.extra = slices.DeleteFunc(c.taken, old), slices.DeleteFunc(c.extra, old)
	if r.attempts == 0 {
		return
	}
	c.extra = append(c.extra, c.now)
	allowed := c.set.Rules.RetryBudgetBase + c.set.Rules.RetryBudgetShare*float64(len(c.taken))
	c.asked(Budget, float64(len(c.extra)) <= allowed, r.ID, "", "%d further attempts within %v, %.1f are allowed", len(c.extra), span, allowed)
}

// sweepEvery is between two looks at all requests: at every event they would take most of the time.
const sweepEvery = 50 * time.Millisecond

// sweep tells which requests are overdue and forgets those that ended long ago.
func (c *Checker) sweep() {
	if c.now-c.sweptAt < sweepEvery {
		return
	}
	c.sweptAt = c.now
	c.order = slices.DeleteFunc(c.order, func(r *request) bool {
		if !r.answered && !r.overdue && !r.began && c.now-r.at-r.ClientTimeout > answerSlack {
			r.overdue = true
			c.breach(Answer, r.ID, "", "no answer %v after its client's patience", c.now-r.at-r.ClientTimeout)
		}
		gone := r.answered && len(r.open) == 0 && c.now-r.endedAt > forgetAfter
		if gone {
			c.forget(r)
		}
		return gone
	})
	if c.event%sweepVolumes == 0 {
		for name, v := range c.volumes {
			if v.level+v.rate*(c.now-v.at).Seconds() >= v.most {
				delete(c.volumes, name)
			}
		}
	}
}

const sweepVolumes = 10_000 // events between two looks for volumes whose store is full again

func (c *Checker) forget(r *request) {
	if c.requests[r.ID] == r {
		delete(c.requests, r.ID)
	}
	if r.class.Ordered && r.Key != "" {
		c.keys[r.Key] = slices.DeleteFunc(c.keys[r.Key], func(o *request) bool { return o == r })
		if len(c.keys[r.Key]) == 0 {
			delete(c.keys, r.Key)
		}
	}
}
