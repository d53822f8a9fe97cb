package eventloop

import "time"

// clockStart is what a Clock reads when it is made. It leaves room for nodes that started before the gateway:
// their start must stay above 0, which means long ago.
const clockStart = time.Hour

// Clock is the monotonic clock on which the decisions run.
type Clock struct{ origin time.Time }

// NewClock makes a Clock that starts now.
func NewClock() Clock { return Clock{time.Now().Add(-clockStart)} }

// Now reads the clock.
func (c Clock) Now() time.Duration { return time.Since(c.origin) }

// Origin is the wall clock's time at which the clock read 0.
func (c Clock) Origin() time.Time { return time.Now().Add(-c.Now()) }

// AtUnixMilli converts a time of the wall clock, once, when it is told; 0, long ago, stays 0, and so reads what
// lies before the clock's range.
func (c Clock) AtUnixMilli(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	return max(0, c.Now()-time.Since(time.UnixMilli(ms)))
}
