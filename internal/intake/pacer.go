package intake

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Costs of what a connection causes, in units of about the processor time of one read.
const (
	ReadCost   = 1
	FrameCost  = 1. / 4   // of a frame, of which one read brings several
	StepCost   = 1. / 200 // of a line, or of a piece of content
	ParseCost  = 2        // of a head
	AnswerCost = 3        // of an answer without the event loop
	RejectCost = 12       // of a request that the event loop has handled and no node has served
)

const (
	maxUnits       = 64.0   // of a connection that carries one request at a time
	maxSharedUnits = 1024.0 // of a connection that carries many requests at a time
	sharedRate     = 4000.0 // units a second for all connections that have used up theirs
	minRate        = 50.0   // units a second that each of them gets in any case: ten rejected requests
	maxPause       = 2 * time.Second
)

// Pace is what the pacers of all connections share.
type Pace struct {
	throttled atomic.Int64 // pacers that have used up their units
	paused    atomic.Int64 // pauses so far
}

// rate returns the units a second that one connection gets.
func (p *Pace) rate() float64 { return max(minRate, sharedRate/float64(max(1, p.throttled.Load()))) }

// Pacer bounds how much work one connection may cause. A connection whose requests are served pays for nothing. Its
// methods may be called from any goroutine.
type Pacer struct {
	pace *Pace

	capacity float64 // most units that the connection can save up

	mu        sync.Mutex
	units     float64
	updatedAt time.Time
	throttled bool
	closed    bool
}

// NewPacer returns the Pacer of a new connection that carries one request at a time.
func (p *Pace) NewPacer() *Pacer { return p.newPacer(maxUnits) }

// NewMultiplexedPacer returns the Pacer of a new connection that carries many requests at a time.
func (p *Pace) NewMultiplexedPacer() *Pacer { return p.newPacer(maxSharedUnits) }

func (p *Pace) newPacer(units float64) *Pacer {
	return &Pacer{pace: p, capacity: units, units: units, updatedAt: time.Now()}
}

// Spend pays for work that was done, and returns how long the connection has to wait before it may cause more.
func (p *Pacer) Spend(cost float64) (pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addLocked(-cost)
	if p.units >= 0 {
		return 0
	}
	p.pace.paused.Add(1)
	return min(maxPause, time.Duration(-p.units/p.pace.rate()*float64(time.Second)))
}

// Refund gives back what a request has cost that a node has served.
func (p *Pacer) Refund(cost float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addLocked(cost)
}

// MaxSliceSteps bounds how much a connection may decode between two calls of Yield, in lines and pieces of content.
const MaxSliceSteps = 256

// Yield lets the goroutines of other connections run before this one goes on. Without it, a goroutine that finds more
// to do runs before those that wait for the network, however many these are.
func Yield() { runtime.Gosched() }

// Close ends the pacer. It may not be used any more.
func (p *Pacer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setThrottledLocked(false)
	p.closed = true
}

// addLocked adds units and what has been earned since the last call.
func (p *Pacer) addLocked(units float64) {
	now := time.Now()
	earned := p.pace.rate() * now.Sub(p.updatedAt).Seconds()
	p.updatedAt = now
	p.units = min(p.capacity, p.units+earned+units)
	// A connection that does not wait as long as it should owes no more than it can be made to wait for.
	p.units = max(p.units, -p.pace.rate()*maxPause.Seconds())
	p.setThrottledLocked(p.units < 0)
}

// setThrottledLocked records whether the connection has used up its units.
func (p *Pacer) setThrottledLocked(throttled bool) {
	if p.closed || p.throttled == throttled {
		return
	}
	p.throttled = throttled
	if throttled {
		p.pace.throttled.Add(1)
	} else {
		p.pace.throttled.Add(-1)
	}
}
