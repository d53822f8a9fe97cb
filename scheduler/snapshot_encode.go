package scheduler

import (
	"cmp"
	"slices"
)

// Snapshot takes the whole state. Parts that no later event can reach are left out.
func (s *Scheduler) Snapshot() *Snapshot {
	random, err := s.randomSource.MarshalBinary()
	if err != nil {
		panic(err) // the method of a PCG never fails
	}
	snapshot := &Snapshot{
		Version: SnapshotVersion,
		Random:  random,
		Now:     s.now,
		Started: s.started,

		Listed:   len(s.listed),
		Sequence: s.sequence,

		ClassWork:           slices.Clone(s.classWork),
		DisconnectShare:     slices.Clone(s.disconnectShare),
		DisconnectAfter:     slices.Clone(s.disconnectAfter),
		ServiceTimePerUnit:  s.serviceTimePerUnit,
		QueueTimePerRequest: s.queueTimePerRequest,
		FleetQueue:          s.fleetQueue,
		MinLatencyMedian:    s.minLatencyMedian,

		ArrivedAt:    slices.Clone(s.arrivedAt),
		RetriedAt:    slices.Clone(s.retriedAt),
		NextWatchAt:  s.nextWatchAt,
		WatchBackoff: s.watchBackoff,
		LoggedAt:     s.loggedAt,
		SweepAt:      s.sweepAt,

		Restrictions:        s.sortedRestrictions(),
		OverflowRestriction: s.overflowRestriction,
		RetryBudget:         s.retryBudget.Snapshot(),

		Restored: LearnedState{
			Nodes:   sortedValues(s.restoredNodes),
			Volumes: sortedValues(s.restoredVolumes),
		},
		RestoredUntil: s.restoredUntil,
	}
	if s.zoneTracker != nil {
		snapshot.ZoneHealth = s.zoneTracker.Snapshot()
		snapshot.Spillover = s.spillover.Snapshot()
	}
	newSnapshotEncoder(s).encode(snapshot)
	return snapshot
}

// sortedRestrictions returns all restrictions in the order of operations and nodes.
func (s *Scheduler) sortedRestrictions() []Restriction {
	var restrictions []Restriction
	for key, level := range s.restrictions {
		restrictions = append(restrictions, Restriction{Operation: key.operation, Node: key.node, Level: level})
	}
	slices.SortFunc(restrictions, func(a, b Restriction) int {
		return cmp.Or(cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Node, b.Node))
	})
	return restrictions
}

// snapshotEncoder writes the parts of a state that refer to each other. It gives each of them an index, which is the
// same whatever the order of the maps.
type snapshotEncoder struct {
	scheduler    *Scheduler
	nodes        []*node
	volumes      []*volume
	volumeNames  []string
	requests     []*request
	nodeIndex    map[*node]int
	volumeIndex  map[*volume]int
	requestIndex map[*request]int
}

func newSnapshotEncoder(s *Scheduler) *snapshotEncoder {
	e := &snapshotEncoder{
		scheduler:    s,
		nodeIndex:    map[*node]int{},
		volumeIndex:  map[*volume]int{},
		requestIndex: map[*request]int{},
	}
	e.indexRequests()
	e.indexVolumes()
	e.indexNodes()
	return e
}

