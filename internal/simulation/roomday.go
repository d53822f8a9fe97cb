package simulation

import (
	"fmt"
	"time"

	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

// RoomDay is a day on which rooms are lost and come back.
type RoomDay struct {
	Seed     uint64
	Rooms    int
	Nodes    int     // in each room
	Gateways int     // that are in the rooms by turns
	Load     float64 // of what all nodes can do
	Free     float64 // share of the requests that write new objects
	Events   []RoomEvent
	Length   time.Duration
	Settings zonefailover.Settings // without tiers, siblings and list: they follow from the day; without a spill there is none
	Off      bool                  // the gateways don't look at rooms
	Plain    bool                  // they are plain proxies
	ListLate time.Duration         // after which the list tells that a node has started anew
}

// RoomEvent is a change in the world.
type RoomEvent struct {
	At      time.Duration
	Room    int
	Part    float64 // of its nodes; 0: all
	Gateway int     // -1: all; else only this one's way to the room is cut
	Dark    bool    // it goes dark, or comes back
	Cold    bool    // what comes back has started anew
}

// RoomSecond is what a second came to.
type RoomSecond struct {
	Served, Refused, Failed, Late int     // answers to new objects and bound requests
	FreeLost                      int     // new objects that were failed
	Spilt                         float64 // units of new objects sent into another room than the gateway's own
	Push                          float64 // highest load of a cold node, as a share of what pushes it over
}

// RoomResult is what a day came to.
type RoomResult struct {
	Seconds []RoomSecond
	Fell    []string       // nodes that were pushed over
	Noticed time.Duration  // from the first loss until nothing but tries went there; -1: never
	Broken  []string       // rules
	ToNode  map[string]int // attempts at each node in the last ten seconds
	Worst   float64        // most units that spilt out of a room within any time, beyond the bound; 0 or less: the bound was kept
}

const roomMs = time.Millisecond

// roomSettings are those of the operators' deployment, with two classes.
var roomSettings = scheduler.Settings{Tick: roomMs,
	Classes: []scheduler.Class{{Name: "sheet-read", Aim: 300 * roomMs, Deadline: 1500 * roomMs, Worth: 3},
		{Name: "entry-write", Aim: 400 * roomMs, Deadline: 2500 * roomMs, Worth: 2, Repeats: scheduler.Keyed, RepeatGroup: scheduler.GroupShard, RepeatFor: 4 * time.Second, Writes: true}},
	Plans:   []scheduler.Plan{{Name: "standard", Rate: 100, Reserve: 120, Weight: 1, Price: 1.2}},
	Rules:   scheduler.Rules{DrainGrace: 250 * roomMs, ColdFrom: 0.18, WarmWithin: 17 * time.Second, ColdWindow: 3 * time.Second, ColdMultiple: 4},
	Allowed: scheduler.Allowed{Probes: true, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4, ConnectWithin: connectWithin},
	Sizes:   scheduler.Sizes{MeanUnits: 2, MostUnits: 8, ShareWorth: 0.4, SpareWorth: 0.1}}

// Run plays it.
func (d RoomDay) Run() (*RoomResult, error) {
	w := NewWorld(d.Seed)
	r := &RoomResult{Seconds: make([]RoomSecond, int(d.Length/time.Second)+1), ToNode: map[string]int{}, Noticed: -1}
	day := &roomRun{RoomDay: d, world: w, result: r, began: w.Now, spilt: map[int][]arrival{}}
	for room := range d.Rooms {
		for i := range d.Nodes {
			n := &Node{Node: scheduler.Node{ID: fmt.Sprintf("%c%d", 'a'+room, i), Zone: room, Shard: room*d.Nodes + i, Size: 1}, World: w, Workers: 2, Queue: 40, Work: 20 * roomMs, Speed: 1,
				Cold: Cold{From: 0.18, Within: 17 * time.Second, Multiple: 4, Window: 3 * time.Second}, Effects: map[string]int{}}
			day.nodes = append(day.nodes, n)
		}
	}
	day.rate = d.Load * float64(len(day.nodes)) * day.nodes[0].Rate()
	for i := range d.Gateways {
		set := roomSettings
		set.Siblings, set.Zone = d.Gateways, i%d.Rooms
		// What a cold node bears from all gateways within the window, at its coldest.
		set.Rules.ColdUnits = 4 * 0.18 * day.nodes[0].Rate() * 3 * 0.8
		if !d.Off {
			set.Rooms = d.Settings
			set.Rooms.Siblings, set.Rooms.ListLate = (d.Gateways-set.Zone+d.Rooms-1)/d.Rooms, 2*d.ListLate
			for room := range d.Rooms {
				set.Rooms.Tiers = append(set.Rooms.Tiers, min((room-set.Zone+d.Rooms)%d.Rooms, 1))
			}
		}
		g, err := NewGateway(w, set, day.nodes)
		if err != nil {
			return nil, err
		}
		if d.Plain {
			g.Sched = newPlain(w, g, day.nodes, set.Allowed.MaxAttempts)
		}
		g.Cut = map[int]bool{}
		g.Saw = func(q scheduler.Request, n *Node) { day.saw(set.Zone, q, n) }
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
	RoomDay
	world    *World
	result   *RoomResult
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

func (d *roomRun) second() *RoomSecond {
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
	if d.world.Random.Float64() < d.Free {
		q.Class, q.Shard = 1, scheduler.AnyShard
	}
	q.Patience = roomSettings.Classes[q.Class].Deadline
	came, answers := d.world.Now, 0
	id := ""
	id = g.Ask(q, func(a Answer) {
		if answers++; answers > 1 {
			d.broken("%s has %d answers", id, answers)
		}
		if late := d.world.Now - came - q.Patience; late > 20*roomMs {
			d.broken("%s is answered %v late", id, late)
		}
		s := d.second()
		switch a.Verdict {
		case "served":
			if s.Served++; d.world.Now-came > roomSettings.Classes[q.Class].Aim {
				s.Late++
			}
		case "refused":
			s.Refused++
		default:
			if s.Failed++; q.Shard == scheduler.AnyShard {
				s.FreeLost++
			}
		}
		if a.Verdict != "served" && tries > 0 && d.world.Now-came < q.Patience {
			d.world.After(a.RetryAfter, func() { d.ask(g, tries-1) })
		}
	})
	d.world.After(q.Patience+30*roomMs, func() {
		if answers == 0 {
			d.broken("%s has no answer", id)
		}
	})
}

func (d *roomRun) broken(format string, args ...any) {
	if len(d.result.Broken) < 20 {
		d.result.Broken = append(d.result.Broken, fmt.Sprintf(format, args...))
	}
}

// saw follows each attempt.
func (d *roomRun) saw(home int, q scheduler.Request, n *Node) {
	if d.world.Now > d.began+d.Length-10*time.Second {
		d.result.ToNode[n.ID]++
	}
	if q.Shard == scheduler.AnyShard && n.Zone != home {
		d.spilt[home] = append(d.spilt[home], arrival{d.world.Now, q.Units})
		d.second().Spilt += q.Units
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

func (d *roomRun) happens(e RoomEvent) {
	if e.Gateway >= 0 {
		d.gateways[e.Gateway%len(d.gateways)].Cut[e.Room] = e.Dark
		return
	}
	part := d.Nodes
	if e.Part > 0 {
		part = int(e.Part * float64(d.Nodes))
	}
	for i := range part {
		n := d.nodes[e.Room*d.Nodes+i]
		if n.Fell || n.Silent == e.Dark { // what was not lost can't come back
			continue
		}
		if n.Silent = e.Dark; e.Dark {
			if d.lost == 0 {
				d.lost = d.world.Now
			}
			continue
		}
		if !e.Cold {
			n.Break()
			continue
		}
		n.Restart()
		started := n.Started
		n.Node.StartedAt = started
		for _, g := range d.gateways { // discovery is late, to each in its own time
			d.world.After(time.Duration(d.world.Random.Float64()*float64(d.ListLate)), func() {
				g.Sched.Members(d.world.Now, scheduler.Membership{Kind: scheduler.Changes, Nodes: []scheduler.Node{n.Node}})
			})
		}
	}
}

// sample looks at what cold nodes bear.
func (d *roomRun) sample() {
	for _, n := range d.nodes {
		if bears := n.Bears(); bears > 0 && !n.Silent {
			s := d.second()
			s.Push = max(s.Push, n.Pushed()/bears)
		}
	}
}

func (d *roomRun) conclude() {
	for _, n := range d.nodes {
		if n.Fell {
			d.result.Fell = append(d.result.Fell, n.ID)
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
		d.result.Noticed = max(0, d.lastTo-d.lost)
	}
	if d.Off {
		return
	}
	// Two ends of any time: the bound's own line below the sum, so that one pass does.
	for _, spilt := range d.spilt {
		least, sum := 0.0, 0.0
		for i, a := range spilt {
			line := d.Settings.Spill * (a.at - d.began).Seconds()
			if start := sum - line; i == 0 || start < least {
				least = start
			}
			sum += a.units
			d.result.Worst = max(d.result.Worst, sum-line-least-d.Settings.Burst)
		}
	}
}
