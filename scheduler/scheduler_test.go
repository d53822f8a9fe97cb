package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestEveryRequestIsAnsweredOnceBeforeItsTimeout(t *testing.T) {
	h := newHarness(t, baseSettings())
	id := h.arrive(Request{})
	h.wantActions("send "+id, 1)
	h.advance(1990 * ms)
	h.wantActions("fail", 0)
	h.wantActions("refuse", 0)
	h.advance(10 * ms)
	h.wantActions("refuse "+id, 1)
	h.wantActions("cancel "+id, 1)
	h.endAttempt(id, 0, Errored)
	h.advance(time.Second)
	h.wantActions("send", 1)
	h.wantActions("refuse", 1)
	if len(h.requests) != 0 {
		t.Fatal("the request was not forgotten")
	}
}

func TestExpiredRequestIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.arrive(Request{ClientTimeout: -5 * ms})
	h.wantActions("refuse", 1)
	h.wantActions("send", 0)
}

func TestUnknownClassFails(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.RequestArrived(h.now, Request{ID: "x", Class: 9, ClientTimeout: time.Second})
	h.wantActions("fail x", 1)
}

func TestLateAndUnknownOutcomesAreIgnored(t *testing.T) {
	h := newHarness(t, baseSettings())
	id := h.arrive(Request{})
	h.endAttempt(id, 0, Served)
	before := len(h.recorded)
	h.endAttempt(id, 0, Served)
	h.AttemptEnded(h.now, Outcome{ID: "never", Result: Errored})
	h.ClientDisconnected(h.now, id)
	h.ClientDisconnected(h.now, "never")
	h.TimerFired(h.now, 12345)
	h.ProbeEnded(h.now, ProbeResult{Node: "never"})
	h.StreamStarted(h.now, "never", 0)
	if len(h.recorded) != before {
		t.Fatalf("acted: %v", h.recorded[before:])
	}
}

func TestStreamHasNoDeadline(t *testing.T) {
	set := baseSettings()
	set.Classes[0].Streamed = true
	h := newHarness(t, set)
	h.arrive(Request{})
	h.StreamStarted(h.now, "r1", 0)
	h.advance(5 * time.Second)
	h.wantActions("refuse", 0)
	h.wantActions("fail", 0)
	h.wantActions("cancel", 0)
}

// playMixedLoad plays one mixed load and gives all actions.
func playMixedLoad(h *harness) string {
	results := []Result{Served, Errored, Served, Served, ConnectFailed, Served, ConnectionReset, Served, Served, TimedOut}
	for i := range 200 {
		id := h.arrive(Request{Volume: fmt.Sprint("v", i%7), Units: float64(1 + i%6), Shard: i%3 - 1, Key: fmt.Sprint(i % 5)})
		if i%3 == 0 {
			h.advance(15 * ms)
			for _, s := range slices.Clone(h.sends) {
				if r := h.requests[s.id]; r != nil && len(r.inFlight) > 0 {
					h.endAttempt(s.id, r.inFlight[0].number, results[i/3%len(results)])
				}
			}
		}
		if i%11 == 0 {
			h.ClientDisconnected(h.now, id)
		}
	}
	h.advance(3 * time.Second)
	return strings.Join(h.recorded, "\n")
}

func TestSameEventsGiveSameActions(t *testing.T) {
	set := limitedSettings()
	set.Classes[0].Ordered = true
	first := playMixedLoad(newHarness(t, set))
	for range 5 {
		if playMixedLoad(newHarness(t, set)) != first {
			t.Fatal("actions differ")
		}
	}
	if strings.Count(first, "send ") < 50 {
		t.Fatal("the load was hardly sent")
	}
}

func TestMixedLoadEndsEveryRequestOnce(t *testing.T) {
	h := newHarness(t, baseSettings())
	playMixedLoad(h)
	answers := map[string]int{}
	for _, l := range h.recorded {
		if f := strings.Fields(l); f[0] == "refuse" || f[0] == "fail" {
			answers[f[1]]++
		}
	}
	for id, n := range answers {
		if n > 1 {
			t.Errorf("%s has %d answers", id, n)
		}
	}
	for id, r := range h.requests {
		if !r.ended {
			t.Errorf("%s has no answer", id)
		}
	}
}

// A long life does not grow: nodes that left, silent volumes and what was given up are forgotten, and a volume
// met again has no more of its limit than it had left.
func TestSweepReleasesWhatIsOver(t *testing.T) {
	h := newHarness(t, limitedSettings())
	h.arrive(Request{Volume: "w", Units: 6, Shard: 1})
	h.serveAll()
	h.MembershipChanged(h.now, Membership{Kind: FullList, Nodes: []Node{{ID: "a"}}})
	spent := h.volumes["w"].limit.tokens
	h.arrive(Request{Volume: "w", Units: 6}) // over the limit and turned away
	if h.volumes["w"].limit.tokens > spent {
		t.Fatalf("regained %v units", h.volumes["w"].limit.tokens-spent)
	}
	h.advance(3 * time.Second)
	h.serveAll()
	h.advance(30 * time.Second)
	if len(h.volumes) > 0 || len(h.nodes) != 1 || len(h.listed) != 1 || len(h.rejected) > 0 || len(h.requests) > 0 {
		t.Fatalf("kept: %d volumes, %d nodes, %d given up", len(h.volumes), len(h.nodes), len(h.rejected))
	}
	h.arrive(Request{Volume: "w", Units: 6})
	if v := h.volumes["w"]; v.limit.tokens > v.limit.burst {
		t.Fatalf("met again with %v of %v", v.limit.tokens, v.limit.burst)
	}
}

// A host that stood still finds late timers, outcomes and departed clients at once: each request still has its
// one answer, and nothing goes out for those whose time is over.
func TestLongStallLeavesEveryRequestAnsweredOnce(t *testing.T) {
	h := newHarness(t, baseSettings())
	var ids []string
	for i := range 30 {
		ids = append(ids, h.arrive(Request{Key: fmt.Sprint(i), Shard: i % 2}))
	}
	h.now += 10 * time.Second
	sends := len(h.sends)
	for i, id := range ids {
		if i%3 == 0 {
			h.ClientDisconnected(h.now, id)
		}
		if r := h.requests[id]; r != nil && len(r.inFlight) > 0 {
			h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: TimedOut, Latency: 10 * time.Second, VolumeUse: -1})
		}
	}
	h.advance(50 * ms)
	if len(h.sends) > sends {
		t.Fatalf("%d sends for requests whose time was over", len(h.sends)-sends)
	}
	for i, id := range ids {
		answers := h.count("refuse "+id+" ") + h.count("fail "+id)
		if i%3 != 0 && answers == 0 && h.requests[id] != nil {
			t.Errorf("%s has no answer", id)
		}
		if answers > 1 && id != "r1" && id != "r2" && id != "r3" { // prefixes of others' names
			t.Errorf("%s has %d answers", id, answers)
		}
	}
	if len(h.requests) > 0 {
		t.Errorf("%d requests kept", len(h.requests))
	}
}
