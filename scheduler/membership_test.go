package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestFailedWatchesAreRepeatedWithBackoff(t *testing.T) {
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
	h.wantActions("watch", 2) // the backoff has doubled
	h.advance(290 * ms)
	h.wantActions("watch", 3)
	pushed := newHarness(t, baseSettings())
	pushed.wantActions("watch", 0)
}

// After an outage of discovery, the hosts of a fleet must not repeat their watches at the same times. Discovery would
// reject most of the watches again and again, and the hosts would learn of drains too late.
func TestWatchRetriesOfAFleetSpreadOut(t *testing.T) {
	settings := baseSettings()
	settings.PollMembership = true
	watches := map[time.Duration]int{}
	for seed := range uint64(300) {
		h := newEmptyHarness(t, settings, seed)
		h.now = time.Hour
		h.list(FullList)
		for try := range 12 { // failed watches during a long outage
			watchedAt := h.untilNextWatch()
			if watchedAt-h.now > maxWatchBackoff+2*housekeepingInterval {
				t.Fatalf("backoff of %v after failed watch %d, want at most %v", watchedAt-h.now, try, maxWatchBackoff)
			}
			h.now = watchedAt
		}
		watches[h.now.Truncate(100*ms)]++
	}
	for at, count := range watches {
		if count > 30 {
			t.Errorf("%d of 300 hosts watch within the same 100 ms, at %v; want at most 30", count, at)
		}
	}
}

// untilNextWatch reports a failed watch and returns the time at which the next watch starts.
func (h *harness) untilNextWatch() time.Duration {
	h.list(WatchFailed)
	now := h.now
	for before := len(h.recorded); !slices.Contains(h.recorded[before:], "watch"); now += housekeepingInterval {
		h.TimerFired(now, housekeepingTimer)
	}
	return now
}

// A discovery agent on this machine does not answer while discovery is down. When it answers again, its list counts as
// known to the host, so the host must watch it again without backoff.
func TestLocalAgentIsWatchedWithoutBackoff(t *testing.T) {
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
