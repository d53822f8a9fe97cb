package scheduler

import (
	"cmp"
	"slices"
)

// Snapshot returns the whole state of the Scheduler, without parts that no later event can reach.
func (s *Scheduler) Snapshot() *Snapshot {
	random, err := s.randomSource.MarshalBinary()
	if err != nil {
		panic(err) // PCG.MarshalBinary never fails
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
		FleetQueue:          s.fleetQueueTime,
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

// sortedRestrictions returns all restrictions, sorted by operation and node.
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

// snapshotEncoder encodes the nodes, volumes and requests of a Scheduler, which refer to each other. It gives each of
// them an index that does not depend on the random order of maps.
type snapshotEncoder struct {
	scheduler    *Scheduler
	nodes        []*nodeState
	volumes      []*volumeState
	volumeNames  []string
	requests     []*requestState
	nodeIndex    map[*nodeState]int
	volumeIndex  map[*volumeState]int
	requestIndex map[*requestState]int
}

// newSnapshotEncoder returns an encoder with indexes of the nodes, volumes and requests of a Scheduler.
func newSnapshotEncoder(s *Scheduler) *snapshotEncoder {
	e := &snapshotEncoder{
		scheduler:    s,
		nodeIndex:    map[*nodeState]int{},
		volumeIndex:  map[*volumeState]int{},
		requestIndex: map[*requestState]int{},
	}
	e.indexRequests()
	e.indexVolumes()
	e.indexNodes()
	return e
}

// indexRequests indexes the requests in the order of their arrival.
func (e *snapshotEncoder) indexRequests() {
	for _, request := range e.scheduler.requests {
		e.requests = append(e.requests, request)
	}
	slices.SortFunc(e.requests, func(a, b *requestState) int { return cmp.Compare(a.sequence, b.sequence) })
	for i, request := range e.requests {
		e.requestIndex[request] = i
	}
}

// indexVolumes indexes first the volumes that are found by name, then those that only requests refer to.
func (e *snapshotEncoder) indexVolumes() {
	for name := range e.scheduler.volumes {
		e.volumeNames = append(e.volumeNames, name)
	}
	slices.Sort(e.volumeNames)
	for i, name := range e.volumeNames {
		volume := e.scheduler.volumes[name]
		e.volumeIndex[volume] = i
		e.volumes = append(e.volumes, volume)
	}
	for _, request := range e.requests {
		if _, known := e.volumeIndex[request.volume]; !known {
			e.volumeIndex[request.volume] = len(e.volumes)
			e.volumes = append(e.volumes, request.volume)
			e.volumeNames = append(e.volumeNames, request.Volume)
		}
	}
}

// indexNodes indexes first the listed nodes, then those that only requests refer to.
func (e *snapshotEncoder) indexNodes() {
	for _, node := range e.scheduler.listed {
		e.indexNode(node)
	}
	for _, request := range e.requests {
		e.indexNode(request.firstNode)
		e.indexNode(request.node)
		for _, attempt := range request.inFlight {
			e.indexNode(attempt.node)
		}
	}
}

// indexNode indexes a node, if there is one and it has no index yet.
func (e *snapshotEncoder) indexNode(node *nodeState) {
	if _, known := e.nodeIndex[node]; !known && node != nil {
		e.nodeIndex[node] = len(e.nodes)
		e.nodes = append(e.nodes, node)
	}
}

// indexOf returns the index of a part, or -1 if it has none.
func indexOf[T comparable](indexes map[T]int, part T) int {
	if i, ok := indexes[part]; ok {
		return i
	}
	return -1
}

// requestIndexes returns the indexes of requests, in the same order.
func (e *snapshotEncoder) requestIndexes(requests []*requestState) []int {
	var indexes []int
	for _, request := range requests {
		indexes = append(indexes, e.requestIndex[request])
	}
	return indexes
}

// encode adds the indexed parts, and the lists that refer to them, to a snapshot.
func (e *snapshotEncoder) encode(snapshot *Snapshot) {
	for _, node := range e.nodes {
		snapshot.Nodes = append(snapshot.Nodes, e.node(node))
	}
	for i, volume := range e.volumes {
		snapshot.Volumes = append(snapshot.Volumes, e.volume(e.volumeNames[i], volume))
	}
	for _, request := range e.requests {
		snapshot.Requests = append(snapshot.Requests, e.request(request))
	}
	snapshot.Unassigned = e.requestIndexes(e.scheduler.unassigned)
	snapshot.OrderedKeys = e.orderedKeys()
	snapshot.Rejected = e.rejected()
}

func (e *snapshotEncoder) node(node *nodeState) SnapshotNode {
	return SnapshotNode{
		Node:    node.Node,
		Waiting: e.requestIndexes(node.waiting),

		UnitsInFlight:    node.unitsInFlight,
		AttemptsInFlight: node.attemptsInFlight,
		QueueMeasuredAt:  node.queueMeasuredAt,
		QueueTime:        node.queueTime,
		QueueWeight:      node.queueWeight,
		ConcurrencyLimit: node.concurrencyLimit,

		WindowOpenedAt:  node.window.openedAt,
		WindowUnits:     node.window.units,
		WindowResponses: node.window.responses,
		WindowLatency:   node.window.latency,
		WindowWork:      node.window.work,
		MaxRate:         node.maxRate,
		Latency:         node.latency,
		MinLatency:      node.minLatency,
		LearnedAt:       node.learnedAt,
		RetestAt:        node.retestAt,
		CutDrainedAt:    node.cutDrainedAt,
		CutLimit:        node.cutLimit,

		VirtualTime: node.virtualTime,
		FinishTags:  e.finishTags(node),

		Failures:           node.failures,
		BackoffUntil:       node.backoffUntil,
		Down:               node.down,
		WarmingSince:       node.warmingSince,
		Pending:            e.pending(node),
		SentAt:             node.sentAt,
		Demand:             node.demand.value,
		DemandAt:           node.demand.updatedAt,
		SlowStartDraw:      node.slowStartDraw,
		SlowStartDrawUntil: node.slowStartDrawUntil,
		UnansweredSince:    node.unansweredSince,
		LastResponseAt:     node.lastResponseAt,
		RecoveredAt:        node.recoveredAt,
		ResetAt:            node.resetAt,
		RecentSends:        node.snapshotSends(),
	}
}

// finishTags returns the fair-queueing tags of a node, except those of volumes to which nothing else refers.
func (e *snapshotEncoder) finishTags(node *nodeState) [queueTiers][]SnapshotFinishTag {
	var tags [queueTiers][]SnapshotFinishTag
	for tier := range node.finishTags {
		for volume, tag := range node.finishTags[tier] {
			if i, known := e.volumeIndex[volume]; known {
				tags[tier] = append(tags[tier], SnapshotFinishTag{Volume: i, Tag: tag})
			}
		}
		slices.SortFunc(tags[tier], func(a, b SnapshotFinishTag) int { return a.Volume - b.Volume })
	}
	return tags
}

// pending returns the request and the number of each attempt at a node. The other properties of the attempt are stored
// with its request.
func (e *snapshotEncoder) pending(node *nodeState) []SnapshotAttempt {
	var attempts []SnapshotAttempt
	for _, attempt := range node.pending {
		attempts = append(attempts, SnapshotAttempt{Request: e.requestIndex[attempt.request], Number: attempt.number})
	}
	return attempts
}

// snapshotSends returns the attempts that were recently sent to the node and count toward its slow-start allowance.
func (n *nodeState) snapshotSends() []SnapshotSend {
	var sends []SnapshotSend
	for _, send := range n.recentSends {
		sends = append(sends, SnapshotSend{At: send.at, Units: send.units})
	}
	return sends
}

func (e *snapshotEncoder) volume(name string, volume *volumeState) SnapshotVolume {
	plan := -1
	for i := range e.scheduler.settings.Plans {
		if volume.plan == &e.scheduler.settings.Plans[i] { // compared by address, because plans may share a name
			plan = i
		}
	}
	return SnapshotVolume{
		Name:       name,
		Indexed:    e.scheduler.volumes[name] == volume,
		Plan:       plan,
		IdleAt:     volume.idleAt,
		Weight:     volume.weight,
		Hosts:      volume.hosts,
		Reserve:    volume.reserve.snapshot(),
		Limit:      volume.limit.snapshot(),
		OwnUnits:   volume.ownUnits.value,
		OwnUnitsAt: volume.ownUnits.updatedAt,
	}
}

func (b *tokenBucket) snapshot() SnapshotTokenBucket {
	return SnapshotTokenBucket{Tokens: b.tokens, Rate: b.rate, Burst: b.burst, RefilledAt: b.refilledAt}
}

func (e *snapshotEncoder) request(request *requestState) SnapshotRequest {
	return SnapshotRequest{
		Request:         request.Request,
		Volume:          e.volumeIndex[request.volume],
		Sequence:        request.sequence,
		ArrivedAt:       request.arrivedAt,
		ObjectiveAt:     request.objectiveAt,
		AnswerBy:        request.answerBy,
		ClientTimeoutAt: request.clientTimeoutAt,
		Tier:            request.tier,
		Tag:             request.tag,
		RandomDraw:      request.randomDraw,
		Node:            indexOf(e.nodeIndex, request.node),
		InFlight:        e.inFlight(request),
		Attempts:        request.attempts,
		Charged:         request.charged,
		FirstNode:       indexOf(e.nodeIndex, request.firstNode),
		FirstSentAt:     request.firstSentAt,
		FirstAttempt:    request.firstAttempt,
		MayStillRun:     request.mayStillRun,
		SpilledOver:     request.spilledOver,
		StreamStarted:   request.streamStarted,
		Ended:           request.ended,
		TimerSet:        e.scheduler.requestTimers[request.sequence] == request,
	}
}

func (e *snapshotEncoder) inFlight(request *requestState) []SnapshotAttempt {
	var attempts []SnapshotAttempt
	for _, attempt := range request.inFlight {
		attempts = append(attempts, SnapshotAttempt{
			Request:    e.requestIndex[request],
			Number:     attempt.number,
			Node:       e.nodeIndex[attempt.node],
			SentAt:     attempt.sentAt,
			Overtaken:  attempt.overtaken,
			Canceled:   attempt.canceled,
			Discounted: attempt.discounted,
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

// rejected returns the requests that were recently rejected or failed, sorted by fingerprint.
func (e *snapshotEncoder) rejected() []SnapshotRejected {
	var rejected []SnapshotRejected
	for fingerprint, request := range e.scheduler.rejected {
		rejected = append(rejected, SnapshotRejected{
			Volume:          fingerprint.volume,
			Key:             fingerprint.key,
			Class:           fingerprint.class,
			Units:           fingerprint.units,
			ObjectiveAt:     request.objectiveAt,
			ClientTimeoutAt: request.clientTimeoutAt,
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
