package scheduler

import "testing"

func TestGuardOrderedKey(t *testing.T) {
	settings := baseSettings()
	settings.Classes[0].Ordered = true
	settings.Rules.OrderedKeyQuietPeriod = 200 * ms
	settings.Plans[0].Reserve = 1000 // unreserved requests would be held back because of the queue at the node
	h := newHarness(t, settings)
	h.arrive(Request{Key: "k"})
	h.arrive(Request{Key: "k", Shard: 1})
	h.arrive(Request{Key: "other", Shard: 1})
	h.arrive(Request{Shard: 1})
	h.wantActions("send r2", 0)
	h.wantActions("send r3", 1)
	h.wantActions("send r4", 1)
	h.ClientDisconnected(h.now, "r1") // r1 has ended, but its attempt has no outcome yet
	h.advance(50 * ms)
	h.wantActions("send r2", 0)
	h.endAttempt("r1", 0, Canceled)
	h.advance(100 * ms)
	h.wantActions("send r2", 0)
	h.advance(105 * ms)
	h.wantActions("send r2", 1)
}

func TestOrderedKeyContinuesAfterARejection(t *testing.T) {
	settings := baseSettings()
	settings.Classes[0].Ordered = true
	h := newHarness(t, settings)
	h.arrive(Request{Key: "k"})
	h.arrive(Request{Key: "k", ClientTimeout: 100 * ms})
	h.arrive(Request{Key: "k"})
	h.advance(150 * ms)
	h.wantActions("reject r2", 1)
	h.endAttempt("r1", 0, Served)
	h.wantActions("send r3", 1)
}
