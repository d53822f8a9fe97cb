package capture

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

// Kind says what a Record holds.
type Kind uint8

// The kinds of records: events that the Scheduler was given, actions that it called for, and records about the capture
// itself. Their numbers are part of the file format, so a new kind is added at the end.
const (
	KindRequestArrived Kind = iota + 1
	KindClientDisconnected
	KindAttemptEnded
	KindProbeEnded
	KindMembershipChanged
	KindTimerFired
	KindStreamStarted
	KindSend
	KindCancel
	KindReject
	KindFail
	KindProbe
	KindSetTimer
	KindWatch
	kindFetch // retired: a call for the whole endpoint list
	KindLog
	KindGap        // records were lost here; a replay resumes only at the next snapshot
	KindSnapshot   // the Scheduler's state before the next event
	KindRestored   // an event: the learned state of a previous incarnation
	KindNote       // a remark of another component, which the Scheduler does not see
	KindRestricted // an event: a restriction of how an operation is handled
)

// kindNames are part of the JSON that captures are exported as, so they do not change.
var kindNames = [...]string{
	KindRequestArrived:     "arrived",
	KindClientDisconnected: "left",
	KindAttemptEnded:       "ended",
	KindProbeEnded:         "probed",
	KindMembershipChanged:  "members",
	KindTimerFired:         "timer",
	KindStreamStarted:      "began",
	KindSend:               "send",
	KindCancel:             "cancel",
	KindReject:             "refuse",
	KindFail:               "fail",
	KindProbe:              "probe",
	KindSetTimer:           "set-timer",
	KindWatch:              "watch",
	kindFetch:              "fetch",
	KindLog:                "log",
	KindGap:                "gap",
	KindSnapshot:           "snapshot",
	KindRestored:           "recalled",
	KindNote:               "note",
	KindRestricted:         "cautioned",
}

// String returns the name of the kind in exported captures.
func (k Kind) String() string {
	if int(k) >= len(kindNames) || k == 0 {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// IsEvent reports whether records of this kind are events, which the Scheduler is given.
func (k Kind) IsEvent() bool {
	return k >= KindRequestArrived && k <= KindStreamStarted || k == KindRestored || k == KindRestricted
}

// isAction reports whether records of this kind are actions, which the Scheduler calls for. Kinds that this program
// does not know also count as actions.
func (k Kind) isAction() bool {
	return !k.IsEvent() && k != KindGap && k != KindSnapshot && k != KindNote
}

// Record is an event, an action, a snapshot, a gap or a note. Fields that its kind does not use are zero and take no
// space in a file. Exported captures use the JSON names.
type Record struct {
	Kind Kind `cbor:"1,keyasint"`
	// At is the time of an event on the Scheduler's clock. Actions take place at the time of the event before them.
	At      time.Duration `cbor:"2,keyasint,omitempty"`
	ID      string        `cbor:"3,keyasint,omitempty"`
	Node    string        `cbor:"4,keyasint,omitempty"`
	Attempt int           `cbor:"5,keyasint,omitempty"`
	// Duration is the timeout of a send, the Retry-After of a rejection, or the time after which a timer fires.
	Duration time.Duration `cbor:"6,keyasint,omitempty" json:"Span"`
	// Key is the key of a timer. For a snapshot, it is the number of events that the Recorder recorded before it.
	Key         uint64                 `cbor:"7,keyasint,omitempty"`
	Text        string                 `cbor:"8,keyasint,omitempty"`
	Request     *scheduler.Request     `cbor:"9,keyasint,omitempty"`
	Outcome     *scheduler.Outcome     `cbor:"10,keyasint,omitempty"`
	ProbeResult *scheduler.ProbeResult `cbor:"11,keyasint,omitempty" json:"Probed"`
	Membership  *scheduler.Membership  `cbor:"12,keyasint,omitempty" json:"Members"`
	// Lost is the number of records that were lost at a gap.
	Lost int `cbor:"13,keyasint,omitempty"`
	// State is the state that a snapshot holds.
	State *scheduler.Snapshot `cbor:"14,keyasint,omitempty"`
	// Learned is the learned state that was restored.
	Learned     *scheduler.LearnedState `cbor:"15,keyasint,omitempty"`
	Restriction *scheduler.Restriction  `cbor:"16,keyasint,omitempty" json:"Caution"`
}

// Head holds what a replay needs in addition to the snapshots. It is the first frame of a capture.
type Head struct {
	Version  int                `cbor:"1,keyasint"`
	Program  string             `cbor:"2,keyasint"` // version of the program that recorded, for readers of the capture
	Seed     uint64             `cbor:"3,keyasint"`
	Settings scheduler.Settings `cbor:"4,keyasint"`
	// Origin is the Unix time, in nanoseconds, at which the Scheduler's clock reads 0. It is 0 if that is not known.
	Origin int64 `cbor:"5,keyasint,omitempty"`
}

// Version is the version of the file format that this program writes, and the only one that it reads. It changes
// whenever scheduler.SnapshotVersion does.
const Version = 5
