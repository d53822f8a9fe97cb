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
	Siblings: 2, Zones: []string{"a", "b"}, MustAsk: true,
	Classes: []scheduler.Class{{Name: "read", Aim: 300 * ms, Deadline: 1500 * ms, Worth: 3},
		{Name: "write", Aim: 400 * ms, Deadline: 2500 * ms, Worth: 2, Repeats: scheduler.Keyed, RepeatGroup: scheduler.GroupShard, RepeatFor: 4 * time.Second, Writes: true},
		{Name: "once", Aim: 400 * ms, Deadline: 2500 * ms, Worth: 2, Repeats: scheduler.Unsafe, Writes: true, Ordered: true}},
	Plans: []scheduler.Plan{{Name: "gold", Rate: 50, Reserve: 20, Weight: 2, Price: 1, Limit: 80, Burst: 40}, {Name: "tin", Rate: 10, Weight: 1, Price: 0.5}},
	Rules: scheduler.Rules{DrainGrace: 250 * ms, ColdFrom: 0.18, WarmWithin: 17 * time.Second, ColdWindow: 3 * time.Second, ColdUnits: 76, ColdMultiple: 4,
		BudgetWindow: 10 * time.Second, BudgetExtra: 10, BudgetShare: 0.1},
	Allowed: scheduler.Allowed{Cancel: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: 500 * ms, MaxAttempts: 4},
	Sizes:   scheduler.Sizes{MeanUnits: 2, MostUnits: 8, ShareWorth: 0.4, SpareWorth: 0.1},
	Rooms: zonefailover.Settings{Tiers: []int{0, 1}, Spill: 20, Burst: 16, Share: 1, Siblings: 2, ListLate: 2 * time.Second,
		Work: []zonefailover.Work{{Class: 2, Plan: -1, Tiers: []int{zonefailover.Forbidden, 0}}}},
	Retry: retrybudget.Settings{Share: 0.5, Least: 0.05, Trickle: 1, Burst: 5, Cells: 16},
}

// operations are what requests are called by; the first is not described.
var operations = [...]string{"", "GET /a", "PUT /b"}

// World carries actions out at random: attempts end sometime, timers go off.
type World struct {
	random *rand.Rand
	open   []scheduler.Outcome
	timers []timer
	now    time.Duration
	tries  map[string]int
}

// NewWorld makes a world whose events follow from the seed.
func NewWorld(seed uint64) *World { return WorldAt(seed, time.Hour) }

// WorldAt makes one whose clock reads now.
func WorldAt(seed uint64, now time.Duration) *World {
	return &World{random: rand.New(rand.NewPCG(seed, 7)), now: now, tries: map[string]int{}}
}

// Scheduler is what is told the events.
type Scheduler interface {
	Arrived(now time.Duration, q scheduler.Request)
	Left(now time.Duration, id string)
	Ended(now time.Duration, o scheduler.Outcome)
	Members(now time.Duration, m scheduler.Membership)
	Caution(now time.Duration, c scheduler.Caution)
	Timer(now time.Duration, key uint64)
}

type timer struct {
	at  time.Duration
	key uint64
}

func (w *World) Send(id, node string, _ time.Duration) {
	w.open = append(w.open, scheduler.Outcome{ID: id, Attempt: w.tries[id], Node: node, Use: -1})
	w.tries[id]++
}
func (w *World) Cancel(string, int)           {}
func (w *World) Refuse(string, time.Duration) {}
func (w *World) Fail(string)                  {}
func (w *World) Probe(string)                 {}
func (w *World) SetTimer(after time.Duration, key uint64) {
	w.timers = append(w.timers, timer{w.now + after, key})
}
func (w *World) Watch()     {}
func (w *World) Log(string) {}

// Play tells a Scheduler random events: arrivals, leavings, outcomes of every kind, lists, timers of the same instant.
func (w *World) Play(r Scheduler, events int) {
	pick := w.random.IntN
	for i := range events {
		w.now += time.Duration(pick(8)) * ms * time.Duration(pick(3))
		for j := 0; j < len(w.timers); j++ {
			if one := w.timers[j]; one.at <= w.now {
				w.timers = append(w.timers[:j], w.timers[j+1:]...)
				j--
				r.Timer(w.now, one.key)
			}
		}
		switch pick(12) {
		case 0:
			m := scheduler.Membership{Kind: scheduler.ListKind(pick(4))}
			for n := range 6 {
				if pick(4) > 0 {
					m.Nodes = append(m.Nodes, scheduler.Node{ID: fmt.Sprint("n", n), Zone: n % 2, Shard: n % 3, Phase: scheduler.Phase(pick(5) / 3), Size: 1,
						StartedAt: time.Duration(pick(2)) * w.now})
				}
			}
			r.Members(w.now, m)
		case 1:
			r.Left(w.now, fmt.Sprint(pick(i+1)))
		case 2, 3, 4, 5:
			volume := pick(5) // its plan and its hosts stay what they are
			r.Arrived(w.now, scheduler.Request{ID: fmt.Sprint(i), Class: pick(3), Plan: volume % 2, Volume: fmt.Sprint("v", volume), Key: fmt.Sprint("k", pick(9)),
				Units: float64(1 + pick(8)), Shard: pick(4) - 1, Patience: time.Duration(1+pick(2500)) * ms, Hosts: 1 + volume%2,
				Operation: operations[pick(3)], Bound: scheduler.Bound{Repeats: scheduler.Repeats(pick(9) / 4), Group: scheduler.Group(pick(3)),
					For: time.Duration(1+pick(4000)) * ms}})
		case 6:
			if pick(4) == 0 {
				c := scheduler.Caution{Operation: operations[1+pick(2)], Level: scheduler.Care(pick(int(scheduler.CareAvoid) + 1))}
				if pick(3) > 0 {
					c.Node = fmt.Sprint("n", pick(6))
				}
				r.Caution(w.now, c)
			}
		default:
			if len(w.open) > 0 {
				j := pick(len(w.open))
				o := w.open[j]
				w.open = append(w.open[:j], w.open[j+1:]...)
				if o.Result = scheduler.Served; pick(4) == 0 {
					o.Result = scheduler.Result(pick(int(scheduler.Moot) + 1))
				}
				o.Latency = time.Duration(1+pick(300)) * ms
				o.Use, o.Others = w.random.Float64()*2-0.5, float64(pick(5))
				o.Done = o.Result == scheduler.Served
				r.Ended(w.now, o)
			}
		}
	}
}
