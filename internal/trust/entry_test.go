package trust

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"reachpulley/scheduler"
)

func TestOnlyTheContradictingNodeIsAvoided(t *testing.T) {
	f := newFleet(11, 10, func(node int, _ time.Duration) Evidence {
		if node == 3 {
			return SchemaViolation
		}
		return Conforms
	}).run(5)
	if diff := cmp.Diff(map[string][]State{"n3": {Suspect, Distrusted}}, f.states); diff != "" {
		t.Errorf("states that each node has entered (-want +got):\n%s", diff)
	}
	contradicting := f.tracker.Level(testOperation, "n3")
	conforming := f.tracker.Level(testOperation, "n2")
	if contradicting != scheduler.AvoidNode || conforming != scheduler.Unrestricted {
		t.Errorf("level %v at the contradicting node, want %v; %v at a conforming one, want %v",
			contradicting, scheduler.AvoidNode, conforming, scheduler.Unrestricted)
	}
}

// A client can't discredit a node, whatever it requests and however often, while the responses to other clients
// conform: its evidence is counted, but does not change the state.
func TestOneClientDiscreditsNoNode(t *testing.T) {
	soft := rapid.SampledFrom([]Evidence{
		UnknownStatus, UnknownMediaType, SchemaViolation, Slow, IgnoredRetryAfter, ResponsesDiffer,
	})
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(scheduler.AvoidNode)
		now := time.Hour
		for range rapid.IntRange(1, 500).Draw(t, "responses") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			report := Report{Operation: testOperation, Node: "n", Client: 7, Evidence: soft.Draw(t, "evidence")}
			if rapid.IntRange(0, 5).Draw(t, "other") == 0 {
				report.Client = uint64(rapid.IntRange(100, 200).Draw(t, "client"))
				report.Evidence = Conforms
			}
			if changes := tracker.Observe(now, report); len(changes) > 0 {
				t.Fatalf("one client's evidence caused the changes %+v, want none", changes)
			}
			tracker.Tick(now)
		}
	})
}

// Hard evidence counts in full even if it comes from a single client.
func TestHardEvidenceOfOneClientCounts(t *testing.T) {
	f := newFleet(4, 1, func(node int, _ time.Duration) Evidence {
		if node == 0 {
			return ExecutedAfterDenial
		}
		return Conforms
	}).run(3)
	if got := f.states["n0"]; !slices.Equal(got, []State{Suspect, Distrusted}) || len(f.states) != 1 {
		t.Errorf("states by node: %v, want suspect and distrusted for n0 alone", f.states)
	}
}

// A node that no longer contradicts is trusted again after its hold, the decay of its weight, and a probation with
// enough conforming responses.
func TestTrustReturnsAfterProbation(t *testing.T) {
	f := newFleet(4, 10, func(node int, elapsed time.Duration) Evidence {
		if node == 0 && elapsed < 10*time.Second {
			return RepeatExecuted
		}
		return Conforms
	}).run(200)
	if got := f.states["n0"]; !slices.Equal(got, []State{Suspect, Distrusted, Probation, Trusted}) {
		t.Errorf("states that n0 has entered: %v, want suspect, distrusted, on probation, trusted", got)
	}
}

// A node that contradicts again on probation is distrusted for twice the time, so that a flapping node does not keep
// moving traffic back and forth.
func TestFlappingNodeIsHeldForLonger(t *testing.T) {
	for _, period := range []time.Duration{2 * time.Second, 20 * time.Second, 120 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			f := newFleet(4, 10, func(node int, elapsed time.Duration) Evidence {
				if node == 0 && elapsed/period%2 == 0 {
					return RepeatExecuted
				}
				return Conforms
			}).run(3600)
			if moves := len(f.states["n0"]); moves > 50 {
				t.Errorf("%d changes of state in an hour, want at most 50", moves)
			}
			if hold := f.tracker.entries[entryKey{testOperation, "n0"}].hold; hold < 4*minHold && period > time.Minute {
				t.Errorf("the last hold is %v, want at least %v", hold, 4*minHold)
			}
		})
	}
}

// Contradictions in 1% of the responses, as they occur in ordinary traffic, change no state.
func TestRareContradictionsAreTolerated(t *testing.T) {
	responses := 0
	f := newFleet(3, 20, func(int, time.Duration) Evidence {
		if responses++; responses%100 == 0 {
			return UnknownStatus
		}
		return Conforms
	}).run(2000)
	if len(f.changes) > 0 {
		t.Errorf("1%% of contradictions caused %d changes, want none; the first is %+v", len(f.changes), f.changes[0])
	}
}
