// Package eventloop runs the decisions of package scheduler in real time. It knows no wire: fronts open exchanges,
// backs carry attempts, discovery brings the list of nodes, and all of them post events to one loop.
package eventloop

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"log/slog"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/exchange"
	"reachpulley/scheduler"
)

// Backend carries attempts and probes to the nodes. Its methods are called by the loop and must not block.
type Backend interface {
	// Start begins an attempt and later calls report exactly once. When ctx ends the attempt ends too, as
	// TimedOut or Canceled, and nothing of it is on its way to the node once report has been called.
	Start(ctx context.Context, a Attempt, report func(Report))
	// Probe asks a node for its load and calls report exactly once.
	Probe(node string, report func(scheduler.ProbeResult))
}

// MembershipWatcher watches the list of nodes. Watch must not block; what it brings comes in by Members.
type MembershipWatcher interface{ Watch() }

// Attempt is one sending of a request to a node.
type Attempt struct {
	Exchange    *exchange.Exchange
	Number      int
	Node        string
	Deadline    time.Time
	BeginBefore time.Time // before which it has to begin, or not at all; zero: at any time
}

// MayBegin tells whether an attempt may begin now. Backs ask right before the first byte: until then a client may have left, or the
// time have passed within which nodes discard a repeat, as a connection may take long to come up.
func (a Attempt) MayBegin(now time.Time) bool {
	return !a.Exchange.Disconnected() && (a.BeginBefore.IsZero() || now.Before(a.BeginBefore)) && now.Before(a.Deadline)
}

// Report is how an attempt ended, as its back saw it.
type Report struct {
	Result      scheduler.Result
	Reply       any     // for Served
	VolumeUse   float64 // as in scheduler.Outcome
	OtherUnits  float64
	Load        *scheduler.Load
	ServiceTime time.Duration // from the request's first byte to the answer's last; 0: as long as the attempt
}

// latency is what the decisions take for the node's. The way there, a wait for a socket or a slow dial, is not part
// of it where the back knows better than for how long the attempt was out.
func (r Report) latency(out time.Duration) time.Duration { return cmp.Or(r.ServiceTime, out) }

// ResultAfterCancel is the result of an attempt that ended with result, unless it was given up: then it is that.
func ResultAfterCancel(ctx context.Context, result scheduler.Result) scheduler.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return scheduler.TimedOut
	case ctx.Err() != nil:
		return scheduler.Canceled
	}
	return result
}

// decider is a Scheduler, recorded or not.
type decider interface {
	capture.Scheduler
	Snapshot() *scheduler.Snapshot
	RetryWindowLeft(id string) (within time.Duration, bound bool)
}

// Loop owns the Scheduler, the timers and the table of exchanges; all three are touched by Run alone.
type Loop struct {
	clock   Clock
	log     *slog.Logger
	back    Backend
	lister  MembershipWatcher
	limit   int // attempts a request may have; 0: no limit
	box     *mailbox
	sched   decider
	record  *capture.Recorder // nil: nothing is recorded
	crashed func(capture.Recording)
	timers  timerHeap
	entries map[string]*entry
}

// entry is an exchange from its arrival until it has an answer and all its attempts have ended.
type entry struct {
	x        *exchange.Exchange
	attempts int
	open     map[int]open
	over     bool // answered, or its client has left
}

// open is an attempt that is out. Its cancel is called where its report is taken, in ended.
type open struct {
	cancel context.CancelFunc
	sentAt time.Duration
	node   string
}

// New makes a Loop that decides by settings; nothing is recorded where rec.Most is 0.
func New(settings scheduler.Settings, seed uint64, clock Clock, back Backend, lister MembershipWatcher, rec capture.Options, log *slog.Logger) (*Loop, error) {
	l := &Loop{
		clock: clock, log: log, back: back, lister: lister, limit: settings.Allowed.MaxAttempts,
		box: newMailbox(), entries: map[string]*entry{},
	}
	if rec.MaxBytes > 0 {
		rec.Origin, l.crashed = clock.Origin(), rec.OnCrash
		var err error
		l.record, err = capture.NewRecorder(settings, seed, rec, actions{l})
		l.sched = l.record
		return l, err
	}
	sched, err := scheduler.New(settings, seed, actions{l})
	l.sched = sched
	return l, err
}

