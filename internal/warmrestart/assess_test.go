package warmrestart

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

// For any restored state of any age, no guard is looser than for a host that starts without a state.
func TestRestoredStateLoosensNoGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		previous := stateAfter(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(10, 800).Draw(t, "events"))
		age := time.Duration(rapid.Int64Range(-5000, 20*60_000).Draw(t, "age")) * ms
		restored := newNext(t, previous, age)
		fresh := newNext(t, nil, 0)
		for _, s := range []*scheduler.Scheduler{restored, fresh} {
			announceNodesAndVolumes(s)
		}
		expectNoLooserGuard(t, restored.Snapshot(), fresh.Snapshot())
	})
}

// announceNodesAndVolumes lists six nodes of different ages and sends a request for each of five volumes.
func announceNodesAndVolumes(s *scheduler.Scheduler) {
	list := scheduler.Membership{Kind: scheduler.FullList}
	for i := range 6 {
		list.Nodes = append(list.Nodes, scheduler.Node{
			ID:        fmt.Sprint("n", i),
			Shard:     i % 3,
			StartedAt: nextStart - time.Duration(i)*time.Second,
		})
	}
	s.MembershipChanged(nextStart, list)
	for i := range 5 {
		s.RequestArrived(nextStart, scheduler.Request{
			ID:            fmt.Sprint("a", i),
			Class:         0,
			Plan:          i % 2,
			Volume:        fmt.Sprint("v", i),
			Units:         0,
			Shard:         9,
			ClientTimeout: time.Second,
			Hosts:         1 + i%2,
		})
	}
}

// expectNoLooserGuard compares the facts that the guards depend on in a restored state and in a fresh one, which have
// the same nodes and volumes.
func expectNoLooserGuard(t *rapid.T, restored, fresh *scheduler.Snapshot) {
	t.Helper()
	for i := range fresh.Nodes {
		got, base := restored.Nodes[i], fresh.Nodes[i]
		if got.Node.ID != base.Node.ID || got.WarmingSince < base.WarmingSince || base.Down && !got.Down ||
			len(got.RecentSends) < len(base.RecentSends) {
			t.Fatalf("a restored node may get more than a fresh one:\nrestored %+v\nfresh %+v", got, base)
		}
		if got.ConcurrencyLimit < 0 || math.IsNaN(got.ConcurrencyLimit) || got.QueueMeasuredAt > nextStart {
			t.Fatalf("implausible concurrency limit, or QueueMeasuredAt after %v: %+v", nextStart, got)
		}
	}
	for i := range fresh.Volumes {
		got, base := restored.Volumes[i], fresh.Volumes[i]
		if got.Name != base.Name || got.Limit.Tokens > base.Limit.Tokens || got.Limit.Burst != base.Limit.Burst ||
			got.Limit.Rate != base.Limit.Rate {
			t.Fatalf("a restored volume may get more than a fresh one, or its limit differs:\nrestored %+v\nfresh %+v",
				got, base)
		}
	}
	if len(restored.RetriedAt) < len(fresh.RetriedAt) || len(restored.ArrivedAt) > len(fresh.ArrivedAt) {
		t.Fatalf("restored state: %d retries, want at least %d; %d arrivals, want at most %d",
			len(restored.RetriedAt), len(fresh.RetriedAt), len(restored.ArrivedAt), len(fresh.ArrivedAt))
	}
}

// The capture of an incarnation that starts with a restored state replays byte for byte, from its beginning and from
// every snapshot.
func TestRestoredIncarnationReplays(t *testing.T) {
	previous := stateAfter(t, 3, 600)
	workload := capturetest.NewWorkloadAt(4, nextStart)
	recorder, err := capture.NewRecorder(capturetest.Settings, 1, capture.Options{MaxBytes: 500_000}, workload)
	if err != nil {
		t.Fatal(err)
	}
	recorder.Restore(nextStart, assess(previous, nextStart, 3*time.Second).Learned)
	workload.Play(recorder, 2000)
	file, err := recorder.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	reader, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	if events, err := capture.Replay(reader); err != nil || events < 1000 {
		t.Errorf("%d events replayed, want at least 1000; error %v", events, err)
	}
}

// sendCounter counts the units of the requests sent to a node. Each request is of one unit.
type sendCounter struct {
	capturetest.Workload
	units int
}

func (c *sendCounter) Send(string, string, time.Duration) { c.units++ }
func (*sendCounter) SetTimer(time.Duration, uint64)       {}

// sendAcrossRestart sends a warming node as much as it may get, restarts the host, and sends again within the same
// SlowStartWindow. If restore is set, the second incarnation restores the state of the first. The results are the units
// sent by each of them.
func sendAcrossRestart(t *testing.T, restore bool) (first, second int) {
	t.Helper()
	settings := capturetest.Settings
	settings.Siblings = 1
	started := time.Hour
	var firstCounter, secondCounter sendCounter
	before, err := scheduler.New(settings, 1, &firstCounter)
	if err != nil {
		t.Fatal(err)
	}
	saturateWarmingNode(before, started, "a", started-10*ms)
	previous := before.Snapshot()
	after, err := scheduler.New(settings, 2, &secondCounter)
	if err != nil {
		t.Fatal(err)
	}
	now := started + 500*ms
	if restore {
		const shift = 0 // both incarnations have the same clock here
		after.Restore(now, Assess(previous, settings, now, 500*ms, shift).Learned)
	}
	saturateWarmingNode(after, now, "b", started-10*ms)
	return firstCounter.units, secondCounter.units
}

