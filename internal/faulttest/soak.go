package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// soakPlan is what happens in one run of the soak. It follows from the seed alone.
type soakPlan struct {
	limits  Limits
	clients int // sound ones
	slow    int // sound ones that need their time for large bodies
	leaving int // that leave with unread input behind their request
	behind  string
	hostile int
	kind    hostileKind
	stops   []stopKind // in turn
	reloads bool
	held    bool // the process is held up now and then
	nodes   bool // nodes hang, reject and drain
}

// stopKind is a way in which a process ends.
type stopKind int

const (
	plannedStop stopKind = iota // SIGTERM, and SIGKILL at the page's earliest
	killed                      // SIGKILL alone
)

// hostileKind is a kind of hostile clients of the soak.
type hostileKind struct {
	name   string
	count  int // at most, of 1,024 descriptors
	behave Hostile
}

var hostileKinds = []hostileKind{
	{"unfinished heads", 340, unfinishedHead},
	{"endless heads", 40, endlessHead},
	{"unfinished bodies", 340, unfinishedBody},
	{"bodies in chunks of one byte", 60, finelyChunkedBody},
	{"bodies byte by byte", 6, singleBytes},
	{"requests without an ID", 6, flood(requestWithoutID)},
	{"requests of new classes", 6, flood(requestOfNewClass)},
	{"requests of new volumes", 6, flood(requestOfNewVolume)},
	{"readiness checks", 6, flood(readinessCheck)},
	{"slow readers", 100, slowReader},
	{"silent connections", 340, silent},
}

// behindKinds is what leaving clients send behind their request.
var behindKinds = []string{
	"",
	strings.Repeat(requestWithoutID(), 20_000),
	"GET /" + strings.Repeat("a", 4<<20),
	writeHead("0000000000000000", 0) + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 500_000),
}

// pick returns one of the values.
func pick[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// newSoakPlan draws the plan of a seed.
func newSoakPlan(seed uint64) soakPlan {
	random := rand.New(rand.NewPCG(seed, 0))
	p := soakPlan{
		limits: Limits{
			Cores:    pick(random, 1./3, 1./2, 1),
			MemoryMB: pick(random, 32, 32, 48, 64, 96, 128, 192),
			Sockets:  pick(random, 256, 512, 1024),
		},
		clients: 10 + random.IntN(20),
		behind:  pick(random, behindKinds...),
		kind:    pick(random, hostileKinds...),
		reloads: random.IntN(3) == 0,
		nodes:   random.IntN(3) > 0,
	}
	p.held = p.limits.Cores == 1 && random.IntN(2) == 0
	if random.IntN(2) == 0 {
		p.slow = 1 + random.IntN(5)
	}
	if random.IntN(2) == 0 {
		p.leaving = 1 + random.IntN(10)
	}
	if random.IntN(2) == 0 {
		p.hostile = max(1, p.kind.count*p.limits.Sockets/1024)
	}
	for range random.IntN(3) {
		p.stops = append(p.stops, pick(random, plannedStop, plannedStop, killed))
	}
	return p
}

// String describes the plan.
func (p soakPlan) String() string {
	return fmt.Sprintf("%d MB, %d descriptors, %.2f cores; %d clients, %d slow, %d leaving with %d bytes behind, %d hostile "+
		"(%s), stops %v, reloads %v, held up %v, faults of nodes %v", p.limits.MemoryMB, p.limits.Sockets, p.limits.Cores,
		p.clients, p.slow, p.leaving, len(p.behind), p.hostile, p.kind.name, p.stops, p.reloads, p.held, p.nodes)
}

const (
	soakLead  = 4 * time.Second // before the first stop, after each, and at the end
	tailTime  = writeTimeout    // after the clients have ended, for attempts that must not begin any more
	maxHoldUp = 150 * time.Millisecond
)

// Soak plays the run of a seed and checks the rules.
func Soak(t testing.TB, programDirectory string, seed uint64) {
	plan := newSoakPlan(seed)
	t.Logf("seed %d: %v", seed, plan)
	r := Start(t, programDirectory, Options{Limits: plan.limits})
	r.SoundClients(plan.clients, 150*time.Millisecond)
	r.SlowClients(plan.slow, nodeBodyLimit, 64_000)
	r.LeavingClients(plan.leaving, plan.behind, 100*time.Millisecond)
	r.HostileClients(plan.hostile, plan.kind.behave)
	if plan.nodes {
		r.Go(r.faultsOfNodes)
	}
	r.faultsOfProcess(plan)
	r.EndClients()
	for _, n := range r.Nodes {
		n.SetMode(Serving)
	}
	time.Sleep(tailTime)
	r.Check()
}

// faultsOfProcess reloads, holds up and ends the process as the plan says.
func (r *Run) faultsOfProcess(plan soakPlan) {
	for i := range len(plan.stops) + 1 {
		for end := time.Now().Add(soakLead); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			if plan.reloads {
				r.Gateway.Reload()
			}
			if plan.held {
				r.Gateway.HoldUp(rand.N(maxHoldUp))
			}
		}
		if i < len(plan.stops) {
			r.Restart(plan.stops[i] == plannedStop)
		}
	}
}

// faultsOfNodes makes nodes hang, reject and drain, one at a time, until ctx ends.
func (r *Run) faultsOfNodes(ctx context.Context) {
	for pause(ctx, rand.N(time.Second)) {
		node := r.Nodes[rand.IntN(len(r.Nodes))]
		mode := pick(rand.New(rand.NewPCG(rand.Uint64(), 0)), Hanging, Rejecting, Serving)
		if mode == Serving {
			r.drain(ctx, node)
			continue
		}
		node.SetMode(mode)
		pause(ctx, time.Second+rand.N(2*time.Second))
		node.SetMode(Serving)
	}
}

// drain makes a node drain for some time.
func (r *Run) drain(ctx context.Context, node *Node) {
	r.Discovery.SetHealth(node, "draining")
	from := r.Discovery.awaitNotified(ctx)
	pause(ctx, time.Second+rand.N(2*time.Second))
	r.Record.addDrain(Drain{Node: node.Name, From: from, To: time.Now()})
	r.Discovery.SetHealth(node, "up")
}
