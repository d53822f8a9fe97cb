// Package simprotocol translates between the scheduler and the tab-separated lines of the simulator. A Decoder reads
// batches of events, an Encoder writes the actions that the scheduler answers them with, and ParseSettings reads the
// settings of an instance. The package decides nothing.
package simprotocol

import (
	"time"

	"reachpulley/scheduler"
)

// EventKind says what happened, and which fields of an Event are set besides Kind and Instance.
type EventKind int

// The kinds of Event. But for the first two, they are named after the methods of scheduler.Scheduler.
const (
	InstanceStarted    EventKind = iota // Seed, Settings
	InstanceStopped                     // none
	MembershipChanged                   // Membership
	RequestArrived                      // Request
	ProbeEnded                          // Probe
	StreamStarted                       // Outcome: ID, Attempt, Node, Latency
	ClientDisconnected                  // ID
	AttemptEnded                        // Outcome
	TimerFired                          // Timer
)

// Event is one thing that happened to one instance of the scheduler.
type Event struct {
	Kind       EventKind
	Instance   int
	Seed       uint64
	Settings   scheduler.Settings
	Membership scheduler.Membership
	Request    scheduler.Request
	Probe      scheduler.ProbeResult
	ID         string
	Outcome    scheduler.Outcome
	Timer      uint64
}

// Batch is what happened at one time. Every batch is answered by one reply.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// bufferSize is the size of the buffers of Decoder and Encoder.
const bufferSize = 1 << 20
