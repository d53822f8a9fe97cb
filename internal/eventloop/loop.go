// Package eventloop runs the scheduler in real time.
//
// The scheduler is a state machine without I/O: it takes events and calls for actions. A [Loop] connects it to the rest
// of the gateway. Frontends open exchanges, backends report on attempts, discovery reports the membership; each of them
// posts an event to the loop's mailbox and returns. One goroutine, [Loop.Run], takes the events in order, fires timers
// and carries out actions, so that nothing of the scheduler needs a lock. The package knows no protocol.
//
// Files: loop.go holds the Loop and its events, pending.go the exchanges in flight, actions.go what the
// scheduler calls for, timers.go its timers, backend.go what a backend implements and reports.
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
	// Watch must not block. What it brings is passed to [Loop.MembershipChanged].
	Watch()
}

// stateMachine is the scheduler as the loop uses it: a *scheduler.Scheduler, or a *capture.Recorder that records one.
type stateMachine interface {
	capture.Scheduler
	Snapshot() *scheduler.Snapshot
	RetryWindowLeft(id string) (within time.Duration, bound bool)
}

// Options are what a [Loop] is made from.
type Options struct {
	Settings   scheduler.Settings
	Seed       uint64 // of the scheduler's random draws
	Clock      Clock
	Backend    Backend
	Membership MembershipWatcher
	Capture    capture.Options // nothing is recorded where MaxBytes is 0
	Log        *slog.Logger
}

// Loop owns the scheduler, its timers and the pending exchanges. Only the goroutine of [Loop.Run] touches them.
type Loop struct {
	clock       Clock
	log         *slog.Logger
	backend     Backend
	membership  MembershipWatcher
	maxAttempts int // that a request may have; 0: unlimited
	mailbox     *mailbox

	scheduler stateMachine
	recorder  *capture.Recorder       // nil: nothing is recorded
	onCrash   func(capture.Recording) // nil: nothing is done with the recording when the loop panics
	timers    timerHeap
	pending   map[string]*pendingExchange // by request ID
}

// New makes a Loop. Call Run to start it.
func New(options Options) (*Loop, error) {
	l := &Loop{
		clock:       options.Clock,
		log:         options.Log,
		backend:     options.Backend,
		membership:  options.Membership,
		maxAttempts: options.Settings.Allowed.MaxAttempts,
		mailbox:     newMailbox(),
		pending:     map[string]*pendingExchange{},
	}
	if options.Capture.MaxBytes <= 0 {
		machine, err := scheduler.New(options.Settings, options.Seed, actions{l})
		if err != nil {
			return nil, err
		}
		l.scheduler = machine
		return l, nil
	}
	record := options.Capture
	record.Origin = options.Clock.Origin()
	recorder, err := capture.NewRecorder(options.Settings, options.Seed, record, actions{l})
	if err != nil {
		return nil, err
	}
	l.scheduler = recorder
	l.recorder = recorder
	l.onCrash = record.OnCrash
	return l, nil
}

// Open accepts a request: the exchange receives its final answer before its deadline.
func (l *Loop) Open(x *exchange.Exchange) {
	l.mailbox.post(func() { l.requestArrived(x) })
	x.OnDisconnect(func() { l.mailbox.post(func() { l.clientDisconnected(x) }) })
}

// MembershipChanged reports a change of the list of nodes.
func (l *Loop) MembershipChanged(m scheduler.Membership) {
	l.mailbox.post(func() { l.scheduler.MembershipChanged(l.clock.Now(), m) })
}

// Restrict sets how an operation is to be handled at a node.
func (l *Loop) Restrict(r scheduler.Restriction) {
	l.mailbox.post(func() { l.scheduler.Restrict(l.clock.Now(), r) })
}

// Restore hands the scheduler what a previous incarnation had learned. It has to be the first event.
func (l *Loop) Restore(learned scheduler.LearnedState) {
	l.mailbox.post(func() { l.scheduler.Restore(l.clock.Now(), learned) })
}

// Snapshot calls done with the state, within the loop: done must not block. The loop stands still while the state is
// copied.
func (l *Loop) Snapshot(done func(*scheduler.Snapshot)) {
	l.mailbox.post(func() { done(l.scheduler.Snapshot()) })
}

// State returns the state after Run has ended.
func (l *Loop) State() *scheduler.Snapshot { return l.scheduler.Snapshot() }

// Capture calls done with what was recorded so far, within the loop: done must not block. It is not called where
// nothing is recorded.
func (l *Loop) Capture(done func(capture.Recording)) {
	if l.recorder != nil {
		l.mailbox.post(func() { done(l.recorder.Recording()) })
	}
}

// Note adds a line of text to what is recorded.
func (l *Loop) Note(text string) {
	if l.recorder != nil {
		l.mailbox.post(func() { l.recorder.Note(l.clock.Now(), text) })
	}
}

// Run handles events until ctx ends, then fails the exchanges that are still pending.
func (l *Loop) Run(ctx context.Context) {
	defer l.flushRecorder()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			l.handleEvents()
			l.failPending()
			return
		case <-l.mailbox.wake:
		case <-alarm.C:
		}
		l.handleEvents()
		alarm.Reset(l.fireTimers())
	}
}

// handleEvents handles the events that have been posted so far.
func (l *Loop) handleEvents() {
	for _, event := range l.mailbox.take() {
		event()
	}
}

// flushRecorder passes on what was recorded last when the loop ends, also when it panics. It does not stop the panic.
// It has to be deferred itself, as recover has no effect further down.
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
