// Package exchange holds the one object in which the client side and the server side of a gateway meet.
//
// A front opens an Exchange for each request that it takes; the core carries it; a back reads its payload and
// brings the reply. The Exchange knows no wire: payload and reply mean something to front and back alone.
package exchange

import (
	"context"
	"sync"
	"time"

	"reachpulley/scheduler"
)

// Verdict is how a request ended for its client.
type Verdict int

// The kinds of Verdict.
const (
	Served   Verdict = iota // the node's reply
	Rejected                // trying again is harmless
	Failed                  // nothing is promised
)

func (v Verdict) String() string { return [...]string{"served", "refused", "failed"}[v] }

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // for Refused: when the client should return; 0 gives no advice
	Reply      any           // for Served: what the back brought
}

// Exchange is one request from the moment it is taken until it is answered or its client has left. The front
// that makes it owns it; nothing in it needs to be given back.
type Exchange struct {
	Request  scheduler.Request // the facts on which is decided; Patience is set when the core takes it
	Deadline time.Time         // when the client gives up
	Payload  any               // what a back sends; it must not be changed

	once   sync.Once
	done   chan struct{}
	answer Answer
	client context.Context // ends when the client leaves
	leave  context.CancelFunc
}

// New makes an Exchange.
func New(request scheduler.Request, deadline time.Time, payload any) *Exchange {
	x := &Exchange{Request: request, Deadline: deadline, Payload: payload, done: make(chan struct{})}
	x.client, x.leave = context.WithCancel(context.Background())
	return x
}

// Disconnect tells that the client has gone: no answer reaches it any more.
func (x *Exchange) Disconnect() { x.leave() }

// Disconnected tells whether the client has gone.
func (x *Exchange) Disconnected() bool { return x.client.Err() != nil }

// OnDisconnect has f called, in a goroutine of its own, once the client has left.
func (x *Exchange) OnDisconnect(f func()) { context.AfterFunc(x.client, f) }

// Finish gives the final answer. Only the first call counts; it tells whether this was the one.
func (x *Exchange) Finish(a Answer) (first bool) {
	x.once.Do(func() {
		x.answer, first = a, true
		close(x.done)
	})
	return first
}

// Done is closed once the final answer is there.
func (x *Exchange) Done() <-chan struct{} { return x.done }

// Answer is the final answer; it may be read once Done is closed.
func (x *Exchange) Answer() Answer {
	<-x.done
	return x.answer
}
