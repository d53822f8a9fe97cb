package warmrestart

import (
	"fmt"
	"testing"
	"time"

	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

// simulatedNode serves nodeWorkers requests at a time, each in nodeServiceTime.
type simulatedNode struct {
	capturetest.Workload
	inFlight []scheduler.Outcome
	endsAt   []time.Duration // when each attempt in inFlight ends
	now      time.Duration
}

const (
	nodeWorkers     = 40
	nodeServiceTime = 20 * ms
)

func (n *simulatedNode) Send(id, node string, _ time.Duration) {
	n.inFlight = append(n.inFlight, scheduler.Outcome{
		ID:        id,
		Node:      node,
		Result:    scheduler.Served,
		Concluded: true,
		VolumeUse: -1,
	})
	n.endsAt = append(n.endsAt, n.now+nodeServiceTime*time.Duration(1+len(n.inFlight)/nodeWorkers))
}

func (*simulatedNode) SetTimer(time.Duration, uint64) {}

// timeToLearn returns how long it takes until the concurrency limit of a node first reaches nine tenths of its value
// after 20 seconds of load.
func timeToLearn(s *scheduler.Scheduler, node *simulatedNode, start time.Duration) time.Duration {
	const step = 5 * ms
	s.MembershipChanged(start, scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "n"}}})
	requests := 0
	var limits []float64
	for node.now = start; node.now < start+20*time.Second; node.now += step {
		for len(node.inFlight) > 0 && node.endsAt[0] <= node.now {
			outcome := node.inFlight[0]
			outcome.Latency = nodeServiceTime
			node.inFlight = node.inFlight[1:]
			node.endsAt = node.endsAt[1:]
			s.AttemptEnded(node.now, outcome)
		}
		for range 4 {
			requests++
			s.RequestArrived(node.now, scheduler.Request{
				ID:            fmt.Sprint(start, requests),
				Volume:        "tin",
				Plan:          1,
				Units:         2,
				ClientTimeout: time.Second,
				Hosts:         1,
			})
		}
		if requests%20 == 0 {
			s.TimerFired(node.now, 0)
		}
		limits = append(limits, s.Snapshot().Nodes[0].ConcurrencyLimit)
	}
	for i, limit := range limits {
		if limit >= 0.9*limits[len(limits)-1] {
			return time.Duration(i) * step
		}
	}
	return 0
}

// BenchmarkLearning measures timeToLearn, in the Scheduler's time: after a start without a state, and after one that
// restores a state of ten seconds ago.
func BenchmarkLearning(b *testing.B) {
	for b.Loop() {
		before := &simulatedNode{}
		s := newScheduler(b, 1, before)
		cold := timeToLearn(s, before, time.Hour)
		previous := s.Snapshot()
		start := 2 * time.Hour
		after := &simulatedNode{}
		next := newScheduler(b, 2, after)
		next.Restore(start, assess(previous, start, 10*time.Second).Learned)
		warm := timeToLearn(next, after, start)
		b.ReportMetric(cold.Seconds(), "s-cold")
		b.ReportMetric(warm.Seconds(), "s-warm")
	}
}
