package simulation

import (
	"slices"
	"time"

	"reachpulley/scheduler"
)

// Node is a storage node: a number of workers behind one queue. A request that has waited for longer than MaxWait is
// still processed and then ends with an error, as in servers that check their timeouts too late. This wasted work lets
// an overload sustain itself.
type Node struct {
	scheduler.Node
	Simulation  *Simulation
	Workers     int
	MaxQueue    int             // number of requests that may wait; further ones are rejected without being run
	ServiceTime time.Duration   // time in which a worker processes one unit
	MaxWait     time.Duration   // longest wait after which a request is still served; 0: unlimited
	Speed       float64         // speed apart from the slow start, as a share of full speed
	Shared      *SharedResource // resource that each request calls once; nil: none

	Started      time.Duration // time at which its slow start began; 0: long ago
	SlowStart    SlowStart
	Unresponsive bool // it sends nothing, and what it receives is lost
	Crashed      bool // it crashed under too much load in its slow start, and stays down

	Executions map[string]int // number of executions by request id; nil: not counted
	Wasted     int            // number of requests that were processed and ended with an error

	waiting     []*job
	running     []*job
	arrivals    []arrival // those within the last SlowStart.Window
	busy        int       // number of workers that process a request
	incarnation int       // number of resets; work that began before the last reset never completes
}

// job is an attempt at a node.
type job struct {
	id        string
	units     float64
	arrivedAt time.Duration
	ended     bool
	done      func(scheduler.Result)
}

// Rate returns the number of units per second that the node can process at full speed.
func (n *Node) Rate() float64 { return float64(n.Workers) / n.ServiceTime.Seconds() }

// Accept receives an attempt. The first call of done reports its result. An unresponsive node does not call done until
// it is reset.
func (n *Node) Accept(id string, units float64, done func(scheduler.Result)) *job {
	j := &job{
		id:        id,
		units:     units,
		arrivedAt: n.Simulation.Now,
		done:      done,
	}
	n.recordArrival(units)
	if n.Unresponsive {
		n.waiting = append(n.waiting, j)
		return j
	}
	if len(n.waiting) >= n.MaxQueue && n.busy >= n.Workers {
		n.Simulation.After(time.Millisecond, func() { done(scheduler.Overloaded) })
		return j
	}
	n.waiting = append(n.waiting, j)
	n.dispatch()
	return j
}

// Cancel cancels an attempt. An attempt that is still queued never runs.
func (n *Node) Cancel(j *job) {
	if j.ended {
		return
	}
	if i := slices.Index(n.waiting, j); i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
	}
	j.ended = true
	n.Simulation.After(0, func() { j.done(scheduler.Canceled) })
}

// Restart restarts the node. Its slow start begins, and all attempts at it end.
func (n *Node) Restart() {
	n.Started = n.Simulation.Now
	n.arrivals = nil
	n.Reset()
}

// Reset ends all attempts at the node with a connection reset, as a machine that is reachable again resets connections
// that it does not know any more.
func (n *Node) Reset() {
	for _, j := range append(n.waiting, n.running...) {
		if !j.ended {
			j.ended = true
			n.Simulation.After(0, func() { j.done(scheduler.ConnectionReset) })
		}
	}
	n.waiting = nil
	n.running = nil
	n.busy = 0
	n.incarnation++
}

// dispatch assigns queued requests to idle workers.
func (n *Node) dispatch() {
	for n.busy < n.Workers && len(n.waiting) > 0 && !n.Unresponsive {
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.run(j)
	}
}

// run starts the processing of a request by an idle worker.
func (n *Node) run(j *job) {
	n.running = append(n.running, j)
	n.busy++
	if n.Executions != nil {
		n.Executions[j.id]++
	}
	late := n.MaxWait > 0 && n.Simulation.Now-j.arrivedAt > n.MaxWait
	callTime, callFailed := n.Shared.call(n.Simulation.Now)
	speed := max(n.Speed*n.SpeedShare(), minSpeed)
	jitter := 0.8 + 0.4*n.Simulation.Random.Float64()
	ownTime := time.Duration(j.units * float64(n.ServiceTime) / speed * jitter)
	incarnation := n.incarnation
	n.Simulation.After(callTime+ownTime, func() {
		if n.incarnation == incarnation {
			n.complete(j, late || callFailed)
		}
	})
}

// complete reports the result of a processed request and frees its worker for the next one.
func (n *Node) complete(j *job, failed bool) {
	n.busy--
	n.running = slices.DeleteFunc(n.running, func(other *job) bool { return other == j })
	if n.Unresponsive { // the response is lost; the attempt waits until Reset ends it
		n.waiting = append(n.waiting, j)
		return
	}
	if failed {
		n.Wasted++
	}
	if !j.ended {
		j.ended = true
		if failed {
			j.done(scheduler.Errored)
		} else {
			j.done(scheduler.Served)
		}
	}
	n.dispatch()
}
