package scheduler

import (
	"fmt"
	"testing"
	"time"

	"reachpulley/internal/zonefailover"
)

// roomed makes settings of two rooms: a, where the host is, and b. Nodes a and b of start are in them.
func roomed(change func(*Settings)) Settings {
	set := base()
	set.Allowed.ConnectTimeout = 250 * ms
	set.Rules.SlowStartShare, set.Rules.SlowStartDuration, set.Rules.SlowStartWindow, set.Rules.SlowStartAllowance, set.Rules.SlowStartMultiple = 0.18, 17*time.Second, 3*time.Second, 20, 4
	set.ZoneFailover = zonefailover.Settings{Tiers: []int{0, 1}, Spillover: 10, Burst: 10, Siblings: 1, MembershipDelay: 5 * time.Second}
	if change != nil {
		change(&set)
	}
	return set
}

// silence lets node a be asked and say nothing until it is dark.
func (h *host) silence() {
	h.t.Helper()
	h.ask(Request{Key: "lost"})
	for range 40 {
		h.wait(25 * ms)
		if h.view.Node("a") == zonefailover.Unavailable {
			return
		}
	}
	h.t.Fatal("it is not dark after a second")
}

func TestNewWorkStaysAtHome(t *testing.T) {
	h := start(t, roomed(nil))
	h.wait(2 * time.Second) // the bucket is full, and nobody asks for it
	for range 8 {
		h.ask(Request{Shard: AnyShard})
	}
	h.want("send", 8)
	for _, s := range h.sends {
		if s.node != "a" {
			t.Errorf("%s went to %s", s.id, s.node)
		}
	}
}

func TestSpillWithinItsBound(t *testing.T) {
	h := start(t, roomed(nil))
	h.wait(2 * time.Second)
	h.silence()
	h.wait(time.Second)
	before := len(h.sends)
	for i := range 20 {
		h.ask(Request{Shard: AnyShard, Key: string(rune('a' + i))})
	}
	spilt := 0
	for _, s := range h.sends[before:] {
		if s.node == "b" {
			spilt++
			h.end(s.id, 0, Served)
		}
	}
	if spilt != 5 || h.count("refuse") < 15 { // 10 units at once, of two each
		t.Errorf("%d spilt, %d refused", spilt, h.count("refuse"))
	}
	h.wait(time.Second)
	h.ask(Request{Shard: AnyShard, Key: "later"})
	if last := h.sends[len(h.sends)-1]; last.node != "b" {
		t.Errorf("%+v", last)
	}
}

func TestWorkThatMustNotSpill(t *testing.T) {
	h := start(t, roomed(func(s *Settings) {
		s.ZoneFailover.Work = []zonefailover.Work{{Class: 0, Plan: -1, Tiers: []int{0, zonefailover.Forbidden}}}
	}))
	h.wait(2 * time.Second)
	h.silence()
	id := h.ask(Request{Shard: AnyShard})
	h.want("refuse "+id, 1)
	h = start(t, roomed(func(s *Settings) {
		s.ZoneFailover.Work = []zonefailover.Work{{Class: -1, Plan: 0, Tiers: []int{zonefailover.Forbidden, 0}}}
	}))
	id = h.ask(Request{Shard: AnyShard})
	h.want("send "+id+" b", 1) // its home is the other room, so nothing spills
}

// What is bound to a dark node is refused at once, with when that is tried next; where nothing may be probed, one of them tries now and then.
func TestBoundToTheDark(t *testing.T) {
	h := start(t, roomed(nil))
	h.silence()
	h.wait(100 * ms)
	sent := h.count("send")
	for range 10 {
		h.ask(Request{Key: "k"})
		h.wait(50 * ms)
	}
	if tries := h.count("send") - sent; tries < 1 || tries > 4 || h.count("refuse") < 6 {
		t.Errorf("%d tries, %d refused", tries, h.count("refuse"))
	}
	probing := start(t, roomed(func(s *Settings) { s.Allowed.Probes = true }))
	probing.silence()
	probing.wait(100 * ms)
	sent = probing.count("send")
	for range 10 {
		probing.ask(Request{Key: "k"})
		probing.wait(50 * ms)
	}
	if probing.count("send") != sent || probing.count("probe a") < 2 || probing.count("probe a") > 5 {
		t.Errorf("%d sent, %d probes", probing.count("send")-sent, probing.count("probe a"))
	}
	probing.ProbeEnded(probing.now, ProbeResult{Node: "a", Served: true})
	probing.wait(30 * ms)
	id := probing.ask(Request{Key: "back"})
	probing.want("send "+id+" a", 1)
}

