package scheduler

import "testing"

func TestRestrictions(t *testing.T) {
	const operation = "GET /sheets/{id}"
	restrict := func(node string, level RestrictionLevel) Restriction {
		return Restriction{Operation: operation, Node: node, Level: level}
	}
	otherOperation := Restriction{Operation: "GET /else", Node: "a", Level: NoRetries}
	for _, test := range []struct {
		name        string
		before      Restriction
		restriction Restriction
		result      Result
		want        string
	}{
		{"no restriction", Restriction{}, Restriction{}, ConnectionReset, "send r1"},
		{"restriction of another operation", Restriction{}, otherOperation, ConnectionReset, "send r1"},
		{"restriction at another node", Restriction{}, restrict("b", NoRetries), ConnectionReset, "send r1 a"},
		{"no hedging, may still run", Restriction{}, restrict("a", NoHedging), ConnectionReset, "fail r1"},
		{"no hedging, has ended", Restriction{}, restrict("a", NoHedging), Errored, "send r1"},
		{"no retries", Restriction{}, restrict("a", NoRetries), Errored, "fail r1"},
		{"no retries at any node", Restriction{}, restrict("", NoRetries), Errored, "fail r1"},
		{"no retries, node claims it never ran", Restriction{}, restrict("a", NoRetries), Overloaded, "fail r1"},
		{"no retries, connection failed", Restriction{}, restrict("a", NoRetries), ConnectFailed, "send r1"},
		{"lifted restriction", restrict("a", AvoidNode), restrict("a", Unrestricted), Errored, "send r1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, baseSettings())
			if test.before != (Restriction{}) {
				h.Restrict(h.now, test.before)
			}
			h.Restrict(h.now, test.restriction)
			h.arrive(Request{Operation: operation})
			h.wantActions("send r1 a", 1)
			h.recorded = nil
			h.endAttempt("r1", 0, test.result)
			h.advance(200 * ms)
			h.wantActions(test.want, 1)
		})
	}
}

// A node that has to be avoided for an operation gets no new requests of it. New objects go to other nodes. Requests
// that no other node may take are rejected, including those that already wait.
func TestAvoidedNodeReceivesNoNewRequests(t *testing.T) {
	h := newHarness(t, baseSettings())
	for range 20 { // more than the concurrency limit allows, so that some wait
		h.arrive(Request{Operation: "o"})
	}
	sent := h.count("send")
	if sent == 20 || h.count("reject") > 0 {
		t.Fatalf("%d of 20 requests sent and %d rejected at once, want some to wait", sent, h.count("reject"))
	}
	h.Restrict(h.now, Restriction{Operation: "o", Node: "a", Level: AvoidNode})
	if h.count("reject") != 20-sent || h.count("send") != sent {
		t.Errorf("%d of %d waiting requests rejected, want all; %d more sent, want none",
			h.count("reject"), 20-sent, h.count("send")-sent)
	}
	h.recorded = nil
	h.arrive(Request{Operation: "o", Shard: AnyShard})
	h.arrive(Request{Operation: "p"})
	h.wantActions("send r21 b", 1)
	id := h.arrive(Request{Operation: "o"})
	h.advance(30 * ms)
	h.wantActions("reject "+id, 1)
}

// Restrictions beyond the maximum number are not stored, and their strictest level applies to all operations.
func TestRestrictionsBeyondTheMaximumApplyToAll(t *testing.T) {
	h := newHarness(t, baseSettings())
	for i := range MaxRestrictions + 100 {
		h.Restrict(h.now, Restriction{Operation: string(rune('a' + i)), Node: "a", Level: NoRetries})
	}
	if len(h.restrictions) != MaxRestrictions || h.overflowRestriction != NoRetries {
		t.Errorf("got %d restrictions and level %d for all operations, want %d and level %d",
			len(h.restrictions), h.overflowRestriction, MaxRestrictions, NoRetries)
	}
}
