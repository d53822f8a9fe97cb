package eventloop

import "time"

// clockStart is what a Clock reads when it is made. Nodes that started up to this long before the gateway have a start
// above 0; 0 means long ago.
const clockStart = time.Hour

// Clock is the monotonic clock of the scheduler.
type Clock struct{ origin time.Time }

// NewClock makes a Clock that starts now.
func NewClock() Clock { return Clock{origin: time.Now().Add(-clockStart)} }

// Now reads the clock.
func (c Clock) Now() time.Duration { return time.Since(c.origin) }

// Origin returns the time of the wall clock at which the clock read 0.
func (c Clock) Origin() time.Time { return time.Now().Add(-c.Now()) }

// AtUnixMilli converts a time of the wall clock to the clock. It is meant to be called once for each time, on receipt,
// as the wall clock may be set later. 0 means long ago and stays 0; a time before the clock's range becomes 0 as well.
func (c Clock) AtUnixMilli(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	return max(0, c.Now()-time.Since(time.UnixMilli(ms)))
}
