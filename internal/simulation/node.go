package simulation

import (
	"slices"
	"time"

	"reachpulley/scheduler"
)

// Node is a storage node: so many workers behind one queue. What has waited for longer than its patience is still worked on, and then ends as an error, as
// in servers that look at their time-outs too late: that is what lets an overload feed itself.
type Node struct {
	scheduler.Node
	Simulation *Simulation
	Workers    int
	Queue      int             // requests that may wait; more are turned away unrun
	Work       time.Duration   // that a unit takes a worker
	MaxWait    time.Duration   // longest wait of what is still answered well; 0: any
	Speed      float64         // of its workers now; 1 as sized
	Shared     *SharedResource // that each request needs, too; nil: none

	Started   time.Duration // when it last started; its speed grows from ColdFrom over WarmWithin. 0: long ago
	SlowStart SlowStart
	Silent    bool // it says nothing; what comes is lost
	Crashed   bool // it was pushed over while cold, and stays down

	waiting []*job
	out     []*job    // that it works on
	arrived []arrival // units within the window of the rule of cold nodes
	busy    int
	life    int            // work of an earlier one never ends
	Ran     int            // requests it worked on
	Wasted  int            // of them, ended as errors
	Effects map[string]int // how often each request ran
}

// SlowStart is how a node starts.
type SlowStart struct {
	StartShare float64       // share of its speed that it starts with
	Duration   time.Duration // after which it is warm
	Multiple   float64       // of what it can do at the time, over Window, that pushes it over
	Window     time.Duration
}

type arrival struct {
	at    time.Duration
	units float64
}

// Warmth is the share of its speed that a node has now.
func (n *Node) Warmth() float64 {
	past := n.Simulation.Now - n.Started
	if n.Started == 0 || n.SlowStart.Duration == 0 || past >= n.SlowStart.Duration {
		return 1
	}
	return n.SlowStart.StartShare + (1-n.SlowStart.StartShare)*past.Seconds()/n.SlowStart.Duration.Seconds()
}

// SlowStartCapacity is how many units within Window push the node over now; 0: none do.
func (n *Node) SlowStartCapacity() float64 {
	if n.Warmth() >= 1 || n.SlowStart.Multiple == 0 {
		return 0
	}
	return n.SlowStart.Multiple * n.Warmth() * n.Rate() * n.SlowStart.Window.Seconds()
}

// Rate is the units a second that a node does when it is warm.
func (n *Node) Rate() float64 { return float64(n.Workers) / n.Work.Seconds() }

// WindowUnits is how many units came within Window.
func (n *Node) WindowUnits() (sum float64) {
	for _, a := range n.arrived {
		if a.at > n.Simulation.Now-n.SlowStart.Window {
			sum += a.units
		}
	}
	return sum
}

// came counts what comes, and has the node fall over where that is too much.
func (n *Node) came(units float64) {
	if n.SlowStart.Window == 0 {
		return
	}
	old := 0
	for old < len(n.arrived) && n.arrived[old].at <= n.Simulation.Now-n.SlowStart.Window {
		old++
	}
	n.arrived = append(n.arrived[old:], arrival{n.Simulation.Now, units})
	if bears := n.SlowStartCapacity(); bears > 0 && n.WindowUnits() > bears {
		n.Crashed, n.Silent = true, true
	}
}

// Restart has the node start anew: it is cold, and what it held is lost.
func (n *Node) Restart() {
	n.Started, n.arrived = n.Simulation.Now, nil
	n.Break()
}

// Break ends what is out at the node, as a machine that is back resets the connections of before.
func (n *Node) Break() {
	for _, j := range append(n.waiting, n.out...) {
		if !j.gone {
			j.gone = true
			n.Simulation.After(0, func() { j.done(scheduler.ConnectionReset) })
		}
	}
	n.waiting, n.out, n.busy = nil, nil, 0
	n.life++
}

type job struct {
	id    string
	units float64
	came  time.Duration
	gone  bool
	done  func(scheduler.Result)
}

// Take takes an attempt; done is called once.
func (n *Node) Take(id string, units float64, done func(scheduler.Result)) *job {
	j := &job{id: id, units: units, came: n.Simulation.Now, done: done}
	n.came(units)
	if n.Silent { // until Break
		n.waiting = append(n.waiting, j)
		return j
	}
	if len(n.waiting) >= n.Queue && n.busy >= n.Workers {
		n.Simulation.After(time.Millisecond, func() { done(scheduler.Overloaded) })
		return j
	}
	n.waiting = append(n.waiting, j)
	n.work()
	return j
}

// Drop takes an attempt back: one that waits never runs.
func (n *Node) Drop(j *job) {
	if j.gone {
		return
	}
	for i, w := range n.waiting {
		if w == j {
			n.waiting = append(n.waiting[:i], n.waiting[i+1:]...)
			break
		}
	}
	j.gone = true
	n.Simulation.After(0, func() { j.done(scheduler.Canceled) })
}

// work has idle workers take what waits.
func (n *Node) work() {
	for n.busy < n.Workers && len(n.waiting) > 0 && !n.Silent {
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.out = append(n.out, j)
		n.busy++
		n.Ran++
		if n.Effects != nil {
			n.Effects[j.id]++
		}
		late := n.MaxWait > 0 && n.Simulation.Now-j.came > n.MaxWait
		behind, failed := n.Shared.take(n.Simulation.Now)
		late = late || failed
		took := behind + time.Duration(j.units*float64(n.Work)/max(n.Speed*n.Warmth(), 0.01)*(0.8+0.4*n.Simulation.Random.Float64()))
		life := n.life
		n.Simulation.After(took, func() {
			if n.life != life {
				return
			}
			n.busy--
			n.out = slices.DeleteFunc(n.out, func(o *job) bool { return o == j })
			if n.Silent { // its answer is lost, and nobody hears of it before Break
				n.waiting = append(n.waiting, j)
				return
			}
			if late {
				n.Wasted++
			}
			if !j.gone {
				j.gone = true
				if late {
					j.done(scheduler.Errored)
				} else {
					j.done(scheduler.Served)
				}
			}
			n.work()
		})
	}
}

// SharedResource is what all nodes share, such as an array of disks: it works on one call after another, and on those that its callers have given up, too.
type SharedResource struct {
	Rate       float64       // calls a second, as sized
	Speed      float64       // now; 1 as sized
	Wait       time.Duration // after which a caller gives up
	MaxBacklog time.Duration // of calls that wait; more are turned away

	until time.Duration // when it will have done all that it has taken
}

// take takes a call and gives how long its caller waits for it, and whether in vain.
func (b *SharedResource) take(now time.Duration) (wait time.Duration, failed bool) {
	if b == nil {
		return 0, false
	}
	b.until = max(b.until, now)
	if b.until-now > b.MaxBacklog {
		return b.Wait, true
	}
	b.until += time.Duration(float64(time.Second) / (b.Rate * max(b.Speed, 0.01)))
	if wait = b.until - now; wait > b.Wait {
		return b.Wait, true
	}
	return wait, false
}
