package trust

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"reachpulley/scheduler"
)

// A fleet that moves to a version which behaves otherwise contradicts its description as a whole: no node is avoided,
// and nothing is retried. Going back to the former version restores the trust.
func TestFleetOnANewVersionMakesTheDescriptionWrong(t *testing.T) {
	const firstUpgrade = 60 * time.Second
	upgraded := func(node int, elapsed time.Duration) bool {
		return elapsed > firstUpgrade+time.Duration(node)*5*time.Second
	}
	f := newFleet(10, 10, func(node int, elapsed time.Duration) Evidence {
		if upgraded(node, elapsed) {
			return SchemaViolation
		}
		return Conforms
	})
	f.version = func(node int, elapsed time.Duration) string {
		if upgraded(node, elapsed) {
			return "v2"
		}
		return "v1"
	}
	f.run(150)
	i := slices.IndexFunc(f.changes, func(c Change) bool { return c.DescriptionWrong })
	if i < 0 || f.changes[i].Version != "v2" || f.changes[i].Level != scheduler.NoRetries {
		t.Fatalf("no change of the description in %+v", f.changes)
	}
	for node := range f.nodes {
		if got := f.tracker.Level(testOperation, nodeName(node)); got != scheduler.NoRetries {
			t.Errorf("n%d: level %v", node, got)
		}
	}
	f.evidence = always(Conforms)
	f.version = func(int, time.Duration) string { return "v1" }
	f.run(600)
	records := f.tracker.Records(f.now)
	if len(records) > 0 || len(f.tracker.levels) > 0 || len(f.tracker.wrongSince) > 0 {
		t.Errorf("still %+v", records)
	}
}

// A node gains nothing by another version with every response.
func TestNoTrustByAnotherVersion(t *testing.T) {
	f := newFleet(4, 10, func(node int, _ time.Duration) Evidence {
		if node == 0 {
			return RepeatExecuted
		}
		return Conforms
	})
	f.version = func(node int, elapsed time.Duration) string { return fmt.Sprint("v", node, elapsed) }
	f.run(100)
	if f.tracker.Level(testOperation, "n0") != scheduler.AvoidNode {
		t.Errorf("%v", f.states)
	}
	if len(f.tracker.wrongSince) > maxWrongVersions {
		t.Errorf("%d versions", len(f.tracker.wrongSince))
	}
}
