package simulation

import (
	"time"

	"reachpulley/scheduler"
)

// passthrough is the way of a proxy that knows no load: each request goes out at once, and again at once whatever became of it, until its attempts or its time are used up.
type passthrough struct {
	world *Simulation
	out   scheduler.Actions
	node  map[int]string // by shard
	most  int
	open  map[string]*plainRequest
	timer uint64
	due   map[uint64]string
}

type plainRequest struct {
	scheduler.Request
	attempts int
	until    time.Duration
}

func newPassthrough(w *Simulation, out scheduler.Actions, nodes []*Node, most int) *passthrough {
	p := &passthrough{world: w, out: out, node: map[int]string{}, most: most, open: map[string]*plainRequest{}, due: map[uint64]string{}}
	for _, n := range nodes {
		p.node[n.Shard] = n.ID
	}
	return p
}

func (p *passthrough) send(r *plainRequest) {
	r.attempts++
	shard := r.Shard
	if shard == scheduler.AnyShard {
		shard = p.world.Random.IntN(len(p.node))
	}
	p.out.Send(r.ID, p.node[shard], 0)
}

func (p *passthrough) RequestArrived(now time.Duration, q scheduler.Request) {
	r := &plainRequest{Request: q, until: now + q.ClientTimeout}
	p.open[q.ID] = r
	p.timer++
	p.due[p.timer] = q.ID
	p.out.SetTimer(q.ClientTimeout, p.timer)
	p.send(r)
}

func (p *passthrough) MembershipChanged(time.Duration, scheduler.Membership) {}

func (p *passthrough) ProbeEnded(time.Duration, scheduler.ProbeResult) {}

func (p *passthrough) ClientDisconnected(_ time.Duration, id string) { delete(p.open, id) }

func (p *passthrough) AttemptEnded(now time.Duration, o scheduler.Outcome) {
	r := p.open[o.ID]
	if r == nil {
		return
	}
	switch {
	case o.Result == scheduler.Served:
		delete(p.open, o.ID)
	case r.attempts >= p.most || now >= r.until:
		delete(p.open, o.ID)
		p.out.Fail(o.ID)
	default:
		p.send(r)
	}
}

func (p *passthrough) TimerFired(_ time.Duration, key uint64) {
	id := p.due[key]
	delete(p.due, key)
	if p.open[id] != nil {
		delete(p.open, id)
		p.out.Fail(id)
	}
}
