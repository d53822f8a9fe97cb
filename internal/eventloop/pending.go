package eventloop

import (
	"context"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/scheduler"
)

// pendingExchange is an exchange from its arrival until it has an answer and all its attempts have ended.
type pendingExchange struct {
	exchange *exchange.Exchange
	attempts int // number of attempts that the scheduler has sent so far
	inFlight map[int]inFlightAttempt
	finished bool // answered, or its client has disconnected
	mayRun   bool // an attempt may have run, or may run yet
}

// inFlightAttempt is an attempt on which the backend has not reported yet. Its context is canceled when the report is
// handled, in attemptEnded, if not before.
type inFlightAttempt struct {
	cancel context.CancelFunc
	sentAt time.Duration // on the loop's clock
	node   string
}

// requestArrived passes a new exchange to the scheduler. Request IDs are unique: a request with the ID of a pending one
// fails, as the scheduler could not tell the two apart. So does one with the ID of a request that may have run and must
// not run again.
func (l *Loop) requestArrived(x *exchange.Exchange) {
	if l.pending[x.Request.ID] != nil || l.recent.contains(x.Request.ID, l.clock.Now()) {
		x.Finish(exchange.Answer{Verdict: exchange.Failed})
		return
	}
	l.pending[x.Request.ID] = &pendingExchange{exchange: x, inFlight: map[int]inFlightAttempt{}}
	x.Request.ClientTimeout = time.Until(x.Deadline)
	l.scheduler.RequestArrived(l.clock.Now(), x.Request)
}

// clientDisconnected ends an exchange whose client has disconnected, unless it has been answered.
func (l *Loop) clientDisconnected(x *exchange.Exchange) {
	p := l.pending[x.Request.ID]
	if p == nil || p.exchange != x || p.finished {
		return
	}
	l.finish(p, exchange.Answer{Verdict: exchange.Failed})
	l.scheduler.ClientDisconnected(l.clock.Now(), x.Request.ID)
	// Nobody waits for these attempts any more. The scheduler may have canceled some already; canceling them again has
	// no effect.
	for _, attempt := range p.inFlight {
		attempt.cancel()
	}
}

// finish gives an exchange its final answer. It does nothing if the exchange has one or is not pending (p is nil).
func (l *Loop) finish(p *pendingExchange, answer exchange.Answer) {
	if p == nil || p.finished {
		return
	}
	p.finished = true
	p.exchange.Finish(answer)
	l.removeIfDone(p)
}

// removeIfDone removes an exchange from the pending ones once it is finished and has no attempt in flight.
func (l *Loop) removeIfDone(p *pendingExchange) {
	if !p.finished || len(p.inFlight) > 0 {
		return
	}
	delete(l.pending, p.exchange.Request.ID)
	if p.mayRun && !l.isIdempotent(&p.exchange.Request) {
		l.recent.add(p.exchange.Request.ID, l.clock.Now())
	}
}

// isIdempotent reports whether a request may run any number of times.
func (l *Loop) isIdempotent(request *scheduler.Request) bool {
	if request.Class < 0 || request.Class >= len(l.classes) {
		return false
	}
	policy := l.classes[request.Class].RetryPolicy().NarrowedBy(request.RetryPolicy)
	return policy.Idempotency == scheduler.Idempotent
}

// attemptEnded handles the report on an attempt. The first attempt that is served answers the request.
func (l *Loop) attemptEnded(p *pendingExchange, number int, report Report) {
	attempt := p.inFlight[number]
	attempt.cancel()
	delete(p.inFlight, number)
	p.mayRun = p.mayRun || !report.Result.NeverRan()
	if report.Result == scheduler.Served {
		l.finish(p, exchange.Answer{Verdict: exchange.Served, Reply: report.Reply})
	}
	l.removeIfDone(p)
	now := l.clock.Now()
	l.scheduler.AttemptEnded(now, scheduler.Outcome{
		ID:         p.exchange.Request.ID,
		Attempt:    number,
		Node:       attempt.node,
		Result:     report.Result,
		Latency:    report.latency(now - attempt.sentAt),
		Concluded:  p.finished,
		VolumeUse:  report.VolumeUse,
		OtherUnits: report.OtherUnits,
		Load:       report.Load,
	})
}

// failPending fails the exchanges that are pending when the loop ends, and cancels their attempts.
func (l *Loop) failPending() {
	for _, p := range l.pending {
		p.exchange.Finish(exchange.Answer{Verdict: exchange.Failed})
		for _, attempt := range p.inFlight {
			attempt.cancel()
		}
	}
}
