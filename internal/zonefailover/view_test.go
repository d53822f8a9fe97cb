package zonefailover

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") }

const (
	ms   = time.Millisecond
	tick = 25 * ms
)

// site shows a View nodes that answer 40 ms after each question, or say nothing.
type site struct {
	v       *Tracker
	now     time.Duration
	nodes   []*spot
	changes []string
}

type spot struct {
	Observation
	silent bool
	idle   bool // nothing is asked of it
	asked  time.Duration
}

func newSite(rooms, each int) *site {
	s := &site{v: NewTracker(rooms), now: time.Hour}
	for r := range rooms {
		for i := range each {
			s.nodes = append(s.nodes, &spot{Observation: Observation{ID: fmt.Sprintf("%d-%d", r, i), Zone: r, UsualLatency: 40 * ms}})
		}
	}
	return s
}

// run lets time pass; only changes of rooms are kept.
func (s *site) run(d time.Duration) *site {
	for end := s.now + d; s.now < end; {
		s.now += tick
		var all []Observation
		for _, n := range s.nodes {
			switch {
			case n.Removed, n.idle:
				n.asked, n.UnansweredFor = 0, 0
			case n.silent:
				if n.asked == 0 {
					n.asked = s.now
				}
				n.UnansweredFor = s.now - n.asked
			default:
				n.asked, n.UnansweredFor, n.LastResponse = 0, 0, s.now
			}
			all = append(all, n.Observation)
		}
		for _, c := range s.v.Update(s.now, all) {
			if c.Node == "" {
				s.changes = append(s.changes, fmt.Sprintf("%d %v", c.Zone, c.To))
			}
		}
	}
	return s
}

func (s *site) room(number int, change func(*spot)) *site {
	for _, n := range s.nodes {
		if n.Zone == number {
			change(n)
		}
	}
	return s
}

func silent(is bool) func(*spot) { return func(n *spot) { n.silent = is } }

func TestRoomGoesDarkAndReturns(t *testing.T) {
	s := newSite(2, 5).run(time.Second)
	dark := s.now
	s.room(0, silent(true))
	for s.v.Zone(0).State != Unavailable {
		if s.run(tick); s.now-dark > time.Second {
			t.Fatal("not dark after a second")
		}
	}
	if took := s.now - dark; took > 600*ms {
		t.Errorf("noticed after %v", took)
	}
	s.run(10*time.Second).room(0, silent(false)).run(3 * time.Second)
	if diff := cmp.Diff([]string{"0 suspected", "0 dark", "0 returning", "0 here"}, s.changes); diff != "" {
		t.Error(diff)
	}
}

// One silent node is no dark room; nor is a silent part, which makes it thin.
func TestPartsOfARoom(t *testing.T) {
	s := newSite(2, 5).run(time.Second)
	s.nodes[0].silent = true
	s.run(5 * time.Second)
	if s.v.Zone(0).State != Degraded || s.v.Node("0-0") != Unavailable || s.v.Node("0-1") != Available {
		t.Errorf("%v, %v", s.v.Zone(0), s.v.Node("0-0"))
	}
	s.nodes[0].silent, s.nodes[1].Removed, s.nodes[2].Removed = false, true, true
	s.run(5 * time.Second)
	if s.v.Zone(0).State != Degraded || s.v.Zone(0).RemovedShare != 0.4 {
		t.Errorf("%+v", s.v.Zone(0))
	}
	for _, state := range s.changes {
		if state == "0 dark" {
			t.Error(s.changes)
		}
	}
}

// Half of a room returns: it counts as back, and as thin.
func TestHalfReturns(t *testing.T) {
	s := newSite(2, 6).run(time.Second).room(0, silent(true)).run(5 * time.Second)
	for i := range 3 {
		s.nodes[i].silent = false
	}
	s.run(10 * time.Second)
	if s.v.Zone(0).State != Degraded || s.v.Node("0-5") != Unavailable {
		t.Errorf("%+v %v", s.v.Zone(0), s.changes)
	}
}

// A gateway that hears nothing at all is cut off itself: no room is called dark for it.
func TestCutOff(t *testing.T) {
	s := newSite(3, 4).run(time.Second)
	for r := range 3 {
		s.room(r, silent(true))
	}
	s.run(5 * time.Second)
	if !s.v.Isolated() {
		t.Error("it is not told to be cut off")
	}
	for r := range 3 {
		if got := s.v.Zone(r).State; got == Unavailable {
			t.Errorf("room %d is %v", r, got)
		}
	}
}

// A room of which nothing is asked tells nothing: it stays what it was.
func TestNothingAsked(t *testing.T) {
	s := newSite(2, 4).room(0, func(n *spot) { n.idle = true }).run(time.Minute)
	if s.v.Zone(0).State != Available || len(s.changes) > 0 {
		t.Error(s.changes)
	}
}

// A room that flaps moves traffic ever more rarely, whatever the period.
func TestFlaps(t *testing.T) {
	for _, period := range []time.Duration{200 * ms, time.Second, 3 * time.Second, 10 * time.Second, 60 * time.Second} {
		s := newSite(2, 5).run(time.Second)
		for s.now < time.Hour+10*time.Minute {
			s.room(0, silent(true)).run(period / 2)
			s.room(0, silent(false)).run(period / 2)
		}
		here := 0
		for _, c := range s.changes {
			if c == "0 here" {
				here++
			}
		}
		if period >= time.Second && here > 12 {
			t.Errorf("period %v: %d times here again in ten minutes", period, here)
		}
	}
}

