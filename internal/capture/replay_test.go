package capture

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"reachpulley/scheduler"
)

// The same events lead to the same actions, byte for byte, however often they are replayed. A decision that depends
// on a clock or on the order of a map would break this, since Go iterates over a map in another order each time.
func TestRandomWorkloadsReplayEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		file := recordFile(t, rapid.Uint64().Draw(t, "seed"), 600, 16<<20)
		for range 3 {
			if events, err := replayFile(file); err != nil || events < 300 {
				t.Fatalf("%d events replayed, want at least 300; error: %v", events, err)
			}
		}
	})
}

// Each part can be replayed alone, whatever was open at its beginning, and reaches the state of the next part's
// snapshot.
func TestReplayFromEverySnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := record(t, rapid.Uint64().Draw(t, "seed"), 1500, 160_000)
		if len(r.completed) == 0 {
			t.Fatal("the recorder holds no complete part, want at least one")
		}
		all := r.Recording()
		for i := range r.completed {
			file, err := Recording{head: all.head, parts: all.parts[i:]}.File()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := replayFile(file); err != nil {
				t.Fatalf("replay from part %d of %d: %v", i, len(all.parts), err)
			}
		}
	})
}

func TestReplayReportsADifference(t *testing.T) {
	head, records := readFile(t, recordFile(t, 3, 300, 16<<20))
	for i := range records {
		if records[i].Kind == KindSend && i > 100 {
			records[i].Node = "elsewhere"
			break
		}
	}
	_, err := replayFile(writeFile(t, head, records))
	var difference *Difference
	if !errors.As(err, &difference) {
		t.Fatalf("error %v, want a *Difference", err)
	}
	recorded, replayed := difference.Recorded, difference.Replayed
	if recorded.Node != "elsewhere" || replayed.Kind != KindSend || replayed.ID != recorded.ID ||
		len(difference.Before) != maxEventsBefore {
		t.Errorf("%v, after %d events; want a changed send after %d events",
			err, len(difference.Before), maxEventsBefore)
	}
}

// change is a modification of the records of a capture.
type change func(records []Record) []Record

func edit(i int, apply func(*Record)) change {
	return func(records []Record) []Record {
		apply(&records[i])
		return records
	}
}

func remove(i int) change {
	return func(records []Record) []Record { return slices.Delete(records, i, i+1) }
}

func insert(i int, record Record) change {
	return func(records []Record) []Record { return slices.Insert(records, i, record) }
}

func swap(i, j int) change {
	return func(records []Record) []Record {
		records[i], records[j] = records[j], records[i]
		return records
	}
}

// replayChanged changes a copy of the records of a capture and replays it.
func replayChanged(t *testing.T, head Head, records []Record, change change) (events int, err error) {
	t.Helper()
	return replayFile(writeFile(t, head, change(slices.Clone(records))))
}

// findLogAction returns the index of a log action that has other actions of the same event before and after it, so
// that it can be moved in both directions.
func findLogAction(t *testing.T, records []Record) int {
	t.Helper()
	movable := func(r Record) bool { return r.Kind.isAction() && r.Kind != KindLog }
	for i := 1; i+1 < len(records); i++ {
		if records[i].Kind == KindLog && movable(records[i-1]) && movable(records[i+1]) {
			return i
		}
	}
	t.Fatal("no log action stands between two other actions of its event")
	return 0
}

// findKind returns the index of the first record of a kind.
func findKind(t *testing.T, records []Record, kind Kind) int {
	t.Helper()
	i := slices.IndexFunc(records, func(r Record) bool { return r.Kind == kind })
	if i < 0 {
		t.Fatalf("the workload leads to no record of kind %q", kind)
	}
	return i
}

// The text of log lines may differ between builds, so a replay does not compare it.
func TestReplayIgnoresTheTextOfLogActions(t *testing.T) {
	head, records := readFile(t, recordFile(t, 5, 4000, 64<<20))
	allEvents, err := replayFile(writeFile(t, head, records))
	if err != nil {
		t.Fatal(err)
	}
	log := findLogAction(t, records)
	for name, change := range map[string]change{
		"unchanged":    func(records []Record) []Record { return records },
		"another text": edit(log, func(r *Record) { r.Text = "worded otherwise" }),
		"no text":      edit(log, func(r *Record) { r.Text = "" }),
		"another text everywhere": func(records []Record) []Record {
			for i := range records {
				if records[i].Kind == KindLog {
					records[i].Text = "worded otherwise"
				}
			}
			return records
		},
	} {
		t.Run(name, func(t *testing.T) {
			events, err := replayChanged(t, head, records, change)
			if err != nil || events != allEvents {
				t.Errorf("%d events replayed: %v, want all %d without a difference", events, err, allEvents)
			}
		})
	}
}

