package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/retrybudget"
)

// The retry policy of a request's API description narrows that of its class and never widens it.
func TestRetryPoliciesOnlyNarrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.Custom(func(t *rapid.T) RetryPolicy {
			return RetryPolicy{
				Idempotency: Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")),
				Scope:       DedupScope(rapid.IntRange(0, 2).Draw(t, "scope")),
				Window:      time.Duration(rapid.IntRange(0, 5).Draw(t, "window")) * time.Second,
			}
		})
		a, b := policy.Draw(t, "a"), policy.Draw(t, "b")
		both := a.NarrowedBy(b)
		if both != b.NarrowedBy(a) && both.Idempotency == IdempotentWithKey {
			t.Fatalf("%+v narrowed by %+v is %+v, but the other way round it is %+v", a, b, both, b.NarrowedBy(a))
		}
		for after := time.Duration(0); after < 6*time.Second; after += time.Second {
			for i := range 4 {
				sameZone, sameShard := i&1 > 0, i&2 > 0
				allows := func(p RetryPolicy) bool { return allowsRetry(p, sameZone, sameShard, after) }
				if allows(both) && !(allows(a) && allows(b)) {
					t.Fatalf("%+v narrowed by %+v is %+v, which allows a retry that one of them forbids: "+
						"after %v, same zone %v, same shard %v", a, b, both, after, sameZone, sameShard)
				}
			}
		}
	})
}

// allowsRetry reports whether a policy allows a retry at a time after the first attempt, at a node that is or is not in
// the zone and shard of the node of that attempt.
func allowsRetry(policy RetryPolicy, sameZone, sameShard bool, after time.Duration) bool {
	switch policy.Idempotency {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	inScope := policy.Scope == ScopeAll ||
		policy.Scope == ScopeZone && sameZone ||
		policy.Scope == ScopeShard && sameShard
	return inScope && after < policy.Window
}

// If the policy of a request is stricter than that of its class, the policy of the request applies.
func TestRequestPolicyNarrowsItsClass(t *testing.T) {
	nonIdempotent := RetryPolicy{Idempotency: NonIdempotent}
	keyed := RetryPolicy{Idempotency: IdempotentWithKey, Scope: ScopeShard, Window: time.Second}
	keyedExpired := RetryPolicy{Idempotency: IdempotentWithKey, Scope: ScopeShard}
	for name, test := range map[string]struct {
		policy RetryPolicy
		result Result
		want   string
	}{
		"policy of the class only":      {RetryPolicy{}, Errored, "send r1"},
		"non-idempotent, may have run":  {nonIdempotent, Errored, "fail r1"},
		"non-idempotent, may still run": {nonIdempotent, ConnectionReset, "fail r1"},
		"non-idempotent, never ran":     {nonIdempotent, Overloaded, "send r1"},
		"keyed, at its own node":        {keyed, Errored, "send r1 a"},
		"keyed, with an expired window": {keyedExpired, Errored, "fail r1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, baseSettings())
			h.arrive(Request{RetryPolicy: test.policy})
			h.recorded = nil
			h.endAttempt("r1", 0, test.result)
			h.advance(200 * ms)
			h.wantActions(test.want, 1)
		})
	}
}

func TestKeyedRequestIsNotRejectedOnceItMayHaveRun(t *testing.T) {
	h := newHarness(t, keyedSettings(ScopeShard))
	h.arrive(Request{})
	h.advance(2 * time.Second)
	h.wantActions("fail r1", 1)
	h.wantActions("reject", 0)
}

// Failed attempts do not add to the retry budget. So a node that answers only with errors gets few retries, and
// requests without a token are answered at once.
func TestRetryBudgetBoundsRetriesAtAFailingNode(t *testing.T) {
	retries := func(budget retrybudget.Settings) int {
		settings := baseSettings()
		settings.RetryBudget = budget
		h := newHarness(t, settings)
		for i := range 200 {
			id := h.arrive(Request{Key: fmt.Sprint(i)})
			for attempt := h.inFlight(id); attempt != nil; attempt = h.inFlight(id) {
				h.endAttempt(id, attempt.number, Errored)
			}
			h.advance(10 * ms)
		}
		h.advance(time.Second)
		if answers := h.count("reject") + h.count("fail"); answers != 200 {
			t.Errorf("got %d answers, want 200", answers)
		}
		return h.count("send") - 200
	}
	with := retries(retrybudget.Settings{Share: 0.2, MinShare: 0.02, Trickle: 0.5, Burst: 10, Cells: 16})
	without := retries(retrybudget.Settings{})
	if with > 20 || without < 500 {
		t.Errorf("%d retries with a budget, want at most 20; %d without, want at least 500", with, without)
	}
}

// An attempt that hangs while later attempts are served is probably no longer at the node. It holds no capacity there,
// and frees none when it ends.
func TestOvertakenAttemptHoldsNoCapacity(t *testing.T) {
	for overtaken, want := range map[int]float64{1: 2, 2: 0} {
		t.Run(fmt.Sprint("overtaken by ", overtaken), func(t *testing.T) {
			h := newHarness(t, baseSettings())
			for range 8 {
				h.serve(Request{})
			}
			hanging := h.arrive(Request{})
			for range overtaken {
				h.now += ms
				h.serve(Request{})
			}
			h.advance(70 * ms)
			node := h.nodes["a"]
			if node.unitsInFlight != want {
				t.Errorf("%v units count as in flight, want %v", node.unitsInFlight, want)
			}
			h.endAttempt(hanging, 0, ConnectionReset) // the request is sent again
			if node.unitsInFlight != 2 {
				t.Errorf("%v units count as in flight after the request was sent again, want 2", node.unitsInFlight)
			}
		})
	}
}

// An attempt that gets no answer, although a later one has been served, must be canceled if the settings allow it, and
// its request must be sent again if that is safe. Otherwise it would hold capacity until its client gives up.
func TestLostAttemptIsCanceledAndRetried(t *testing.T) {
	withoutCancel := baseSettings()
	withoutCancel.Allowed.Cancel = false
	for _, test := range []struct {
		name     string
		settings Settings
		want     map[string]int
	}{
		{"idempotent", baseSettings(), map[string]int{
			"cancel r9 0": 1, "log lost attempt canceled: node=a ": 1, "send r9": 2,
		}},
		{"keyed, with an expired window", keyedSettings(ScopeShard), map[string]int{"send r9": 1, "fail r9": 1}},
		{"without cancellation", withoutCancel, map[string]int{"cancel": 0, "send r9": 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.settings)
			for range 8 {
				h.serve(Request{})
			}
			lost := h.arrive(Request{})
			h.advance(20 * ms)
			h.serve(Request{})
			h.wantActions("cancel", 0) // the lost attempt has not been in flight for long enough
			h.advance(400 * ms)
			if h.count("cancel") > 0 {
				h.endAttempt(lost, 0, Canceled)
			}
			for prefix, count := range test.want {
				h.wantActions(prefix, count)
			}
		})
	}
}

func TestSlowAttemptThatIsNotOvertakenIsNotCanceled(t *testing.T) {
	h := newHarness(t, baseSettings())
	for range 8 {
		h.serve(Request{})
	}
	h.arrive(Request{})
	h.advance(time.Second)
	h.wantActions("cancel", 0)
}
