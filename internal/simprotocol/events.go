// Package simprotocol translates between the scheduler and the tab-separated lines of the simulator. A Decoder reads
// batches of events, an Encoder writes the actions with which the scheduler answers them, and ParseSettings reads the
// settings of an instance. The package makes no scheduling decisions.
package simprotocol

import (
	"time"

	"reachpulley/scheduler"
)

// EventKind is the kind of an Event. It determines which fields are set besides Kind and Instance.
type EventKind int

// The kinds of Event, each with the fields that are set. All but the first two are named after the method of
// scheduler.Scheduler that takes the event.
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

// Event is an event for one instance of the scheduler.
type Event struct {
	Kind       EventKind
	Instance   int // number of the instance
	Seed       uint64
	Settings   scheduler.Settings
	Membership scheduler.Membership
	Request    scheduler.Request
	Probe      scheduler.ProbeResult
	ID         string // id of a request
	Outcome    scheduler.Outcome
	Timer      uint64 // key of a timer
}

// Batch holds the events of one point in simulated time. Every batch is answered by one reply.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// bufferSize is the size in bytes of the buffers of Decoder and Encoder.
const bufferSize = 1 << 20
