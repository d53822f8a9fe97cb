package simulation

import "time"

// minSpeed is the lowest speed of nodes and shared resources, as a share of full speed. At 0, no request would end.
const minSpeed = 0.01

// SharedResource is a resource that all nodes depend on, such as a disk array. It processes one call at a time,
// including calls whose callers have stopped waiting.
type SharedResource struct {
	Rate       float64       // calls per second at full speed
	Speed      float64       // current speed, as a share of full speed
	Timeout    time.Duration // time after which a caller stops waiting
	MaxBacklog time.Duration // while accepted calls need longer than this, further ones are not accepted

	busyUntil time.Duration // time at which all accepted calls will be done
}

// call makes a call and returns how long its caller waits and whether the call fails. A call of a nil resource takes no
// time and does not fail.
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
