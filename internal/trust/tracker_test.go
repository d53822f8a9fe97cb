package trust

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"reachpulley/scheduler"
)

// The number of entries stays bounded while new operations come up, and no distrusted node is forgotten for them.
func TestEntriesAreBounded(t *testing.T) {
	tracker := New(scheduler.AvoidNode)
	for range 3 {
		tracker.Observe(time.Hour, Report{Operation: testOperation, Node: "bad", Evidence: ExecutedAfterDenial})
	}
	for i := range 4 * MaxEntries {
		now := time.Hour + time.Duration(i)
		tracker.Observe(now, Report{Operation: fmt.Sprint("GET /", i), Node: "n", Evidence: Conforms})
	}
	level := tracker.Level(testOperation, "bad")
	if len(tracker.entries) > MaxEntries || level != scheduler.AvoidNode {
		t.Errorf("%d entries, want at most %d; the distrusted node has level %v, want %v",
			len(tracker.entries), MaxEntries, level, scheduler.AvoidNode)
	}
	full := New(scheduler.AvoidNode)
	for i := range MaxEntries + 10 {
		for range 2 {
			operation := fmt.Sprint("GET /", i)
			full.Observe(time.Hour, Report{Operation: operation, Node: "n", Evidence: ExecutedAfterDenial})
		}
	}
	if len(full.entries) != MaxEntries || full.Dropped() == 0 {
		t.Errorf("%d distrusted entries, want %d; %d dropped reports, want some",
			len(full.entries), MaxEntries, full.Dropped())
	}
}

// For any reports, the levels in the changes are those that apply, they never exceed the maximum level, and the same
// reports cause the same changes.
func TestChangesReportRestrictionLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxLevel := scheduler.RestrictionLevel(rapid.IntRange(0, int(scheduler.AvoidNode)).Draw(t, "maxLevel"))
		tracker := New(maxLevel)
		twin := New(maxLevel)
		reported := map[entryKey]scheduler.RestrictionLevel{}
		now := time.Hour
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			report := Report{
				Operation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "operation"),
				Node:      nodeName(rapid.IntRange(0, 4).Draw(t, "node")),
				Version:   rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"),
				Client:    uint64(rapid.IntRange(1, 9).Draw(t, "client")),
				Evidence:  Evidence(rapid.IntRange(0, int(evidenceKinds)-1).Draw(t, "evidence")),
			}
			changes := append(tracker.Observe(now, report), tracker.Tick(now)...)
			if diff := cmp.Diff(changes, append(twin.Observe(now, report), twin.Tick(now)...)); diff != "" {
				t.Fatalf("two Trackers return different changes for the same report (-first +second):\n%s", diff)
			}
			for _, change := range changes {
				reported[entryKey{change.Operation, change.Node}] = change.Level
				if change.Level > maxLevel {
					t.Fatalf("the level of a change is %v, want at most %v: %+v", change.Level, maxLevel, change)
				}
			}
			expectLevels(t, tracker, reported)
		}
	})
}

// expectLevels checks that the levels of the changes are those that the Tracker applies.
func expectLevels(t *rapid.T, tracker *Tracker, reported map[entryKey]scheduler.RestrictionLevel) {
	t.Helper()
	for _, operation := range []string{"a", "b"} {
		for i := range 5 {
			node := nodeName(i)
			got := max(reported[entryKey{operation, allNodes}], reported[entryKey{operation, node}])
			if want := tracker.Level(operation, node); got != want {
				t.Fatalf("operation %q at node %q: reported level %v, applied level %v", operation, node, got, want)
			}
		}
	}
}
