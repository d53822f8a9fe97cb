package simulation

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

const (
	// roundTripTime is the network latency from a gateway to a node and back.
	roundTripTime = 2 * time.Millisecond
	// connectTimeout is the time after which connecting to an unreachable node fails.
	connectTimeout = 250 * time.Millisecond
	// establishedShare is the share of attempts at an unreachable node that are sent on an established connection. They
	// get no response, whereas the others fail to connect.
	establishedShare = 0.7
)

// Scheduler makes the decisions of a gateway. *scheduler.Scheduler implements it.
type Scheduler interface {
	RequestArrived(now time.Duration, request scheduler.Request)
	MembershipChanged(now time.Duration, membership scheduler.Membership)
	ClientDisconnected(now time.Duration, id string)
	ProbeEnded(now time.Duration, result scheduler.ProbeResult)
	AttemptEnded(now time.Duration, outcome scheduler.Outcome)
	TimerFired(now time.Duration, key uint64)
}

// Verdict is the outcome of a request for its client.
type Verdict int

// The values of Verdict.
const (
	Served   Verdict = iota
	Rejected         // the request did not run and may be retried
	Failed           // it is unknown whether the request ran
)

// Answer is the answer to a client's request.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // delay before a retry of a rejected request
}

// Gateway carries out a scheduler's actions in simulated time. It implements scheduler.Actions.
type Gateway struct {
	Simulation  *Simulation
	Nodes       map[string]*Node
	Scheduler   Scheduler
	Partitioned map[int]bool                                // zones that the gateway cannot reach
	OnAttempt   func(request scheduler.Request, node *Node) // called for each attempt; may be nil
	Sent        int                                         // number of attempts

	requests int                  // number of submitted requests
	open     map[string]*exchange // by request id: the requests without an answer or with an outstanding attempt
}

// exchange is a request at a gateway with its attempts.
type exchange struct {
	request     scheduler.Request
	deadline    time.Duration // time at which the client gives up
	answer      func(Answer)  // called at most once
	answered    bool
	attempts    []*attempt
	outstanding int // number of attempts that have not ended
}

// attempt is an attempt of a request at a node.
type attempt struct {
	node  *Node
	job   *job // nil until the attempt arrives at the node
	ended bool
}

// NewGateway returns a gateway that knows all nodes and uses a new scheduler with the settings.
func NewGateway(s *Simulation, settings scheduler.Settings, nodes []*Node) (*Gateway, error) {
	g := &Gateway{
		Simulation: s,
		Nodes:      map[string]*Node{},
		open:       map[string]*exchange{},
	}
	newScheduler, err := scheduler.New(settings, s.Random.Uint64(), g)
	if err != nil {
		return nil, err
	}
	membership := scheduler.Membership{Kind: scheduler.FullList}
	for _, n := range nodes {
		g.Nodes[n.ID] = n
		membership.Nodes = append(membership.Nodes, n.Node)
	}
	g.Scheduler = newScheduler
	newScheduler.MembershipChanged(s.Now, membership)
	return g, nil
}

// Submit submits a client's request and returns the id that the gateway assigns to it. The gateway calls answer once,
// or perhaps not at all if the client disconnects before the answer.
func (g *Gateway) Submit(request scheduler.Request, answer func(Answer)) (id string) {
	g.requests++
	request.ID = fmt.Sprintf("%p-%d", g, g.requests)
	g.open[request.ID] = &exchange{
		request:  request,
		deadline: g.Simulation.Now + request.ClientTimeout,
		answer:   answer,
	}
	g.Scheduler.RequestArrived(g.Simulation.Now, request)
	return request.ID
}

// answer answers a request unless it was answered before.
func (g *Gateway) answer(id string, answer Answer) {
	x := g.open[id]
	if x == nil || x.answered {
		return
	}
	x.answered = true
	g.Simulation.After(0, func() { x.answer(answer) })
	g.forgetIfDone(x)
}

// forgetIfDone removes a request that is answered and has no outstanding attempts.
func (g *Gateway) forgetIfDone(x *exchange) {
	if x.answered && x.outstanding == 0 {
		delete(g.open, x.request.ID)
	}
}

