package trust

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"reachpulley/scheduler"
)

// If all nodes move to a version that contradicts the description, the description counts as wrong: no node is avoided,
// and the operation is not retried. Trust returns when the nodes go back to the former version.
func TestDescriptionIsWrongWhenAllNodesContradictIt(t *testing.T) {
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
	i := slices.IndexFunc(f.changes, func(c Change) bool { return c.OfDescription })
	if i < 0 || f.changes[i].Version != "v2" || f.changes[i].Level != scheduler.NoRetries {
		t.Fatalf("changes %+v, want the first of the description to be at v2 with level %v",
			f.changes, scheduler.NoRetries)
	}
	for node := range f.nodes {
		if got := f.tracker.Level(testOperation, nodeName(node)); got != scheduler.NoRetries {
			t.Errorf("level %v at node n%d, want %v", got, node, scheduler.NoRetries)
		}
	}
	f.evidence = always(Conforms)
	f.version = func(int, time.Duration) string { return "v1" }
	f.run(600)
	records := f.tracker.Records(f.now)
	if len(records) > 0 || len(f.tracker.levels) > 0 || len(f.tracker.wrongSince) > 0 {
		t.Errorf("after the return to v1: records %+v, levels %v, %d wrong descriptions; want none of them",
			records, f.tracker.levels, len(f.tracker.wrongSince))
	}
}

// A node does not regain trust by reporting a new version with every response.
func TestNewVersionsRestoreNoTrust(t *testing.T) {
	f := newFleet(4, 10, func(node int, _ time.Duration) Evidence {
		if node == 0 {
			return RepeatExecuted
		}
		return Conforms
	})
	f.version = func(node int, elapsed time.Duration) string { return fmt.Sprint("v", node, elapsed) }
	f.run(100)
	if f.tracker.Level(testOperation, "n0") != scheduler.AvoidNode {
		t.Errorf("states by node: %v, want n0 distrusted", f.states)
	}
	if len(f.tracker.wrongSince) > maxWrongVersions {
		t.Errorf("%d wrong descriptions, want at most %d", len(f.tracker.wrongSince), maxWrongVersions)
	}
}