// What comes back from the dark is cold, until the list would have told that it had started anew.
func TestBackFromTheDarkIsCold(t *testing.T) {
	for name, anew := range map[string]bool{"only the way was cut": false, "started anew": true} {
		h := start(t, roomed(nil))
		h.silence()
		h.wait(500 * ms)
		h.end("r1", 0, Served)
		n := h.nodes["a"]
		if !h.cold(n) {
			t.Errorf("%s: it is taken for warm", name)
		}
		if anew {
			h.wait(2 * time.Second)
			h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "a", StartedAt: h.now - 2*time.Second}}})
		}
		h.wait(6 * time.Second)
		if h.cold(n) != anew {
			t.Errorf("%s: cold is %v", name, h.cold(n))
		}
	}
}

// A node at which all that is out breaks at once may have started anew.
func TestAllBroken(t *testing.T) {
	h := start(t, roomed(nil))
	h.ask(Request{Key: "1"})
	h.ask(Request{Key: "2"})
	h.end("r1", 0, ConnectionReset)
	h.end("r2", 0, ConnectionReset)
	h.serveAll()
	if !h.cold(h.nodes["a"]) {
		t.Error("it is taken for warm")
	}
}

// A client that leaves early, and a connection that is refused, tell of no silence.
func TestWhatIsNoSilence(t *testing.T) {
	h := start(t, roomed(nil))
	id := h.ask(Request{Key: "1"})
	h.wait(10 * ms)
	h.ClientDisconnected(h.now, id)
	h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: Canceled, Latency: 10 * ms, VolumeUse: -1})
	h.wait(5 * time.Second)
	if state := h.view.Node("a"); state != zonefailover.Available {
		t.Errorf("%v after a client that left", state)
	}
	id = h.ask(Request{Key: "2"})
	h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: ConnectFailed, Latency: ms, VolumeUse: -1})
	h.wait(20 * ms)
	if h.view.Node("a") != zonefailover.Available || h.nodes["a"].askedAt != 0 {
		t.Errorf("%v after a refused connection", h.view.Node("a"))
	}
}

// quiet carries out nothing.
type quiet struct{}

func (quiet) Send(string, string, time.Duration) {}
func (quiet) Cancel(string, int)                 {}
func (quiet) Reject(string, time.Duration)       {}
func (quiet) Fail(string)                        {}
func (quiet) Probe(string)                       {}
func (quiet) SetTimer(time.Duration, uint64)     {}
func (quiet) Watch()                             {}
func (quiet) Log(string)                         {}

// BenchmarkPick measures which node a request goes to, by how many there are.
func BenchmarkPick(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000} {
		set := roomed(nil)
		s, err := New(set, 1, quiet{})
		if err != nil {
			b.Fatal(err)
		}
		list := Membership{Kind: FullList}
		for i := range nodes {
			list.Nodes = append(list.Nodes, Node{ID: fmt.Sprint("n", i), Zone: i % 2, Shard: i})
		}
		s.MembershipChanged(time.Hour, list)
		for kind, shard := range map[string]int{"for its data": nodes - 1, "a new object": AnyShard} {
			r := &request{Request: Request{Class: 0, Units: 2, Shard: shard}, class: &s.set.Classes[0], aimAt: s.now + time.Second, endAt: s.now + time.Second}
			r.volume = s.volumeOf(r.Request)
			b.Run(fmt.Sprint(kind, ", nodes: ", nodes), func(b *testing.B) {
				for b.Loop() {
					s.pick(r)
				}
			})
		}
	}
}
