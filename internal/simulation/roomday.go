package simulation

import (
	"fmt"
	"time"

	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

// ZoneScenario is a day on which rooms are lost and come back.
type ZoneScenario struct {
	Seed             uint64
	Zones            int
	Nodes            int     // in each room
	Gateways         int     // that are in the rooms by turns
	Load             float64 // of what all nodes can do
	NewObjectShare   float64 // share of the requests that write new objects
	Events           []ZoneEvent
	Length           time.Duration
	Settings         zonefailover.Settings // without tiers, siblings and list: they follow from the day; without a spill there is none
	FailoverDisabled bool                  // the gateways don't look at rooms
	Passthrough      bool                  // they are plain proxies
	MembershipDelay  time.Duration         // after which the list tells that a node has started anew
}

// ZoneEvent is a change in the world.
type ZoneEvent struct {
	At          time.Duration
	Zone        int
	NodeShare   float64 // of its nodes; 0: all
	Gateway     int     // -1: all; else only this one's way to the room is cut
	Unavailable bool    // it goes dark, or comes back
	Restarted   bool    // what comes back has started anew
}

// ZoneSecond is what a second came to.
type ZoneSecond struct {
	Served, Rejected, Failed, Late int     // answers to new objects and bound requests
	NewObjectsLost                 int     // new objects that were failed
	SpilledUnits                   float64 // units of new objects sent into another room than the gateway's own
	SlowStartLoad                  float64 // highest load of a cold node, as a share of what pushes it over
}

// ZoneResult is what a day came to.
type ZoneResult struct {
	Seconds        []ZoneSecond
	Crashed        []string       // nodes that were pushed over
	DetectedAfter  time.Duration  // from the first loss until nothing but tries went there; -1: never
	Violations     []string       // rules
	ToNode         map[string]int // attempts at each node in the last ten seconds
	WorstSpillover float64        // most units that spilt out of a room within any time, beyond the bound; 0 or less: the bound was kept
}

const roomMs = time.Millisecond

// roomSettings are those of the operators' deployment, with two classes.
var roomSettings = scheduler.Settings{Tick: roomMs,
	Classes: []scheduler.Class{{Name: "sheet-read", LatencyObjective: 300 * roomMs, Deadline: 1500 * roomMs, PriorityWeight: 3},
		{Name: "entry-write", LatencyObjective: 400 * roomMs, Deadline: 2500 * roomMs, PriorityWeight: 2, Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeShard, DedupWindow: 4 * time.Second, Writes: true}},
	Plans:   []scheduler.Plan{{Name: "standard", Rate: 100, Reserve: 120, Weight: 1, Price: 1.2}},
	Rules:   scheduler.Rules{DrainGrace: 250 * roomMs, SlowStartShare: 0.18, SlowStartDuration: 17 * time.Second, SlowStartWindow: 3 * time.Second, SlowStartMultiple: 4},
	Allowed: scheduler.Allowed{Probes: true, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4, ConnectTimeout: connectWithin},
	Sizes:   scheduler.Sizes{MeanUnits: 2, MaxUnits: 8, ShareWeight: 0.4, SpareWeight: 0.1}}

// Run plays it.
func (d ZoneScenario) Run() (*ZoneResult, error) {
	w := New(d.Seed)
	r := &ZoneResult{Seconds: make([]ZoneSecond, int(d.Length/time.Second)+1), ToNode: map[string]int{}, DetectedAfter: -1}
	day := &roomRun{ZoneScenario: d, world: w, result: r, began: w.Now, spilt: map[int][]arrival{}}
	for room := range d.Zones {
		for i := range d.Nodes {
			n := &Node{Node: scheduler.Node{ID: fmt.Sprintf("%c%d", 'a'+room, i), Zone: room, Shard: room*d.Nodes + i, Size: 1}, Simulation: w, Workers: 2, Queue: 40, Work: 20 * roomMs, Speed: 1,
				SlowStart: SlowStart{StartShare: 0.18, Duration: 17 * time.Second, Multiple: 4, Window: 3 * time.Second}, Effects: map[string]int{}}
			day.nodes = append(day.nodes, n)
		}
	}
	day.rate = d.Load * float64(len(day.nodes)) * day.nodes[0].Rate()
	for i := range d.Gateways {
		set := roomSettings
		set.Siblings, set.Zone = d.Gateways, i%d.Zones
		// What a cold node bears from all gateways within the window, at its coldest.
		set.Rules.SlowStartAllowance = 4 * 0.18 * day.nodes[0].Rate() * 3 * 0.8
		if !d.FailoverDisabled {
			set.ZoneFailover = d.Settings
			set.ZoneFailover.Siblings, set.ZoneFailover.MembershipDelay = (d.Gateways-set.Zone+d.Zones-1)/d.Zones, 2*d.MembershipDelay
			for room := range d.Zones {
				set.ZoneFailover.Tiers = append(set.ZoneFailover.Tiers, min((room-set.Zone+d.Zones)%d.Zones, 1))
			}
		}
		g, err := NewGateway(w, set, day.nodes)
		if err != nil {
			return nil, err
		}
		if d.Passthrough {
			g.Scheduler = newPassthrough(w, g, day.nodes, set.Allowed.MaxAttempts)
		}
		g.Partitioned = map[int]bool{}
		g.OnAttempt = func(q scheduler.Request, n *Node) { day.saw(set.Zone, q, n) }
		day.gateways = append(day.gateways, g)
		w.After(0, func() { day.next(g) })
	}
	for _, e := range d.Events {
		w.After(e.At, func() { day.happens(e) })
	}
	for at := time.Duration(0); at < d.Length; at += 10 * roomMs { // as the operators sample it
		w.Run(10 * roomMs)
		day.sample()
	}
	r.Seconds = r.Seconds[:len(r.Seconds)-1]
	day.conclude()
	return r, nil
}

type roomRun struct {
	ZoneScenario
	world    *Simulation
	result   *ZoneResult
	nodes    []*Node
	gateways []*Gateway
	rate     float64 // units a second of all clients
	began    time.Duration
	spilt    map[int][]arrival // by the room of the gateway
	lost     time.Duration     // the first loss
	lastTo   time.Duration     // the last attempt into the dark that was more than a try
	tries    int
	window   time.Duration
}

func (d *roomRun) second() *ZoneSecond {
	return &d.result.Seconds[min(int((d.world.Now-d.began)/time.Second), len(d.result.Seconds)-1)]
}

// next has a gateway asked, again and again.
func (d *roomRun) next(g *Gateway) {
	each := d.rate / float64(len(d.gateways)) / 2 // requests have two units in the mean
	d.world.After(time.Duration(d.world.Random.ExpFloat64()/each*float64(time.Second)), func() {
		if d.world.Now < d.began+d.Length {
			d.ask(g, 1)
			d.next(g)
		}
	})
}

// ask sends a request and, once, the client's retry.
func (d *roomRun) ask(g *Gateway, tries int) {
	q := scheduler.Request{Volume: fmt.Sprint("v", d.world.Random.IntN(40)), Key: fmt.Sprint(d.world.Random.IntN(1 << 30)), Units: float64(1 + d.world.Random.IntN(3)), Hosts: len(d.gateways),
		Shard: d.world.Random.IntN(len(d.nodes))}
	if d.world.Random.Float64() < d.NewObjectShare {
		q.Class, q.Shard = 1, scheduler.AnyShard
	}
	q.ClientTimeout = roomSettings.Classes[q.Class].Deadline
	came, answers := d.world.Now, 0
	id := ""
	id = g.Submit(q, func(a Answer) {
		if answers++; answers > 1 {
			d.broken("%s has %d answers", id, answers)
		}
		if late := d.world.Now - came - q.ClientTimeout; late > 20*roomMs {
			d.broken("%s is answered %v late", id, late)
		}
		s := d.second()
		switch a.Verdict {
		case "served":
			if s.Served++; d.world.Now-came > roomSettings.Classes[q.Class].LatencyObjective {
				s.Late++
			}
		case "refused":
			s.Rejected++
		default:
			if s.Failed++; q.Shard == scheduler.AnyShard {
				s.NewObjectsLost++
			}
		}
		if a.Verdict != "served" && tries > 0 && d.world.Now-came < q.ClientTimeout {
			d.world.After(a.RetryAfter, func() { d.ask(g, tries-1) })
		}
	})
	d.world.After(q.ClientTimeout+30*roomMs, func() {
		if answers == 0 {
			d.broken("%s has no answer", id)
		}
	})
}

func (d *roomRun) broken(format string, args ...any) {
	if len(d.result.Violations) < 20 {
		d.result.Violations = append(d.result.Violations, fmt.Sprintf(format, args...))
	}
}

// saw follows each attempt.
func (d *roomRun) saw(home int, q scheduler.Request, n *Node) {
	if d.world.Now > d.began+d.Length-10*time.Second {
		d.result.ToNode[n.ID]++
	}
	if q.Shard == scheduler.AnyShard && n.Zone != home {
		d.spilt[home] = append(d.spilt[home], arrival{d.world.Now, q.Units})
		d.second().SpilledUnits += q.Units
	}
	if n.Silent && d.lost > 0 {
		if d.world.Now-d.window > time.Second {
			d.window, d.tries = d.world.Now, 0
		}
		if d.tries++; d.tries > 3*len(d.nodes) { // more than tries, in one second
			d.lastTo = d.world.Now
		}
	}
}

func (d *roomRun) happens(e ZoneEvent) {
	if e.Gateway >= 0 {
		d.gateways[e.Gateway%len(d.gateways)].Partitioned[e.Zone] = e.Unavailable
		return
	}
	part := d.Nodes
	if e.NodeShare > 0 {
		part = int(e.NodeShare * float64(d.Nodes))
	}
	for i := range part {
		n := d.nodes[e.Zone*d.Nodes+i]
		if n.Crashed || n.Silent == e.Unavailable { // what was not lost can't come back
			continue
		}
		if n.Silent = e.Unavailable; e.Unavailable {
			if d.lost == 0 {
				d.lost = d.world.Now
			}
			continue
		}
		if !e.Restarted {
			n.Break()
			continue
		}
		n.Restart()
		started := n.Started
		n.Node.StartedAt = started
		for _, g := range d.gateways { // discovery is late, to each in its own time
			d.world.After(time.Duration(d.world.Random.Float64()*float64(d.MembershipDelay)), func() {
				g.Scheduler.MembershipChanged(d.world.Now, scheduler.Membership{Kind: scheduler.DeltaList, Nodes: []scheduler.Node{n.Node}})
			})
		}
	}
}

// sample looks at what cold nodes bear.
func (d *roomRun) sample() {
	for _, n := range d.nodes {
		if bears := n.SlowStartCapacity(); bears > 0 && !n.Silent {
			s := d.second()
			s.SlowStartLoad = max(s.SlowStartLoad, n.WindowUnits()/bears)
		}
	}
}

func (d *roomRun) conclude() {
	for _, n := range d.nodes {
		if n.Crashed {
			d.result.Crashed = append(d.result.Crashed, n.ID)
		}
	}
	ran := map[string]string{} // the node at which a request ran: only the rack of the first one knows a write's key
	for _, n := range d.nodes {
		for id := range n.Effects {
			if other := ran[id]; other != "" {
				d.broken("%s ran at %s and %s", id, other, n.ID)
			}
			ran[id] = n.ID
		}
	}
	if d.lost > 0 {
		d.result.DetectedAfter = max(0, d.lastTo-d.lost)
	}
	if d.FailoverDisabled {
		return
	}
	// Two ends of any time: the bound's own line below the sum, so that one pass does.
	for _, spilt := range d.spilt {
		least, sum := 0.0, 0.0
		for i, a := range spilt {
			line := d.Settings.Spillover * (a.at - d.began).Seconds()
			if start := sum - line; i == 0 || start < least {
				least = start
			}
			sum += a.units
			d.result.WorstSpillover = max(d.result.WorstSpillover, sum-line-least-d.Settings.Burst)
		}
	}
}