// The text of log actions is the only field of an action that a replay does not compare. All other fields of all
// actions and the place of each action are compared.
func TestReplayReportsChangedActions(t *testing.T) {
	head, records := readFile(t, recordFile(t, 5, 4000, 64<<20))
	log := findLogAction(t, records)
	send := findKind(t, records, KindSend)
	reject := findKind(t, records, KindReject)
	setTimer := findKind(t, records, KindSetTimer)
	for name, change := range map[string]change{
		"log action missing":                   remove(log),
		"log action added":                     insert(log, Record{Kind: KindLog, Text: records[log].Text}),
		"log action added to a send":           insert(send, Record{Kind: KindLog, Text: "sent"}),
		"log action moved back":                swap(log, log+1),
		"log action moved forward":             swap(log-1, log),
		"log action with an ID":                edit(log, func(r *Record) { r.ID = "7" }),
		"log action with a node":               edit(log, func(r *Record) { r.Node = "n1" }),
		"log action with a duration":           edit(log, func(r *Record) { r.Duration = 1 }),
		"log action with a time":               edit(log, func(r *Record) { r.At = 1 }),
		"watch in the place of the log action": edit(log, func(r *Record) { r.Kind = KindWatch }),
		"log action in the place of a send":    edit(send, func(r *Record) { *r = Record{Kind: KindLog} }),
		"send with a text":                     edit(send, func(r *Record) { r.Text = "sent" }),
		"send to another node":                 edit(send, func(r *Record) { r.Node = "elsewhere" }),
		"send with another timeout":            edit(send, func(r *Record) { r.Duration++ }),
		"rejection of another request":         edit(reject, func(r *Record) { r.ID += "0" }),
		"rejection with another Retry-After":   edit(reject, func(r *Record) { r.Duration++ }),
		"timer with another key":               edit(setTimer, func(r *Record) { r.Key++ }),
	} {
		t.Run(name, func(t *testing.T) {
			events, err := replayChanged(t, head, records, change)
			var difference *Difference
			if !errors.As(err, &difference) {
				t.Errorf("%d events replayed: %v, want a difference", events, err)
			}
		})
	}
}

// StateAt, which replays a capture from the last part before a time, returns the same state for that time as a replay
// of the capture from its beginning.
func TestStateAtATimeEqualsTheReplayedOne(t *testing.T) {
	file := recordFile(t, 4, 6000, 64<<20)
	player := NewPlayer(openFile(t, file))
	compared := 0
	for {
		step, err := player.Next()
		if err != nil {
			break
		}
		next, err := player.nextEvent()
		if step.Number%997 != 0 || err != nil || next.At <= step.Event.At {
			continue
		}
		want := player.Scheduler().Snapshot()
		got, err := StateAt(bytes.NewReader(file), step.Event.At)
		diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(scheduler.Snapshot{}))
		if err != nil || diff != "" {
			t.Fatalf("state at %v: error: %v, difference (-want +got):\n%s", step.Event.At, err, diff)
		}
		compared++
	}
	if compared < 2 {
		t.Errorf("states at %d times were compared, want at least 2", compared)
	}
	if _, err := StateAt(bytes.NewReader(file), -1); err == nil {
		t.Error("StateAt returned a state for a time before the beginning of the capture, want an error")
	}
}

// A capture that ends with a gap holds no state for a time after the gap.
func TestNoStateAfterAGapAtTheEnd(t *testing.T) {
	file, err := appendFrame(recordFile(t, 4, 600, 64<<20), Record{Kind: KindGap, Lost: 1})
	if err != nil {
		t.Fatal(err)
	}
	if state, err := StateAt(bytes.NewReader(file), 1<<62); err == nil || state != nil {
		t.Errorf("state %v, error %v; want no state and an error", state, err)
	}
}
