package eventloop

import "time"

// clockStart is the time that a new Clock shows. A node that started less than this before the gateway has a start time
// above 0; a start time of 0 means long ago.
const clockStart = time.Hour

// Clock is the monotonic clock of the scheduler.
type Clock struct{ origin time.Time }

// NewClock returns a Clock that shows clockStart now.
func NewClock() Clock { return Clock{origin: time.Now().Add(-clockStart)} }

// Now returns the current time of the clock.
func (c Clock) Now() time.Duration { return time.Since(c.origin) }

// Origin returns the wall-clock time at which the clock showed 0.
func (c Clock) Origin() time.Time { return time.Now().Add(-c.Now()) }

// AtUnixMilli converts a Unix time in milliseconds to the time of the clock. Call it once for each time, when the time
// is received, as the wall clock may be set later. 0 means long ago and stays 0; a time before the clock's range also
// becomes 0.
func (c Clock) AtUnixMilli(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	return max(0, c.Now()-time.Since(time.UnixMilli(ms)))
}
