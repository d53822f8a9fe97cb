package scheduler

import (
	"testing"
	"time"

	"reachpulley/internal/zonefailover"
)

// makeUnavailable lets node a be asked and say nothing until it is dark.
func (h *harness) makeUnavailable() {
	h.t.Helper()
	h.arrive(Request{Key: "lost"})
	for range 40 {
		h.advance(25 * ms)
		if h.zoneTracker.Node("a") == zonefailover.Unavailable {
			return
		}
	}
	h.t.Fatal("it is not dark after a second")
}

func TestNewObjectsStayInTheHomeZone(t *testing.T) {
	h := newHarness(t, zonedSettings(nil))
	h.advance(2 * time.Second) // the bucket is full, and nobody asks for it
	for range 8 {
		h.arrive(Request{Shard: AnyShard})
	}
	h.wantActions("send", 8)
	for _, s := range h.sends {
		if s.node != "a" {
			t.Errorf("%s went to %s", s.id, s.node)
		}
	}
}

func TestSpilloverKeepsItsBound(t *testing.T) {
	h := newHarness(t, zonedSettings(nil))
	h.advance(2 * time.Second)
	h.makeUnavailable()
	h.advance(time.Second)
	before := len(h.sends)
	for i := range 20 {
		h.arrive(Request{Shard: AnyShard, Key: string(rune('a' + i))})
	}
	spilt := 0
	for _, s := range h.sends[before:] {
		if s.node == "b" {
			spilt++
			h.endAttempt(s.id, 0, Served)
		}
	}
	if spilt != 5 || h.count("refuse") < 15 { // 10 units at once, of two each
		t.Errorf("%d spilt, %d refused", spilt, h.count("refuse"))
	}
	h.advance(time.Second)
	h.arrive(Request{Shard: AnyShard, Key: "later"})
	if last := h.sends[len(h.sends)-1]; last.node != "b" {
		t.Errorf("%+v", last)
	}
}

func TestForbiddenZonesGetNoSpillover(t *testing.T) {
	h := newHarness(t, zonedSettings(func(s *Settings) {
		s.ZoneFailover.Work = []zonefailover.Work{{Class: 0, Plan: -1, Tiers: []int{0, zonefailover.Forbidden}}}
	}))
	h.advance(2 * time.Second)
	h.makeUnavailable()
	id := h.arrive(Request{Shard: AnyShard})
	h.wantActions("refuse "+id, 1)
	h = newHarness(t, zonedSettings(func(s *Settings) {
		s.ZoneFailover.Work = []zonefailover.Work{{Class: -1, Plan: 0, Tiers: []int{zonefailover.Forbidden, 0}}}
	}))
	id = h.arrive(Request{Shard: AnyShard})
	h.wantActions("send "+id+" b", 1) // its home is the other room, so nothing spills
}

// What is bound to a dark node is refused at once, with when that is tried next; where nothing may be probed, one of them tries now and then.
func TestRequestsForAnUnavailableNode(t *testing.T) {
	h := newHarness(t, zonedSettings(nil))
	h.makeUnavailable()
	h.advance(100 * ms)
	sent := h.count("send")
	for range 10 {
		h.arrive(Request{Key: "k"})
		h.advance(50 * ms)
	}
	if tries := h.count("send") - sent; tries < 1 || tries > 4 || h.count("refuse") < 6 {
		t.Errorf("%d tries, %d refused", tries, h.count("refuse"))
	}
	probing := newHarness(t, zonedSettings(func(s *Settings) { s.Allowed.Probes = true }))
	probing.makeUnavailable()
	probing.advance(100 * ms)
	sent = probing.count("send")
	for range 10 {
		probing.arrive(Request{Key: "k"})
		probing.advance(50 * ms)
	}
	if probing.count("send") != sent || probing.count("probe a") < 2 || probing.count("probe a") > 5 {
		t.Errorf("%d sent, %d probes", probing.count("send")-sent, probing.count("probe a"))
	}
	probing.ProbeEnded(probing.now, ProbeResult{Node: "a", Served: true})
	probing.advance(30 * ms)
	id := probing.arrive(Request{Key: "back"})
	probing.wantActions("send "+id+" a", 1)
}

// What comes back from the dark is cold, until the list would have told that it had started anew.
func TestRecoveredNodeWarmsUp(t *testing.T) {
	for name, anew := range map[string]bool{"only the way was cut": false, "started anew": true} {
		h := newHarness(t, zonedSettings(nil))
		h.makeUnavailable()
		h.advance(500 * ms)
		h.endAttempt("r1", 0, Served)
		n := h.nodes["a"]
		if !h.warmingUp(n) {
			t.Errorf("%s: it is taken for warm", name)
		}
		if anew {
			h.advance(2 * time.Second)
			h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "a", StartedAt: h.now - 2*time.Second}}})
		}
		h.advance(6 * time.Second)
		if h.warmingUp(n) != anew {
			t.Errorf("%s: cold is %v", name, h.warmingUp(n))
		}
	}
}

// A node at which all that is out breaks at once may have started anew.
func TestResetOfAllAttemptsMeansARestart(t *testing.T) {
	h := newHarness(t, zonedSettings(nil))
	h.arrive(Request{Key: "1"})
	h.arrive(Request{Key: "2"})
	h.endAttempt("r1", 0, ConnectionReset)
	h.endAttempt("r2", 0, ConnectionReset)
	h.serveAll()
	if !h.warmingUp(h.nodes["a"]) {
		t.Error("it is taken for warm")
	}
}

// A client that leaves early, and a connection that is refused, tell of no silence.
func TestEarlyDisconnectAndRefusedConnectionAreNoSilence(t *testing.T) {
	h := newHarness(t, zonedSettings(nil))
	id := h.arrive(Request{Key: "1"})
	h.advance(10 * ms)
	h.ClientDisconnected(h.now, id)
	h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: Canceled, Latency: 10 * ms, VolumeUse: -1})
	h.advance(5 * time.Second)
	if state := h.zoneTracker.Node("a"); state != zonefailover.Available {
		t.Errorf("%v after a client that left", state)
	}
	id = h.arrive(Request{Key: "2"})
	h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: ConnectFailed, Latency: ms, VolumeUse: -1})
	h.advance(20 * ms)
	if h.zoneTracker.Node("a") != zonefailover.Available || h.nodes["a"].unansweredSince != 0 {
		t.Errorf("%v after a refused connection", h.zoneTracker.Node("a"))
	}
}