// Capture has done called with what was recorded so far, within the loop: it must not block. Without a recorder it is not called.
func (l *Loop) Capture(done func(capture.Recording)) {
	if l.record != nil {
		l.box.post(func() { done(l.record.Recording()) })
	}
}

// Restore takes over what an earlier life had learned. It is called before anything else is told.
func (l *Loop) Restore(learned scheduler.LearnedState) {
	l.box.post(func() { l.sched.Restore(l.clock.Now(), learned) })
}

// Snapshot has done called with the state, within the loop: it must not block. It holds the loop up while the state is copied.
func (l *Loop) Snapshot(done func(*scheduler.Snapshot)) {
	l.box.post(func() { done(l.sched.Snapshot()) })
}

// State is the state after the loop's end.
func (l *Loop) State() *scheduler.Snapshot { return l.sched.Snapshot() }

// Note has something told beside what is recorded; without a recorder it is not.
func (l *Loop) Note(text string) {
	if l.record != nil {
		l.box.post(func() { l.record.Note(l.clock.Now(), text) })
	}
}

// Open takes a request: the exchange gets its final answer before its deadline.
func (l *Loop) Open(x *exchange.Exchange) {
	l.box.post(func() { l.arrived(x) })
	x.OnDisconnect(func() { l.box.post(func() { l.left(x) }) })
}

// MembershipChanged brings news of the list of nodes.
func (l *Loop) MembershipChanged(m scheduler.Membership) {
	l.box.post(func() { l.sched.MembershipChanged(l.clock.Now(), m) })
}

// Restrict tells how carefully an operation is to be handled.
func (l *Loop) Restrict(c scheduler.Restriction) {
	l.box.post(func() { l.sched.Restrict(l.clock.Now(), c) })
}

// Run serves events until ctx ends, then fails what is still held.
func (l *Loop) Run(ctx context.Context) {
	defer l.keep()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			l.abandon()
			return
		case <-l.box.wake:
		case <-alarm.C:
		}
		for _, event := range l.box.take() {
			event()
		}
		alarm.Reset(l.fire())
	}
}

// keep sees to it that what was recorded outlasts the loop, and its crash, which stays one.
func (l *Loop) keep() {
	if l.record == nil {
		return
	}
	failure := recover()
	if failure != nil && l.crashed != nil {
		l.crashed(l.record.Recording())
	}
	l.record.Flush(l.clock.Now())
	if failure != nil {
		panic(failure)
	}
}

// fire runs the timers that are due and tells how long until the next.
func (l *Loop) fire() time.Duration {
	for len(l.timers) > 0 {
		if wait := l.timers[0].at - l.clock.Now(); wait > 0 {
			return wait
		}
		t := heap.Pop(&l.timers).(timer)
		l.sched.TimerFired(l.clock.Now(), t.key)
	}
	return time.Hour
}

func (l *Loop) arrived(x *exchange.Exchange) {
	if l.entries[x.Request.ID] != nil { // an id is new with every request; two alike can't be told apart later
		x.Finish(exchange.Answer{Verdict: exchange.Failed})
		return
	}
	l.entries[x.Request.ID] = &entry{x: x, open: map[int]open{}}
	x.Request.ClientTimeout = time.Until(x.Deadline)
	l.sched.RequestArrived(l.clock.Now(), x.Request)
}

func (l *Loop) left(x *exchange.Exchange) {
	e := l.entries[x.Request.ID]
	if e == nil || e.x != x || e.over {
		return
	}
	l.end(e, exchange.Answer{Verdict: exchange.Failed})
	l.sched.ClientDisconnected(l.clock.Now(), x.Request.ID)
	// Whatever the Scheduler says: nobody waits for these any more. Cancel is harmless when called twice.
	for _, o := range e.open {
		o.cancel()
	}
}

