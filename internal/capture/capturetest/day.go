// Package capturetest makes random days for tests of captures.
package capturetest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

const ms = time.Millisecond

// Settings have a class of each kind of repeats, a limited plan, cold nodes and a budget.
var Settings = scheduler.Settings{
	Siblings: 2, Zones: []string{"a", "b"}, PollMembership: true,
	Classes: []scheduler.Class{{Name: "read", LatencyObjective: 300 * ms, Deadline: 1500 * ms, PriorityWeight: 3},
		{Name: "write", LatencyObjective: 400 * ms, Deadline: 2500 * ms, PriorityWeight: 2, Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeShard, DedupWindow: 4 * time.Second, Writes: true},
		{Name: "once", LatencyObjective: 400 * ms, Deadline: 2500 * ms, PriorityWeight: 2, Idempotency: scheduler.NonIdempotent, Writes: true, Ordered: true}},
	Plans: []scheduler.Plan{{Name: "gold", Rate: 50, Reserve: 20, Weight: 2, Price: 1, Limit: 80, Burst: 40}, {Name: "tin", Rate: 10, Weight: 1, Price: 0.5}},
	Rules: scheduler.Rules{DrainGrace: 250 * ms, SlowStartShare: 0.18, SlowStartDuration: 17 * time.Second, SlowStartWindow: 3 * time.Second, SlowStartAllowance: 76, SlowStartMultiple: 4,
		RetryBudgetWindow: 10 * time.Second, RetryBudgetBase: 10, RetryBudgetShare: 0.1},
	Allowed: scheduler.Allowed{Cancel: true, HedgedRequests: true, RetryAfter: true, MaxRetryAfter: 500 * ms, MaxAttempts: 4},
	Sizes:   scheduler.Sizes{MeanUnits: 2, MaxUnits: 8, ShareWeight: 0.4, SpareWeight: 0.1},
	ZoneFailover: zonefailover.Settings{Tiers: []int{0, 1}, Spillover: 20, Burst: 16, Share: 1, Siblings: 2, MembershipDelay: 2 * time.Second,
		Work: []zonefailover.Work{{Class: 2, Plan: -1, Tiers: []int{zonefailover.Forbidden, 0}}}},
	RetryBudget: retrybudget.Settings{Share: 0.5, MinShare: 0.05, Trickle: 1, Burst: 5, Cells: 16},
}

// operations are what requests are called by; the first is not described.
var operations = [...]string{"", "GET /a", "PUT /b"}

// Workload carries actions out at random: attempts end sometime, timers go off.
type Workload struct {
	random *rand.Rand
	open   []scheduler.Outcome
	timers []timer
	now    time.Duration
	tries  map[string]int
}

// NewWorkload makes a world whose events follow from the seed.
func NewWorkload(seed uint64) *Workload { return NewWorkloadAt(seed, time.Hour) }

// NewWorkloadAt makes one whose clock reads now.
func NewWorkloadAt(seed uint64, now time.Duration) *Workload {
	return &Workload{random: rand.New(rand.NewPCG(seed, 7)), now: now, tries: map[string]int{}}
}

// Scheduler is what is told the events.
type Scheduler interface {
	RequestArrived(now time.Duration, q scheduler.Request)
	ClientDisconnected(now time.Duration, id string)
	AttemptEnded(now time.Duration, o scheduler.Outcome)
	MembershipChanged(now time.Duration, m scheduler.Membership)
	Restrict(now time.Duration, c scheduler.Restriction)
	TimerFired(now time.Duration, key uint64)
}

type timer struct {
	at  time.Duration
	key uint64
}

func (w *Workload) Send(id, node string, _ time.Duration) {
	w.open = append(w.open, scheduler.Outcome{ID: id, Attempt: w.tries[id], Node: node, VolumeUse: -1})
	w.tries[id]++
}
func (w *Workload) Cancel(string, int)           {}
func (w *Workload) Reject(string, time.Duration) {}
func (w *Workload) Fail(string)                  {}
func (w *Workload) Probe(string)                 {}
func (w *Workload) SetTimer(after time.Duration, key uint64) {
	w.timers = append(w.timers, timer{w.now + after, key})
}
func (w *Workload) Watch()     {}
func (w *Workload) Log(string) {}

// Play tells a Scheduler random events: arrivals, leavings, outcomes of every kind, lists, timers of the same instant.
func (w *Workload) Play(r Scheduler, events int) {
	pick := w.random.IntN
	for i := range events {
		w.now += time.Duration(pick(8)) * ms * time.Duration(pick(3))
		for j := 0; j < len(w.timers); j++ {
			if one := w.timers[j]; one.at <= w.now {
				w.timers = append(w.timers[:j], w.timers[j+1:]...)
				j--
				r.TimerFired(w.now, one.key)
			}
		}
		switch pick(12) {
		case 0:
			m := scheduler.Membership{Kind: scheduler.MembershipKind(pick(4))}
			for n := range 6 {
				if pick(4) > 0 {
					m.Nodes = append(m.Nodes, scheduler.Node{ID: fmt.Sprint("n", n), Zone: n % 2, Shard: n % 3, Phase: scheduler.Phase(pick(5) / 3), Size: 1,
						StartedAt: time.Duration(pick(2)) * w.now})
				}
			}
			r.MembershipChanged(w.now, m)
		case 1:
			r.ClientDisconnected(w.now, fmt.Sprint(pick(i+1)))
		case 2, 3, 4, 5:
			volume := pick(5) // its plan and its hosts stay what they are
			r.RequestArrived(w.now, scheduler.Request{ID: fmt.Sprint(i), Class: pick(3), Plan: volume % 2, Volume: fmt.Sprint("v", volume), Key: fmt.Sprint("k", pick(9)),
				Units: float64(1 + pick(8)), Shard: pick(4) - 1, ClientTimeout: time.Duration(1+pick(2500)) * ms, Hosts: 1 + volume%2,
				Operation: operations[pick(3)], RetryPolicy: scheduler.RetryPolicy{Idempotency: scheduler.Idempotency(pick(9) / 4), Scope: scheduler.DedupScope(pick(3)),
					Window: time.Duration(1+pick(4000)) * ms}})
		case 6:
			if pick(4) == 0 {
				c := scheduler.Restriction{Operation: operations[1+pick(2)], Level: scheduler.RestrictionLevel(pick(int(scheduler.AvoidNode) + 1))}
				if pick(3) > 0 {
					c.Node = fmt.Sprint("n", pick(6))
				}
				r.Restrict(w.now, c)
			}
		default:
			if len(w.open) > 0 {
				j := pick(len(w.open))
				o := w.open[j]
				w.open = append(w.open[:j], w.open[j+1:]...)
				if o.Result = scheduler.Served; pick(4) == 0 {
					o.Result = scheduler.Result(pick(int(scheduler.NotSent) + 1))
				}
				o.Latency = time.Duration(1+pick(300)) * ms
				o.VolumeUse, o.OtherUnits = w.random.Float64()*2-0.5, float64(pick(5))
				o.Concluded = o.Result == scheduler.Served
				r.AttemptEnded(w.now, o)
			}
		}
	}
}
