// Package exchange holds the object through which the client side and the server side of a gateway handle one request.
//
// A frontend opens an [Exchange] for each request that it accepts, the event loop schedules it, and a backend sends
// its payload and delivers the reply. The package depends on no protocol: only the frontend and the backend interpret
// payload and reply.
package exchange

import (
	"context"
	"sync"
	"time"

	"reachpulley/scheduler"
)

// Verdict is how a request ended for its client.
type Verdict int

// The verdicts.
const (
	Served   Verdict = iota // a node replied
	Rejected                // not served, and the client may safely retry
	Failed                  // not served; the request may or may not have run
)

// String returns the name of the verdict as api/asyncapi.yaml spells it.
func (v Verdict) String() string { return [...]string{"served", "refused", "failed"}[v] }

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // for Rejected: after how long the client should retry; 0: no Retry-After is sent
	Reply      any           // for Served: what the backend received
}

// Exchange is one request from the moment it is accepted until it is answered or its client has disconnected. The
// frontend that makes it owns it; nothing in it needs to be released.
type Exchange struct {
	Request  scheduler.Request // what the scheduler knows of the request; the event loop sets its ClientTimeout
	Deadline time.Time         // when the client stops waiting
	Payload  any               // what a backend sends; it must not be changed

	// Present reports whether the client is certain to wait for the answer; nil: unless Disconnect was called. It may
	// wait for a moment. A frontend sets it before it passes the exchange on.
	Present func() bool

	once   sync.Once
	done   chan struct{}
	answer Answer

	clientContext context.Context // ends when the client disconnects
	cancelClient  context.CancelFunc
}

// New returns an Exchange that has no answer yet.
func New(request scheduler.Request, deadline time.Time, payload any) *Exchange {
	x := &Exchange{
		Request:  request,
		Deadline: deadline,
		Payload:  payload,
		done:     make(chan struct{}),
	}
	x.clientContext, x.cancelClient = context.WithCancel(context.Background())
	return x
}

// Disconnect records that the client has disconnected and can receive no answer any more.
func (x *Exchange) Disconnect() { x.cancelClient() }

// Disconnected reports whether the client has disconnected.
func (x *Exchange) Disconnected() bool { return x.clientContext.Err() != nil }

// ClientPresent reports whether the client is certain to wait for the answer. A backend calls it right before an attempt
// begins: nothing may be sent for a client that has disconnected, even if its end has not been read yet. It may wait for
// a moment.
func (x *Exchange) ClientPresent() bool {
	if x.Disconnected() {
		return false
	}
	return x.Present == nil || x.Present()
}

// OnDisconnect arranges for f to be called, in its own goroutine, once the client has disconnected.
func (x *Exchange) OnDisconnect(f func()) { context.AfterFunc(x.clientContext, f) }

// Finish sets the final answer. Only the first call has an effect; first reports whether this call was the first.
func (x *Exchange) Finish(answer Answer) (first bool) {
	x.once.Do(func() {
		x.answer = answer
		first = true
		close(x.done)
	})
	return first
}

// Done returns a channel that is closed once the final answer is set.
func (x *Exchange) Done() <-chan struct{} { return x.done }

// Answer returns the final answer. It blocks until the answer is set.
func (x *Exchange) Answer() Answer {
	<-x.done
	return x.answer
}
