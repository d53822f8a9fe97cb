// Package eventloop runs the scheduler in real time.
//
// The scheduler is a state machine without I/O: it receives events and requests actions. A [Loop] connects it to the
// rest of the gateway. Frontends open exchanges, backends report on attempts, discovery reports the membership; each of
// them posts an event to the loop's mailbox and returns. One goroutine, which runs [Loop.Run], handles the events in
// order, fires timers and carries out actions, so the scheduler needs no locks. The package depends on no protocol.
//
// The file loop.go holds the Loop and its events, pending.go the pending exchanges, actions.go the actions that the
// scheduler requests, timers.go the scheduler's timers, and backend.go what a backend implements and reports.
package eventloop

import (
	"context"
	"log/slog"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/exchange"
	"reachpulley/scheduler"
)

// MembershipWatcher subscribes to the list of nodes.
type MembershipWatcher interface {
	// Watch subscribes and must not block. Each list or change that arrives is passed to [Loop.MembershipChanged].
	Watch()
}

// stateMachine is the scheduler as the loop uses it: a *scheduler.Scheduler, or a *capture.Recorder that records one.
type stateMachine interface {
	capture.Scheduler
	Snapshot() *scheduler.Snapshot
	RetryWindowLeft(id string) (left time.Duration, limited bool)
}

// Options configure a [Loop].
type Options struct {
	Settings   scheduler.Settings
	Seed       uint64 // seed of the scheduler's random draws
	Clock      Clock
	Backend    Backend
	Membership MembershipWatcher
	Capture    capture.Options // if MaxBytes is 0, nothing is recorded
	Log        *slog.Logger
}

// Loop owns the scheduler, its timers and the pending exchanges. Only the goroutine of [Loop.Run] touches them.
type Loop struct {
	clock       Clock
	log         *slog.Logger
	backend     Backend
	membership  MembershipWatcher
	maxAttempts int // maximum number of attempts per request; 0: unlimited
	mailbox     *mailbox

	scheduler stateMachine
	recorder  *capture.Recorder       // the same object as scheduler; nil: nothing is recorded
	onCrash   func(capture.Recording) // called with the recording when the loop panics; may be nil
	timers    timerHeap
	pending   map[string]*pendingExchange // by request ID
	recent    recentIDs
	classes   []scheduler.Class
}

// New returns a Loop, which handles no event until Run is called.
func New(options Options) (*Loop, error) {
	l := &Loop{
		clock:       options.Clock,
		log:         options.Log,
		backend:     options.Backend,
		membership:  options.Membership,
		maxAttempts: options.Settings.Allowed.MaxAttempts,
		mailbox:     newMailbox(),
		pending:     map[string]*pendingExchange{},
		recent:      recentIDs{endedAt: map[string]time.Duration{}},
		classes:     options.Settings.Classes,
	}
	if options.Capture.MaxBytes <= 0 {
		machine, err := scheduler.New(options.Settings, options.Seed, actions{l})
		if err != nil {
			return nil, err
		}
		l.scheduler = machine
		return l, nil
	}
	captureOptions := options.Capture
	captureOptions.Origin = options.Clock.Origin()
	recorder, err := capture.NewRecorder(options.Settings, options.Seed, captureOptions, actions{l})
	if err != nil {
		return nil, err
	}
	l.scheduler = recorder
	l.recorder = recorder
	l.onCrash = captureOptions.OnCrash
	return l, nil
}

// Open passes a request to the scheduler. The exchange receives its final answer before the request's deadline.
func (l *Loop) Open(x *exchange.Exchange) {
	l.mailbox.post(func() { l.requestArrived(x) })
	x.OnDisconnect(func() { l.mailbox.post(func() { l.clientDisconnected(x) }) })
}

// MembershipChanged passes a change of the list of nodes to the scheduler.
func (l *Loop) MembershipChanged(m scheduler.Membership) {
	l.mailbox.post(func() { l.scheduler.MembershipChanged(l.clock.Now(), m) })
}

// Restrict tells the scheduler how to handle an operation at a node.
func (l *Loop) Restrict(r scheduler.Restriction) {
	l.mailbox.post(func() { l.scheduler.Restrict(l.clock.Now(), r) })
}

// Restore passes to the scheduler what it had learned before the gateway restarted. It must be the loop's first event.
func (l *Loop) Restore(learned scheduler.LearnedState) {
	l.mailbox.post(func() { l.scheduler.Restore(l.clock.Now(), learned) })
}

// Snapshot calls done with a copy of the scheduler's state. The loop handles no event while it copies the state and
// runs done, so done must not block.
func (l *Loop) Snapshot(done func(*scheduler.Snapshot)) {
	l.mailbox.post(func() { done(l.scheduler.Snapshot()) })
}

// State returns a copy of the scheduler's state. It may be called only after Run has returned.
func (l *Loop) State() *scheduler.Snapshot { return l.scheduler.Snapshot() }

// Capture calls done with what was recorded so far. The loop handles no event while it runs done, so done must not
// block. If nothing is recorded, done is not called.
func (l *Loop) Capture(done func(capture.Recording)) {
	if l.recorder != nil {
		l.mailbox.post(func() { done(l.recorder.Recording()) })
	}
}

// Note adds a line of text to the recording, if there is one.
func (l *Loop) Note(text string) {
	if l.recorder != nil {
		l.mailbox.post(func() { l.recorder.Note(l.clock.Now(), text) })
	}
}

// Run handles events until ctx ends, then fails the exchanges that are still pending.
func (l *Loop) Run(ctx context.Context) {
	defer l.flushRecorder()
	nextTimer := time.NewTimer(0)
	defer nextTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			l.handleEvents()
			l.failPending()
			return
		case <-l.mailbox.wake:
		case <-nextTimer.C:
		}
		l.handleEvents()
		nextTimer.Reset(l.fireTimers())
	}
}

// handleEvents handles the events that have been posted so far.
func (l *Loop) handleEvents() {
	for _, event := range l.mailbox.take() {
		event()
	}
}

// flushRecorder has the recorder hand over its last records when the loop ends, by a return or by a panic. After a
// panic, it first passes the recording to onCrash, and panics again at the end. It must be deferred directly: recover
// has no effect in a function that a deferred function calls.
func (l *Loop) flushRecorder() {
	if l.recorder == nil {
		return
	}
	failure := recover()
	if failure != nil && l.onCrash != nil {
		l.onCrash(l.recorder.Recording())
	}
	l.recorder.Flush(l.clock.Now())
	if failure != nil {
		panic(failure)
	}
}
