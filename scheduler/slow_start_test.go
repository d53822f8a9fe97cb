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
		h.endAttempt(id, 0, Errored) // errors count too
		h.endAttempt(id, 1, Served)
	}
	h.wantActions("send", 3) // 6 units: half of what the node always bears
	h.advance(400 * ms)
	h.wantActions("send", 3)
	h.now += 10 * time.Second
	for range 8 {
		h.serve(Request{Shard: 2})
	}
	if h.count("send") < 3+8 {
		t.Fatalf("still held back when warm: %d sends", h.count("send"))
	}
}

func TestNodeServingAfterFailedConnectsWarmsUp(t *testing.T) {
	h := newHarness(t, slowStartSettings())
	h.arrive(Request{})
	h.endAttempt("r1", 0, ConnectFailed)
	h.advance(50 * ms) // its backoff is over
	h.endAttempt("r1", 1, ConnectFailed)
	h.wantActions("log node unreachable: node=a ", 1)
	h.now += 2 * time.Second
	h.serve(Request{})
	for range 8 {
		h.serve(Request{})
	}
	h.wantActions("send", 2+3) // 6 units within a second, those of r2 included
}

// Resets on all nodes once made every node count as restarted.
func TestConnectionResetsAreNoRestart(t *testing.T) {
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

// A hundred hosts, each with a fiftieth of what the warm node can do in a window, use it while it warms up and never
// overload it, however slowly it started.
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
	warmUnits := rules.SlowStartAllowance / rules.SlowStartShare / rules.SlowStartMultiple // in a window
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
			if i < int(warmUnits)/2 { // of two units each
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
			t.Errorf("second %d: sent %v units, the node bears %v", second, units, bearable)
		}
	}
	if sent < requested/3 {
		t.Errorf("sent %v of %v units: the node was hardly used while it warmed up", sent, requested)
	}
}
