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
	Arrived Kind = iota + 1
	Left
	Ended
	Probed
	Members
	Timer
	Began
	Send
	Cancel
	Refuse
	Fail
	Probe
	SetTimer
	Watch
	_ // once a call for the whole list
	Log
	Gap       // records were lost here: what follows can be replayed from the next Snapshot only
	Snapshot  // the Scheduler's state before the next event
	Recalled  // an event: what an earlier life had learned
	Note      // what somebody else has to tell of that time; the decisions know nothing of it
	Cautioned // an event: how carefully an operation is to be handled
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
func (k Kind) IsEvent() bool { return k >= Arrived && k <= Began || k == Recalled || k == Cautioned }

// Record is one event or action. Fields that its kind has no use for are zero and take no room when it is written.
type Record struct {
	Kind    Kind                   `cbor:"1,keyasint"`
	At      time.Duration          `cbor:"2,keyasint,omitempty"` // of an event; actions belong to the event before them
	ID      string                 `cbor:"3,keyasint,omitempty"`
	Node    string                 `cbor:"4,keyasint,omitempty"`
	Attempt int                    `cbor:"5,keyasint,omitempty"`
	Span    time.Duration          `cbor:"6,keyasint,omitempty"` // a send's time-out, a refusal's advice, a timer's time
	Key     uint64                 `cbor:"7,keyasint,omitempty"` // of a timer; of a Snapshot, how many events were before it
	Text    string                 `cbor:"8,keyasint,omitempty"`
	Request *scheduler.Request     `cbor:"9,keyasint,omitempty"`
	Outcome *scheduler.Outcome     `cbor:"10,keyasint,omitempty"`
	Probed  *scheduler.ProbeResult `cbor:"11,keyasint,omitempty"`
	Members *scheduler.Membership  `cbor:"12,keyasint,omitempty"`
	Lost    int                    `cbor:"13,keyasint,omitempty"` // records, of a Gap
	State   *scheduler.Snapshot    `cbor:"14,keyasint,omitempty"` // of a Snapshot
	Learned *scheduler.Learned     `cbor:"15,keyasint,omitempty"` // of a Recalled
	Caution *scheduler.Caution     `cbor:"16,keyasint,omitempty"`
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
	Arrived(now time.Duration, q scheduler.Request)
	Left(now time.Duration, id string)
	Ended(now time.Duration, o scheduler.Outcome)
	Probed(now time.Duration, p scheduler.ProbeResult)
	Members(now time.Duration, m scheduler.Membership)
	Timer(now time.Duration, key uint64)
	Began(now time.Duration, id string, attempt int)
	Recall(now time.Duration, l scheduler.Learned)
	Caution(now time.Duration, c scheduler.Caution)
}

// Tell has a Scheduler take an event.
func Tell(s Scheduler, r *Record) error {
	switch {
	case r.Kind == Arrived && r.Request != nil:
		s.Arrived(r.At, *r.Request)
	case r.Kind == Left:
		s.Left(r.At, r.ID)
	case r.Kind == Ended && r.Outcome != nil:
		s.Ended(r.At, *r.Outcome)
	case r.Kind == Probed && r.Probed != nil:
		s.Probed(r.At, *r.Probed)
	case r.Kind == Members && r.Members != nil:
		s.Members(r.At, *r.Members)
	case r.Kind == Timer:
		s.Timer(r.At, r.Key)
	case r.Kind == Began:
		s.Began(r.At, r.ID, r.Attempt)
	case r.Kind == Recalled && r.Learned != nil:
		s.Recall(r.At, *r.Learned)
	case r.Kind == Cautioned && r.Caution != nil:
		s.Caution(r.At, *r.Caution)
	default:
		return fmt.Errorf("a record of kind %q that lacks its part, or is no event", r.Kind)
	}
	return nil
}

// Actions gives each action that is called for as a record.
func Actions(add func(Record)) scheduler.Actions { return told{add} }

// told gives actions as records.
type told struct{ add func(Record) }

func (t told) Send(id, node string, timeout time.Duration) {
	t.add(Record{Kind: Send, ID: id, Node: node, Span: timeout})
}
func (t told) Cancel(id string, attempt int) { t.add(Record{Kind: Cancel, ID: id, Attempt: attempt}) }
func (t told) Refuse(id string, after time.Duration) {
	t.add(Record{Kind: Refuse, ID: id, Span: after})
}
func (t told) Fail(id string)    { t.add(Record{Kind: Fail, ID: id}) }
func (t told) Probe(node string) { t.add(Record{Kind: Probe, Node: node}) }
func (t told) SetTimer(after time.Duration, key uint64) {
	t.add(Record{Kind: SetTimer, Span: after, Key: key})
}
func (t told) Watch()          { t.add(Record{Kind: Watch}) }
func (t told) Log(text string) { t.add(Record{Kind: Log, Text: text}) }
