package zonefailover

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Every run of the property tests draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

const (
	ms             = time.Millisecond
	updateInterval = 25 * ms
)

// fleet is a set of simulated nodes, which respond at once or are silent, with a Tracker that observes them.
type fleet struct {
	tracker *Tracker
	now     time.Duration
	nodes   []*simulatedNode
	changes []zoneChange // changes of zones so far
}

type simulatedNode struct {
	Observation
	silent bool
	idle   bool          // no attempt is sent to it
	sentAt time.Duration // when the unanswered attempt was sent; 0: there is none
}

type zoneChange struct {
	Zone int
	To   State
}

func newFleet(zones, nodesPerZone int) *fleet {
	f := &fleet{tracker: NewTracker(zones), now: time.Hour}
	for zone := range zones {
		for i := range nodesPerZone {
			id := fmt.Sprintf("%d-%d", zone, i)
			observation := Observation{ID: id, Zone: zone, UsualLatency: 40 * ms}
			f.nodes = append(f.nodes, &simulatedNode{Observation: observation})
		}
	}
	return f
}

// run lets time pass, with an Update at each interval.
func (f *fleet) run(duration time.Duration) *fleet {
	for end := f.now + duration; f.now < end; {
		f.now += updateInterval
		for _, change := range f.tracker.Update(f.now, f.observations()) {
			if change.Node == "" {
				f.changes = append(f.changes, zoneChange{change.Zone, change.To})
			}
		}
	}
	return f
}

func (f *fleet) observations() (all []Observation) {
	for _, n := range f.nodes {
		n.advance(f.now)
		all = append(all, n.Observation)
	}
	return all
}

// advance brings the observation of the node up to a time.
func (n *simulatedNode) advance(now time.Duration) {
	switch {
	case n.Removed, n.idle:
		n.sentAt = 0
		n.UnansweredFor = 0
	case n.silent:
		if n.sentAt == 0 {
			n.sentAt = now
		}
		n.UnansweredFor = now - n.sentAt
	default:
		n.sentAt = 0
		n.UnansweredFor = 0
		n.LastResponse = now
	}
}

// changeZone applies a change to all nodes of a zone.
func (f *fleet) changeZone(zone int, change func(*simulatedNode)) *fleet {
	for _, n := range f.nodes {
		if n.Zone == zone {
			change(n)
		}
	}
	return f
}

func setSilent(silent bool) func(*simulatedNode) { return func(n *simulatedNode) { n.silent = silent } }

func TestZoneBecomesUnavailableAndRecovers(t *testing.T) {
	f := newFleet(2, 5).run(time.Second)
	silentSince := f.now
	f.changeZone(0, setSilent(true))
	for f.tracker.Zone(0).State != Unavailable {
		if f.run(updateInterval); f.now-silentSince > time.Second {
			t.Fatalf("a second after all its nodes became silent, the zone is %v, want %v",
				f.tracker.Zone(0).State, Unavailable)
		}
	}
	if took := f.now - silentSince; took > 600*ms {
		t.Errorf("the zone became unavailable after %v, want at most 600ms", took)
	}
	f.run(10*time.Second).changeZone(0, setSilent(false)).run(3 * time.Second)
	want := []zoneChange{{0, Suspect}, {0, Unavailable}, {0, Recovering}, {0, Available}}
	if diff := cmp.Diff(want, f.changes); diff != "" {
		t.Errorf("changes of zones (-want +got):\n%s", diff)
	}
}

func TestStateNames(t *testing.T) {
	want := []string{"available", "degraded", "suspect", "unavailable", "recovering"}
	for i, state := range []State{Available, Degraded, Suspect, Unavailable, Recovering} {
		if state.String() != want[i] {
			t.Errorf("state %d is %q, want %q", state, state, want[i])
		}
	}
}

// One silent node, or a small part of the nodes removed, makes a zone degraded and not unavailable.
func TestSilentOrRemovedPartMakesZoneDegraded(t *testing.T) {
	f := newFleet(2, 5).run(time.Second)
	f.nodes[0].silent = true
	f.run(5 * time.Second)
	if f.tracker.Zone(0).State != Degraded || f.tracker.Node("0-0") != Unavailable ||
		f.tracker.Node("0-1") != Available {
		t.Errorf("one silent node: zone %+v, silent node %v, another node %v; want %v, %v and %v",
			f.tracker.Zone(0), f.tracker.Node("0-0"), f.tracker.Node("0-1"), Degraded, Unavailable, Available)
	}
	f.nodes[0].silent = false
	f.nodes[1].Removed = true
	f.nodes[2].Removed = true
	f.run(5 * time.Second)
	if f.tracker.Zone(0).State != Degraded || f.tracker.Zone(0).RemovedShare != 0.4 {
		t.Errorf("two of five nodes removed: zone %+v, want %v with a removed share of 0.4",
			f.tracker.Zone(0), Degraded)
	}
	if slices.Contains(f.changes, zoneChange{0, Unavailable}) {
		t.Errorf("the zone became unavailable, want only degraded: changes %v", f.changes)
	}
}

// A zone becomes degraded, and is no longer unavailable, after half of its nodes have responded again for some time.
func TestZoneRecoversWithHalfOfItsNodes(t *testing.T) {
	f := newFleet(2, 6).run(time.Second).changeZone(0, setSilent(true)).run(5 * time.Second)
	for i := range 3 {
		f.nodes[i].silent = false
	}
	f.run(10 * time.Second)
	if f.tracker.Zone(0).State != Degraded || f.tracker.Node("0-5") != Unavailable {
		t.Errorf("zone %+v, want %v; silent node 0-5 %v, want %v; changes %v",
			f.tracker.Zone(0), Degraded, f.tracker.Node("0-5"), Unavailable, f.changes)
	}
}

