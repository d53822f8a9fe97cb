package scheduler

import (
	"testing"
)

func TestGuardOrderedKey(t *testing.T) {
	set := baseSettings()
	set.Classes[0].Ordered = true
	set.Rules.OrderedKeyQuietPeriod = 200 * ms
	set.Plans[0].Reserve = 1000 // a queue at the node holds back only what is beyond it
	h := newHarness(t, set)
	h.arrive(Request{Key: "k"})
	h.arrive(Request{Key: "k", Shard: 1})
	h.arrive(Request{Key: "other", Shard: 1})
	h.arrive(Request{Shard: 1})
	h.wantActions("send r2", 0)
	h.wantActions("send r3", 1)
	h.wantActions("send r4", 1)
	h.ClientDisconnected(h.now, "r1") // finished, but its attempt has no outcome
	h.advance(50 * ms)
	h.wantActions("send r2", 0)
	h.endAttempt("r1", 0, Canceled)
	h.advance(100 * ms)
	h.wantActions("send r2", 0)
	h.advance(105 * ms)
	h.wantActions("send r2", 1)
}

func TestOrderedKeyContinuesAfterARejection(t *testing.T) {
	set := baseSettings()
	set.Classes[0].Ordered = true
	h := newHarness(t, set)
	h.arrive(Request{Key: "k"})
	h.arrive(Request{Key: "k", ClientTimeout: 100 * ms})
	h.arrive(Request{Key: "k"})
	h.advance(150 * ms)
	h.wantActions("refuse r2", 1)
	h.endAttempt("r1", 0, Served)
	h.wantActions("send r3", 1)
}
