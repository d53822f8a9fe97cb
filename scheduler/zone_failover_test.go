package scheduler

import (
	"testing"
	"time"

	"reachpulley/internal/zonefailover"
)

// makeUnavailable sends a request to node a and leaves it unanswered until the node counts as unavailable.
func (h *harness) makeUnavailable() {
	h.t.Helper()
	h.arrive(Request{Key: "lost"})
	for range 40 {
		h.advance(25 * ms)
		if h.zoneTracker.Node("a") == zonefailover.Unavailable {
			return
		}
	}
	h.t.Fatal("node a does not count as unavailable after a second without an answer")
}

func TestNewObjectsStayInTheHomeZone(t *testing.T) {
	h := newHarness(t, zonedSettings())
	h.advance(2 * time.Second) // the spillover bucket fills up, but no request needs it
	for range 8 {
		h.arrive(Request{Shard: AnyShard})
	}
	h.wantActions("send", 8)
	for _, send := range h.sends {
		if send.node != "a" {
			t.Errorf("new object %s was sent to node %s, want a", send.id, send.node)
		}
	}
}

func TestSpilloverStaysWithinItsLimit(t *testing.T) {
	h := newHarness(t, zonedSettings())
	h.advance(2 * time.Second)
	h.makeUnavailable()
	h.advance(time.Second)
	before := len(h.sends)
	for i := range 20 {
		h.arrive(Request{Shard: AnyShard, Key: string(rune('a' + i))})
	}
	spilledOver := 0
	for _, send := range h.sends[before:] {
		if send.node == "b" {
			spilledOver++
			h.endAttempt(send.id, 0, Served)
		}
	}
	if spilledOver != 5 || h.count("reject") < 15 { // the burst is 10 units, and a request has two
		t.Errorf("%d requests spilled over, want 5; %d rejected, want at least 15", spilledOver, h.count("reject"))
	}
	h.advance(time.Second)
	h.arrive(Request{Shard: AnyShard, Key: "later"})
	if last := h.sends[len(h.sends)-1]; last.node != "b" {
		t.Errorf("request %s was sent last, to node %s; want node b once the spillover bucket has refilled",
			last.id, last.node)
	}
}

func TestForbiddenZonesGetNoSpillover(t *testing.T) {
	settings := zonedSettings()
	settings.ZoneFailover.Work = []zonefailover.WorkTiers{
		{Class: 0, Plan: -1, Tiers: []int{0, zonefailover.Forbidden}},
	}
	h := newHarness(t, settings)
	h.advance(2 * time.Second)
	h.makeUnavailable()
	id := h.arrive(Request{Shard: AnyShard})
	h.wantActions("reject "+id, 1)

	settings.ZoneFailover.Work = []zonefailover.WorkTiers{
		{Class: -1, Plan: 0, Tiers: []int{zonefailover.Forbidden, 0}},
	}
	h = newHarness(t, settings)
	id = h.arrive(Request{Shard: AnyShard})
	h.wantActions("send "+id+" b", 1) // the home zone of the plan is zone 1, so this is no spillover
}

// Requests for the data of an unavailable node are rejected at once, with a Retry-After until the next trial. If nodes
// may not be probed, one of the requests is sent as the trial.
func TestRequestsForAnUnavailableNode(t *testing.T) {
	send := func(t *testing.T, probes bool) (h *harness, trials int) {
		settings := zonedSettings()
		settings.Allowed.Probes = probes
		h = newHarness(t, settings)
		h.makeUnavailable()
		h.advance(100 * ms)
		before := h.count("send")
		for range 10 {
			h.arrive(Request{Key: "k"})
			h.advance(50 * ms)
		}
		return h, h.count("send") - before
	}
	t.Run("trials", func(t *testing.T) {
		h, trials := send(t, false)
		if trials < 1 || trials > 4 || h.count("reject") < 6 {
			t.Errorf("%d trials, want 1 to 4; %d rejections, want at least 6", trials, h.count("reject"))
		}
	})
	t.Run("probes", func(t *testing.T) {
		h, trials := send(t, true)
		if probes := h.count("probe a"); trials > 0 || probes < 2 || probes > 5 {
			t.Errorf("%d requests sent, want none; %d probes, want 2 to 5", trials, probes)
		}
		h.ProbeEnded(h.now, ProbeResult{Node: "a", Served: true})
		h.advance(30 * ms)
		id := h.arrive(Request{Key: "recovered"})
		h.wantActions("send "+id+" a", 1)
	})
}

// A recovered node counts as warming up until the endpoint list would have reported a restart of the node.
func TestRecoveredNodeWarmsUp(t *testing.T) {
	for name, restarted := range map[string]bool{"only the network path was cut": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, zonedSettings())
			h.makeUnavailable()
			h.advance(500 * ms)
			h.endAttempt("r1", 0, Served)
			node := h.nodes["a"]
			if !h.warmingUp(node) {
				t.Error("the recovered node counts as warm at once, want warming up")
			}
			if restarted {
				h.advance(2 * time.Second)
				h.list(DeltaList, Node{ID: "a", StartedAt: h.now - 2*time.Second})
			}
			h.advance(6 * time.Second)
			if h.warmingUp(node) != restarted {
				t.Errorf("node counts as warming up: %v, want %v", h.warmingUp(node), restarted)
			}
		})
	}
}

// A node may have restarted if the connections of all attempts there break at once.
func TestResetOfAllAttemptsCountsAsARestart(t *testing.T) {
	h := newHarness(t, zonedSettings())
	h.arrive(Request{Key: "1"})
	h.arrive(Request{Key: "2"})
	h.endAttempt("r1", 0, ConnectionReset)
	h.endAttempt("r2", 0, ConnectionReset)
	h.serveAll()
	if !h.warmingUp(h.nodes["a"]) {
		t.Error("the node counts as warm, want warming up")
	}
}

// Neither a client that disconnects early nor a refused connection shows that the node does not respond.
func TestEarlyDisconnectAndRefusedConnectionDoNotCountAsSilence(t *testing.T) {
	h := newHarness(t, zonedSettings())
	id := h.arrive(Request{Key: "1"})
	h.advance(10 * ms)
	h.ClientDisconnected(h.now, id)
	h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: Canceled, Latency: 10 * ms, VolumeUse: -1})
	h.advance(5 * time.Second)
	if state := h.zoneTracker.Node("a"); state != zonefailover.Available {
		t.Errorf("node a is %v after an early disconnect, want available", state)
	}
	id = h.arrive(Request{Key: "2"})
	h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: ConnectFailed, Latency: ms, VolumeUse: -1})
	h.advance(20 * ms)
	if state := h.zoneTracker.Node("a"); state != zonefailover.Available || h.nodes["a"].unansweredSince != 0 {
		t.Errorf("node a is %v after a refused connection, unanswered since %v; want available and 0",
			state, h.nodes["a"].unansweredSince)
	}
}
