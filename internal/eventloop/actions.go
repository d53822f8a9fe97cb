package eventloop

import (
	"container/heap"
	"context"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/scheduler"
)

// actions carries out the scheduler's actions and implements [scheduler.Actions]. The loop's goroutine calls its
// methods.
type actions struct{ loop *Loop }

// Send starts an attempt at a node for the request with the given ID. The attempt's deadline is that of the request or,
// if it is earlier, the time that is timeout from now. A timeout of 0 sets no deadline of its own.
//
// Every report is posted to the mailbox, even that on an attempt which is not sent. It cannot be handled at once, as
// the scheduler is still handling the event in which it called Send.
func (a actions) Send(id, node string, timeout time.Duration) {
	l := a.loop
	p := l.pending[id]
	if p == nil {
		l.log.Error("scheduler sent a request that is not pending", "id", id)
		return
	}
	now := time.Now()
	number := p.attempts
	p.attempts++
	deadline := p.exchange.Deadline
	if timeout != 0 && now.Add(timeout).Before(deadline) {
		deadline = now.Add(timeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	p.inFlight[number] = inFlightAttempt{cancel: cancel, sentAt: l.clock.Now(), node: node}
	report := func(r Report) { l.mailbox.post(func() { l.attemptEnded(p, number, r) }) }
	exhausted := l.maxAttempts > 0 && number >= l.maxAttempts
	if p.finished || !now.Before(deadline) || exhausted {
		report(Report{Result: scheduler.NotSent, VolumeUse: -1})
		return
	}
	attempt := Attempt{Exchange: p.exchange, Number: number, Node: node, Deadline: deadline}
	if left, limited := l.scheduler.RetryWindowLeft(id); limited {
		attempt.BeginBefore = now.Add(left)
	}
	l.backend.Start(ctx, attempt, report)
}

// Cancel cancels the context of an attempt in flight. The backend still reports on the attempt.
func (a actions) Cancel(id string, number int) {
	p := a.loop.pending[id]
	if p == nil {
		return
	}
	if attempt, ok := p.inFlight[number]; ok {
		attempt.cancel()
	}
}

// Reject answers a request as rejected: its client may safely retry it.
func (a actions) Reject(id string, retryAfter time.Duration) {
	a.loop.finish(a.loop.pending[id], exchange.Answer{Verdict: exchange.Rejected, RetryAfter: retryAfter})
}

// Fail answers a request as failed: it may or may not have run.
func (a actions) Fail(id string) {
	a.loop.finish(a.loop.pending[id], exchange.Answer{Verdict: exchange.Failed})
}

// Probe requests the load of a node.
func (a actions) Probe(node string) {
	l := a.loop
	l.backend.Probe(node, func(result scheduler.ProbeResult) {
		l.mailbox.post(func() { l.scheduler.ProbeEnded(l.clock.Now(), result) })
	})
}

// SetTimer sets a timer that calls the scheduler with key after the given time.
func (a actions) SetTimer(after time.Duration, key uint64) {
	heap.Push(&a.loop.timers, timer{at: a.loop.clock.Now() + after, key: key})
}

// Watch subscribes to the list of nodes.
func (a actions) Watch() { a.loop.membership.Watch() }

// Log writes a message of the scheduler to the log.
func (a actions) Log(text string) { a.loop.log.Info(text) }
