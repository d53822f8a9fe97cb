package scheduler

import (
	"testing"
)

func TestRestrictions(t *testing.T) {
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
		h := newHarness(t, baseSettings())
		if name == "lifted" {
			h.Restrict(h.now, Restriction{op, "a", AvoidNode})
		}
		h.Restrict(h.now, c.caution)
		h.arrive(Request{Operation: op})
		h.wantActions("send r1 a", 1)
		h.recorded = nil
		h.endAttempt("r1", 0, c.result)
		h.advance(200 * ms)
		if h.count(c.want) != 1 {
			t.Errorf("%s: want %q in %v", name, c.want, h.recorded)
		}
	}
}

// What is avoided gets nothing new: new objects go elsewhere, and what can go nowhere else is refused, as are those that waited.
func TestAvoidedNodeReceivesNoNewRequests(t *testing.T) {
	h := newHarness(t, baseSettings())
	for range 20 { // more than the cap: some wait
		h.arrive(Request{Operation: "o"})
	}
	sent := h.count("send")
	if sent == 20 || h.count("refuse") > 0 {
		t.Fatalf("%d sent at once", sent)
	}
	h.Restrict(h.now, Restriction{"o", "a", AvoidNode})
	if h.count("refuse") != 20-sent || h.count("send") != sent {
		t.Errorf("%d of %d refused, %d more sent", h.count("refuse"), 20-sent, h.count("send")-sent)
	}
	h.recorded = nil
	h.arrive(Request{Operation: "o", Shard: AnyShard})
	h.arrive(Request{Operation: "p"})
	h.wantActions("send r21 b", 1)
	id := h.arrive(Request{Operation: "o"})
	h.advance(30 * ms)
	h.wantActions("refuse "+id, 1)
}

// Beyond their bound, cautions only ever make it more careful.
func TestRestrictionsBeyondTheMaximumApplyToAll(t *testing.T) {
	h := newHarness(t, baseSettings())
	for i := range MaxRestrictions + 100 {
		h.Restrict(h.now, Restriction{string(rune('a' + i)), "a", NoRetries})
	}
	if len(h.restrictions) != MaxRestrictions || h.overflowRestriction != NoRetries {
		t.Errorf("%d held, %d for the rest", len(h.restrictions), h.overflowRestriction)
	}
}
