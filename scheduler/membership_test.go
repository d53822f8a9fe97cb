package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestPollsMembershipWithBackoff(t *testing.T) {
	settings := baseSettings()
	settings.PollMembership = true
	h := newHarness(t, settings)
	h.wantActions("watch", 1)
	h.list(WatchFailed)
	h.advance(120 * ms)
	h.wantActions("watch", 1)
	h.advance(160 * ms)
	h.wantActions("watch", 2)
	h.list(WatchFailed)
	h.list(WatchFailed) // the same failure, reported twice
	h.advance(240 * ms)
	h.wantActions("watch", 2) // it backs off
	h.advance(290 * ms)
	h.wantActions("watch", 3)
	pushed := newHarness(t, baseSettings())
	pushed.wantActions("watch", 0)
}

// A fleet that had lost discovery once came back to it in step. Most watches were rejected time and again, and the
// hosts learned of drains too late.
func TestWatchRetriesOfAFleetSpreadOut(t *testing.T) {
	settings := baseSettings()
	settings.PollMembership = true
	watches := map[time.Duration]int{}
	for seed := range uint64(300) {
		h := newEmptyHarness(t, settings, seed)
		h.now = time.Hour
		h.list(FullList)
		for try := range 12 { // of a long outage
			watchedAt := h.untilNextWatch()
			if watchedAt-h.now > maxWatchBackoff+2*housekeepingInterval {
				t.Fatalf("a pause of %v at try %d", watchedAt-h.now, try)
			}
			h.now = watchedAt
		}
		watches[h.now.Truncate(100*ms)]++
	}
	for at, count := range watches {
		if count > 30 {
			t.Errorf("%d of 300 watch in the same 100 ms, at %v", count, at)
		}
	}
}

// untilNextWatch fails the watch and returns when the next one begins.
func (h *harness) untilNextWatch() time.Duration {
	h.list(WatchFailed)
	now := h.now
	for before := len(h.recorded); !slices.Contains(h.recorded[before:], "watch"); now += housekeepingInterval {
		h.TimerFired(now, housekeepingTimer)
	}
	return now
}

// An agent on this machine is silent while discovery is down, and what it has when it comes back counts as known.
func TestWatchesALocalAgentWithoutBackoff(t *testing.T) {
	settings := baseSettings()
	settings.LocalAgent = true
	h := newHarness(t, settings)
	h.wantActions("watch", 1)
	for try := range 8 {
		h.list(WatchFailed)
		h.advance(2 * housekeepingInterval)
		h.wantActions("watch", 2+try)
	}
}

func TestUnassignedRequestGoesToTheReplacement(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.list(DeltaList, Node{ID: "a", Phase: Removed})
	h.arrive(Request{})
	h.advance(50 * ms)
	h.list(DeltaList, Node{ID: "a2"})
	h.wantActions("send r1 a2", 1)
}
