package capture

import (
	"bytes"
	"fmt"
)

// Difference is the error of a replay that does something else than was recorded. It describes the first such place.
type Difference struct {
	Event    uint64   // number of the event since the Recorder's start, from 0
	Input    *Record  // the event
	Recorded *Record  // the action that was recorded; nil: none
	Replayed *Record  // the action of the replay; nil: none
	Before   []Record // the events before it, the oldest first
}

// maxEventsBefore bounds Difference.Before.
const maxEventsBefore = 20

// Error says at which event the replay differs, and how.
func (d *Difference) Error() string {
	return fmt.Sprintf("event %d (%s at %v): recorded %s, replayed %s",
		d.Event, d.Input.Kind, d.Input.At, describe(d.Recorded), describe(d.Replayed))
}

func describe(r *Record) string {
	if r == nil {
		return "nothing"
	}
	if r.Kind == KindSnapshot {
		return "another state"
	}
	encoded, err := encoding.Marshal(r)
	return fmt.Sprintf("%s %s%s (%x, %v)", r.Kind, r.ID, r.Node, encoded, err)
}

// sameAction compares a recorded action with a replayed one. The text of a log line is left out of the comparison:
// it is worded for people and may be worded differently by each build, so another text is not another decision.
// That a line was logged, and at which place among the actions, is compared as for any action. Head.Program can't
// limit this to captures of other builds, because it is the same string for all builds from a source tree.
func sameAction(recorded, replayed *Record) bool {
	if recorded.Kind == KindLog && replayed.Kind == KindLog {
		withoutText := *recorded
		withoutText.Text = replayed.Text
		return sameRecord(&withoutText, replayed)
	}
	return sameRecord(recorded, replayed)
}

// sameRecord compares two records by their encoding.
func sameRecord(a, b *Record) bool {
	if *a == *b { // actions hold no pointers, and what is equal has the same encoding
		return true
	}
	encodedA, errA := encoding.Marshal(a)
	encodedB, errB := encoding.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}
