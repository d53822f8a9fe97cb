package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A host's token bucket holds half of the host's equal share of burst and slack, and starts full.
func TestGuardVolumeLimit(t *testing.T) {
	h := newHarness(t, limitedSettings())
	plan := h.settings.Plans[0]
	burst := (plan.Burst + plan.Slack) / 2 / 2
	// The units that the bucket regains in the second by which unitsServed advances the clock: half of the limit, as
	// the volume has two hosts.
	refilled := plan.Limit / 2
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
		t.Fatalf("sent %v units at first, want %v to %v", units, burst, burst+refilled)
	}
	h.advance(time.Minute)
	if units := unitsServed(); units > burst+refilled || units < burst {
		t.Fatalf("sent %v units when the bucket was full again, want %v to %v", units, burst, burst+refilled)
	}
}

// A request that is larger than a host's token bucket is sent when the bucket is full. The bucket then has to refill
// from below zero before the next request is sent.
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
	h.wantActions("reject r2", 1) // six units take three seconds to refill, longer than the objective of r2
	h.advance(3100 * ms)
	h.arrive(Request{Hosts: 6, Units: 6, Shard: 1})
	h.wantActions("send r3", 1)
}

// Many hosts whose demand is far above the limit together keep the volume's limit, even if each of them restarts once
// and starts with a full bucket.
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
			if step == 20+i { // the host is killed while its bucket is empty
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
				t.Fatalf("step %d: %v tokens in the joint bucket, want at least %v", step, joint.tokens, -plan.Slack)
			}
			lowest = min(lowest, joint.tokens)
		}
	}
	if lowest > 0.2*joint.burst {
		t.Fatalf("joint bucket of %v tokens never had less than %v, want less than a fifth: the limit was hardly used",
			joint.burst, lowest)
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
		t.Fatalf("after the retry, the limit has %v tokens, want %v as before", limit.refill(h.now), before)
	}
}
