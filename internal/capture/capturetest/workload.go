// Package capturetest makes random workloads for tests of captures.
package capturetest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"reachpulley/scheduler"
)

// Scheduler is the receiver of the events of a Workload.
type Scheduler interface {
	RequestArrived(now time.Duration, request scheduler.Request)
	ClientDisconnected(now time.Duration, id string)
	AttemptEnded(now time.Duration, outcome scheduler.Outcome)
	MembershipChanged(now time.Duration, membership scheduler.Membership)
	Restrict(now time.Duration, restriction scheduler.Restriction)
	TimerFired(now time.Duration, key uint64)
}

// Workload is a random sequence of events that follows from its seed. Of the actions that a Scheduler calls for, it
// carries out two: attempts that are sent end at a random time, and timers that are set fire.
type Workload struct {
	random   *rand.Rand
	now      time.Duration
	inFlight []scheduler.Outcome // incomplete outcomes of the attempts that have not ended
	timers   []timer
	attempts map[string]int // numbers of attempts that were sent, by request ID
}

type timer struct {
	at  time.Duration
	key uint64
}

// NewWorkload returns the workload of a seed. Its events begin at one hour on the Scheduler's clock.
func NewWorkload(seed uint64) *Workload { return NewWorkloadAt(seed, time.Hour) }

// NewWorkloadAt returns the workload of a seed. Its events begin at the time now on the Scheduler's clock.
func NewWorkloadAt(seed uint64, now time.Duration) *Workload {
	return &Workload{
		random:   rand.New(rand.NewPCG(seed, 7)),
		now:      now,
		attempts: map[string]int{},
	}
}

// Send starts an attempt, which ends at a random later event.
func (w *Workload) Send(id, node string, _ time.Duration) {
	w.inFlight = append(w.inFlight, scheduler.Outcome{
		ID:        id,
		Attempt:   w.attempts[id],
		Node:      node,
		VolumeUse: -1,
	})
	w.attempts[id]++
}

// SetTimer sets a timer, which fires before the first random event at or after its time.
func (w *Workload) SetTimer(after time.Duration, key uint64) {
	w.timers = append(w.timers, timer{w.now + after, key})
}

// Cancel does nothing: the attempt ends as any other one does.
func (w *Workload) Cancel(string, int) {}

// Reject does nothing.
func (w *Workload) Reject(string, time.Duration) {}

// Fail does nothing.
func (w *Workload) Fail(string) {}

// Probe does nothing.
func (w *Workload) Probe(string) {}

// Watch does nothing: the membership changes at random.
func (w *Workload) Watch() {}

// Log does nothing.
func (w *Workload) Log(string) {}

// Play gives random events to a Scheduler: arrivals, disconnects, outcomes of every kind, changes of membership
// and restrictions. Before each of them, it fires the timers that are due.
//
// The order of the random draws must not change, because recorded captures of tests depend on it.
func (w *Workload) Play(s Scheduler, events int) {
	for i := range events {
		w.now += time.Duration(w.pick(8)) * ms * time.Duration(w.pick(3))
		w.fireTimers(s)
		switch w.pick(12) {
		case 0:
			s.MembershipChanged(w.now, w.membership())
		case 1:
			s.ClientDisconnected(w.now, fmt.Sprint(w.pick(i+1)))
		case 2, 3, 4, 5:
			s.RequestArrived(w.now, w.request(i))
		case 6:
			if w.pick(4) == 0 {
				s.Restrict(w.now, w.restriction())
			}
		default:
			if len(w.inFlight) > 0 {
				s.AttemptEnded(w.now, w.endAttempt())
			}
		}
	}
}

// pick draws a number from 0 to n-1.
func (w *Workload) pick(n int) int { return w.random.IntN(n) }

// fireTimers fires the timers that are due, in the order in which they were set.
func (w *Workload) fireTimers(s Scheduler) {
	for i := 0; i < len(w.timers); i++ {
		due := w.timers[i]
		if due.at > w.now {
			continue
		}
		w.timers = slices.Delete(w.timers, i, i+1)
		i--
		s.TimerFired(w.now, due.key) // it may set further timers
	}
}

// membership draws a list of up to six nodes in two zones.
func (w *Workload) membership() scheduler.Membership {
	membership := scheduler.Membership{Kind: scheduler.MembershipKind(w.pick(4))}
	for i := range 6 {
		if w.pick(4) == 0 {
			continue
		}
		membership.Nodes = append(membership.Nodes, scheduler.Node{
			ID:        fmt.Sprint("n", i),
			Zone:      i % 2,
			Shard:     i % 3,
			Phase:     scheduler.Phase(w.pick(5) / 3),
			Size:      1,
			StartedAt: time.Duration(w.pick(2)) * w.now,
		})
	}
	return membership
}

// operations are the operations of requests. Requests of the first one have no description.
var operations = [...]string{"", "GET /a", "PUT /b"}

// request draws a request. A volume has the same plan and the same number of hosts in all requests.
func (w *Workload) request(number int) scheduler.Request {
	volume := w.pick(5)
	return scheduler.Request{
		ID:            fmt.Sprint(number),
		Class:         w.pick(3),
		Plan:          volume % 2,
		Volume:        fmt.Sprint("v", volume),
		Key:           fmt.Sprint("k", w.pick(9)),
		Units:         float64(1 + w.pick(8)),
		Shard:         w.pick(4) - 1,
		ClientTimeout: time.Duration(1+w.pick(2500)) * ms,
		Hosts:         1 + volume%2,
		Operation:     operations[w.pick(3)],
		RetryPolicy: scheduler.RetryPolicy{
			Idempotency: scheduler.Idempotency(w.pick(9) / 4),
			Scope:       scheduler.DedupScope(w.pick(3)),
			Window:      time.Duration(1+w.pick(4000)) * ms,
		},
	}
}

// restriction draws a restriction of an operation, at one node or at all of them.
func (w *Workload) restriction() scheduler.Restriction {
	restriction := scheduler.Restriction{
		Operation: operations[1+w.pick(2)],
		Level:     scheduler.RestrictionLevel(w.pick(int(scheduler.AvoidNode) + 1)),
	}
	if w.pick(3) > 0 {
		restriction.Node = fmt.Sprint("n", w.pick(6))
	}
	return restriction
}

// endAttempt draws an attempt that is in flight, and its outcome.
func (w *Workload) endAttempt() scheduler.Outcome {
	i := w.pick(len(w.inFlight))
	outcome := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	outcome.Result = scheduler.Served
	if w.pick(4) == 0 {
		outcome.Result = scheduler.Result(w.pick(int(scheduler.NotSent) + 1))
	}
	outcome.Latency = time.Duration(1+w.pick(300)) * ms
	outcome.VolumeUse = w.random.Float64()*2 - 0.5
	outcome.OtherUnits = float64(w.pick(5))
	outcome.Concluded = outcome.Result == scheduler.Served
	return outcome
}
