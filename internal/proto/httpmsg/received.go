package httpmsg

import (
	"context"
	"time"
)

// Received is what a frontend knows of a request beyond the request itself.
type Received struct {
	Arrival time.Time // when its last byte arrived, from which its deadline counts
	Body    Body
	Client  ClientMonitor // nil: the end of the client shows in the request's context alone
}

// ClientMonitor tells whether the client of a request still waits for the answer.
type ClientMonitor interface {
	// Disconnected returns a channel that is closed once the client has disconnected.
	Disconnected() <-chan struct{}
	// Present reports whether the client is certain to wait: all that it has sent is read, and it has not disconnected.
	// It may wait for a moment until input has been read.
	Present() bool
}

// receivedKey is the context key of a request's *Received.
type receivedKey struct{}

// WithReceived adds what a frontend knows of a request to the request's context.
func WithReceived(ctx context.Context, received *Received) context.Context {
	return context.WithValue(ctx, receivedKey{}, received)
}

// ReceivedOf returns what the frontend knows of a request; nil if its context does not have it.
func ReceivedOf(ctx context.Context) *Received {
	received, _ := ctx.Value(receivedKey{}).(*Received)
	return received
}
