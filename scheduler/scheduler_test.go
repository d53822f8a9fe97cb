package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestEveryRequestIsAnsweredOnceBeforeItsTimeout(t *testing.T) {
	h := newHarness(t, baseSettings())
	id := h.arrive(Request{})
	h.wantActions("send "+id, 1)
	h.advance(1990 * ms)
	h.wantActions("fail", 0)
	h.wantActions("reject", 0)
	h.advance(10 * ms)
	h.wantActions("reject "+id, 1)
	h.wantActions("cancel "+id, 1)
	h.endAttempt(id, 0, Errored)
	h.advance(time.Second)
	h.wantActions("send", 1)
	h.wantActions("reject", 1)
	if len(h.requests) != 0 {
		t.Fatalf("%d requests were not released, want none", len(h.requests))
	}
}

func TestExpiredRequestIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.arrive(Request{ClientTimeout: -5 * ms})
	h.wantActions("reject", 1)
	h.wantActions("send", 0)
}

func TestRequestOfUnknownClassFails(t *testing.T) {
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
		t.Fatalf("late or unknown events caused the actions %q, want none", h.recorded[before:])
	}
}

func TestStartedStreamDoesNotExpire(t *testing.T) {
	settings := baseSettings()
	settings.Classes[0].Streamed = true
	h := newHarness(t, settings)
	h.arrive(Request{})
	h.StreamStarted(h.now, "r1", 0)
	h.advance(5 * time.Second)
	h.wantActions("reject", 0)
	h.wantActions("fail", 0)
	h.wantActions("cancel", 0)
}

// playMixedLoad sends requests and outcomes of many kinds and returns all actions that follow.
func playMixedLoad(h *harness) string {
	results := []Result{
		Served, Errored, Served, Served, ConnectFailed, Served, ConnectionReset, Served, Served, TimedOut,
	}
	for i := range 200 {
		id := h.arrive(Request{
			Volume: fmt.Sprint("v", i%7),
			Units:  float64(1 + i%6),
			Shard:  i%3 - 1,
			Key:    fmt.Sprint(i % 5),
		})
		if i%3 == 0 {
			h.advance(15 * ms)
			for _, send := range slices.Clone(h.sends) {
				if attempt := h.inFlight(send.id); attempt != nil {
					h.endAttempt(send.id, attempt.number, results[i/3%len(results)])
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
	settings := limitedSettings()
	settings.Classes[0].Ordered = true
	first := playMixedLoad(newHarness(t, settings))
	for range 5 {
		if again := playMixedLoad(newHarness(t, settings)); again != first {
			t.Fatalf("the same events gave different actions (-first +again):\n%s", cmp.Diff(first, again))
		}
	}
	if strings.Count(first, "send ") < 50 {
		t.Fatalf("only %d requests were sent, want at least 50", strings.Count(first, "send "))
	}
}

func TestMixedLoadEndsEveryRequestOnce(t *testing.T) {
	h := newHarness(t, baseSettings())
	playMixedLoad(h)
	answers := map[string]int{}
	for _, line := range h.recorded {
		if words := strings.Fields(line); words[0] == "reject" || words[0] == "fail" {
			answers[words[1]]++
		}
	}
	for id, count := range answers {
		if count > 1 {
			t.Errorf("request %s has %d answers, want 1", id, count)
		}
	}
	for id, request := range h.requests {
		if !request.ended {
			t.Errorf("request %s has no answer", id)
		}
	}
}

// The state of a long-lived host does not grow: removed nodes, idle volumes and rejected requests are released. A
// volume that is used again must not get tokens of its limit that it had already used.
func TestSweepReleasesUnusedState(t *testing.T) {
	h := newHarness(t, limitedSettings())
	h.arrive(Request{Volume: "w", Units: 6, Shard: 1})
	h.serveAll()
	h.list(FullList, Node{ID: "a"})
	left := h.volumes["w"].limit.tokens
	h.arrive(Request{Volume: "w", Units: 6}) // the request exceeds the limit and is rejected
	if h.volumes["w"].limit.tokens > left {
		t.Fatalf("volume w has %v tokens of its limit, want at most the %v that were left",
			h.volumes["w"].limit.tokens, left)
	}
	h.advance(3 * time.Second)
	h.serveAll()
	h.advance(30 * time.Second)
	if len(h.volumes) > 0 || len(h.nodes) != 1 || len(h.listed) != 1 || len(h.rejected) > 0 || len(h.requests) > 0 {
		t.Fatalf("kept %d volumes, %d nodes (%d listed), %d rejected requests and %d requests, want only 1 node",
			len(h.volumes), len(h.nodes), len(h.listed), len(h.rejected), len(h.requests))
	}
	h.arrive(Request{Volume: "w", Units: 6})
	if limit := h.volumes["w"].limit; limit.tokens > limit.burst {
		t.Fatalf("volume w has %v tokens when it is used again, more than its burst of %v", limit.tokens, limit.burst)
	}
}

// A host that was stalled gets late timers, outcomes and disconnects all at once. Each request still gets exactly one
// answer, and no request is sent after its client has given up.
func TestEveryRequestIsAnsweredOnceAfterALongStall(t *testing.T) {
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
		if h.inFlight(id) != nil {
			h.AttemptEnded(h.now, Outcome{
				ID:        id,
				Node:      "a",
				Result:    TimedOut,
				Latency:   10 * time.Second,
				VolumeUse: -1,
			})
		}
	}
	h.advance(50 * ms)
	if len(h.sends) > sends {
		t.Fatalf("%d attempts were sent for requests whose clients had given up, want none", len(h.sends)-sends)
	}
	for i, id := range ids {
		answers := h.count("reject "+id+" ") + h.count("fail "+id)
		if i%3 != 0 && answers == 0 && h.requests[id] != nil {
			t.Errorf("request %s has no answer", id)
		}
		isPrefixOfOthers := id == "r1" || id == "r2" || id == "r3"
		if answers > 1 && !isPrefixOfOthers {
			t.Errorf("request %s has %d answers, want 1", id, answers)
		}
	}
	if len(h.requests) > 0 {
		t.Errorf("%d requests were not released, want none", len(h.requests))
	}
}
