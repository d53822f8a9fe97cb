package simulation

import (
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/scheduler"
)

// Storm is a retry storm, a metastable failure (N. Bronson et al., "Metastable failures in distributed systems", HotOS
// 2021): the nodes slow down for a short time, and afterwards gateways and clients retry so many failed requests that
// the load of the retries alone keeps requests failing.
type Storm struct {
	Seed             uint64
	Gateways         int
	Nodes            int
	Clients          int           // each waits for the answer to a request before its next request
	MeanThinkTime    time.Duration // mean time between an answer and the client's next request
	Tries            int           // maximum number of times that a client submits one request
	SlowdownStart    time.Duration // time from the start of the simulation until the slowdown
	SlowdownDuration time.Duration
	SlowdownSpeed    float64              // speed of what slows down, as a share of its full speed
	Length           time.Duration        // simulated time
	RetryBudget      retrybudget.Settings // retry budgets of the gateways; the zero value: none
	SharedRate       float64              // capacity of a resource shared by all nodes, in calls per second; 0: none

	// Passthrough makes gateways retry at once, up to stormSettings.Allowed.MaxAttempts attempts, without package
	// scheduler.
	Passthrough bool
}

// NodeStorm returns a storm in which the nodes themselves slow down. The load is about two thirds of their capacity.
func NodeStorm(seed uint64) Storm {
	return Storm{
		Seed:             seed,
		Gateways:         3,
		Nodes:            8,
		Clients:          300,
		MeanThinkTime:    time.Second,
		Tries:            3,
		SlowdownStart:    20 * time.Second,
		SlowdownDuration: 4 * time.Second,
		SlowdownSpeed:    0.15,
		Length:           120 * time.Second,
	}
}

// SharedResourceStorm returns a storm in which a resource that all nodes share slows down. The load is less than half
// of its capacity. A failed call takes no longer than a slow successful one, so latencies do not show the failure.
func SharedResourceStorm(seed uint64) Storm {
	s := NodeStorm(seed)
	s.SharedRate = 500
	s.Clients = 220
	s.Tries = 2
	return s
}

// StormSecond is the outcome of one second of a storm.
type StormSecond struct {
	Submitted, Served, Rejected, Failed int // number of requests as clients see them; each retry counts
	Sent                                int // number of attempts that gateways sent to nodes
	Wasted                              int // number of attempts that nodes processed and ended with an error
}

// StormResult is the outcome of a storm.
type StormResult struct {
	Seconds      []StormSecond
	ServedBefore float64       // requests served per second before the slowdown
	RecoveryTime time.Duration // time from the end of the slowdown until recovery; -1: no recovery
}

// A storm has recovered when the requests served per second are at least recoveredShare of those before the slowdown,
// for recoveredSeconds seconds in a row.
const (
	recoveredShare   = 0.9
	recoveredSeconds = 5
)

// stormSettings are the settings of gateways in a storm.
var stormSettings = scheduler.Settings{
	Siblings: 3,
	Tick:     time.Millisecond,
	Classes: []scheduler.Class{{
		Name:             "read",
		LatencyObjective: 300 * time.Millisecond,
		Deadline:         1500 * time.Millisecond,
		PriorityWeight:   1,
	}},
	Plans: []scheduler.Plan{{Name: "plain", Rate: 1000, Weight: 1, Price: 1}},
	Allowed: scheduler.Allowed{
		Cancel:        true,
		RetryAfter:    true,
		MaxRetryAfter: time.Second,
		MaxAttempts:   4,
	},
	Sizes: scheduler.Sizes{MeanUnits: 1, MaxUnits: 1},
}

// stormRun is a storm that is being simulated.
type stormRun struct {
	storm      Storm
	simulation *Simulation
	began      time.Duration
	shared     *SharedResource // nil if there is none
	nodes      []*Node
	gateways   []*Gateway
	result     StormResult
}

