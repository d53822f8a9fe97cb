package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A host's token bucket holds half of its even part of burst and slack, and starts full.
func TestGuardVolumeLimit(t *testing.T) {
	h := newHarness(t, limitedSettings())
	plan := h.settings.Plans[0]
	burst := (plan.Burst + plan.Slack) / 2 / 2
	refilled := plan.Limit / 2 // in the second that unitsServed takes
	unitsServed := func() float64 {
		before := h.count("send")
		for i := range 20 {
			h.serve(Request{Hosts: 2, Shard: 1, Key: fmt.Sprint(i)})
		}
		h.advance(time.Second)
		h.serveAll()
		return 2 * float64(h.count("send")-before)
	}
	if units := unitsServed(); units > burst+refilled || units < burst {
		t.Fatalf("sent %v units at first, want %v", units, burst)
	}
	h.advance(time.Minute)
	if units := unitsServed(); units > burst+refilled || units < burst {
		t.Fatalf("sent %v units when full again, want %v", units, burst)
	}
}

// A request larger than a host's bucket is sent when the bucket is full, and its debt is repaid before the next.
func TestVolumeLimitAdmitsARequestLargerThanItsBurst(t *testing.T) {
	settings := limitedSettings()
	settings.Plans[0].Burst = 12
	settings.Plans[0].Limit = 12
	settings.Classes[0].LatencyObjective = 2 * time.Second
	h := newHarness(t, settings)
	h.serve(Request{Hosts: 6, Units: 6, Shard: 1, Key: "1"})
	h.wantActions("send r1", 1)
	h.arrive(Request{Hosts: 6, Units: 6, Shard: 1, Key: "2"})
	h.wantActions("send r2", 0)
	h.wantActions("reject r2", 1) // its six units take three seconds to refill, longer than its objective
	h.advance(3100 * ms)
	h.arrive(Request{Hosts: 6, Units: 6, Shard: 1})
	h.wantActions("send r3", 1)
}

// Many hosts with a demand far above the limit, each of which restarts once, keep the joint bucket.
func TestHostsTogetherKeepTheVolumeLimit(t *testing.T) {
	const hosts = 12
	settings := limitedSettings()
	plan := &settings.Plans[0]
	plan.Limit = 24
	plan.Burst = 12 * hosts
	plan.Slack = 1.2 * hosts
	joint := tokenBucket{rate: plan.Limit, burst: plan.Burst, tokens: plan.Burst, refilledAt: time.Minute}
	lowest := joint.tokens
	harnesses := make([]*harness, hosts)
	for i := range harnesses {
		harnesses[i] = newHarness(t, settings)
	}
	for step := range 600 {
		for i, h := range harnesses {
			if step == 20+i { // killed with an empty bucket
				harnesses[i] = newHarness(t, settings)
				harnesses[i].now = h.now
				h = harnesses[i]
			}
			h.recorded = nil
			h.sends = nil
			h.advance(10 * ms)
			h.arrive(Request{Hosts: hosts, Shard: 1, Key: fmt.Sprint(step)})
			joint.refill(h.now)
			joint.tokens -= 2 * float64(len(h.sends))
			h.serveAll()
			if joint.tokens < -plan.Slack {
				t.Fatalf("step %d: %v tokens in the joint bucket", step, joint.tokens)
			}
			lowest = min(lowest, joint.tokens)
		}
	}
	if lowest > 0.2*joint.burst {
		t.Fatalf("joint bucket of %v never under %v: the limit was hardly used", joint.burst, lowest)
	}
}

func TestRetriesAreNotChargedToTheLimit(t *testing.T) {
	h := newHarness(t, limitedSettings())
	h.advance(time.Second)
	h.arrive(Request{})
	limit := &h.volumes["v"].limit
	before := limit.refill(h.now)
	h.endAttempt("r1", 0, Errored)
	h.wantActions("send r1", 2)
	if limit.refill(h.now) != before {
		t.Fatal("charged twice")
	}
}
