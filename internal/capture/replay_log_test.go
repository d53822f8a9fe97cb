package capture

import (
	"bytes"
	"errors"
	"slices"
	"testing"
)

// replayRecords writes records as a capture and replays it.
func replayRecords(t *testing.T, head Head, records []Record) (events int, err error) {
	t.Helper()
	var file bytes.Buffer
	if err := Write(&file, head, records); err != nil {
		t.Fatal(err)
	}
	return replay(file.Bytes())
}

// findLogAction gives the index of a log action that has other actions of the same event before and after it, so that it
// can be moved in both directions.
func findLogAction(t *testing.T, records []Record) int {
	t.Helper()
	movable := func(r Record) bool {
		return !r.Kind.IsEvent() && r.Kind != KindLog && r.Kind != KindSnapshot && r.Kind != KindGap && r.Kind != KindNote
	}
	for i := 1; i+1 < len(records); i++ {
		if records[i].Kind == KindLog && movable(records[i-1]) && movable(records[i+1]) {
			return i
		}
	}
	t.Fatal("no log action stands between two other actions of its event")
	return 0
}

// The text of log lines may differ between builds. It is the only field of an action that a replay leaves out of the
// comparison, and it does so for log actions alone.
func TestReplayComparesLogActionsWithoutTheirText(t *testing.T) {
	reader, recorded := records(t, captured(t, day(t, 5, 4000, 64<<20)))
	wholeDay, err := replayRecords(t, reader.Head, recorded)
	if err != nil {
		t.Fatal(err)
	}
	log := findLogAction(t, recorded)
	send := slices.IndexFunc(recorded, func(r Record) bool { return r.Kind == KindSend })
	reject := slices.IndexFunc(recorded, func(r Record) bool { return r.Kind == KindReject })
	setTimer := slices.IndexFunc(recorded, func(r Record) bool { return r.Kind == KindSetTimer })
	if send < 0 || reject < 0 || setTimer < 0 {
		t.Fatal("the day lacks a kind of action")
	}
	for name, test := range map[string]struct {
		change  func(records []Record) []Record
		differs bool
	}{
		"unchanged": {func(r []Record) []Record { return r }, false},
		"another text": {func(r []Record) []Record {
			r[log].Text = "worded otherwise"
			return r
		}, false},
		"every text is another": {func(r []Record) []Record {
			for i := range r {
				if r[i].Kind == KindLog {
					r[i].Text = "worded otherwise"
				}
			}
			return r
		}, false},
		"no text": {func(r []Record) []Record {
			r[log].Text = ""
			return r
		}, false},
		"the log action is missing": {func(r []Record) []Record { return slices.Delete(r, log, log+1) }, true},
		"a log action is added": {func(r []Record) []Record {
			return slices.Insert(r, log, Record{Kind: KindLog, Text: r[log].Text})
		}, true},
		"a log action is added to an event that logs nothing": {func(r []Record) []Record {
			return slices.Insert(r, send, Record{Kind: KindLog, Text: "sent"})
		}, true},
		"the log action comes later": {func(r []Record) []Record {
			r[log], r[log+1] = r[log+1], r[log]
			return r
		}, true},
		"the log action comes earlier": {func(r []Record) []Record {
			r[log-1], r[log] = r[log], r[log-1]
			return r
		}, true},
		"the log action has an ID": {func(r []Record) []Record {
			r[log].ID = "7"
			return r
		}, true},
		"the log action has a node": {func(r []Record) []Record {
			r[log].Node = "n1"
			return r
		}, true},
		"the log action has a duration": {func(r []Record) []Record {
			r[log].Duration = 1
			return r
		}, true},
		"the log action has a time": {func(r []Record) []Record {
			r[log].At = 1
			return r
		}, true},
		"another action stands in its place": {func(r []Record) []Record {
			r[log].Kind = KindWatch
			return r
		}, true},
		"a log action stands in the place of another": {func(r []Record) []Record {
			r[send] = Record{Kind: KindLog, Text: "sent"}
			return r
		}, true},
		"a send has a text": {func(r []Record) []Record {
			r[send].Text = "sent"
			return r
		}, true},
		"a send goes to another node": {func(r []Record) []Record {
			r[send].Node = "elsewhere"
			return r
		}, true},
		"a send has another timeout": {func(r []Record) []Record {
			r[send].Duration++
			return r
		}, true},
		"a rejection is of another request": {func(r []Record) []Record {
			r[reject].ID += "0"
			return r
		}, true},
		"a rejection has another Retry-After": {func(r []Record) []Record {
			r[reject].Duration++
			return r
		}, true},
		"a timer has another key": {func(r []Record) []Record {
			r[setTimer].Key++
			return r
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			events, err := replayRecords(t, reader.Head, test.change(slices.Clone(recorded)))
			var difference *Difference
			switch {
			case test.differs && !errors.As(err, &difference):
				t.Errorf("%d events replayed: %v, want a difference", events, err)
			case !test.differs && (err != nil || events != wholeDay):
				t.Errorf("%d events replayed: %v, want all %d without a difference", events, err, wholeDay)
			}
		})
	}
}