// end gives the final answer.
func (l *Loop) end(e *entry, a exchange.Answer) {
	if e == nil || e.over {
		return
	}
	e.over = true
	e.x.Finish(a)
	l.drop(e)
}

// drop forgets an exchange that is over and has nothing out.
func (l *Loop) drop(e *entry) {
	if e.over && len(e.open) == 0 {
		delete(l.entries, e.x.Request.ID)
	}
}

// ended takes the report on an attempt: the first served one answers the request.
func (l *Loop) ended(e *entry, number int, r Report) {
	o := e.open[number]
	o.cancel()
	delete(e.open, number)
	if r.Result == scheduler.Served {
		l.end(e, exchange.Answer{Verdict: exchange.Served, Reply: r.Reply})
	}
	l.drop(e)
	now := l.clock.Now()
	l.sched.AttemptEnded(now, scheduler.Outcome{
		ID: e.x.Request.ID, Attempt: number, Node: o.node, Result: r.Result, Latency: r.latency(now - o.sentAt),
		Concluded: e.over, VolumeUse: r.VolumeUse, OtherUnits: r.OtherUnits, Load: r.Load,
	})
}

// abandon fails what the loop still holds when it ends.
func (l *Loop) abandon() {
	for _, event := range l.box.take() {
		event()
	}
	for _, e := range l.entries {
		e.x.Finish(exchange.Answer{Verdict: exchange.Failed})
		for _, o := range e.open {
			o.cancel()
		}
	}
}

// actions carries out what the Scheduler calls for. Its methods run within the loop.
type actions struct{ l *Loop }

func (a actions) Send(id, node string, timeout time.Duration) {
	l, e := a.l, a.l.entries[id]
	if e == nil {
		l.log.Error("send for an unknown request", "id", id)
		return
	}
	number, now := e.attempts, time.Now()
	e.attempts++
	deadline := e.x.Deadline
	if timeout != 0 && now.Add(timeout).Before(deadline) {
		deadline = now.Add(timeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	e.open[number] = open{cancel: cancel, sentAt: l.clock.Now(), node: node}
	// Reports are posted, never handed in at once: the Scheduler is still within the call that sends.
	report := func(r Report) { l.box.post(func() { l.ended(e, number, r) }) }
	if e.over || !now.Before(deadline) || l.limit > 0 && number >= l.limit {
		report(Report{Result: scheduler.NotSent, VolumeUse: -1})
		return
	}
	attempt := Attempt{Exchange: e.x, Number: number, Node: node, Deadline: deadline}
	if within, bound := l.sched.RetryWindowLeft(id); bound {
		attempt.BeginBefore = now.Add(within)
	}
	l.back.Start(ctx, attempt, report)
}

func (a actions) Cancel(id string, attempt int) {
	if e := a.l.entries[id]; e != nil {
		if o, ok := e.open[attempt]; ok {
			o.cancel()
		}
	}
}

func (a actions) Reject(id string, retryAfter time.Duration) {
	a.l.end(a.l.entries[id], exchange.Answer{Verdict: exchange.Rejected, RetryAfter: retryAfter})
}

func (a actions) Fail(id string) { a.l.end(a.l.entries[id], exchange.Answer{Verdict: exchange.Failed}) }

func (a actions) Probe(node string) {
	l := a.l
	l.back.Probe(node, func(p scheduler.ProbeResult) { l.box.post(func() { l.sched.ProbeEnded(l.clock.Now(), p) }) })
}

func (a actions) SetTimer(after time.Duration, key uint64) {
	heap.Push(&a.l.timers, timer{a.l.clock.Now() + after, key})
}

func (a actions) Watch() { a.l.lister.Watch() }

func (a actions) Log(text string) { a.l.log.Info(text) }

type timer struct {
	at  time.Duration
	key uint64
}

// timerHeap is a container/heap with the earliest timer first.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
