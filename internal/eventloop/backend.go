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
	// Canceled. Once report has been called, nothing of the attempt is on its way to the node any more.
	Start(ctx context.Context, a Attempt, report func(Report))
	// Probe requests the load of a node and calls report exactly once.
	Probe(node string, report func(scheduler.ProbeResult))
}

// Attempt is one sending of a request to a node.
type Attempt struct {
	Exchange    *exchange.Exchange
	Number      int // from 0 on
	Node        string
	Deadline    time.Time
	BeginBefore time.Time // after it the attempt must not begin any more; zero: it may begin at any time
}

// MayBegin reports whether the attempt may begin now. A backend checks it right before the first byte: establishing the
// connection may take long, and meanwhile the client may have disconnected, or the time may have passed within which
// nodes deduplicate retries.
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
	Reply       any             // for Served
	VolumeUse   float64         // as in scheduler.Outcome
	OtherUnits  float64         // as in scheduler.Outcome
	Load        *scheduler.Load // as in scheduler.Outcome
	ServiceTime time.Duration   // from the first byte of the request to the last of the reply; 0: unknown
}

// latency returns the time that the scheduler attributes to the node. Where the backend knows the service time, the
// wait for a socket or a slow connect is left out; otherwise it is the whole time since the attempt was sent.
func (r Report) latency(sinceSent time.Duration) time.Duration {
	return cmp.Or(r.ServiceTime, sinceSent)
}

// ResultAfterCancel returns result, unless ctx has ended: then the attempt was canceled or timed out, whatever error
// its I/O returned.
func ResultAfterCancel(ctx context.Context, result scheduler.Result) scheduler.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return scheduler.TimedOut
	case ctx.Err() != nil:
		return scheduler.Canceled
	}
	return result
}
