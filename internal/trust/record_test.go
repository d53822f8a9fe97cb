package trust

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"reachpulley/scheduler"
)

// After a restart, every operation is restricted at every node as before.
func TestRestoreKeepsRestrictionLevels(t *testing.T) {
	f := newFleet(5, 10, func(node int, elapsed time.Duration) Evidence {
		switch {
		case node == 0:
			return RepeatExecuted
		case node == 1 && elapsed > 2*time.Second:
			return SchemaViolation
		}
		return Conforms
	}).run(4)
	records := f.tracker.Records(f.now)
	if len(records) != 2 {
		t.Fatalf("records %+v, want 2", records)
	}
	restored := New(scheduler.AvoidNode)
	changes, err := restored.Restore(time.Minute, records, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range changes {
		before := f.tracker.Level(change.Operation, change.Node)
		after := restored.Level(change.Operation, change.Node)
		if change.Level != before || change.Level != after {
			t.Errorf("level %v before the restart, %v after it and %v in the change, want them equal: %+v",
				before, after, change.Level, change)
		}
	}
	if len(restored.levels) != len(f.tracker.levels) {
		t.Errorf("%d pairs of operation and node are restricted after the restart, want %d as before",
			len(restored.levels), len(f.tracker.levels))
	}
}

func TestRestoreRejectsInvalidRecords(t *testing.T) {
	for _, test := range []struct {
		name   string
		record Record
	}{
		{"unknown state", Record{Operation: "x", Node: "n", State: "unknown"}},
		{"unknown evidence", Record{Operation: "x", Node: "n", State: "distrusted", Worst: "?"}},
		{"weight below 0", Record{Operation: "x", Node: "n", State: "distrusted", Worst: "fits", Weight: -1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := New(scheduler.AvoidNode).Restore(0, []Record{test.record}, 0)
			if !errors.Is(err, ErrInvalidRecord) {
				t.Errorf("error %v, want %v", err, ErrInvalidRecord)
			}
		})
	}
}

func TestRestoreKeepsMaxEntries(t *testing.T) {
	var records []Record
	for i := range MaxEntries + 1 {
		records = append(records, Record{
			Operation: fmt.Sprint("GET /", i),
			Node:      "n",
			State:     Distrusted.String(),
			Worst:     ExecutedAfterDenial.String(),
			Weight:    12,
		})
	}
	tracker := New(scheduler.AvoidNode)
	_, err := tracker.Restore(time.Hour, records, 0)
	if !errors.Is(err, ErrTooManyRecords) || len(tracker.entries) != MaxEntries {
		t.Errorf("%d entries and error %v, want %d and %v", len(tracker.entries), err, MaxEntries, ErrTooManyRecords)
	}
}
