package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/retrybudget"
)

// What a request's description says narrows its class and never widens it.
func TestBoundsOnlyNarrow(t *testing.T) {
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
func TestDescriptionNarrowsTheClass(t *testing.T) {
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
		h := start(t, base())
		h.ask(Request{RetryPolicy: c.bound})
		h.lines = nil
		h.end("r1", 0, c.result)
		h.wait(200 * ms)
		if h.count(c.want) != 1 {
			t.Errorf("%s: want %q in %v", name, c.want, h.lines)
		}
	}
}

func TestCautions(t *testing.T) {
	const op = "GET /sheets/{id}"
	for name, c := range map[string]struct {
		caution Restriction
		result  Result
		want    string
	}{
		"none":                                  {Restriction{}, ConnectionReset, "send r1"},
		"of another operation":                  {Restriction{"GET /else", "a", NoRetries}, ConnectionReset, "send r1"},
		"of another node":                       {Restriction{op, "b", NoRetries}, ConnectionReset, "send r1 a"},
		"no copies: it may still run":           {Restriction{op, "a", NoHedging}, ConnectionReset, "fail r1"},
		"no copies: it ended":                   {Restriction{op, "a", NoHedging}, Errored, "send r1"},
		"no repeats":                            {Restriction{op, "a", NoRetries}, Errored, "fail r1"},
		"no repeats, at any node":               {Restriction{op, "", NoRetries}, Errored, "fail r1"},
		"no repeats: 'not run' is not believed": {Restriction{op, "a", NoRetries}, Overloaded, "fail r1"},
		"no repeats: it never went out":         {Restriction{op, "a", NoRetries}, ConnectFailed, "send r1"},
		"lifted":                                {Restriction{op, "a", Unrestricted}, Errored, "send r1"},
	} {
		h := start(t, base())
		if name == "lifted" {
			h.Restrict(h.now, Restriction{op, "a", AvoidNode})
		}
		h.Restrict(h.now, c.caution)
		h.ask(Request{Operation: op})
		h.want("send r1 a", 1)
		h.lines = nil
		h.end("r1", 0, c.result)
		h.wait(200 * ms)
		if h.count(c.want) != 1 {
			t.Errorf("%s: want %q in %v", name, c.want, h.lines)
		}
	}
}

// What is avoided gets nothing new: new objects go elsewhere, and what can go nowhere else is refused, as are those that waited.
func TestAvoidedNodes(t *testing.T) {
	h := start(t, base())
	for range 20 { // more than the cap: some wait
		h.ask(Request{Operation: "o"})
	}
	sent := h.count("send")
	if sent == 20 || h.count("refuse") > 0 {
		t.Fatalf("%d sent at once", sent)
	}
	h.Restrict(h.now, Restriction{"o", "a", AvoidNode})
	if h.count("refuse") != 20-sent || h.count("send") != sent {
		t.Errorf("%d of %d refused, %d more sent", h.count("refuse"), 20-sent, h.count("send")-sent)
	}
	h.lines = nil
	h.ask(Request{Operation: "o", Shard: AnyShard})
	h.ask(Request{Operation: "p"})
	h.want("send r21 b", 1)
	id := h.ask(Request{Operation: "o"})
	h.wait(30 * ms)
	h.want("refuse "+id, 1)
}

// Beyond their bound, cautions only ever make it more careful.
func TestCautionsAreBounded(t *testing.T) {
	h := start(t, base())
	for i := range MaxRestrictions + 100 {
		h.Restrict(h.now, Restriction{string(rune('a' + i)), "a", NoRetries})
	}
	if len(h.cares) != MaxRestrictions || h.careful != NoRetries {
		t.Errorf("%d held, %d for the rest", len(h.cares), h.careful)
	}
}

// Failures pay for no attempts: a node that answers nothing but errors gets few further ones, and what is not earned is failed at once.
func TestBudgetOfFurtherAttempts(t *testing.T) {
	further := func(set retrybudget.Settings) int {
		s := base()
		s.RetryBudget = set
		h := start(t, s)
		for i := range 200 {
			id := h.ask(Request{Key: fmt.Sprint(i)})
			for r := h.requests[id]; r != nil && len(r.open) > 0; {
				h.end(id, r.open[0].number, Errored)
			}
			h.wait(10 * ms)
		}
		h.wait(time.Second)
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