func (e *snapshotEncoder) indexRequests() {
	for _, r := range e.scheduler.requests {
		e.requests = append(e.requests, r)
	}
	slices.SortFunc(e.requests, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for i, r := range e.requests {
		e.requestIndex[r] = i
	}
}

// indexVolumes indexes first the volumes that are found by their names, then those that only requests refer to.
func (e *snapshotEncoder) indexVolumes() {
	for name := range e.scheduler.volumes {
		e.volumeNames = append(e.volumeNames, name)
	}
	slices.Sort(e.volumeNames)
	for i, name := range e.volumeNames {
		v := e.scheduler.volumes[name]
		e.volumeIndex[v] = i
		e.volumes = append(e.volumes, v)
	}
	for _, r := range e.requests {
		if _, known := e.volumeIndex[r.volume]; !known {
			e.volumeIndex[r.volume] = len(e.volumes)
			e.volumes = append(e.volumes, r.volume)
			e.volumeNames = append(e.volumeNames, r.Volume)
		}
	}
}

// indexNodes indexes first the listed nodes, then those that only requests refer to.
func (e *snapshotEncoder) indexNodes() {
	for _, n := range e.scheduler.listed {
		e.indexNode(n)
	}
	for _, r := range e.requests {
		e.indexNode(r.firstNode)
		e.indexNode(r.node)
		for _, a := range r.inFlight {
			e.indexNode(a.node)
		}
	}
}

func (e *snapshotEncoder) indexNode(n *node) {
	if _, known := e.nodeIndex[n]; !known && n != nil {
		e.nodeIndex[n] = len(e.nodes)
		e.nodes = append(e.nodes, n)
	}
}

// indexOf is the index of a part, or -1 if it has none.
func indexOf[T comparable](indexes map[T]int, part T) int {
	if i, ok := indexes[part]; ok {
		return i
	}
	return -1
}

func (e *snapshotEncoder) requestIndexes(requests []*request) []int {
	var indexes []int
	for _, r := range requests {
		indexes = append(indexes, e.requestIndex[r])
	}
	return indexes
}

// encode writes the parts into a snapshot.
func (e *snapshotEncoder) encode(snapshot *Snapshot) {
	for _, n := range e.nodes {
		snapshot.Nodes = append(snapshot.Nodes, e.node(n))
	}
	for i, v := range e.volumes {
		snapshot.Volumes = append(snapshot.Volumes, e.volume(e.volumeNames[i], v))
	}
	for _, r := range e.requests {
		snapshot.Requests = append(snapshot.Requests, e.request(r))
	}
	snapshot.Unassigned = e.requestIndexes(e.scheduler.unassigned)
	snapshot.OrderedKeys = e.orderedKeys()
	snapshot.Rejected = e.rejected()
}

func (e *snapshotEncoder) node(n *node) SnapshotNode {
	return SnapshotNode{
		Node:    n.Node,
		Waiting: e.requestIndexes(n.waiting),

		UnitsInFlight:    n.unitsInFlight,
		AttemptsInFlight: n.attemptsInFlight,
		LastServedAt:     n.lastServedAt,
		Queue:            n.queueTime,
		QueueConfidence:  n.queueWeight,
		Cap:              n.concurrencyLimit,

		WindowOpenedAt:  n.window.openedAt,
		WindowUnits:     n.window.units,
		WindowResponses: n.window.responses,
		WindowLatency:   n.window.latency,
		WindowWork:      n.window.work,
		MaxRate:         n.maxRate,
		Latency:         n.latency,
		MinLatency:      n.minLatency,
		LearnedAt:       n.learnedAt,
		RetestAt:        n.retestAt,
		CutDrainedAt:    n.cutDrainedAt,
		CutCap:          n.cutLimit,

		VirtualTime: n.virtualTime,
		FinishTags:  e.finishTags(n),

		Failures:           n.failures,
		BackoffUntil:       n.backoffUntil,
		Down:               n.down,
		WarmingSince:       n.warmingSince,
		Pending:            e.pending(n),
		SentAt:             n.sentAt,
		Demand:             n.demand.value,
		DemandAt:           n.demand.updatedAt,
		SlowStartDraw:      n.slowStartDraw,
		SlowStartDrawUntil: n.slowStartDrawUntil,
		UnansweredSince:    n.unansweredSince,
		LastResponseAt:     n.lastResponseAt,
		RecoveredAt:        n.recoveredAt,
		ResetAt:            n.resetAt,
		RecentSends:        n.snapshotSends(),
	}
}

// finishTags leaves out the tags of volumes that nothing refers to any more.
func (e *snapshotEncoder) finishTags(n *node) [queueTiers][]SnapshotFinishTag {
	var tags [queueTiers][]SnapshotFinishTag
	for tier := range n.finishTags {
		for v, tag := range n.finishTags[tier] {
			if i, known := e.volumeIndex[v]; known {
				tags[tier] = append(tags[tier], SnapshotFinishTag{Volume: i, Tag: tag})
			}
		}
		slices.SortFunc(tags[tier], func(a, b SnapshotFinishTag) int { return a.Volume - b.Volume })
	}
	return tags
}

func (e *snapshotEncoder) pending(n *node) []SnapshotAttempt {
	var attempts []SnapshotAttempt
	for _, a := range n.pending {
		attempts = append(attempts, SnapshotAttempt{Request: e.requestIndex[a.request], Number: a.number})
	}
	return attempts
}

func (n *node) snapshotSends() []SnapshotSend {
	var sends []SnapshotSend
	for _, send := range n.recentSends {
		sends = append(sends, SnapshotSend{At: send.at, Units: send.units})
	}
	return sends
}

func (e *snapshotEncoder) volume(name string, v *volume) SnapshotVolume {
	plan := -1
	for i := range e.scheduler.settings.Plans {
		if v.plan == &e.scheduler.settings.Plans[i] { // by address, because names need not differ
			plan = i
		}
	}
	return SnapshotVolume{
		Name:       name,
		Indexed:    e.scheduler.volumes[name] == v,
		Plan:       plan,
		IdleAt:     v.idleAt,
		Weight:     v.weight,
		Hosts:      v.hosts,
		Reserve:    v.reserve.snapshot(),
		Limit:      v.limit.snapshot(),
		OwnUnits:   v.ownUnits.value,
		OwnUnitsAt: v.ownUnits.updatedAt,
	}
}

func (b *tokenBucket) snapshot() SnapshotTokenBucket {
	return SnapshotTokenBucket{Tokens: b.tokens, Rate: b.rate, Burst: b.burst, RefilledAt: b.refilledAt}
}

func (e *snapshotEncoder) request(r *request) SnapshotRequest {
	return SnapshotRequest{
		Request:         r.Request,
		Volume:          e.volumeIndex[r.volume],
		Sequence:        r.sequence,
		ArrivedAt:       r.arrivedAt,
		ObjectiveAt:     r.objectiveAt,
		AnswerBy:        r.answerBy,
		ClientTimeoutAt: r.clientTimeoutAt,
		Tier:            r.tier,
		Tag:             r.tag,
		RandomDraw:      r.randomDraw,
		Node:            indexOf(e.nodeIndex, r.node),
		InFlight:        e.inFlight(r),
		Attempts:        r.attempts,
		Charged:         r.charged,
		FirstNode:       indexOf(e.nodeIndex, r.firstNode),
		FirstSentAt:     r.firstSentAt,
		FirstAttempt:    r.firstAttempt,
		MayStillRun:     r.mayStillRun,
		SpilledOver:     r.spilledOver,
		StreamStarted:   r.streamStarted,
		Ended:           r.ended,
		TimerSet:        e.scheduler.requestTimers[r.sequence] == r,
	}
}

func (e *snapshotEncoder) inFlight(r *request) []SnapshotAttempt {
	var attempts []SnapshotAttempt
	for _, a := range r.inFlight {
		attempts = append(attempts, SnapshotAttempt{
			Request:    e.requestIndex[r],
			Number:     a.number,
			Node:       e.nodeIndex[a.node],
			SentAt:     a.sentAt,
			Overtaken:  a.overtaken,
			Canceled:   a.canceled,
			Discounted: a.discounted,
		})
	}
	return attempts
}

// orderedKeys returns the queues of ordered keys in the order of the keys.
func (e *snapshotEncoder) orderedKeys() []SnapshotOrderedKey {
	var keys []SnapshotOrderedKey
	for key, queue := range e.scheduler.orderedKeys {
		keys = append(keys, SnapshotOrderedKey{
			Key:         key,
			Waiters:     e.requestIndexes(queue.waiters),
			QuietUntil:  queue.quietUntil,
			QuietExempt: indexOf(e.requestIndex, queue.quietExempt),
		})
	}
	slices.SortFunc(keys, func(a, b SnapshotOrderedKey) int { return cmp.Compare(a.Key, b.Key) })
	return keys
}

// rejected returns the recently rejected requests in the order of their fingerprints.
func (e *snapshotEncoder) rejected() []SnapshotRejected {
	var rejected []SnapshotRejected
	for fingerprint, r := range e.scheduler.rejected {
		rejected = append(rejected, SnapshotRejected{
			Volume:          fingerprint.volume,
			Key:             fingerprint.key,
			Class:           fingerprint.class,
			Units:           fingerprint.units,
			ObjectiveAt:     r.objectiveAt,
			ClientTimeoutAt: r.clientTimeoutAt,
		})
	}
	slices.SortFunc(rejected, func(a, b SnapshotRejected) int {
		return cmp.Or(
			cmp.Compare(a.Volume, b.Volume),
			cmp.Compare(a.Key, b.Key),
			a.Class-b.Class,
			cmp.Compare(a.Units, b.Units),
		)
	})
	return rejected
}