// saturateWarmingNode lists one node that has just started, and offers more requests than the node may get. The node
// serves all that are sent to it.
func saturateWarmingNode(s *scheduler.Scheduler, now time.Duration, prefix string, nodeStartedAt time.Duration) {
	s.MembershipChanged(now, scheduler.Membership{
		Kind:  scheduler.FullList,
		Nodes: []scheduler.Node{{ID: "n", StartedAt: nodeStartedAt}},
	})
	for i := range 300 {
		id := fmt.Sprint(prefix, i)
		s.RequestArrived(now, scheduler.Request{
			ID:            id,
			Volume:        "tin",
			Plan:          1,
			Units:         1,
			Shard:         scheduler.AnyShard, // so that only the node's allowance limits what is sent
			ClientTimeout: time.Second,
			Hosts:         1,
		})
		s.AttemptEnded(now+ms, scheduler.Outcome{
			ID:        id,
			Node:      "n",
			Result:    scheduler.Served,
			Latency:   ms,
			Concluded: true,
			VolumeUse: -1,
		})
	}
}

// A restart of the gateway during the slow start of a node must not overload the node: what the previous incarnation
// sent counts against the SlowStartAllowance of the same SlowStartWindow.
func TestSlowStartAllowanceHoldsAcrossRestart(t *testing.T) {
	maxUnits := int(capturetest.Settings.Rules.SlowStartAllowance) + 20 // the allowance grows a little in the meantime
	first, second := sendAcrossRestart(t, true)
	if first < 50 || first+second > maxUnits {
		t.Errorf("%d units before the restart, want at least 50; %d after it, want at most %d together",
			first, second, maxUnits)
	}
	if first, second := sendAcrossRestart(t, false); first+second <= maxUnits {
		t.Errorf("%d units and then %d without a restored state: the limit is not reached, so the test proves nothing",
			first, second)
	}
}

// A node that has restarted since the snapshot is warming up, and its old estimates are not used.
func TestRestartedNodeKeepsNoEstimates(t *testing.T) {
	previous := stateAfter(t, 5, 800)
	for i := range previous.Nodes {
		node := &previous.Nodes[i]
		node.Node.Phase = scheduler.Up
		node.Node.StartedAt = 0
		node.WarmingSince = 0
		node.ConcurrencyLimit = 40
		node.MinLatency = 0.01
		node.Latency = 0.011
		node.MaxRate = 2000
	}
	restartedAt := nextStart - 200*ms
	s := newNext(t, previous, time.Second)
	s.MembershipChanged(nextStart, scheduler.Membership{
		Kind:  scheduler.FullList,
		Nodes: []scheduler.Node{{ID: "n0"}, {ID: "n1", StartedAt: restartedAt}},
	})
	got := s.Snapshot()
	if n := got.Nodes[0]; n.WarmingSince != 0 || n.ConcurrencyLimit < 35 || n.MinLatency == 0 {
		t.Errorf("node that has not restarted: %+v, want it warm, with the estimates of the snapshot", n)
	}
	if n := got.Nodes[1]; n.WarmingSince != restartedAt || n.ConcurrencyLimit != 16 || n.MinLatency != 0 {
		t.Errorf("node that has restarted: %+v, want it warming since %v, with the limit 16 and no latency",
			n, restartedAt)
	}
}

// Estimates count less the older they are, and not at all beyond maxEstimateAge. Implausible figures are not restored.
func TestConfidenceDecaysWithAge(t *testing.T) {
	previous := stateAfter(t, 5, 800)
	for i := range previous.Nodes {
		node := &previous.Nodes[i]
		node.Node.Phase = scheduler.Up
		node.ConcurrencyLimit = 60
		node.MinLatency = 0.01
		node.Latency = 0.02
		node.MaxRate = 3000
	}
	lastLimit := math.Inf(1)
	ages := []time.Duration{
		0, time.Second, 10 * time.Second, time.Minute, 2 * time.Minute, 9 * time.Minute, time.Hour,
	}
	for _, age := range ages {
		got := Assess(previous, capturetest.Settings, time.Hour, age, 0)
		limit := got.Learned.Nodes[0].ConcurrencyLimit
		if limit > lastLimit || limit < 0 ||
			age > maxEstimateAge && (got.KnownNodes > 0 || len(got.Learned.ClassWork) > 0) {
			t.Errorf("age %v: concurrency limit %v, want 0 to %v as at the age before; "+
				"%d known nodes and %d classes, want none beyond %v",
				age, limit, lastLimit, got.KnownNodes, len(got.Learned.ClassWork), maxEstimateAge)
		}
		lastLimit = limit
	}
	if got := Assess(previous, capturetest.Settings, time.Hour, -time.Minute, 0); got.KnownNodes > 0 {
		t.Errorf("the estimates of %d nodes of a state from a minute in the future are restored, want none",
			got.KnownNodes)
	}
	previous.Nodes[0].ConcurrencyLimit = math.NaN()
	previous.Nodes[1].Latency = math.Inf(1)
	previous.ClassWork[0] = math.NaN()
	got := Assess(previous, capturetest.Settings, time.Hour, 0, 0)
	if got.Learned.Nodes[0].ConcurrencyLimit != 0 || got.Learned.Nodes[1].ConcurrencyLimit != 0 ||
		len(got.Learned.ClassWork) > 0 {
		t.Errorf("implausible estimates are restored: %+v", got.Learned)
	}
}
