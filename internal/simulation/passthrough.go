package simulation

import (
	"time"

	"reachpulley/scheduler"
)

// passthrough is the Scheduler of a proxy that ignores load. It sends each request at once, and retries it at once
// after any result other than Served, until the maximum number of attempts or the client timeout is reached.
type passthrough struct {
	simulation  *Simulation
	actions     scheduler.Actions
	nodeByShard map[int]string
	maxAttempts int
	open        map[string]*passthroughRequest // by request id
	lastTimer   uint64
	timers      map[uint64]string // request id by timer key
}

// passthroughRequest is a request that has not ended yet.
type passthroughRequest struct {
	scheduler.Request
	attempts int // number of attempts so far
	deadline time.Duration
}

func newPassthrough(s *Simulation, actions scheduler.Actions, nodes []*Node, maxAttempts int) *passthrough {
	p := &passthrough{
		simulation:  s,
		actions:     actions,
		nodeByShard: map[int]string{},
		maxAttempts: maxAttempts,
		open:        map[string]*passthroughRequest{},
		timers:      map[uint64]string{},
	}
	for _, n := range nodes {
		p.nodeByShard[n.Shard] = n.ID
	}
	return p
}

// send starts an attempt at the node of the request's shard, or at a random node if any shard will do.
func (p *passthrough) send(r *passthroughRequest) {
	r.attempts++
	shard := r.Shard
	if shard == scheduler.AnyShard {
		shard = p.simulation.Random.IntN(len(p.nodeByShard))
	}
	p.actions.Send(r.ID, p.nodeByShard[shard], 0)
}

func (p *passthrough) RequestArrived(now time.Duration, request scheduler.Request) {
	r := &passthroughRequest{Request: request, deadline: now + request.ClientTimeout}
	p.open[r.ID] = r
	p.lastTimer++
	p.timers[p.lastTimer] = r.ID
	p.actions.SetTimer(r.ClientTimeout, p.lastTimer)
	p.send(r)
}

func (p *passthrough) MembershipChanged(time.Duration, scheduler.Membership) {}

func (p *passthrough) ProbeEnded(time.Duration, scheduler.ProbeResult) {}

func (p *passthrough) ClientDisconnected(_ time.Duration, id string) { delete(p.open, id) }

func (p *passthrough) AttemptEnded(now time.Duration, outcome scheduler.Outcome) {
	r := p.open[outcome.ID]
	if r == nil {
		return
	}
	switch {
	case outcome.Result == scheduler.Served:
		delete(p.open, r.ID)
	case r.attempts >= p.maxAttempts || now >= r.deadline:
		delete(p.open, r.ID)
		p.actions.Fail(r.ID)
	default:
		p.send(r)
	}
}

func (p *passthrough) TimerFired(_ time.Duration, key uint64) {
	id := p.timers[key]
	delete(p.timers, key)
	if p.open[id] != nil {
		delete(p.open, id)
		p.actions.Fail(id)
	}
}