// Trying a dark node is rare, and never ends.
func TestTries(t *testing.T) {
	s := newSite(2, 2).run(time.Second).room(0, silent(true)).run(time.Second)
	tries := 0
	for range 600 {
		s.run(100 * ms)
		if s.v.AllowTrial(s.now, "0-0") {
			tries++
		}
	}
	if tries < 15 || tries > 30 || s.v.UntilTrial(s.now, "0-0") > tryMost || !s.v.AllowTrial(s.now, "1-0") {
		t.Errorf("%d tries in a minute", tries)
	}
}

// Whatever is seen: nothing that was forgotten is held, a state resumed goes on alike, and after a minute in which all answer all rooms are here or thin.
func TestAnySights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.IntRange(1, 4).Draw(t, "rooms"), rapid.IntRange(1, 6).Draw(t, "nodes"))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			for _, n := range s.nodes {
				switch rapid.IntRange(0, 5).Draw(t, "what") {
				case 0:
					n.silent = !n.silent
				case 1:
					n.Removed = !n.Removed
				case 2:
					n.idle = !n.idle
				}
			}
			s.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * tick)
			twin := NewTracker(s.v.Zones())
			if !twin.Resume(s.v.Snapshot()) {
				t.Fatal("not resumed")
			}
			if diff := cmp.Diff(s.v.Snapshot(), twin.Snapshot()); diff != "" {
				t.Fatal(diff)
			}
		}
		for _, n := range s.nodes {
			n.silent, n.idle, n.Removed = false, false, false
		}
		s.run(2 * calmMost)
		for r := range s.v.Zones() {
			if state := s.v.Zone(r).State; state != Available {
				t.Fatalf("room %d is %v", r, state)
			}
		}
		if s.v.Update(s.now, nil); len(s.v.nodes) > 0 {
			t.Fatalf("%d nodes are held", len(s.v.nodes))
		}
	})
}

// However many gateways ask and whatever each of them does, what spills keeps to the bound of all of them together, over any time.
func TestSpillKeepsToItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Tiers: []int{0, 1}, Spillover: float64(rapid.IntRange(0, 100).Draw(t, "spill")), Burst: float64(rapid.IntRange(0, 40).Draw(t, "burst")),
			Share: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "share"), Siblings: rapid.IntRange(1, 5).Draw(t, "gateways")}
		var all []*SpilloverLimiter
		for range set.Siblings {
			all = append(all, NewSpilloverLimiter(set))
		}
		type taken struct {
			at    time.Duration
			units float64
		}
		var log []taken
		now := time.Hour
		for range rapid.IntRange(1, 300).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			units := float64(rapid.IntRange(1, 8).Draw(t, "units"))
			for _, one := range all {
				one.Refill(now, []float64{0, 50})
			}
			s := all[rapid.IntRange(0, set.Siblings-1).Draw(t, "gateway")]
			if s.Take(now, 1, units) {
				log = append(log, taken{now, units})
			} else if wait, ever := s.Wait(now, units); ever && set.Share == 0 {
				again := NewSpilloverLimiter(set)
				again.Resume(s.Snapshot())
				if !again.Take(now+wait+time.Microsecond, 1, units) {
					t.Fatalf("%v units are not taken after %v", units, wait)
				}
			}
		}
		for i := range log {
			sum := 0.0
			for j := i; j < len(log); j++ {
				sum += log[j].units
				if most := set.Spillover*(log[j].at-log[i].at).Seconds() + set.Burst; sum > most+1e-6 {
					t.Fatalf("%v units within %v, %v are allowed", sum, log[j].at-log[i].at, most)
				}
			}
		}
	})
}

func TestTiersByWork(t *testing.T) {
	s := Settings{Tiers: []int{0, 1, 2}, Siblings: 1, Work: []Work{{Class: 1, Plan: -1, Tiers: []int{Forbidden, 0, 0}}, {Class: -1, Plan: 2, Tiers: []int{1, 0, Forbidden}}}}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	for at, want := range map[[3]int]int{{0, 0, 0}: 0, {2, 0, 0}: 2, {0, 1, 2}: Forbidden, {1, 1, 0}: 0, {2, 0, 2}: Forbidden, {9, 0, 0}: 0} {
		if got := s.Tier(at[0], at[1], at[2]); got != want {
			t.Errorf("%v: tier %d, want %d", at, got, want)
		}
	}
	for _, bad := range []Settings{{Tiers: []int{0}}, {Tiers: []int{0}, Siblings: 1, Spillover: -1}, {Tiers: []int{0, 1}, Siblings: 1, Work: []Work{{Tiers: []int{0}}}}, {Tiers: []int{0}, Siblings: 1, MembershipDelay: -1}} {
		if bad.Check() == nil {
			t.Errorf("%+v is good", bad)
		}
	}
}

// A look costs what its nodes cost, whatever the number of rooms.
func BenchmarkLook(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000} {
		for _, rooms := range []int{2, 10} {
			s := newSite(rooms, nodes/rooms).run(time.Second)
			var all []Observation
			for _, n := range s.nodes {
				all = append(all, n.Observation)
			}
			b.Run(fmt.Sprintf("%d nodes in %d rooms", nodes, rooms), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					s.now += tick
					s.v.Update(s.now, all)
				}
			})
		}
	}
}
