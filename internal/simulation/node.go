package simulation

import (
	"slices"
	"time"

	"reachpulley/scheduler"
)

// Node is a storage node: a number of workers behind one queue. A request that has waited for longer than MaxWait is
// still processed and then ends as an error, as in servers that check their timeouts too late. This is what lets an
// overload sustain itself.
type Node struct {
	scheduler.Node
	Simulation  *Simulation
	Workers     int
	MaxQueue    int             // requests that may wait; more are rejected and not run
	ServiceTime time.Duration   // of a unit at a worker
	MaxWait     time.Duration   // longest wait of a request that is still served; 0: any
	Speed       float64         // current share of its full speed
	Shared      *SharedResource // called by each request; nil: none

	Started      time.Duration // when its slow start began; 0: long ago
	SlowStart    SlowStart
	Unresponsive bool // it sends nothing; what it receives is lost
	Crashed      bool // by too much load in its slow start; it stays down

	Executions map[string]int // by request, how often it ran; nil: not counted
	Wasted     int            // requests that were processed and ended as errors

	waiting     []*job
	running     []*job
	arrivals    []arrival // within SlowStart.Window
	busy        int       // workers
	incarnation int       // the work of a previous one never ends
}

// job is an attempt at a node.
type job struct {
	id        string
	units     float64
	arrivedAt time.Duration
	ended     bool
	done      func(scheduler.Result)
}

// Rate returns how many units a second the node can do at full speed.
func (n *Node) Rate() float64 { return float64(n.Workers) / n.ServiceTime.Seconds() }

// Accept takes an attempt. The first call of done reports its result; an unresponsive node makes none until Reset.
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

// Cancel ends an attempt; one that waits never runs.
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

// Restart restarts the node: its slow start begins, and its attempts are lost.
func (n *Node) Restart() {
	n.Started = n.Simulation.Now
	n.arrivals = nil
	n.Reset()
}

// Reset ends all attempts at the node, as a machine that returns resets the connections that it no longer knows.
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

// dispatch lets idle workers run the requests that wait.
func (n *Node) dispatch() {
	for n.busy < n.Workers && len(n.waiting) > 0 && !n.Unresponsive {
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.run(j)
	}
}

// run lets a worker process a request.
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

// complete ends a request that was processed, and lets the worker run the next.
func (n *Node) complete(j *job, failed bool) {
	n.busy--
	n.running = slices.DeleteFunc(n.running, func(other *job) bool { return other == j })
	if n.Unresponsive { // the response is lost, and Reset will end the attempt
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
