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

// Assessment tells what to take over.
type Assessment struct {
	Learned    scheduler.LearnedState
	KnownNodes int // of which more than the guards' part is believed
	Confidence float64
}

// Assess decides what of a state is still true. The state was taken on an older clock; shift is what a time of that clock lies before the same moment of the
// new one, age how long ago it was taken, now the new clock's time.
//
// What the guards of rules go by is taken over whatever its age, as it can only hold back more: cold nodes, what they were sent, nodes that were
// down, used stores, ordered keys with an attempt that may still run, further attempts. What is only known of nodes fades.
func Assess(old *scheduler.Snapshot, set scheduler.Settings, now, age, shift time.Duration) Assessment {
	b := Assessment{Confidence: math.Exp(-max(0, age).Seconds() / forgets.Seconds())}
	if age < -backwards || age > forgotten {
		b.Confidence = 0
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
		if n.WarmingSince > 0 {
			l.WarmingSince = max(1, moved(n.WarmingSince)) // 0 would be warm
		}
		for _, x := range n.RecentSends {
			l.RecentSends = append(l.RecentSends, scheduler.SnapshotSend{At: moved(x.At), Units: max(0, x.Units)})
		}
		if b.Confidence > leastRate && n.MinLatency > 0 && sound(n.Cap, n.MaxRate, n.Latency, n.MinLatency, n.Queue, n.QueueConfidence) {
			l.Cap = fresh + b.Confidence*(n.Cap-fresh)
			l.MaxRate = b.Confidence * n.MaxRate
			l.MinLatency = n.MinLatency
			l.Latency = n.MinLatency + b.Confidence*(n.Latency-n.MinLatency)
			l.Queue, l.QueueConfidence, l.LastServedAt = n.Queue, n.QueueConfidence, moved(n.LastServedAt)
			b.KnownNodes++
		}
		b.Learned.Nodes = append(b.Learned.Nodes, l)
	}
	for _, v := range old.Volumes {
		if !v.Indexed || !(v.Limit.Tokens < v.Limit.Burst || v.Reserve.Tokens < v.Reserve.Burst || v.Reserve.Rate > 0) {
			continue
		}
		l := scheduler.LearnedVolume{Name: v.Name, At: moved(old.Now), LimitTokens: levelAt(v.Limit, old.Now), ReserveTokens: levelAt(v.Reserve, old.Now)}
		if age >= -backwards && age <= reserves && sound(v.Reserve.Rate) {
			l.ReserveRate = max(0, v.Reserve.Rate)
		}
		if sound(l.LimitTokens, l.ReserveTokens) {
			b.Learned.Volumes = append(b.Learned.Volumes, l)
		}
	}
	b.Learned.Keys = keys(old, set, now, moved)
	b.Learned.RetriedAt = extra(old, set, moved)
	if b.Confidence > leastRate && len(old.ClassWork) == len(set.Classes) && sound(old.ClassWork...) && sound(old.ServiceTimePerUnit, old.QueueTimePerRequest, old.MinLatencyMedian) {
		for _, work := range old.ClassWork {
			b.Learned.ClassWork = append(b.Learned.ClassWork, 1+b.Confidence*(work-1))
		}
		b.Learned.ServiceTimePerUnit, b.Learned.QueueTimePerRequest, b.Learned.MinLatencyMedian = old.ServiceTimePerUnit, old.QueueTimePerRequest, old.MinLatencyMedian
	}
	return b
}

// startCap is the cap of a node of which nothing is known.
func startCap(set scheduler.Settings) float64 {
	mean := set.Sizes.MeanUnits
	if mean == 0 {
		mean = 1
	}
	return scheduler.InitialRequests * mean
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

func levelAt(s scheduler.SnapshotTokenBucket, now time.Duration) float64 {
	return min(s.Burst, s.Tokens+max(0, s.Rate)*max(0, now-s.RefilledAt).Seconds())
}

// keys gives the ordered keys that rest. The earlier life may have sent more after the snapshot, so one that had an attempt out rests from now on.
func keys(old *scheduler.Snapshot, set scheduler.Settings, now time.Duration, moved func(time.Duration) time.Duration) (out []scheduler.LearnedKey) {
	until := map[string]time.Duration{}
	for _, t := range old.OrderedKeys {
		if rest := t.QuietUntil; rest > old.Now {
			until[t.Key] = min(moved(old.Now)+rest-old.Now, now+set.Rules.OrderedKeyQuietPeriod)
		}
	}
	for _, r := range old.Requests {
		if c := r.Request.Class; c >= 0 && c < len(set.Classes) && set.Classes[c].Ordered && r.Request.Key != "" && len(r.InFlight) > 0 {
			until[r.Request.Key] = now + set.Rules.OrderedKeyQuietPeriod
		}
	}
	for _, t := range old.OrderedKeys { // in their order
		if rest := until[t.Key]; rest > now {
			out = append(out, scheduler.LearnedKey{Key: t.Key, QuietUntil: rest})
		}
	}
	return out
}

// extra gives the further attempts that count against the new life's budget: it has taken no requests yet, so those that the old life's requests
// covered are left out; taking over the requests, too, would loosen the budget.
func extra(old *scheduler.Snapshot, set scheduler.Settings, moved func(time.Duration) time.Duration) (out []time.Duration) {
	covered := int(set.Rules.RetryBudgetShare * float64(len(old.ArrivedAt)))
	for _, at := range old.RetriedAt[min(len(old.RetriedAt), max(0, covered)):] {
		out = append(out, moved(at))
	}
	return out
}
