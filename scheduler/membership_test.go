package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestPollsMembershipWithBackoff(t *testing.T) {
	set := baseSettings()
	set.PollMembership = true
	h := newHarness(t, set)
	h.wantActions("watch", 1)
	h.MembershipChanged(h.now, Membership{Kind: WatchFailed})
	h.advance(120 * ms)
	h.wantActions("watch", 1)
	h.advance(160 * ms)
	h.wantActions("watch", 2)
	h.MembershipChanged(h.now, Membership{Kind: WatchFailed})
	h.MembershipChanged(h.now, Membership{Kind: WatchFailed}) // the same failure, told twice
	h.advance(240 * ms)
	h.wantActions("watch", 2) // it backs off
	h.advance(290 * ms)
	h.wantActions("watch", 3)
	quiet := newHarness(t, baseSettings())
	quiet.wantActions("watch", 0)
}

// Where a whole fleet had lost discovery, it came back to it in step: most were turned away, again and again, and were told of drains too late.
func TestWatchRetriesOfAFleetSpreadOut(t *testing.T) {
	set := baseSettings()
	set.PollMembership = true
	at := map[time.Duration]int{}
	for seed := range uint64(300) {
		r := &actionRecorder{}
		s, err := New(set, seed, r)
		if err != nil {
			t.Fatal(err)
		}
		s.MembershipChanged(time.Hour, Membership{Kind: FullList})
		last := time.Hour
		for try := range 12 { // of a long outage
			s.MembershipChanged(last, Membership{Kind: WatchFailed})
			now := last
			for before := len(r.recorded); !slices.Contains(r.recorded[before:], "watch"); now += housekeepingInterval {
				s.TimerFired(now, 0)
			}
			if now-last > maxWatchBackoff+2*housekeepingInterval {
				t.Fatalf("a pause of %v at try %d", now-last, try)
			}
			last = now
		}
		at[last.Truncate(100*ms)]++
	}
	for when, n := range at {
		if n > 30 {
			t.Errorf("%d of 300 call in the same 100 ms, at %v", n, when)
		}
	}
}

// An agent on this machine is silent while discovery is down, and what it has at its return counts as told at once.
func TestWatchesALocalAgentWithoutBackoff(t *testing.T) {
	set := baseSettings()
	set.LocalAgent = true
	h := newHarness(t, set)
	h.wantActions("watch", 1)
	for try := range 8 {
		h.MembershipChanged(h.now, Membership{Kind: WatchFailed})
		h.advance(2 * housekeepingInterval)
		h.wantActions("watch", 2+try)
	}
}

func TestUnassignedRequestGoesToTheReplacement(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "a", Phase: Removed}}})
	h.arrive(Request{})
	h.advance(50 * ms)
	h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "a2"}}})
	h.wantActions("send r1 a2", 1)
}
