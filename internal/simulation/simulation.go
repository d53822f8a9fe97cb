// Package simulation is a discrete-event simulation of gateways, storage nodes and clients. Nodes queue requests, slow
// down and fail. Gateways make their decisions with package scheduler. Clients wait for answers and retry.
//
// The package has two scenarios. Storm is a retry storm, a metastable failure that outlives its cause. ZoneScenario is
// the loss and return of whole zones of nodes.
//
// A simulation runs in the goroutine of its caller and is deterministic: the same seed gives the same results. They
// depend on the order of random draws and of calls of Simulation.After, so changing either order changes the results of
// every seed.
package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// startTime is the time at which the clock of a simulation begins. It is not 0 because a Scheduler takes a time of 0
// for one that is long past.
const startTime = time.Hour

// randomStream is the stream of the random generator. It makes the draws of simulations independent of other draws with
// the same seed.
const randomStream = 11

// Simulation is the simulated clock, the source of random draws and the queue of future events.
type Simulation struct {
	Now    time.Duration
	Random *rand.Rand

	events   eventQueue
	sequence uint64 // number of the event that was scheduled last
}

// New returns a simulation without events.
func New(seed uint64) *Simulation {
	return &Simulation{
		Now:    startTime,
		Random: rand.New(rand.NewPCG(seed, randomStream)),
	}
}

// After schedules a call of run after a delay. A negative delay counts as 0. Calls that are due at the same time are
// made in the order in which they were scheduled.
func (s *Simulation) After(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{
		at:       s.Now + max(0, delay),
		sequence: s.sequence,
		run:      run,
	})
}

// Run advances the clock by a duration and runs the events that become due.
func (s *Simulation) Run(duration time.Duration) {
	end := s.Now + duration
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.Now = next.at
		next.run()
	}
	s.Now = end
}

// event is a scheduled function call.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap.Interface with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// secondAt returns the element for the second that contains an elapsed time since the start of the simulation. Times
// after the last second belong to the last second.
func secondAt[T any](seconds []T, elapsed time.Duration) *T {
	return &seconds[min(int(elapsed/time.Second), len(seconds)-1)]
}
