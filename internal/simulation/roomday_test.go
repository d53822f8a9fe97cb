package simulation

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "10") // days are long, and longer under the race detector
}

// settle is after what time all nodes get their part again, after the last thing that happens: the longest calm of a room that flapped so often, what the
// list may be late by, and the warming.
const settle = 70 * time.Second

func play(t interface{ Fatal(...any) }, d ZoneScenario) *ZoneResult {
	r, err := d.Run()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// lossOf is a day on which a room goes dark for 20 s and comes back.
func lossOf(seed uint64, cold bool, part float64) ZoneScenario {
	return ZoneScenario{Seed: seed, Zones: 2, Nodes: 5, Gateways: 3, Load: 0.35, NewObjectShare: 0.35, Length: 100 * time.Second, MembershipDelay: 5 * time.Second,
		Settings: zonefailover.Settings{Spillover: 60, Burst: 24},
		Events:   []ZoneEvent{{At: 15 * time.Second, Zone: 0, Gateway: -1, Unavailable: true}, {At: 35 * time.Second, Zone: 0, Gateway: -1, Restarted: cold, NodeShare: part}}}
}

// kept checks what holds on any day.
func kept(t interface{ Errorf(string, ...any) }, name string, r *ZoneResult) {
	if len(r.Crashed) > 0 || len(r.Violations) > 0 || r.WorstSpillover > 1e-6 {
		t.Errorf("%s: pushed over %v, broken %v, %.1f units over the bound", name, r.Crashed, r.Violations, r.WorstSpillover)
	}
}

// A room goes dark and comes back: new objects spill within the bound, few are lost, and while it comes back no cold node feels it.
func TestARoomGoesDarkAndReturns(t *testing.T) {
	for _, c := range []struct {
		name string
		cold bool
		part float64
	}{{"cold", true, 0}, {"only the way was cut", false, 0}, {"half of it, cold", true, 0.6}} {
		d := lossOf(1, c.cold, c.part)
		r := play(t, d)
		kept(t, c.name, r)
		lost, spilt, refused := 0, 0.0, 0
		for i, s := range r.Seconds {
			if i >= 15 {
				lost += s.NewObjectsLost
			}
			if i >= 20 && i < 35 {
				spilt += s.SpilledUnits
				refused += s.Rejected
			}
		}
		if lost > 40 || spilt < 300 || refused == 0 || r.DetectedAfter > time.Second {
			t.Errorf("%s: %d new objects lost, %.0f units spilt, %d refused, noticed after %v", c.name, lost, spilt, refused, r.DetectedAfter)
		}
		for i := range d.Nodes {
			back := c.part == 0 || i < int(c.part*float64(d.Nodes))
			if got := r.ToNode[fmt.Sprint("a", i)]; back && got < 50 || !back && got > 60 {
				t.Errorf("%s: a%d got %d attempts at the end", c.name, i, got)
			}
		}
	}
}

// Many gateways together keep to what a cold node bears, in a crowd that asks for twice what all nodes can do; plain proxies in their place push the whole room over.
func TestManyGatewaysSpareAColdRoom(t *testing.T) {
	d := lossOf(1, true, 0)
	d.Gateways, d.Nodes, d.Load, d.Length = 120, 2, 2, 50*time.Second
	r := play(t, d)
	kept(t, "many gateways", r)
	most := 0.0
	for _, s := range r.Seconds {
		most = max(most, s.SlowStartLoad)
	}
	if most > 0.6 {
		t.Errorf("a cold node bore up to %.2f of what pushes it over", most)
	}
	d.Passthrough = true
	if r := play(t, d); len(r.Crashed) != d.Nodes {
		t.Errorf("plain proxies pushed over %v", r.Crashed)
	}
}

// Where no probe may be sent, requests that would be refused try whether a node is back.
func TestAReturnIsHeardWithoutProbes(t *testing.T) {
	roomSettings.Allowed.Probes = false
	defer func() { roomSettings.Allowed.Probes = true }()
	r := play(t, lossOf(2, true, 0))
	kept(t, "without probes", r)
	if r.ToNode["a0"] < 50 {
		t.Errorf("%v", r.ToNode)
	}
}

// A cut that one gateway sees and others do not: that one spills its part and no more, and the others go on as before.
func TestOneGatewayIsCutOff(t *testing.T) {
	d := lossOf(3, false, 0)
	for i := range d.Events {
		d.Events[i].Gateway = 0
	}
	r := play(t, d)
	kept(t, "cut", r)
	if s := r.Seconds[25]; s.SpilledUnits > 30 || s.Served < 100 {
		t.Errorf("%+v", s)
	}
}

// Without a bound nothing spills: what can't be served at home is refused.
func TestNothingSpillsWithoutABound(t *testing.T) {
	d := lossOf(4, true, 0)
	d.Settings = zonefailover.Settings{}
	r := play(t, d)
	kept(t, "no bound", r)
	for i, s := range r.Seconds {
		if s.SpilledUnits > 0 {
			t.Fatalf("second %d: %+v", i, s)
		}
	}
}

// Whatever happens to rooms, in whole or in part, with flaps and one-sided cuts and late lists: each request has one answer in time, no cold node is pushed over,
// what spills keeps to its bound, and a stated time after the last thing happened all nodes get their part again.
func TestAnyDay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := ZoneScenario{Seed: rapid.Uint64().Draw(t, "seed"), Zones: rapid.IntRange(2, 3).Draw(t, "rooms"), Nodes: rapid.IntRange(2, 5).Draw(t, "nodes"), Gateways: rapid.IntRange(2, 4).Draw(t, "gateways"),
			Load: 0.1 + 0.15*float64(rapid.IntRange(0, 5).Draw(t, "load")), NewObjectShare: 0.35, MembershipDelay: time.Duration(rapid.IntRange(0, 8).Draw(t, "late")) * time.Second,
			Settings: zonefailover.Settings{Spillover: float64(rapid.IntRange(0, 8).Draw(t, "spill")) * 20, Burst: 32, Share: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "share")}}
		at := 5 * time.Second
		for range rapid.IntRange(1, 3).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
			e := ZoneEvent{Zone: rapid.IntRange(0, d.Zones-1).Draw(t, "room"), NodeShare: rapid.SampledFrom([]float64{0, 0.5, 0.9}).Draw(t, "part"), Gateway: rapid.IntRange(-3, d.Gateways-1).Draw(t, "gateway"),
				Restarted: rapid.Bool().Draw(t, "cold")}
			e.Gateway = max(e.Gateway, -1)
			period := rapid.SampledFrom([]time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second, 20 * time.Second}).Draw(t, "period")
			for range rapid.IntRange(1, 4).Draw(t, "flaps") {
				lost, back := e, e
				lost.At, lost.Unavailable, back.At, back.NodeShare = at, true, at+period/2, 0
				d.Events = append(d.Events, lost, back)
				at += period
			}
		}
		d.Length = at + settle
		r, err := d.Run()
		if err != nil {
			t.Fatal(err)
		}
		kept(t, "any day", r)
		for room := range d.Zones {
			for i := range d.Nodes {
				if id := fmt.Sprintf("%c%d", 'a'+room, i); r.ToNode[id] == 0 {
					t.Fatalf("%s gets nothing at the end: %v", id, r.ToNode)
				}
			}
		}
	})
}

// The check of the days is one that can fail: a request that ran at two nodes is told.
func TestARequestThatRanTwiceIsTold(t *testing.T) {
	d := &roomRun{result: &ZoneResult{}, nodes: []*Node{{Node: scheduler.Node{ID: "a0"}, Effects: map[string]int{"r": 1}}, {Node: scheduler.Node{ID: "b0"}, Effects: map[string]int{"r": 1, "s": 1}}}}
	d.conclude()
	if len(d.result.Violations) != 1 || d.result.Violations[0] != "r ran at a0 and b0" {
		t.Error(d.result.Violations)
	}
}
