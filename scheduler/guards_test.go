package scheduler

import (
	"testing"
	"time"
)

func TestGuardEndedRequest(t *testing.T) {
	h := newHarness(t, baseSettings())
	id := h.arrive(Request{})
	request := h.requests[id]
	h.endAttempt(id, 0, Overloaded) // the request waits for the node's backoff to end
	h.advance(initialBackoff - 10*ms)
	h.ClientDisconnected(h.now, id)
	h.now += initialBackoff
	h.TimerFired(h.now, housekeepingTimer)
	if h.send(request, h.nodes["a"]) {
		t.Fatal("the request was sent after its client disconnected")
	}
	h.wantActions("send", 1)
	h.wantActions("reject", 0)
	h.wantActions("fail", 0)
	if h.inFlight(h.arrive(Request{})) == nil {
		t.Fatal("the next request was not sent to the node")
	}
}

func TestGuardDraining(t *testing.T) {
	for name, phase := range map[string]Phase{"draining": Draining, "removed": Removed} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, baseSettings())
			h.list(DeltaList, Node{ID: "a", Phase: phase})
			h.arrive(Request{})
			h.wantActions("send", 0)
			h.advance(600 * ms)
			h.wantActions("reject r1", 1)
			h.arrive(Request{Shard: AnyShard})
			h.wantActions("send r2 b", 1)
		})
	}
	t.Run("absent from the list", func(t *testing.T) {
		h := newHarness(t, baseSettings())
		h.list(FullList, Node{ID: "b", Shard: 1})
		id := h.arrive(Request{})
		h.wantActions("send", 0)
		if h.send(h.requests[id], h.nodes["a"]) {
			t.Fatal("the request was sent to a node that is not listed")
		}
	})
}

func TestGuardRetry(t *testing.T) {
	for _, test := range []struct {
		name     string
		settings Settings
		first    Result
		delay    time.Duration
		want     string // action that follows the first attempt: the second attempt or the final answer
	}{
		{"shard scope, may have run: retried in its shard", keyedSettings(ScopeShard), Errored, 0, "send r1 a"},
		{"shard scope, too late", keyedSettings(ScopeShard), Errored, 310 * ms, "fail r1"},
		{"zone scope, connection broke, too late", keyedSettings(ScopeZone), ConnectionReset, 310 * ms, "fail r1"},
		{"scope of all nodes, too late", keyedSettings(ScopeAll), Errored, 310 * ms, "reject r1"},
		{"shard scope, never ran", keyedSettings(ScopeShard), Overloaded, 310 * ms, "send r1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.settings)
			h.arrive(Request{Shard: AnyShard})
			h.wantActions("send r1 a", 1)
			h.advance(test.delay)
			h.recorded = nil
			h.endAttempt("r1", 0, test.first)
			h.advance(100 * ms)
			h.wantActions(test.want, 1)
		})
	}
	t.Run("non-idempotent", func(t *testing.T) {
		settings := baseSettings()
		settings.Classes[0].Idempotency = NonIdempotent
		h := newHarness(t, settings)
		h.arrive(Request{})
		h.endAttempt("r1", 0, Errored)
		h.wantActions("fail r1", 1)
		h.wantActions("send", 1)
		h.arrive(Request{Shard: 1})
		h.endAttempt("r2", 0, ConnectFailed)
		h.advance(200 * ms)
		h.wantActions("send r2", 2)
	})
}

func TestOneAttemptAtATimeUpToMaxAttempts(t *testing.T) {
	h := newHarness(t, baseSettings())
	id := h.arrive(Request{})
	if h.send(h.requests[id], h.nodes["a"]) {
		t.Fatal("a second attempt was sent while the first was in flight")
	}
	for attempt := range 4 {
		h.endAttempt(id, attempt, Errored)
	}
	h.wantActions("send", 4)
	h.wantActions("reject "+id, 1)
}

func TestGuardRetryBudget(t *testing.T) {
	settings := baseSettings()
	settings.Rules.RetryBudgetWindow = time.Second
	settings.Rules.RetryBudgetBase = 1
	settings.Rules.RetryBudgetShare = 0.5
	h := newHarness(t, settings)
	h.arrive(Request{})
	h.endAttempt("r1", 0, Errored)
	h.endAttempt("r1", 1, Errored) // the budget of 1 + 0.5 allows one retry
	h.advance(50 * ms)
	h.wantActions("send", 2)
	h.arrive(Request{Shard: 1})
	h.wantActions("send", 4) // one more for r2 and one for r1, as the budget of 1 + 2*0.5 now allows two retries
}

func TestGuardBackoff(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.arrive(Request{})
	h.endAttempt("r1", 0, Overloaded)
	h.arrive(Request{})
	h.wantActions("send", 1)
	h.advance(initialBackoff + 10*ms)
	h.wantActions("send", 2) // the node gets one request at a time until one is served
	h.endAttempt("r1", 1, Served)
	h.wantActions("send", 3)
}
