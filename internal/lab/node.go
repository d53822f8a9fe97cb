package lab

import (
	"time"

	"reachpulley/decide"
)

// Node is a storage node: so many workers behind one queue. What has waited for longer than its patience is still worked on, and then ends as an error, as
// in servers that look at their time-outs too late: that is what lets an overload feed itself.
type Node struct {
	decide.Node
	World    *World
	Workers  int
	Queue    int           // requests that may wait; more are turned away unrun
	Work     time.Duration // that a unit takes a worker
	Patience time.Duration // longest wait of what is still answered well; 0: any
	Speed    float64       // of its workers now; 1 as sized
	Behind   *Behind       // that each request needs, too; nil: none

	waiting []*job
	busy    int
	Ran     int            // requests it worked on
	Wasted  int            // of them, ended as errors
	Effects map[string]int // how often each request ran
}

type job struct {
	id    string
	units float64
	came  time.Duration
	gone  bool
	done  func(decide.Result)
}

// Take takes an attempt; done is called once.
func (n *Node) Take(id string, units float64, done func(decide.Result)) *job {
	j := &job{id: id, units: units, came: n.World.Now, done: done}
	if len(n.waiting) >= n.Queue && n.busy >= n.Workers {
		n.World.After(time.Millisecond, func() { done(decide.Full) })
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
	n.World.After(0, func() { j.done(decide.Canceled) })
}

// work has idle workers take what waits.
func (n *Node) work() {
	for n.busy < n.Workers && len(n.waiting) > 0 {
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.busy++
		n.Ran++
		if n.Effects != nil {
			n.Effects[j.id]++
		}
		late := n.Patience > 0 && n.World.Now-j.came > n.Patience
		behind, failed := n.Behind.take(n.World.Now)
		late = late || failed
		took := behind + time.Duration(j.units*float64(n.Work)/max(n.Speed, 0.01)*(0.8+0.4*n.World.Random.Float64()))
		n.World.After(took, func() {
			n.busy--
			if late {
				n.Wasted++
			}
			if !j.gone {
				j.gone = true
				if late {
					j.done(decide.Errored)
				} else {
					j.done(decide.Served)
				}
			}
			n.work()
		})
	}
}

// Behind is what all nodes share, such as an array of disks: it works on one call after another, and on those that its callers have given up, too.
type Behind struct {
	Rate  float64       // calls a second, as sized
	Speed float64       // now; 1 as sized
	Wait  time.Duration // after which a caller gives up
	Most  time.Duration // of calls that wait; more are turned away

	until time.Duration // when it will have done all that it has taken
}

// take takes a call and gives how long its caller waits for it, and whether in vain.
func (b *Behind) take(now time.Duration) (wait time.Duration, failed bool) {
	if b == nil {
		return 0, false
	}
	b.until = max(b.until, now)
	if b.until-now > b.Most {
		return b.Wait, true
	}
	b.until += time.Duration(float64(time.Second) / (b.Rate * max(b.Speed, 0.01)))
	if wait = b.until - now; wait > b.Wait {
		return b.Wait, true
	}
	return wait, false
}
