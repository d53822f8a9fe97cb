package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A host's store holds half its even part of burst and slack and starts with it.
func TestGuardVolumeLimit(t *testing.T) {
	h := newHarness(t, limitedSettings())
	part := (h.settings.Plans[0].Burst + h.settings.Plans[0].Slack) / 2 / 2
	filled := h.settings.Plans[0].Limit / 2 // validIndex the second that serve takes
	serve := func() float64 {
		before := h.count("send")
		for i := range 20 {
			h.endAttempt(h.arrive(Request{Hosts: 2, Shard: 1, Key: fmt.Sprint(i)}), 0, Served)
		}
		h.advance(time.Second)
		h.serveAll()
		return 2 * float64(h.count("send")-before)
	}
	if sent := serve(); sent > part+filled || sent < part {
		t.Fatalf("sent %v units at first, want %v", sent, part)
	}
	h.advance(time.Minute)
	if sent := serve(); sent > part+filled || sent < part {
		t.Fatalf("sent %v units when full again, want %v", sent, part)
	}
}

// A request larger than a host's store leaves when the store is full, and its debt is repaid before the next.
func TestVolumeLimitAdmitsARequestLargerThanItsBurst(t *testing.T) {
	set := limitedSettings()
	set.Plans[0].Burst, set.Plans[0].Limit, set.Classes[0].LatencyObjective = 12, 12, 2*time.Second
	h := newHarness(t, set)
	h.endAttempt(h.arrive(Request{Hosts: 6, Units: 6, Shard: 1, Key: "1"}), 0, Served)
	h.wantActions("send r1", 1)
	h.arrive(Request{Hosts: 6, Units: 6, Shard: 1, Key: "2"})
	h.wantActions("send r2", 0)
	h.wantActions("refuse r2", 1) // its six units take three seconds to fill, its aim is nearer
	h.advance(3100 * ms)
	h.arrive(Request{Hosts: 6, Units: 6, Shard: 1})
	h.wantActions("send r3", 1)
}

// Many hosts that ask for far more than the limit, each of which dies once and comes back, hold the joint store.
func TestHostsTogetherKeepTheVolumeLimit(t *testing.T) {
	const hosts = 12
	set := limitedSettings()
	set.Plans[0].Limit, set.Plans[0].Burst, set.Plans[0].Slack = 24, 12*hosts, 1.2*hosts
	joint := tokenBucket{rate: set.Plans[0].Limit, burst: set.Plans[0].Burst, tokens: set.Plans[0].Burst, refilledAt: time.Minute}
	lowest := joint.tokens
	all := make([]*harness, hosts)
	for i := range all {
		all[i] = newHarness(t, set)
	}
	for step := range 600 {
		for i, h := range all {
			if step == 20+i { // killed with an empty store
				all[i] = newHarness(t, set)
				all[i].now = h.now
				h = all[i]
			}
			h.recorded, h.sends = nil, nil
			h.advance(10 * ms)
			h.arrive(Request{Hosts: hosts, Shard: 1, Key: fmt.Sprint(step)})
			joint.refill(h.now)
			joint.tokens -= 2 * float64(len(h.sends))
			h.serveAll()
			if joint.tokens < -set.Plans[0].Slack {
				t.Fatalf("step %d: joint store at %v", step, joint.tokens)
			}
			lowest = min(lowest, joint.tokens)
		}
	}
	if lowest > 0.2*joint.burst {
		t.Fatalf("joint store of %v never under %v: the limit was hardly used", joint.burst, lowest)
	}
}

func TestRetriesAreNotChargedToTheLimit(t *testing.T) {
	h := newHarness(t, limitedSettings())
	h.advance(time.Second)
	h.arrive(Request{})
	v := h.volumes["v"]
	level := v.limit.refill(h.now)
	h.endAttempt("r1", 0, Errored)
	h.wantActions("send r1", 2)
	if v.limit.refill(h.now) != level {
		t.Fatal("drew twice")
	}
}
