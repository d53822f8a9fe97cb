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
		{"none", Restriction{}, Restriction{}, ConnectionReset, "send r1"},
		{"of another operation", Restriction{}, otherOperation, ConnectionReset, "send r1"},
		{"of another node", Restriction{}, restrict("b", NoRetries), ConnectionReset, "send r1 a"},
		{"no hedging: it may still run", Restriction{}, restrict("a", NoHedging), ConnectionReset, "fail r1"},
		{"no hedging: it ended", Restriction{}, restrict("a", NoHedging), Errored, "send r1"},
		{"no retries", Restriction{}, restrict("a", NoRetries), Errored, "fail r1"},
		{"no retries, at any node", Restriction{}, restrict("", NoRetries), Errored, "fail r1"},
		{"no retries, whatever the node claims", Restriction{}, restrict("a", NoRetries), Overloaded, "fail r1"},
		{"no retries: it was never sent", Restriction{}, restrict("a", NoRetries), ConnectFailed, "send r1"},
		{"lifted", restrict("a", AvoidNode), restrict("a", Unrestricted), Errored, "send r1"},
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

// An avoided node gets nothing new. New objects go to other nodes; what no other node may take is rejected, and so is
// what already waits.
func TestAvoidedNodeReceivesNoNewRequests(t *testing.T) {
	h := newHarness(t, baseSettings())
	for range 20 { // over the concurrency limit: some wait
		h.arrive(Request{Operation: "o"})
	}
	sent := h.count("send")
	if sent == 20 || h.count("reject") > 0 {
		t.Fatalf("%d sent at once", sent)
	}
	h.Restrict(h.now, Restriction{Operation: "o", Node: "a", Level: AvoidNode})
	if h.count("reject") != 20-sent || h.count("send") != sent {
		t.Errorf("%d of %d rejected, %d more sent", h.count("reject"), 20-sent, h.count("send")-sent)
	}
	h.recorded = nil
	h.arrive(Request{Operation: "o", Shard: AnyShard})
	h.arrive(Request{Operation: "p"})
	h.wantActions("send r21 b", 1)
	id := h.arrive(Request{Operation: "o"})
	h.advance(30 * ms)
	h.wantActions("reject "+id, 1)
}

// Beyond their maximum, restrictions only become stricter.
func TestRestrictionsBeyondTheMaximumApplyToAll(t *testing.T) {
	h := newHarness(t, baseSettings())
	for i := range MaxRestrictions + 100 {
		h.Restrict(h.now, Restriction{Operation: string(rune('a' + i)), Node: "a", Level: NoRetries})
	}
	if len(h.restrictions) != MaxRestrictions || h.overflowRestriction != NoRetries {
		t.Errorf("%d restrictions, level %d for all operations", len(h.restrictions), h.overflowRestriction)
	}
}
