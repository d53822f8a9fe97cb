package simulation

import "time"

// minSpeed keeps what is slowed down from standing still.
const minSpeed = 0.01

// SharedResource is what all nodes depend on, such as a disk array. It processes one call after another, including
// calls whose callers have stopped waiting.
type SharedResource struct {
	Rate       float64       // calls per second at full speed
	Speed      float64       // current share of the full speed
	Timeout    time.Duration // after which a caller stops waiting
	MaxBacklog time.Duration // of calls that wait; further calls are not taken

	busyUntil time.Duration // when all calls that were taken will be done
}

// call makes a call and returns for how long its caller waits, and whether the call fails. A nil resource does nothing
// and takes no time.
func (r *SharedResource) call(now time.Duration) (wait time.Duration, failed bool) {
	if r == nil {
		return 0, false
	}
	r.busyUntil = max(r.busyUntil, now)
	if r.busyUntil-now > r.MaxBacklog {
		return r.Timeout, true
	}
	r.busyUntil += time.Duration(float64(time.Second) / (r.Rate * max(r.Speed, minSpeed)))
	wait = r.busyUntil - now
	if wait > r.Timeout {
		return r.Timeout, true
	}
	return wait, false
}
