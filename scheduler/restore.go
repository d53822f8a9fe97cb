package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// startTimeTolerance is the difference up to which a later start time of a node counts as the same start. The two
	// times come from two clocks.
	startTimeTolerance = time.Second
	// restoreRetention is the time for which restored nodes and volumes are kept until they are listed or used. After
	// this time, the token buckets of an unused volume would be full or nearly full anyway.
	restoreRetention = time.Minute
)

// LearnedState is what a Scheduler may restore from the previous incarnation of its host: the knowledge about nodes
// and volumes, but no requests. Its times are on the new clock. The code that creates a LearnedState decides what of it
// still holds; the Scheduler takes nothing from it that would loosen a guard. A LearnedState and the types within it
// are stored as arrays, so the order of their fields is fixed.
type LearnedState struct {
	_                   struct{} `cbor:",toarray"`
	Nodes               []LearnedNode
	Volumes             []LearnedVolume
	Keys                []LearnedKey
	ClassWork           []float64 `json:"Work"` // empty if unknown
	ServiceTimePerUnit  float64   `json:"UnitTime"`
	QueueTimePerRequest float64   `json:"PerQueued"`
	MinLatencyMedian    float64   `json:"Least"`
	// RetriedAt contains the times of retries that the requests of the previous incarnation did not cover, and which
	// therefore still count against the retry budget.
	RetriedAt []time.Duration `json:"ExtraAt"`
}

// LearnedNode is what the previous incarnation knew of a node.
type LearnedNode struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// StartedAt is the start time of the node as it was listed. If the node is listed with a later start, the
	// estimates below no longer hold, but WarmingSince, Down and RecentSends still do.
	StartedAt time.Duration

	// Estimates of the node's capacity and latency. A ConcurrencyLimit of 0 means that there are none.
	ConcurrencyLimit float64       `json:"Cap"` // in units
	MaxRate          float64       // in units a second
	Latency          float64       // in seconds
	MinLatency       float64       // in seconds
	QueueTime        float64       `json:"Queue"`   // in seconds
	QueueWeight      float64       `json:"Known"`   // number of responses that QueueTime is worth
	QueueMeasuredAt  time.Duration `json:"HeardAt"` // when QueueTime was last updated, also by an unanswered attempt

	// State by which guardSlowStart limits the units that are sent to the node.
	WarmingSince time.Duration  `json:"ColdSince"` // 0 if the node is warm
	Down         bool           // the node seems to have failed, and warms up once it serves a request
	RecentSends  []SnapshotSend `json:"Sent"` // attempts sent within the SlowStartWindow before the last one
}

// LearnedVolume says how many tokens, in units, the buckets of a volume held at the time At, before the restart of the
// host.
type LearnedVolume struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	At            time.Duration
	LimitTokens   float64 `json:"Limit"`
	ReserveTokens float64 `json:"Reserve"`
	ReserveRate   float64 // this host's share of the reserve, in units a second; 0 if unknown
}

// LearnedKey is an ordered key for which an attempt of the previous incarnation may still run.
type LearnedKey struct {
	_          struct{} `cbor:",toarray"`
	Key        string
	QuietUntil time.Duration `json:"RestUntil"`
}

// Restore takes over what the previous incarnation of the host learned. It has to be called before the first event.
func (s *Scheduler) Restore(now time.Duration, learned LearnedState) {
	s.tick(now)
	if len(learned.ClassWork) == len(s.classWork) {
		copy(s.classWork, learned.ClassWork)
		s.serviceTimePerUnit = learned.ServiceTimePerUnit
		s.queueTimePerRequest = learned.QueueTimePerRequest
		s.minLatencyMedian = learned.MinLatencyMedian
	}
	s.retriedAt = append(slices.Clone(learned.RetriedAt), s.retriedAt...)
	for _, key := range learned.Keys {
		s.orderedKeys[key.Key] = &orderedKeyQueue{quietUntil: key.QuietUntil}
	}
	s.indexRestored(learned)
	s.restoredUntil = s.now + restoreRetention
}

// indexRestored stores the learned nodes and volumes by name until they are listed or used.
func (s *Scheduler) indexRestored(learned LearnedState) {
	s.restoredNodes = map[string]*LearnedNode{}
	for _, n := range learned.Nodes {
		s.restoredNodes[n.ID] = &n
	}
	s.restoredVolumes = map[string]*LearnedVolume{}
	for _, v := range learned.Volumes {
		s.restoredVolumes[v.Name] = &v
	}
}

// restoreNode applies what was learned about a node when it is listed for the first time.
func (s *Scheduler) restoreNode(node *nodeState, entry Node) {
	learned := s.restoredNodes[entry.ID]
	if learned == nil {
		return
	}
	delete(s.restoredNodes, entry.ID)
	node.warmingSince = learned.WarmingSince
	node.down = learned.Down
	for _, send := range learned.RecentSends {
		node.recentSends = append(node.recentSends, recentSend{at: send.At, units: send.Units})
		node.sentAt = max(node.sentAt, send.At)
	}
	if entry.StartedAt > learned.StartedAt+startTimeTolerance || learned.ConcurrencyLimit <= 0 {
		return
	}
	node.concurrencyLimit = learned.ConcurrencyLimit
	node.maxRate = learned.MaxRate
	node.latency = learned.Latency
	node.minLatency = learned.MinLatency
	node.queueTime = learned.QueueTime
	node.queueWeight = learned.QueueWeight
	node.queueMeasuredAt = learned.QueueMeasuredAt
	node.learnedAt = learned.QueueMeasuredAt
}

// restoreVolume lowers the token buckets of a volume that is used for the first time to what was left in them, and
// restores the host's share of the volume's reserve if that is larger than an equal share.
func (s *Scheduler) restoreVolume(name string, volume *volumeState) {
	learned := s.restoredVolumes[name]
	if learned == nil {
		return
	}
	delete(s.restoredVolumes, name)
	if learned.ReserveRate > 0 {
		volume.reserve.rate = min(max(learned.ReserveRate, volume.reserve.rate), volume.plan.Reserve)
		volume.reserve.burst = volume.reserve.rate + s.settings.Sizes.MaxUnits
	}
	at := min(learned.At, s.now)
	volume.limit.lowerTo(learned.LimitTokens, at, s.now)
	volume.reserve.lowerTo(learned.ReserveTokens, at, s.now)
}

// lowerTo lowers the bucket to the number of tokens that it would have now if it had held the given tokens at the
// earlier time at, unless it already has fewer.
func (b *tokenBucket) lowerTo(tokens float64, at, now time.Duration) {
	earlier := tokenBucket{tokens: tokens, rate: b.rate, burst: b.burst, refilledAt: at}
	b.tokens = min(b.tokens, earlier.refill(now))
}

// dropRestored drops the restored nodes and volumes that were not listed or used within restoreRetention.
func (s *Scheduler) dropRestored() {
	if s.restoredUntil > 0 && s.now >= s.restoredUntil {
		s.restoredNodes = nil
		s.restoredVolumes = nil
		s.restoredUntil = 0
	}
}

// sortedValues returns the values of a map in the order of its keys.
func sortedValues[T any](values map[string]*T) []T {
	var sorted []T
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, *values[key])
	}
	return sorted
}
