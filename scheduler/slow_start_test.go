package scheduler

import (
	"fmt"
	"testing"
	"time"
)

func TestGuardSlowStart(t *testing.T) {
	h := newHarness(t, slowStartSettings())
	h.list(DeltaList, Node{ID: "c", Shard: 2, StartedAt: h.now - 500*ms})
	for range 8 {
		id := h.arrive(Request{Shard: 2})
		h.endAttempt(id, 0, Errored) // attempts that end with an error count toward the allowance, too
		h.endAttempt(id, 1, Served)
	}
	h.wantActions("send", 3) // 6 units, this host's half of the slow-start allowance
	h.advance(400 * ms)
	h.wantActions("send", 3)
	h.now += 10 * time.Second
	for range 8 {
		h.serve(Request{Shard: 2})
	}
	if h.count("send") < 3+8 {
		t.Fatalf("%d sends, want at least 11: requests to a warm node are held back", h.count("send"))
	}
}

func TestNodeServingAfterFailedConnectsWarmsUp(t *testing.T) {
	h := newHarness(t, slowStartSettings())
	h.arrive(Request{})
	h.endAttempt("r1", 0, ConnectFailed)
	h.advance(50 * ms) // until the node's backoff is over
	h.endAttempt("r1", 1, ConnectFailed)
	h.wantActions("log node unreachable: node=a ", 1)
	h.now += 2 * time.Second
	h.serve(Request{})
	for range 8 {
		h.serve(Request{})
	}
	h.wantActions("send", 2+3) // the two failed attempts, and 6 units within a second, including those of r2
}

// Connections that break, for example at all nodes at once, must not by themselves make a node count as restarted: it
// keeps getting every request.
func TestConnectionResetsDoNotCountAsARestart(t *testing.T) {
	h := newHarness(t, slowStartSettings())
	h.arrive(Request{})
	h.endAttempt("r1", 0, ConnectionReset)
	h.endAttempt("r1", 1, ConnectionReset)
	h.wantActions("send r1", 3)
	for range 8 {
		h.serve(Request{})
	}
	h.wantActions("send", 3+8)
}

// A hundred hosts whose requests together are as much as the warm node can serve use the node while it warms up and
// never overload it, even if it warms up as slowly as the rules permit.
func TestManyHostsTogetherKeepTheSlowStartAllowance(t *testing.T) {
	const hosts = 100
	settings := baseSettings()
	settings.Siblings = hosts
	rules := Rules{
		SlowStartShare:     0.2,
		SlowStartDuration:  10 * time.Second,
		SlowStartWindow:    time.Second,
		SlowStartAllowance: 30,
		SlowStartMultiple:  2.5,
	}
	settings.Rules = rules
	// The units that the warm node can serve within one SlowStartWindow.
	warmUnits := rules.SlowStartAllowance / rules.SlowStartShare / rules.SlowStartMultiple
	harnesses := make([]*harness, hosts)
	for i := range harnesses {
		harnesses[i] = newEmptyHarness(t, settings, uint64(i))
		harnesses[i].list(FullList, Node{ID: "c", StartedAt: time.Minute})
	}
	requested, sent := 0.0, 0.0
	for second := range 10 {
		units := 0.0
		for i, h := range harnesses {
			h.advance(time.Second)
			if i < int(warmUnits)/2 { // each of these hosts gets a request of two units
				h.recorded = nil
				h.sends = nil
				h.arrive(Request{Key: fmt.Sprint(second)})
				units += 2 * float64(len(h.sends))
				requested += 2
				h.serveAll()
			}
		}
		sent += units
		bearable := warmUnits * rules.SlowStartMultiple * (0.2 + 0.8*float64(second)/10)
		if units > bearable {
			t.Errorf("second %d: sent %v units, want at most the %v that the node can take", second, units, bearable)
		}
	}
	if sent < requested/3 {
		t.Errorf("sent %v of %v requested units while the node warmed up, want at least a third", sent, requested)
	}
}
