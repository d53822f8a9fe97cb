package httpmsg

import (
	"context"
	"time"
)

// arrivalKey is the context key of the time at which a request arrived.
type arrivalKey struct{}

// WithArrival adds to the context of a request the time at which its last byte arrived, from which its deadline counts.
func WithArrival(ctx context.Context, arrival time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, arrival)
}

// Arrival returns the time at which a request arrived; the zero time if its context does not have it.
func Arrival(ctx context.Context) time.Time {
	arrival, _ := ctx.Value(arrivalKey{}).(time.Time)
	return arrival
}
