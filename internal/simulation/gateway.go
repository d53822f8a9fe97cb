package simulation

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

// Gateway carries out what decisions call for, in simulated time.
type Gateway struct {
	World  *World
	Nodes  map[string]*Node
	Way    time.Duration // to a node and back
	Sched  Scheduler
	open   map[string]*exchange
	number int
	Cut    map[int]bool                       // rooms that it does not reach, and that don't reach it
	Saw    func(q scheduler.Request, n *Node) // is told of each attempt; nil: nobody is
	Sent   int                                // attempts
}

// Scheduler is what decides; *scheduler.Scheduler is one.
type Scheduler interface {
	Arrived(now time.Duration, q scheduler.Request)
	Members(now time.Duration, m scheduler.Membership)
	Left(now time.Duration, id string)
	Probed(now time.Duration, p scheduler.ProbeResult)
	Ended(now time.Duration, o scheduler.Outcome)
	Timer(now time.Duration, key uint64)
}

type exchange struct {
	request  scheduler.Request
	until    time.Duration
	attempts []*job
	nodes    []*Node
	ended    []bool
	answer   func(Answer)
	over     bool
	out      int
	units    float64
}

// Answer is what a client hears.
type Answer struct {
	Verdict    string // served, refused or failed
	RetryAfter time.Duration
}

// NewGateway makes a gateway that decides by settings and knows all nodes.
func NewGateway(w *World, settings scheduler.Settings, nodes []*Node) (*Gateway, error) {
	g := &Gateway{World: w, Nodes: map[string]*Node{}, Way: 2 * time.Millisecond, open: map[string]*exchange{}}
	s, err := scheduler.New(settings, w.Random.Uint64(), g)
	if err != nil {
		return nil, err
	}
	list := scheduler.Membership{Kind: scheduler.Whole}
	for _, n := range nodes {
		g.Nodes[n.ID] = n
		list.Nodes = append(list.Nodes, n.Node)
	}
	g.Sched = s
	s.Members(w.Now, list)
	return g, nil
}

// Ask has the gateway take a request; answer is called once.
func (g *Gateway) Ask(q scheduler.Request, answer func(Answer)) (id string) {
	g.number++
	q.ID = fmt.Sprintf("%p-%d", g, g.number)
	g.open[q.ID] = &exchange{request: q, until: g.World.Now + q.Patience, answer: answer, units: q.Units}
	g.Sched.Arrived(g.World.Now, q)
	return q.ID
}

func (g *Gateway) end(id string, a Answer) {
	if x := g.open[id]; x != nil && !x.over {
		x.over = true
		g.World.After(0, func() { x.answer(a) })
		g.drop(id, x)
	}
}

func (g *Gateway) drop(id string, x *exchange) {
	if x.over && x.out == 0 {
		delete(g.open, id)
	}
}

// connectWithin is after what time a connection that does not come up has failed; warmShare of the attempts find one that is up.
const (
	connectWithin = 250 * time.Millisecond
	warmShare     = 0.7
)

// Send starts an attempt.
func (g *Gateway) Send(id, node string, _ time.Duration) {
	x, n := g.open[id], g.Nodes[node]
	number, began := len(x.attempts), g.World.Now
	x.out++
	g.Sent++
	x.attempts, x.nodes, x.ended = append(x.attempts, nil), append(x.nodes, n), append(x.ended, false)
	if g.Saw != nil {
		g.Saw(x.request, n)
	}
	end := func(result scheduler.Result) {
		if x.ended[number] {
			return
		}
		x.ended[number] = true
		x.out--
		if result == scheduler.Served {
			g.end(id, Answer{Verdict: "served"})
		}
		g.Sched.Ended(g.World.Now, scheduler.Outcome{ID: id, Attempt: number, Node: node, Result: result, Latency: g.World.Now - began, Done: x.over, Use: -1})
		g.drop(id, x)
	}
	g.World.After(x.until-g.World.Now, func() { end(scheduler.TimedOut) })
	if (n.Silent || g.Cut[n.Zone]) && g.World.Random.Float64() > warmShare {
		g.World.After(connectWithin, func() { end(scheduler.ConnectFailed) })
		return
	}
	if g.Cut[n.Zone] {
		return
	}
	g.World.After(g.Way/2, func() {
		x.attempts[number] = n.Take(id, x.units, func(result scheduler.Result) {
			g.World.After(g.Way/2, func() {
				if !g.Cut[n.Zone] {
					end(result)
				}
			})
		})
	})
}

// Cancel withdraws an attempt.
func (g *Gateway) Cancel(id string, attempt int) {
	x := g.open[id]
	if x == nil || attempt >= len(x.attempts) {
		return
	}
	n := x.nodes[attempt]
	g.World.After(g.Way/2, func() {
		if j := x.attempts[attempt]; j != nil && !n.Silent && !g.Cut[n.Zone] {
			n.Drop(j)
			return
		}
		if !x.ended[attempt] { // whoever hears it or not, the gateway is done with it
			x.ended[attempt] = true
			x.out--
			g.Sched.Ended(g.World.Now, scheduler.Outcome{ID: id, Attempt: attempt, Node: n.ID, Result: scheduler.Canceled, Done: x.over, Use: -1})
			g.drop(id, x)
		}
	})
}

// Refuse ends a request.
func (g *Gateway) Refuse(id string, after time.Duration) { g.end(id, Answer{"refused", after}) }

// Fail ends a request.
func (g *Gateway) Fail(id string) { g.end(id, Answer{Verdict: "failed"}) }

// Probe asks a node whether it is there.
func (g *Gateway) Probe(node string) {
	n := g.Nodes[node]
	g.World.After(g.Way, func() {
		if !n.Silent && !g.Cut[n.Zone] {
			g.Sched.Probed(g.World.Now, scheduler.ProbeResult{Node: node, Served: true, Latency: g.Way})
		}
	})
}

// Watch brings nothing here: the list is whole from the begin.
func (g *Gateway) Watch()     {}
func (g *Gateway) Log(string) {}

// SetTimer has the decisions told of a time.
func (g *Gateway) SetTimer(after time.Duration, key uint64) {
	g.World.After(after, func() { g.Sched.Timer(g.World.Now, key) })
}