// Send starts an attempt.
func (g *Gateway) Send(id, node string, _ time.Duration) {
	x := g.open[id]
	n := g.Nodes[node]
	a := &attempt{node: n}
	number := len(x.attempts)
	x.attempts = append(x.attempts, a)
	x.outstanding++
	g.Sent++
	if g.OnAttempt != nil {
		g.OnAttempt(x.request, n)
	}
	began := g.Simulation.Now
	end := func(result scheduler.Result) { g.endAttempt(x, number, result, g.Simulation.Now-began) }
	g.Simulation.After(x.deadline-g.Simulation.Now, func() { end(scheduler.TimedOut) })
	if g.unreachable(n) && g.Simulation.Random.Float64() > establishedShare {
		g.Simulation.After(connectTimeout, func() { end(scheduler.ConnectFailed) })
		return
	}
	if g.Partitioned[n.Zone] {
		return
	}
	g.Simulation.After(roundTripTime/2, func() {
		a.job = n.Accept(id, x.request.Units, func(result scheduler.Result) {
			g.Simulation.After(roundTripTime/2, func() {
				if !g.Partitioned[n.Zone] {
					end(result)
				}
			})
		})
	})
}

// unreachable reports whether no message between the gateway and a node arrives.
func (g *Gateway) unreachable(n *Node) bool { return n.Unresponsive || g.Partitioned[n.Zone] }

// endAttempt reports the end of an attempt to the scheduler, and answers the request if the attempt was served. It does
// nothing if the attempt has ended before.
func (g *Gateway) endAttempt(x *exchange, number int, result scheduler.Result, latency time.Duration) {
	a := x.attempts[number]
	if a.ended {
		return
	}
	a.ended = true
	x.outstanding--
	if result == scheduler.Served {
		g.answer(x.request.ID, Answer{Verdict: Served})
	}
	g.Scheduler.AttemptEnded(g.Simulation.Now, scheduler.Outcome{
		ID:        x.request.ID,
		Attempt:   number,
		Node:      a.node.ID,
		Result:    result,
		Latency:   latency,
		Concluded: x.answered,
		VolumeUse: -1,
	})
	g.forgetIfDone(x)
}

// Cancel cancels an attempt.
func (g *Gateway) Cancel(id string, number int) {
	x := g.open[id]
	if x == nil || number >= len(x.attempts) {
		return
	}
	a := x.attempts[number]
	g.Simulation.After(roundTripTime/2, func() {
		if a.job != nil && !g.unreachable(a.node) {
			a.node.Cancel(a.job)
			return
		}
		g.endAttempt(x, number, scheduler.Canceled, 0) // the attempt ends although its node is not told
	})
}

// Reject answers a request that did not run and may be retried after a delay.
func (g *Gateway) Reject(id string, retryAfter time.Duration) {
	g.answer(id, Answer{Verdict: Rejected, RetryAfter: retryAfter})
}

// Fail answers a request that may have run.
func (g *Gateway) Fail(id string) { g.answer(id, Answer{Verdict: Failed}) }

// Probe reports a served probe of a node to the Scheduler after roundTripTime, unless the node is unreachable then.
func (g *Gateway) Probe(node string) {
	n := g.Nodes[node]
	g.Simulation.After(roundTripTime, func() {
		if !g.unreachable(n) {
			g.Scheduler.ProbeEnded(g.Simulation.Now, scheduler.ProbeResult{
				Node:    node,
				Served:  true,
				Latency: roundTripTime,
			})
		}
	})
}

// SetTimer schedules a call of Scheduler.TimerFired with the key after a delay.
func (g *Gateway) SetTimer(after time.Duration, key uint64) {
	g.Simulation.After(after, func() { g.Scheduler.TimerFired(g.Simulation.Now, key) })
}

// Watch does nothing: the gateway has the complete membership from the beginning, and scenarios report all changes.
func (g *Gateway) Watch() {}

// Log discards the text.
func (g *Gateway) Log(string) {}
