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
