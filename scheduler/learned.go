package scheduler

import (
	"maps"
	"slices"
	"time"
)

// LearnedState is what a Scheduler may take over from an earlier life of its host: what it knew of nodes and volumes, but no requests. Times are
// on the new clock. Whoever makes it decides what is still to be believed; a Scheduler takes of it only what loosens no guard of a rule.
type LearnedState struct {
	_                   struct{} `cbor:",toarray"`
	Nodes               []LearnedNode
	Volumes             []LearnedVolume
	Keys                []LearnedKey
	ClassWork           []float64       `json:"Work"` // empty: not known
	ServiceTimePerUnit  float64         `json:"UnitTime"`
	QueueTimePerRequest float64         `json:"PerQueued"`
	MinLatencyMedian    float64         `json:"Least"`
	RetriedAt           []time.Duration `json:"ExtraAt"` // further attempts that the earlier life's budget did not cover by its requests
}

// LearnedNode is what was known of a node.
type LearnedNode struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	StartedAt       time.Duration // as listed; a later start is another life of the node, of which only the guards' part holds
	Cap             float64       // 0: not known any more, and so is the rest down to Known
	MaxRate         float64
	Latency         float64
	MinLatency      float64
	Queue           float64
	QueueConfidence float64       `json:"Known"`
	LastServedAt    time.Duration `json:"HeardAt"`
	WarmingSince    time.Duration `json:"ColdSince"` // 0: warm
	Down            bool
	RecentSends     []SnapshotSend `json:"Sent"`
}

// LearnedVolume is what was left of a volume's stores at a time.
type LearnedVolume struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	At            time.Duration
	LimitTokens   float64 `json:"Limit"`
	ReserveTokens float64 `json:"Reserve"`
	ReserveRate   float64 // this host's part of the reserve, in units a second; 0: not known any more
}

// LearnedKey is an ordered key of which an attempt may still run.
type LearnedKey struct {
	_          struct{} `cbor:",toarray"`
	Key        string
	QuietUntil time.Duration `json:"RestUntil"`
}

// sameLife is by how much two readings of a node's start may differ: they are of two clocks.
const sameLife = time.Second

// Restore takes over what an earlier life learned. It is called before the first event.
func (s *Scheduler) Restore(now time.Duration, l LearnedState) {
	s.tick(now)
	if len(l.ClassWork) == len(s.work) {
		copy(s.work, l.ClassWork)
		s.unitTime, s.perQueued, s.least = l.ServiceTimePerUnit, l.QueueTimePerRequest, l.MinLatencyMedian
	}
	s.extraAt = append(slices.Clone(l.RetriedAt), s.extraAt...)
	for _, k := range l.Keys {
		s.turns[k.Key] = &turn{restUntil: k.QuietUntil}
	}
	s.remember(l)
	s.recalledUntil = s.now + recallFor
}

// remember keeps what is told of nodes and volumes until they come.
func (s *Scheduler) remember(l LearnedState) {
	s.recalledNodes, s.recalledVolumes = map[string]*LearnedNode{}, map[string]*LearnedVolume{}
	for _, n := range l.Nodes {
		s.recalledNodes[n.ID] = &n
	}
	for _, v := range l.Volumes {
		s.recalledVolumes[v.Name] = &v
	}
}

// recallFor is for how long a node that is listed, or a volume that comes, may still be one that is remembered. The stores of what has not come by
// then are full again, or as good as.
const recallFor = time.Minute

// recallNode gives a node that is listed for the first time what is remembered of it.
func (s *Scheduler) recallNode(n *node, e Node) {
	l := s.recalledNodes[e.ID]
	if l == nil {
		return
	}
	delete(s.recalledNodes, e.ID)
	n.coldSince, n.down = l.WarmingSince, l.Down
	for _, x := range l.RecentSends {
		n.sent = append(n.sent, sending{x.At, x.Units})
		n.sentAt = max(n.sentAt, x.At)
	}
	if e.StartedAt > l.StartedAt+sameLife || l.Cap <= 0 {
		return
	}
	n.cap, n.maxRate, n.latency, n.minLatency = l.Cap, l.MaxRate, l.Latency, l.MinLatency
	n.queue, n.known, n.heardAt, n.learnedAt = l.Queue, l.QueueConfidence, l.LastServedAt, l.LastServedAt
}

// recallVolume gives a volume that comes for the first time what is remembered of its stores, where that is less.
func (s *Scheduler) recallVolume(name string, v *volume) {
	l := s.recalledVolumes[name]
	if l == nil {
		return
	}
	delete(s.recalledVolumes, name)
	if l.ReserveRate > 0 {
		v.reserve.rate = min(max(l.ReserveRate, v.reserve.rate), v.plan.Reserve)
		v.reserve.most = v.reserve.rate + s.set.Sizes.MaxUnits
	}
	for _, one := range []struct {
		store *store
		level float64
	}{{&v.limit, l.LimitTokens}, {&v.reserve, l.ReserveTokens}} {
		then := store{level: one.level, rate: one.store.rate, most: one.store.most, at: min(l.At, s.now)}
		one.store.level = min(one.store.level, then.fill(s.now))
	}
}

// forgetRecalled drops what nobody has asked for.
func (s *Scheduler) forgetRecalled() {
	if s.recalledUntil > 0 && s.now >= s.recalledUntil {
		s.recalledNodes, s.recalledVolumes, s.recalledUntil = nil, nil, 0
	}
}

// recalled gives what a snapshot keeps of it, in an order of its own.
func recalled[T any](all map[string]*T) (out []T) {
	for _, key := range slices.Sorted(maps.Keys(all)) {
		out = append(out, *all[key])
	}
	return out
}
