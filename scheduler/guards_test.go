package scheduler

import (
	"testing"
	"time"
)

func TestGuardEndedRequest(t *testing.T) {
	h := newHarness(t, baseSettings())
	id := h.arrive(Request{})
	r := h.requests[id]
	h.endAttempt(id, 0, Overloaded) // it waits for the node's rest to end
	h.advance(initialBackoff - 10*ms)
	h.ClientDisconnected(h.now, id)
	h.now += initialBackoff
	h.TimerFired(h.now, 0)
	if h.send(r, h.nodes["a"]) {
		t.Fatal("sent after the end")
	}
	h.wantActions("send", 1)
	h.wantActions("refuse", 0)
	h.wantActions("fail", 0)
	if other := h.requests[h.arrive(Request{})]; len(other.inFlight) != 1 {
		t.Fatal("the node does not take requests")
	}
}

func TestGuardDraining(t *testing.T) {
	for _, phase := range []Phase{Draining, Removed} {
		h := newHarness(t, baseSettings())
		h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "a", Phase: phase}}})
		h.arrive(Request{})
		h.wantActions("send", 0)
		h.advance(600 * ms)
		h.wantActions("refuse r1", 1)
		h.arrive(Request{Shard: AnyShard})
		h.wantActions("send r2 b", 1)
	}
	h := newHarness(t, baseSettings())
	h.MembershipChanged(h.now, Membership{Kind: FullList, Nodes: []Node{{ID: "b", Shard: 1}}})
	h.arrive(Request{})
	h.wantActions("send", 0)
	r := h.requests["r1"]
	if h.send(r, h.nodes["a"]) {
		t.Fatal("sent to a node that left the list")
	}
}

func TestGuardRetry(t *testing.T) {
	for _, c := range []struct {
		name  string
		set   Settings
		first Result
		delay time.Duration
		again string // the second attempt, or the end
	}{
		{"keyed, may have run: its own shard", keyedSettings(ScopeShard), Errored, 0, "send r1 a"},
		{"keyed, too late", keyedSettings(ScopeShard), Errored, 310 * ms, "fail r1"},
		{"keyed, broken connection", keyedSettings(ScopeZone), ConnectionReset, 310 * ms, "fail r1"},
		{"keyed everywhere, too late", keyedSettings(ScopeAll), Errored, 310 * ms, "refuse r1"},
		{"keyed, never ran", keyedSettings(ScopeShard), Overloaded, 310 * ms, "send r1"},
	} {
		h := newHarness(t, c.set)
		h.arrive(Request{Shard: AnyShard})
		h.wantActions("send r1 a", 1)
		h.advance(c.delay)
		h.recorded = nil
		h.endAttempt("r1", 0, c.first)
		h.advance(100 * ms)
		if h.count(c.again) != 1 {
			t.Errorf("%s: want %q in %v", c.name, c.again, h.recorded)
		}
	}
	set := baseSettings()
	set.Classes[0].Idempotency = NonIdempotent
	h := newHarness(t, set)
	h.arrive(Request{})
	h.endAttempt("r1", 0, Errored)
	h.wantActions("fail r1", 1)
	h.wantActions("send", 1)
	h.arrive(Request{Shard: 1})
	h.endAttempt("r2", 0, ConnectFailed)
	h.advance(200 * ms)
	h.wantActions("send r2", 2)
}

func TestOneAttemptAtATimeUpToMaxAttempts(t *testing.T) {
	h := newHarness(t, baseSettings())
	id := h.arrive(Request{})
	if h.send(h.requests[id], h.nodes["a"]) {
		t.Fatal("two attempts out at once")
	}
	for n := range 4 {
		h.endAttempt(id, n, Errored)
	}
	h.wantActions("send", 4)
	h.wantActions("refuse "+id, 1)
}

func TestGuardRetryBudget(t *testing.T) {
	set := baseSettings()
	set.Rules.RetryBudgetWindow, set.Rules.RetryBudgetBase, set.Rules.RetryBudgetShare = time.Second, 1, 0.5
	h := newHarness(t, set)
	h.arrive(Request{})
	h.endAttempt("r1", 0, Errored)
	h.endAttempt("r1", 1, Errored) // 1 + 0.5 allow one further attempt
	h.advance(50 * ms)
	h.wantActions("send", 2)
	h.arrive(Request{Shard: 1})
	h.wantActions("send", 4) // its own, and with two accepted a second further one
}

func TestGuardBackoff(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.arrive(Request{})
	h.endAttempt("r1", 0, Overloaded)
	h.arrive(Request{})
	h.wantActions("send", 1)
	h.advance(initialBackoff + 10*ms)
	h.wantActions("send", 2) // one at a time until one is served
	h.endAttempt("r1", 1, Served)
	h.wantActions("send", 3)
}
