package simulation

import (
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/scheduler"
)

// Storm is a metastable failure (N. Bronson et al., "Metastable failures in distributed systems", HotOS 2021): for a short time the nodes slow down, and then
// the attempts that failed meanwhile, and those of clients that try again, are load enough to keep them failing.
type Storm struct {
	Seed        uint64
	Gateways    int
	Nodes       int
	Clients     int           // that wait for an answer before they ask for more
	Think       time.Duration // between an answer and the next request, in the mean
	Tries       int           // of a client for one request
	Begin       time.Duration // of the slow time
	Slow        time.Duration
	Speed       float64 // of the nodes in it
	Length      time.Duration
	Retry       retrybudget.Settings
	SharedRate  float64 // calls a second of what all nodes share; 0: they share nothing
	Passthrough bool    // attempts are repeated at once, up to the settings' limit, without package scheduler
}

// NodeStorm is one of nodes that slow down themselves, loaded with two thirds of what they can do.
func NodeStorm(seed uint64) Storm {
	return Storm{Seed: seed, Gateways: 3, Nodes: 8, Clients: 300, Think: time.Second, Tries: 3, Begin: 20 * time.Second, Slow: 4 * time.Second, Speed: 0.15,
		Length: 120 * time.Second}
}

// SharedStorm is one of what all nodes share, loaded with less than half of what it can do. Its failures come as fast as answers do, so that no latency tells
// of them.
func SharedStorm(seed uint64) Storm {
	s := NodeStorm(seed)
	s.SharedRate, s.Clients, s.Tries = 500, 220, 2
	return s
}

// Second is what a second of a run came to.
type Second struct {
	Submitted, Served, Rejected, Failed int // by clients' tries
	Sent, Wasted                        int // attempts; those that nodes ended as errors after their work
}

// Result is what a run came to.
type Result struct {
	Seconds   []Second
	Before    float64       // served a second before the slow time
	Recovered time.Duration // from the slow time's end until nine tenths of that were served in each of 5 s; -1: never
}

var stormSettings = scheduler.Settings{Siblings: 3, Tick: time.Millisecond,
	Classes: []scheduler.Class{{Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond, PriorityWeight: 1}},
	Plans:   []scheduler.Plan{{Name: "plain", Rate: 1000, Weight: 1, Price: 1}},
	Allowed: scheduler.Allowed{Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4},
	Sizes:   scheduler.Sizes{MeanUnits: 1, MaxUnits: 1}}

// Run plays it.
func (s Storm) Run() (Result, error) {
	w := New(s.Seed)
	settings := stormSettings
	settings.Siblings, settings.RetryBudget = s.Gateways, s.Retry
	var nodes []*Node
	for i := range s.Nodes {
		nodes = append(nodes, &Node{Node: scheduler.Node{ID: string(rune('a' + i)), Shard: i, Size: 1}, Simulation: w, Workers: 2, Queue: 200, Work: 40 * time.Millisecond, MaxWait: 300 * time.Millisecond, Speed: 1})
	}
	var behind *SharedResource
	if s.SharedRate > 0 {
		behind = &SharedResource{Rate: s.SharedRate, Speed: 1, Wait: 16 * time.Millisecond, MaxBacklog: 500 * time.Millisecond}
		for _, n := range nodes {
			n.Work, n.Workers, n.Shared = 20*time.Millisecond, 8, behind
		}
	}
	var gateways []*Gateway
	for range s.Gateways {
		g, err := NewGateway(w, settings, nodes)
		if err != nil {
			return Result{}, err
		}
		if s.Passthrough {
			g.Scheduler = newPassthrough(w, g, nodes, settings.Allowed.MaxAttempts)
		}
		gateways = append(gateways, g)
	}
	r := Result{Seconds: make([]Second, int(s.Length/time.Second)+1)}
	began := w.Now
	for i := range s.Clients {
		c := &client{storm: s, world: w, gateway: gateways[i%len(gateways)], result: &r, began: began}
		w.After(time.Duration(w.Random.Float64()*float64(s.Think)), c.ask)
	}
	speed := func(to float64) func() {
		return func() {
			if behind != nil { // it is what slows down
				behind.Speed = to
				return
			}
			for _, n := range nodes {
				n.Speed = to
			}
		}
	}
	w.After(s.Begin, speed(s.Speed))
	w.After(s.Begin+s.Slow, speed(1))
	sent, wasted := 0, 0
	for i := range r.Seconds[:len(r.Seconds)-1] {
		w.Run(time.Second)
		allSent, allWasted := 0, 0
		for _, g := range gateways {
			allSent += g.Sent
		}
		for _, n := range nodes {
			allWasted += n.Wasted
		}
		r.Seconds[i].Sent, r.Seconds[i].Wasted = allSent-sent, allWasted-wasted
		sent, wasted = allSent, allWasted
	}
	r.Seconds = r.Seconds[:len(r.Seconds)-1]
	r.conclude(s)
	return r, nil
}

// steady is how many seconds in a row are to be good before a run has recovered.
const steady = 5

func (r *Result) conclude(s Storm) {
	begin, end := int(s.Begin/time.Second), int((s.Begin+s.Slow)/time.Second)
	for _, one := range r.Seconds[begin/2 : begin] {
		r.Before += float64(one.Served) / float64(begin-begin/2)
	}
	r.Recovered = -1
	good := 0
	for i := end; i < len(r.Seconds); i++ {
		if good++; float64(r.Seconds[i].Served) < 0.9*r.Before {
			good = 0
		}
		if good == steady {
			r.Recovered = time.Duration(i-steady+1-end) * time.Second
			return
		}
	}
}

// client asks, waits for the answer, tries again where it is none, and thinks.
type client struct {
	storm   Storm
	world   *Simulation
	gateway *Gateway
	result  *Result
	began   time.Duration
	tries   int
	shard   int
}

func (c *client) second() *Second {
	return &c.result.Seconds[min(int((c.world.Now-c.began)/time.Second), len(c.result.Seconds)-1)]
}

func (c *client) ask() {
	if c.tries == 0 {
		c.shard = c.world.Random.IntN(c.storm.Nodes)
	}
	c.tries++
	c.second().Submitted++
	answered := false
	id := c.gateway.Submit(scheduler.Request{Volume: "v", Units: 1, Shard: c.shard, ClientTimeout: stormSettings.Classes[0].Deadline, Hosts: c.storm.Gateways, Key: c.key()}, func(a Answer) {
		if answered {
			return
		}
		answered = true
		c.take(a)
	})
	c.world.After(stormSettings.Classes[0].Deadline, func() {
		if !answered {
			answered = true
			c.gateway.Scheduler.ClientDisconnected(c.world.Now, id)
			c.take(Answer{Verdict: "failed"})
		}
	})
}

// key differs from request to request, so that decide does not take two for tries of one.
func (c *client) key() string { return string(rune(c.world.Random.IntN(1 << 20))) }

func (c *client) take(a Answer) {
	switch a.Verdict {
	case "served":
		c.second().Served++
		c.tries = 0
	case "refused":
		c.second().Rejected++
	default:
		c.second().Failed++
	}
	if a.Verdict != "served" && c.tries < c.storm.Tries {
		c.world.After(a.RetryAfter, c.ask)
		return
	}
	c.tries = 0
	c.world.After(time.Duration(c.world.Random.ExpFloat64()*float64(c.storm.Think)), c.ask)
}
