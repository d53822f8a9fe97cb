package capture

import (
	"bytes"
	"fmt"
)

// Difference is the error of a replay in which an action or a state differs from the recorded one. It describes the
// first difference.
type Difference struct {
	// Event is the number of the event since the Recorder's start, from 0. If a state differs, it is the number of the
	// event after the snapshot.
	Event    uint64
	Input    *Record  // the event, or the recorded snapshot if a state differs
	Recorded *Record  // the action or the snapshot that was recorded; nil: none
	Replayed *Record  // the action or the snapshot of the replay; nil: none
	Before   []Record // the events before this one, up to maxEventsBefore, the oldest first
}

// maxEventsBefore is the maximum number of events in Difference.Before.
const maxEventsBefore = 20

// Error says at which event the replay differs, and how.
func (d *Difference) Error() string {
	return fmt.Sprintf("event %d (%s at %v): recorded %s, replayed %s",
		d.Event, d.Input.Kind, d.Input.At, describe(d.Recorded), describe(d.Replayed))
}

// describe describes the recorded or the replayed side of a difference.
func describe(r *Record) string {
	if r == nil {
		return "nothing"
	}
	if r.Kind == KindSnapshot {
		return "a state that differs"
	}
	encoded, err := encoding.Marshal(r)
	return fmt.Sprintf("%s (request %q, node %q, encoded as %x, error: %v)", r.Kind, r.ID, r.Node, encoded, err)
}

// sameAction reports whether a recorded action and a replayed one are equal, apart from the text of a log line. The
// text is written for people and may differ between builds, so another text is not another decision. That a line was
// logged, and its position among the actions, are compared as for any action. Head.Program can't limit this to captures
// of other builds, because it is the same string for all builds from a source tree.
func sameAction(recorded, replayed *Record) bool {
	if recorded.Kind == KindLog && replayed.Kind == KindLog {
		withoutText := *recorded
		withoutText.Text = replayed.Text
		return sameRecord(&withoutText, replayed)
	}
	return sameRecord(recorded, replayed)
}

// sameRecord reports whether two records have the same encoding.
func sameRecord(a, b *Record) bool {
	if *a == *b { // equal values have the same encoding; most actions end here, as they hold no pointers
		return true
	}
	encodedA, errA := encoding.Marshal(a)
	encodedB, errB := encoding.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}
