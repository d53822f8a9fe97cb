package simulation

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

// Gateway carries out what decisions call for, in simulated time.
type Gateway struct {
	Simulation  *Simulation
	Nodes       map[string]*Node
	RoundTrip   time.Duration // to a node and back
	Scheduler   Scheduler
	open        map[string]*exchange
	number      int
	Partitioned map[int]bool                       // rooms that it does not reach, and that don't reach it
	OnAttempt   func(q scheduler.Request, n *Node) // is told of each attempt; nil: nobody is
	Sent        int                                // attempts
}

// Scheduler is what decides; *scheduler.Scheduler is one.
type Scheduler interface {
	RequestArrived(now time.Duration, q scheduler.Request)
	MembershipChanged(now time.Duration, m scheduler.Membership)
	ClientDisconnected(now time.Duration, id string)
	ProbeEnded(now time.Duration, p scheduler.ProbeResult)
	AttemptEnded(now time.Duration, o scheduler.Outcome)
	TimerFired(now time.Duration, key uint64)
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
func NewGateway(w *Simulation, settings scheduler.Settings, nodes []*Node) (*Gateway, error) {
	g := &Gateway{Simulation: w, Nodes: map[string]*Node{}, RoundTrip: 2 * time.Millisecond, open: map[string]*exchange{}}
	s, err := scheduler.New(settings, w.Random.Uint64(), g)
	if err != nil {
		return nil, err
	}
	list := scheduler.Membership{Kind: scheduler.FullList}
	for _, n := range nodes {
		g.Nodes[n.ID] = n
		list.Nodes = append(list.Nodes, n.Node)
	}
	g.Scheduler = s
	s.MembershipChanged(w.Now, list)
	return g, nil
}

// Submit has the gateway take a request; answer is called once.
func (g *Gateway) Submit(q scheduler.Request, answer func(Answer)) (id string) {
	g.number++
	q.ID = fmt.Sprintf("%p-%d", g, g.number)
	g.open[q.ID] = &exchange{request: q, until: g.Simulation.Now + q.ClientTimeout, answer: answer, units: q.Units}
	g.Scheduler.RequestArrived(g.Simulation.Now, q)
	return q.ID
}

func (g *Gateway) end(id string, a Answer) {
	if x := g.open[id]; x != nil && !x.over {
		x.over = true
		g.Simulation.After(0, func() { x.answer(a) })
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
	number, began := len(x.attempts), g.Simulation.Now
	x.out++
	g.Sent++
	x.attempts, x.nodes, x.ended = append(x.attempts, nil), append(x.nodes, n), append(x.ended, false)
	if g.OnAttempt != nil {
		g.OnAttempt(x.request, n)
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
		g.Scheduler.AttemptEnded(g.Simulation.Now, scheduler.Outcome{ID: id, Attempt: number, Node: node, Result: result, Latency: g.Simulation.Now - began, Concluded: x.over, VolumeUse: -1})
		g.drop(id, x)
	}
	g.Simulation.After(x.until-g.Simulation.Now, func() { end(scheduler.TimedOut) })
	if (n.Silent || g.Partitioned[n.Zone]) && g.Simulation.Random.Float64() > warmShare {
		g.Simulation.After(connectWithin, func() { end(scheduler.ConnectFailed) })
		return
	}
	if g.Partitioned[n.Zone] {
		return
	}
	g.Simulation.After(g.RoundTrip/2, func() {
		x.attempts[number] = n.Take(id, x.units, func(result scheduler.Result) {
			g.Simulation.After(g.RoundTrip/2, func() {
				if !g.Partitioned[n.Zone] {
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
	g.Simulation.After(g.RoundTrip/2, func() {
		if j := x.attempts[attempt]; j != nil && !n.Silent && !g.Partitioned[n.Zone] {
			n.Drop(j)
			return
		}
		if !x.ended[attempt] { // whoever hears it or not, the gateway is done with it
			x.ended[attempt] = true
			x.out--
			g.Scheduler.AttemptEnded(g.Simulation.Now, scheduler.Outcome{ID: id, Attempt: attempt, Node: n.ID, Result: scheduler.Canceled, Concluded: x.over, VolumeUse: -1})
			g.drop(id, x)
		}
	})
}

// Reject ends a request.
func (g *Gateway) Reject(id string, after time.Duration) { g.end(id, Answer{"refused", after}) }

// Fail ends a request.
func (g *Gateway) Fail(id string) { g.end(id, Answer{Verdict: "failed"}) }

// Probe asks a node whether it is there.
func (g *Gateway) Probe(node string) {
	n := g.Nodes[node]
	g.Simulation.After(g.RoundTrip, func() {
		if !n.Silent && !g.Partitioned[n.Zone] {
			g.Scheduler.ProbeEnded(g.Simulation.Now, scheduler.ProbeResult{Node: node, Served: true, Latency: g.RoundTrip})
		}
	})
}

// Watch brings nothing here: the list is whole from the begin.
func (g *Gateway) Watch()     {}
func (g *Gateway) Log(string) {}

// SetTimer has the decisions told of a time.
func (g *Gateway) SetTimer(after time.Duration, key uint64) {
	g.Simulation.After(after, func() { g.Scheduler.TimerFired(g.Simulation.Now, key) })
}
