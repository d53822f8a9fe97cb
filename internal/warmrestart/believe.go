// Package warmrestart lets a gateway go on from what its earlier life had learned: it decides what of it is still to be believed, and keeps it on
// disk.
package warmrestart

import (
	"math"
	"time"

	"reachpulley/scheduler"
)

// What is believed, and for how long.
const (
	forgets   = time.Minute      // what is known of a node's capacity fades by e in this time
	forgotten = 10 * time.Minute // and is nothing after this
	reserves  = 30 * time.Second // for so long the part of a volume's reserve that came through this host holds
	backwards = time.Second      // by which a clock may have been set back between two lives
	leastRate = 0.1              // of a node's rate that still tells anything
)

// Belief tells what to take over.
type Belief struct {
	Learned scheduler.Learned
	Nodes   int // of which more than the guards' part is believed
	Faded   float64
}

// Believe decides what of a state is still true. The state was taken on an older clock; shift is what a time of that clock lies before the same moment of the
// new one, age how long ago it was taken, now the new clock's time.
//
// What the guards of rules go by is taken over whatever its age, as it can only hold back more: cold nodes, what they were sent, nodes that were
// down, used stores, ordered keys with an attempt that may still run, further attempts. What is only known of nodes fades.
func Believe(old *scheduler.Snapshot, set scheduler.Settings, now, age, shift time.Duration) Belief {
	b := Belief{Faded: math.Exp(-max(0, age).Seconds() / forgets.Seconds())}
	if age < -backwards || age > forgotten {
		b.Faded = 0
	}
	moved := func(at time.Duration) time.Duration { return min(at+shift, now) }
	fresh := startCap(set)
	for _, n := range old.Nodes[:min(max(0, old.Listed), len(old.Nodes))] {
		if n.Node.Phase == scheduler.Removed {
			continue
		}
		l := scheduler.LearnedNode{ID: n.Node.ID, Down: n.Down}
		if n.Node.StartedAt > 0 {
			l.StartedAt = max(0, moved(n.Node.StartedAt))
		}
		if n.ColdSince > 0 {
			l.ColdSince = max(1, moved(n.ColdSince)) // 0 would be warm
		}
		for _, x := range n.Sent {
			l.Sent = append(l.Sent, scheduler.SnapshotSending{At: moved(x.At), Units: max(0, x.Units)})
		}
		if b.Faded > leastRate && n.MinLatency > 0 && sound(n.Cap, n.MaxRate, n.Latency, n.MinLatency, n.Queue, n.Known) {
			l.Cap = fresh + b.Faded*(n.Cap-fresh)
			l.MaxRate = b.Faded * n.MaxRate
			l.MinLatency = n.MinLatency
			l.Latency = n.MinLatency + b.Faded*(n.Latency-n.MinLatency)
			l.Queue, l.Known, l.HeardAt = n.Queue, n.Known, moved(n.HeardAt)
			b.Nodes++
		}
		b.Learned.Nodes = append(b.Learned.Nodes, l)
	}
	for _, v := range old.Volumes {
		if !v.Held || !(v.Limit.Level < v.Limit.Most || v.Reserve.Level < v.Reserve.Most || v.Reserve.Rate > 0) {
			continue
		}
		l := scheduler.LearnedVolume{Name: v.Name, At: moved(old.Now), Limit: levelAt(v.Limit, old.Now), Reserve: levelAt(v.Reserve, old.Now)}
		if age >= -backwards && age <= reserves && sound(v.Reserve.Rate) {
			l.ReserveRate = max(0, v.Reserve.Rate)
		}
		if sound(l.Limit, l.Reserve) {
			b.Learned.Volumes = append(b.Learned.Volumes, l)
		}
	}
	b.Learned.Keys = keys(old, set, now, moved)
	b.Learned.ExtraAt = extra(old, set, moved)
	if b.Faded > leastRate && len(old.Work) == len(set.Classes) && sound(old.Work...) && sound(old.UnitTime, old.PerQueued, old.Least) {
		for _, work := range old.Work {
			b.Learned.Work = append(b.Learned.Work, 1+b.Faded*(work-1))
		}
		b.Learned.UnitTime, b.Learned.PerQueued, b.Learned.Least = old.UnitTime, old.PerQueued, old.Least
	}
	return b
}

// startCap is the cap of a node of which nothing is known.
func startCap(set scheduler.Settings) float64 {
	mean := set.Sizes.MeanUnits
	if mean == 0 {
		mean = 1
	}
	return scheduler.StartRequests * mean
}

// sound tells whether all are numbers that a Scheduler could have reached.
func sound(all ...float64) bool {
	for _, x := range all {
		if math.IsNaN(x) || math.IsInf(x, 0) || math.Abs(x) > 1e12 {
			return false
		}
	}
	return true
}

func levelAt(s scheduler.SnapshotStore, now time.Duration) float64 {
	return min(s.Most, s.Level+max(0, s.Rate)*max(0, now-s.At).Seconds())
}

// keys gives the ordered keys that rest. The earlier life may have sent more after the snapshot, so one that had an attempt out rests from now on.
func keys(old *scheduler.Snapshot, set scheduler.Settings, now time.Duration, moved func(time.Duration) time.Duration) (out []scheduler.LearnedKey) {
	until := map[string]time.Duration{}
	for _, t := range old.Turns {
		if rest := t.RestUntil; rest > old.Now {
			until[t.Key] = min(moved(old.Now)+rest-old.Now, now+set.Rules.TurnGap)
		}
	}
	for _, r := range old.Requests {
		if c := r.Request.Class; c >= 0 && c < len(set.Classes) && set.Classes[c].Ordered && r.Request.Key != "" && len(r.Open) > 0 {
			until[r.Request.Key] = now + set.Rules.TurnGap
		}
	}
	for _, t := range old.Turns { // in their order
		if rest := until[t.Key]; rest > now {
			out = append(out, scheduler.LearnedKey{Key: t.Key, RestUntil: rest})
		}
	}
	return out
}

// extra gives the further attempts that count against the new life's budget: it has taken no requests yet, so those that the old life's requests
// covered are left out; taking over the requests, too, would loosen the budget.
func extra(old *scheduler.Snapshot, set scheduler.Settings, moved func(time.Duration) time.Duration) (out []time.Duration) {
	covered := int(set.Rules.BudgetShare * float64(len(old.TakenAt)))
	for _, at := range old.ExtraAt[min(len(old.ExtraAt), max(0, covered)):] {
		out = append(out, moved(at))
	}
	return out
}
