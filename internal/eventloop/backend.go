package eventloop

import (
	"cmp"
	"context"
	"errors"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/scheduler"
)

// Backend carries attempts and probes to the nodes. The loop calls its methods, which must not block.
type Backend interface {
	// Start begins an attempt and later calls report exactly once. When ctx ends, the attempt ends too, as TimedOut or
	// Canceled; if nothing of it has been sent yet, it may end as NotSent instead. No part of the attempt is sent to
	// the node after report has been called.
	Start(ctx context.Context, a Attempt, report func(Report))
	// Probe requests the load of a node and calls report exactly once.
	Probe(node string, report func(scheduler.ProbeResult))
}

// Attempt is one sending of a request to a node.
type Attempt struct {
	Exchange    *exchange.Exchange
	Number      int // number of the attempt within its request; the first is 0
	Node        string
	Deadline    time.Time
	BeginBefore time.Time // the attempt may begin only before this time; zero: at any time
}

// MayBegin reports whether the attempt may begin now. A backend checks it right before it sends the first byte: while
// the connection was being established, the client may have disconnected, or the deadline or the time within which
// nodes deduplicate retries may have passed.
func (a Attempt) MayBegin(now time.Time) bool {
	if a.Exchange.Disconnected() {
		return false
	}
	if !a.BeginBefore.IsZero() && !now.Before(a.BeginBefore) {
		return false
	}
	return now.Before(a.Deadline)
}

// Report is how an attempt ended, as its backend saw it.
type Report struct {
	Result      scheduler.Result
	Reply       any             // the node's reply, for Served
	VolumeUse   float64         // as in scheduler.Outcome
	OtherUnits  float64         // as in scheduler.Outcome
	Load        *scheduler.Load // as in scheduler.Outcome
	ServiceTime time.Duration   // from the first byte of the request to the last of the reply; 0: unknown
}

// latency returns the time that the scheduler attributes to the node: the service time if the backend knows it, and
// otherwise the whole time since the scheduler sent the attempt. The service time leaves out the wait for a connection
// and the connect.
func (r Report) latency(sinceSent time.Duration) time.Duration {
	return cmp.Or(r.ServiceTime, sinceSent)
}

// ResultAfterCancel returns result, or TimedOut or Canceled if ctx has ended: an error of the attempt's I/O is then a
// consequence of that.
func ResultAfterCancel(ctx context.Context, result scheduler.Result) scheduler.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return scheduler.TimedOut
	case ctx.Err() != nil:
		return scheduler.Canceled
	}
	return result
}