// Run simulates the storm.
func (s Storm) Run() (StormResult, error) {
	run := &stormRun{storm: s, simulation: New(s.Seed)}
	run.began = run.simulation.Now
	seconds := int(s.Length / time.Second)
	run.result.Seconds = make([]StormSecond, seconds+1) // one more for events at the end of the last second
	run.addNodes()
	if err := run.addGateways(); err != nil {
		return StormResult{}, err
	}
	for i := range s.Clients {
		c := &stormClient{run: run, gateway: run.gateways[i%len(run.gateways)]}
		run.simulation.After(time.Duration(run.simulation.Random.Float64()*float64(s.MeanThinkTime)), c.try)
	}
	run.simulation.After(s.SlowdownStart, func() { run.setSpeed(s.SlowdownSpeed) })
	run.simulation.After(s.SlowdownStart+s.SlowdownDuration, func() { run.setSpeed(1) })
	run.advance(seconds)
	run.result.Seconds = run.result.Seconds[:seconds]
	run.result.ServedBefore = run.servedBefore()
	run.result.RecoveryTime = run.recovered()
	return run.result, nil
}

func (r *stormRun) addNodes() {
	if r.storm.SharedRate > 0 {
		r.shared = &SharedResource{
			Rate:       r.storm.SharedRate,
			Speed:      1,
			Timeout:    16 * time.Millisecond,
			MaxBacklog: 500 * time.Millisecond,
		}
	}
	for i := range r.storm.Nodes {
		n := &Node{
			Node:        scheduler.Node{ID: string(rune('a' + i)), Shard: i, Size: 1},
			Simulation:  r.simulation,
			Workers:     2,
			MaxQueue:    200,
			ServiceTime: 40 * time.Millisecond,
			MaxWait:     300 * time.Millisecond,
			Speed:       1,
		}
		if r.shared != nil {
			n.Workers = 8
			n.ServiceTime = 20 * time.Millisecond
			n.Shared = r.shared
		}
		r.nodes = append(r.nodes, n)
	}
}

func (r *stormRun) addGateways() error {
	settings := stormSettings
	settings.Siblings = r.storm.Gateways
	settings.RetryBudget = r.storm.RetryBudget
	for range r.storm.Gateways {
		g, err := NewGateway(r.simulation, settings, r.nodes)
		if err != nil {
			return err
		}
		if r.storm.Passthrough {
			g.Scheduler = newPassthrough(r.simulation, g, r.nodes, settings.Allowed.MaxAttempts)
		}
		r.gateways = append(r.gateways, g)
	}
	return nil
}

// setSpeed sets the speed of the shared resource or, if there is none, of all nodes.
func (r *stormRun) setSpeed(share float64) {
	if r.shared != nil {
		r.shared.Speed = share
		return
	}
	for _, n := range r.nodes {
		n.Speed = share
	}
}

// advance runs the simulation for a number of seconds. For each second, it counts the attempts that gateways sent and
// those that nodes processed and ended with an error.
func (r *stormRun) advance(seconds int) {
	sentBefore, wastedBefore := 0, 0
	for i := range seconds {
		r.simulation.Run(time.Second)
		sent, wasted := 0, 0
		for _, g := range r.gateways {
			sent += g.Sent
		}
		for _, n := range r.nodes {
			wasted += n.Wasted
		}
		r.result.Seconds[i].Sent = sent - sentBefore
		r.result.Seconds[i].Wasted = wasted - wastedBefore
		sentBefore, wastedBefore = sent, wasted
	}
}

// servedBefore returns the number of requests served per second in the second half of the time before the slowdown.
func (r *stormRun) servedBefore() float64 {
	begin := int(r.storm.SlowdownStart / time.Second)
	mean := 0.0
	for _, second := range r.result.Seconds[begin/2 : begin] {
		mean += float64(second.Served) / float64(begin-begin/2)
	}
	return mean
}

// recovered returns the time from the end of the slowdown until the first second of the recovery, or -1 if there is no
// recovery.
func (r *stormRun) recovered() time.Duration {
	end := int((r.storm.SlowdownStart + r.storm.SlowdownDuration) / time.Second)
	inRow := 0
	for i := end; i < len(r.result.Seconds); i++ {
		inRow++
		if float64(r.result.Seconds[i].Served) < recoveredShare*r.result.ServedBefore {
			inRow = 0
		}
		if inRow == recoveredSeconds {
			return time.Duration(i-recoveredSeconds+1-end) * time.Second
		}
	}
	return -1
}
