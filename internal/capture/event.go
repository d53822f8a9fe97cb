// Package capture keeps what the decisions were told and what they called for, and plays it again. A Scheduler has no clock
// and no I/O, so the same events must give the same actions, to the byte.
package capture

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

// Kind tells what a Record holds.
type Kind uint8

// The kinds: events that the Scheduler was told, then actions that it called for. Their numbers are part of the format.
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
	_ // once a call for the whole list
	KindLog
	KindGap        // records were lost here: what follows can be replayed from the next Snapshot only
	KindSnapshot   // the Scheduler's state before the next event
	KindRestored   // an event: what an earlier life had learned
	KindNote       // what somebody else has to tell of that time; the decisions know nothing of it
	KindRestricted // an event: how carefully an operation is to be handled
)

var kindNames = [...]string{"", "arrived", "left", "ended", "probed", "members", "timer", "began", "send", "cancel", "refuse", "fail", "probe",
	"set-timer", "watch", "fetch", "log", "gap", "snapshot", "recalled", "note", "cautioned"}

func (k Kind) String() string {
	if int(k) >= len(kindNames) || k == 0 {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// IsEvent tells events from actions.
func (k Kind) IsEvent() bool {
	return k >= KindRequestArrived && k <= KindStreamStarted || k == KindRestored || k == KindRestricted
}

// Record is one event or action. Fields that its kind has no use for are zero and take no room when it is written.
type Record struct {
	Kind        Kind                    `cbor:"1,keyasint"`
	At          time.Duration           `cbor:"2,keyasint,omitempty"` // of an event; actions belong to the event before them
	ID          string                  `cbor:"3,keyasint,omitempty"`
	Node        string                  `cbor:"4,keyasint,omitempty"`
	Attempt     int                     `cbor:"5,keyasint,omitempty"`
	Duration    time.Duration           `cbor:"6,keyasint,omitempty" json:"Span"` // a send's time-out, a refusal's advice, a timer's time
	Key         uint64                  `cbor:"7,keyasint,omitempty"`             // of a timer; of a Snapshot, how many events were before it
	Text        string                  `cbor:"8,keyasint,omitempty"`
	Request     *scheduler.Request      `cbor:"9,keyasint,omitempty"`
	Outcome     *scheduler.Outcome      `cbor:"10,keyasint,omitempty"`
	ProbeResult *scheduler.ProbeResult  `cbor:"11,keyasint,omitempty" json:"Probed"`
	Membership  *scheduler.Membership   `cbor:"12,keyasint,omitempty" json:"Members"`
	Lost        int                     `cbor:"13,keyasint,omitempty"` // records, of a Gap
	State       *scheduler.Snapshot     `cbor:"14,keyasint,omitempty"` // of a Snapshot
	Learned     *scheduler.LearnedState `cbor:"15,keyasint,omitempty"` // of a Recalled
	Restriction *scheduler.Restriction  `cbor:"16,keyasint,omitempty" json:"Caution"`
}

// Head is what a replay needs beside the snapshots.
type Head struct {
	Version  int                `cbor:"1,keyasint"`
	Program  string             `cbor:"2,keyasint"`
	Seed     uint64             `cbor:"3,keyasint"`
	Settings scheduler.Settings `cbor:"4,keyasint"`
	Origin   int64              `cbor:"5,keyasint,omitempty"` // Unix time, in nanoseconds, at which the Scheduler's clock reads 0; 0: unknown
}

// Version of the format that this program writes and the only one that it reads. It changes whenever scheduler.SnapshotVersion does.
const Version = 5

// Scheduler is what the decisions are told; *scheduler.Scheduler is one.
type Scheduler interface {
	RequestArrived(now time.Duration, q scheduler.Request)
	ClientDisconnected(now time.Duration, id string)
	AttemptEnded(now time.Duration, o scheduler.Outcome)
	ProbeEnded(now time.Duration, p scheduler.ProbeResult)
	MembershipChanged(now time.Duration, m scheduler.Membership)
	TimerFired(now time.Duration, key uint64)
	StreamStarted(now time.Duration, id string, attempt int)
	Restore(now time.Duration, l scheduler.LearnedState)
	Restrict(now time.Duration, c scheduler.Restriction)
}

// Apply has a Scheduler take an event.
func Apply(s Scheduler, r *Record) error {
	switch {
	case r.Kind == KindRequestArrived && r.Request != nil:
		s.RequestArrived(r.At, *r.Request)
	case r.Kind == KindClientDisconnected:
		s.ClientDisconnected(r.At, r.ID)
	case r.Kind == KindAttemptEnded && r.Outcome != nil:
		s.AttemptEnded(r.At, *r.Outcome)
	case r.Kind == KindProbeEnded && r.ProbeResult != nil:
		s.ProbeEnded(r.At, *r.ProbeResult)
	case r.Kind == KindMembershipChanged && r.Membership != nil:
		s.MembershipChanged(r.At, *r.Membership)
	case r.Kind == KindTimerFired:
		s.TimerFired(r.At, r.Key)
	case r.Kind == KindStreamStarted:
		s.StreamStarted(r.At, r.ID, r.Attempt)
	case r.Kind == KindRestored && r.Learned != nil:
		s.Restore(r.At, *r.Learned)
	case r.Kind == KindRestricted && r.Restriction != nil:
		s.Restrict(r.At, *r.Restriction)
	default:
		return fmt.Errorf("a record of kind %q that lacks its part, or is no event", r.Kind)
	}
	return nil
}

// RecordActions gives each action that is called for as a record.
func RecordActions(add func(Record)) scheduler.Actions { return actionRecorder{add} }

// actionRecorder gives actions as records.
type actionRecorder struct{ add func(Record) }

func (t actionRecorder) Send(id, node string, timeout time.Duration) {
	t.add(Record{Kind: KindSend, ID: id, Node: node, Duration: timeout})
}
func (t actionRecorder) Cancel(id string, attempt int) {
	t.add(Record{Kind: KindCancel, ID: id, Attempt: attempt})
}
func (t actionRecorder) Reject(id string, after time.Duration) {
	t.add(Record{Kind: KindReject, ID: id, Duration: after})
}
func (t actionRecorder) Fail(id string)    { t.add(Record{Kind: KindFail, ID: id}) }
func (t actionRecorder) Probe(node string) { t.add(Record{Kind: KindProbe, Node: node}) }
func (t actionRecorder) SetTimer(after time.Duration, key uint64) {
	t.add(Record{Kind: KindSetTimer, Duration: after, Key: key})
}
func (t actionRecorder) Watch()          { t.add(Record{Kind: KindWatch}) }
func (t actionRecorder) Log(text string) { t.add(Record{Kind: KindLog, Text: text}) }