// A gateway that gets no responses from any zone is isolated itself, so no zone becomes unavailable.
func TestIsolatedGatewayMakesNoZoneUnavailable(t *testing.T) {
	f := newFleet(3, 4).run(time.Second)
	for zone := range 3 {
		f.changeZone(zone, setSilent(true))
	}
	f.run(5 * time.Second)
	if !f.tracker.Isolated() {
		t.Error("all zones are silent, but the gateway does not count as isolated")
	}
	for zone := range 3 {
		if got := f.tracker.Zone(zone).State; got == Unavailable {
			t.Errorf("zone %d is %v, want any other state", zone, got)
		}
	}
}

// Without any attempts nothing is known about a zone, so it keeps its state.
func TestIdleZoneKeepsItsState(t *testing.T) {
	f := newFleet(2, 4).changeZone(0, func(n *simulatedNode) { n.idle = true }).run(time.Minute)
	if f.tracker.Zone(0).State != Available || len(f.changes) > 0 {
		t.Errorf("the idle zone is %v, with the changes %v; want %v and no changes",
			f.tracker.Zone(0).State, f.changes, Available)
	}
}

// A zone that is silent for half of each period becomes available less and less often: at most 12 times in ten minutes.
// This is not checked for the period of 200 ms, in which the silence of 100 ms is too short to count.
func TestFlappingZoneRecoversLessAndLessOften(t *testing.T) {
	for _, period := range []time.Duration{200 * ms, time.Second, 3 * time.Second, 10 * time.Second, 60 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			f := newFleet(2, 5).run(time.Second)
			for f.now < time.Hour+10*time.Minute {
				f.changeZone(0, setSilent(true)).run(period / 2)
				f.changeZone(0, setSilent(false)).run(period / 2)
			}
			recoveries := 0
			for _, change := range f.changes {
				if change == (zoneChange{0, Available}) {
					recoveries++
				}
			}
			if period >= time.Second && recoveries > 12 {
				t.Errorf("the zone became available %d times in ten minutes, want at most 12", recoveries)
			}
		})
	}
}

// Trial requests to an unavailable node are rare but never stop.
func TestTrialRequestsAreRareAndNeverStop(t *testing.T) {
	f := newFleet(2, 2).run(time.Second).changeZone(0, setSilent(true)).run(time.Second)
	trials := 0
	for range 600 {
		f.run(100 * ms)
		if f.tracker.AllowRequest(f.now, "0-0") {
			trials++
		}
	}
	if trials < 15 || trials > 30 || f.tracker.UntilTrial(f.now, "0-0") > maxTrialInterval ||
		!f.tracker.AllowRequest(f.now, "1-0") {
		t.Errorf("%d trials in a minute, want 15 to 30; next one in %v, want at most %v; node 1-0 is %v, want %v",
			trials, f.tracker.UntilTrial(f.now, "0-0"), maxTrialInterval, f.tracker.Node("1-0"), Available)
	}
}

// After any observations, a resumed state equals the stored one, all zones are available once all nodes have responded
// for twice the maximum recovery time, and nodes that are no longer listed are forgotten.
func TestZonesRecoverAfterAnyObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "nodes"))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			f.drawChanges(t)
			f.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "updates")) * updateInterval)
			expectResumable(t, f.tracker)
		}
		for _, n := range f.nodes {
			n.silent = false
			n.idle = false
			n.Removed = false
		}
		f.run(2 * maxRecoveryTime)
		for zone := range f.tracker.Zones() {
			if state := f.tracker.Zone(zone).State; state != Available {
				t.Fatalf("zone %d is %v, want %v", zone, state, Available)
			}
		}
		if f.tracker.Update(f.now, nil); len(f.tracker.nodes) > 0 {
			t.Fatalf("%d nodes are tracked, want 0, as none is listed", len(f.tracker.nodes))
		}
	})
}

// drawChanges changes some nodes at random.
func (f *fleet) drawChanges(t *rapid.T) {
	for _, n := range f.nodes {
		switch rapid.IntRange(0, 5).Draw(t, "change") {
		case 0:
			n.silent = !n.silent
		case 1:
			n.Removed = !n.Removed
		case 2:
			n.idle = !n.idle
		}
	}
}

func expectResumable(t *rapid.T, tracker *Tracker) {
	t.Helper()
	resumed := NewTracker(tracker.Zones())
	if !resumed.Resume(tracker.Snapshot()) {
		t.Fatal("Resume reports false for a state with the same number of zones")
	}
	if diff := cmp.Diff(tracker.Snapshot(), resumed.Snapshot()); diff != "" {
		t.Fatalf("state after Resume (-want +got):\n%s", diff)
	}
}

// BenchmarkUpdate measures Update, whose cost is to depend on the number of nodes and not on that of zones.
func BenchmarkUpdate(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000} {
		for _, zones := range []int{2, 10} {
			f := newFleet(zones, nodes/zones).run(time.Second)
			observations := f.observations()
			b.Run(fmt.Sprintf("%d nodes in %d zones", nodes, zones), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f.now += updateInterval
					f.tracker.Update(f.now, observations)
				}
			})
		}
	}
}
