package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
	"reachpulley/internal/retrybudget"
)

// What a request's description says narrows its class and never widens it.
func TestRetryPoliciesOnlyNarrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Custom(func(t *rapid.T) RetryPolicy {
			return RetryPolicy{Idempotency: Idempotency(rapid.IntRange(0, 2).Draw(t, "repeats")), Scope: DedupScope(rapid.IntRange(0, 2).Draw(t, "group")),
				Window: time.Duration(rapid.IntRange(0, 5).Draw(t, "for")) * time.Second}
		})
		a, b := bound.Draw(t, "a"), bound.Draw(t, "b")
		both := a.NarrowedBy(b)
		if both != b.NarrowedBy(a) && both.Idempotency == IdempotentWithKey {
			t.Fatalf("%+v and %+v: the order counts", a, b)
		}
		// A keyed call may be repeated at a node by the group, and within the time.
		allows := func(by RetryPolicy, sameZone, sameShard bool, after time.Duration) bool {
			switch by.Idempotency {
			case Idempotent:
				return true
			case NonIdempotent:
				return false
			}
			return after < by.Window && (by.Scope == ScopeAll || by.Scope == ScopeZone && sameZone || by.Scope == ScopeShard && sameShard)
		}
		for after := time.Duration(0); after < 6*time.Second; after += time.Second {
			for i := range 4 {
				if allows(both, i&1 > 0, i&2 > 0, after) && !(allows(a, i&1 > 0, i&2 > 0, after) && allows(b, i&1 > 0, i&2 > 0, after)) {
					t.Fatalf("%+v and %+v give %+v, which allows more", a, b, both)
				}
			}
		}
	})
}

// A request whose description is stricter than its class is handled as its description says.
func TestRequestPolicyNarrowsItsClass(t *testing.T) {
	for name, c := range map[string]struct {
		bound  RetryPolicy
		result Result
		want   string
	}{
		"the class alone":        {RetryPolicy{}, Errored, "send r1"},
		"unsafe, may have run":   {RetryPolicy{Idempotency: NonIdempotent}, Errored, "fail r1"},
		"unsafe, broken":         {RetryPolicy{Idempotency: NonIdempotent}, ConnectionReset, "fail r1"},
		"unsafe, never ran":      {RetryPolicy{Idempotency: NonIdempotent}, Overloaded, "send r1"},
		"keyed, at its own node": {RetryPolicy{Idempotency: IdempotentWithKey, Scope: ScopeShard, Window: time.Second}, Errored, "send r1 a"},
		"keyed, no time left":    {RetryPolicy{Idempotency: IdempotentWithKey, Scope: ScopeShard}, Errored, "fail r1"},
	} {
		h := newHarness(t, baseSettings())
		h.arrive(Request{RetryPolicy: c.bound})
		h.recorded = nil
		h.endAttempt("r1", 0, c.result)
		h.advance(200 * ms)
		if h.count(c.want) != 1 {
			t.Errorf("%s: want %q in %v", name, c.want, h.recorded)
		}
	}
}

func TestKeyedRequestIsNotRejectedOnceItMayHaveRun(t *testing.T) {
	h := newHarness(t, keyedSettings(ScopeShard))
	h.arrive(Request{})
	h.advance(2 * time.Second)
	h.wantActions("fail r1", 1)
	h.wantActions("refuse", 0)
}

// Failures pay for no attempts: a node that answers nothing but errors gets few further ones, and what is not earned is failed at once.
func TestRetryBudgetBoundsRetriesAtAFailingNode(t *testing.T) {
	further := func(set retrybudget.Settings) int {
		s := baseSettings()
		s.RetryBudget = set
		h := newHarness(t, s)
		for i := range 200 {
			id := h.arrive(Request{Key: fmt.Sprint(i)})
			for r := h.requests[id]; r != nil && len(r.inFlight) > 0; {
				h.endAttempt(id, r.inFlight[0].number, Errored)
			}
			h.advance(10 * ms)
		}
		h.advance(time.Second)
		if h.count("refuse")+h.count("fail") != 200 {
			t.Errorf("%d answers", h.count("refuse")+h.count("fail"))
		}
		return h.count("send") - 200
	}
	with, without := further(retrybudget.Settings{Share: 0.2, MinShare: 0.02, Trickle: 0.5, Burst: 10, Cells: 16}), further(retrybudget.Settings{})
	if with > 20 || without < 500 {
		t.Errorf("%d further attempts with a budget, %d without", with, without)
	}
}

// An attempt that hangs while later ones are served is hardly at the node: it holds no room there, and comes back to
// none when it ends.
func TestOvertakenAttemptHoldsNoCapacity(t *testing.T) {
	for passed, want := range map[int]float64{1: 2, 2: 0} {
		h := newHarness(t, baseSettings())
		for range 8 {
			h.endAttempt(h.arrive(Request{}), 0, Served)
		}
		hangs := h.arrive(Request{})
		for range passed {
			h.now += ms
			h.endAttempt(h.arrive(Request{}), 0, Served)
		}
		h.advance(70 * ms)
		n := h.nodes["a"]
		if n.unitsInFlight != want {
			t.Errorf("%v units are taken for out after %d passed, want %v", n.unitsInFlight, passed, want)
		}
		if h.endAttempt(hangs, 0, ConnectionReset); n.unitsInFlight != 2 { // it goes out again
			t.Errorf("%v units are taken for out once it was sent again", n.unitsInFlight)
		}
	}
}

// Attempts that are never answered once held the cap until their clients gave up.
func TestLostAttemptIsCanceledAndRetried(t *testing.T) {
	lose := func(set Settings) *harness {
		h := newHarness(t, set)
		for range 8 {
			h.endAttempt(h.arrive(Request{}), 0, Served)
		}
		lost := h.arrive(Request{})
		h.advance(20 * ms)
		for range 1 {
			h.endAttempt(h.arrive(Request{}), 0, Served)
		}
		h.wantActions("cancel", 0) // not out for long enough
		h.advance(400 * ms)
		if h.count("cancel") > 0 {
			h.endAttempt(lost, 0, Canceled)
		}
		return h
	}
	h := lose(baseSettings())
	h.wantActions("cancel r9 0", 1)
	h.wantActions("log node a", 1)
	h.wantActions("send r9", 2)
	h = lose(keyedSettings(ScopeShard)) // its window has passed
	h.wantActions("send r9", 1)
	h.wantActions("fail r9", 1)
	set := baseSettings()
	set.Allowed.Cancel = false
	h = lose(set)
	h.wantActions("cancel", 0)
	h.wantActions("send r9", 1)
}

func TestSlowAttemptThatIsNotOvertakenIsNotCanceled(t *testing.T) {
	h := newHarness(t, baseSettings())
	for range 8 {
		h.endAttempt(h.arrive(Request{}), 0, Served)
	}
	h.arrive(Request{})
	h.advance(time.Second)
	h.wantActions("cancel", 0)
}
