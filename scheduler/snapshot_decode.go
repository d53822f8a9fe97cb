package scheduler

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// ErrSnapshot is returned by [Resume] for a snapshot that cannot be resumed from.
var ErrSnapshot = errors.New("scheduler: inconsistent snapshot")

// Resume returns a Scheduler that continues from a snapshot and calls actions. It fails with [ErrSnapshot] if the
// snapshot has another version, does not fit the classes, plans or zones of the settings, or contains values that no
// Scheduler can have, such as references to parts that the snapshot does not contain.
func Resume(settings Settings, snapshot *Snapshot, actions Actions) (*Scheduler, error) {
	s, err := New(settings, 0, actions)
	if err != nil {
		return nil, err
	}
	d := snapshotDecoder{scheduler: s, snapshot: snapshot}
	for _, decode := range []func() error{
		d.checkVersion,
		d.random,
		d.scalars,
		d.restrictions,
		d.trackers,
		d.allNodes,
		d.allVolumes,
		d.allRequests,
		d.allNodeQueues,
		d.unassigned,
		d.orderedKeys,
	} {
		if err := decode(); err != nil {
			return nil, err
		}
	}
	d.rejected()
	d.restored()
	return s, nil
}

// snapshotDecoder restores the parts of a Scheduler from a snapshot.
type snapshotDecoder struct {
	scheduler *Scheduler
	snapshot  *Snapshot
	nodes     []*nodeState
	volumes   []*volumeState
	requests  []*requestState
}

// validIndex reports whether i is an index of a list of the given length.
func validIndex(i, length int) bool { return i >= 0 && i < length }

// validIndexOrNone reports whether i is an index of a list of the given length, or -1.
func validIndexOrNone(i, length int) bool { return i == -1 || validIndex(i, length) }

// invalid returns an ErrSnapshot that says what is wrong with the snapshot.
func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrSnapshot}, args...)...)
}

// checkVersion checks that this program can resume from the version of the snapshot.
func (d *snapshotDecoder) checkVersion() error {
	if d.snapshot.Version != SnapshotVersion {
		return invalid("version is %d, want %d", d.snapshot.Version, SnapshotVersion)
	}
	return nil
}

// random restores the random number generator.
func (d *snapshotDecoder) random() error {
	source := rand.NewPCG(0, 0)
	if err := source.UnmarshalBinary(d.snapshot.Random); err != nil {
		return invalid("state of the random number generator: %w", err)
	}
	d.scheduler.randomSource = source
	d.scheduler.random = rand.New(source)
	return nil
}

// scalars restores the values that refer to no other part of the snapshot.
func (d *snapshotDecoder) scalars() error {
	s, from := d.scheduler, d.snapshot
	classes := len(s.settings.Classes)
	if len(from.ClassWork) != classes || len(from.DisconnectShare) != classes || len(from.DisconnectAfter) != classes {
		return invalid("work of %d, disconnect share of %d and disconnect time of %d classes, want each of %d classes",
			len(from.ClassWork), len(from.DisconnectShare), len(from.DisconnectAfter), classes)
	}
	s.now = from.Now
	s.started = from.Started
	s.sequence = from.Sequence
	copy(s.classWork, from.ClassWork)
	copy(s.disconnectShare, from.DisconnectShare)
	copy(s.disconnectAfter, from.DisconnectAfter)
	s.serviceTimePerUnit = from.ServiceTimePerUnit
	s.queueTimePerRequest = from.QueueTimePerRequest
	s.fleetQueueTime = from.FleetQueue
	s.minLatencyMedian = from.MinLatencyMedian
	s.arrivedAt = slices.Clone(from.ArrivedAt)
	s.retriedAt = slices.Clone(from.RetriedAt)
	s.nextWatchAt = from.NextWatchAt
	s.watchBackoff = from.WatchBackoff
	s.loggedAt = from.LoggedAt
	s.sweepAt = from.SweepAt
	return nil
}

// restrictions restores the restrictions of operations.
func (d *snapshotDecoder) restrictions() error {
	s, from := d.scheduler, d.snapshot
	if len(from.Restrictions) > MaxRestrictions {
		return invalid("%d restrictions, want at most %d", len(from.Restrictions), MaxRestrictions)
	}
	s.overflowRestriction = from.OverflowRestriction
	for _, restriction := range from.Restrictions {
		key := restrictionKey{operation: restriction.Operation, node: restriction.Node}
		s.restrictions[key] = restriction.Level
	}
	return nil
}

// trackers restores the state that other packages keep: the retry budgets and the health of zones.
func (d *snapshotDecoder) trackers() error {
	s, from := d.scheduler, d.snapshot
	if err := s.retryBudget.Resume(from.RetryBudget); err != nil {
		return invalid("%w", err)
	}
	if s.zoneTracker == nil {
		return nil
	}
	if !s.zoneTracker.Resume(from.ZoneHealth) || !s.spillover.Resume(from.Spillover) {
		return invalid("zone health or spillover does not match the zones of the settings")
	}
	return nil
}

// allNodes restores the nodes. Their queues follow in allNodeQueues, because they refer to volumes and requests.
func (d *snapshotDecoder) allNodes() error {
	s, from := d.scheduler, d.snapshot
	if from.Listed < 0 || from.Listed > len(from.Nodes) {
		return invalid("number of listed nodes is %d, but there are %d nodes", from.Listed, len(from.Nodes))
	}
	for i := range from.Nodes {
		node := nodeFromSnapshot(&from.Nodes[i])
		d.nodes = append(d.nodes, node)
		if i < from.Listed {
			s.nodes[node.ID] = node
			s.listed = append(s.listed, node)
		}
	}
	s.indexNodes()
	return nil
}

// nodeFromSnapshot returns a node without the parts that refer to volumes and requests.
func nodeFromSnapshot(from *SnapshotNode) *nodeState {
	node := &nodeState{
		Node:             from.Node,
		unitsInFlight:    from.UnitsInFlight,
		attemptsInFlight: from.AttemptsInFlight,
		sentAt:           from.SentAt,

		concurrencyLimit: from.ConcurrencyLimit,
		window: latencyWindow{
			openedAt:  from.WindowOpenedAt,
			units:     from.WindowUnits,
			responses: from.WindowResponses,
			latency:   from.WindowLatency,
			work:      from.WindowWork,
		},
		maxRate:         from.MaxRate,
		latency:         from.Latency,
		minLatency:      from.MinLatency,
		learnedAt:       from.LearnedAt,
		retestAt:        from.RetestAt,
		cutDrainedAt:    from.CutDrainedAt,
		cutLimit:        from.CutLimit,
		queueTime:       from.QueueTime,
		queueWeight:     from.QueueWeight,
		queueMeasuredAt: from.QueueMeasuredAt,

		virtualTime: from.VirtualTime,
		finishTags:  [queueTiers]map[*volumeState]float64{{}, {}},

		failures:        from.Failures,
		backoffUntil:    from.BackoffUntil,
		down:            from.Down,
		unansweredSince: from.UnansweredSince,
		lastResponseAt:  from.LastResponseAt,
		resetAt:         from.ResetAt,
		recoveredAt:     from.RecoveredAt,

		warmingSince:       from.WarmingSince,
		demand:             decayingSum{value: from.Demand, updatedAt: from.DemandAt},
		slowStartDraw:      from.SlowStartDraw,
		slowStartDrawUntil: from.SlowStartDrawUntil,
	}
	for _, send := range from.RecentSends {
		node.recentSends = append(node.recentSends, recentSend{at: send.At, units: send.Units})
	}
	return node
}

// allVolumes restores the volumes.
func (d *snapshotDecoder) allVolumes() error {
	s := d.scheduler
	for i := range d.snapshot.Volumes {
		from := &d.snapshot.Volumes[i]
		if !validIndexOrNone(from.Plan, len(s.settings.Plans)) {
			return invalid("volume %q has plan index %d, but there are %d plans",
				from.Name, from.Plan, len(s.settings.Plans))
		}
		volume := &volumeState{
			plan:     &Plan{Weight: 1, Price: 1},
			idleAt:   from.IdleAt,
			weight:   from.Weight,
			hosts:    from.Hosts,
			reserve:  from.Reserve.bucket(),
			limit:    from.Limit.bucket(),
			ownUnits: decayingSum{value: from.OwnUnits, updatedAt: from.OwnUnitsAt},
		}
		if from.Plan >= 0 {
			volume.plan = &s.settings.Plans[from.Plan]
		}
		d.volumes = append(d.volumes, volume)
		if from.Indexed {
			s.volumes[from.Name] = volume
		}
	}
	return nil
}

// bucket returns the token bucket of the snapshot.
func (b *SnapshotTokenBucket) bucket() tokenBucket {
	return tokenBucket{tokens: b.Tokens, rate: b.Rate, burst: b.Burst, refilledAt: b.RefilledAt}
}

// allRequests restores the requests and their attempts.
func (d *snapshotDecoder) allRequests() error {
	s := d.scheduler
	for i := range d.snapshot.Requests {
		from := &d.snapshot.Requests[i]
		if !d.validRequest(from) {
			return invalid("class %d, volume %d, node %d, first node %d or queue tier %d of request %q does not exist",
				from.Request.Class, from.Volume, from.Node, from.FirstNode, from.Tier, from.Request.ID)
		}
		request := d.newRequest(from)
		for _, a := range from.InFlight {
			if a.Request != i || !validIndex(a.Node, len(d.nodes)) {
				return invalid("attempt %d of request %q has request index %d, want %d, and node index %d of %d nodes",
					a.Number, from.Request.ID, a.Request, i, a.Node, len(d.nodes))
			}
			request.inFlight = append(request.inFlight, &attemptState{
				request:    request,
				number:     a.Number,
				node:       d.nodes[a.Node],
				sentAt:     a.SentAt,
				overtaken:  a.Overtaken,
				canceled:   a.Canceled,
				discounted: a.Discounted,
			})
		}
		d.requests = append(d.requests, request)
		s.requests[request.ID] = request
		if from.TimerSet {
			s.requestTimers[request.sequence] = request
		}
	}
	return nil
}

// validRequest reports whether the class, volume, nodes and queue tier of a request exist.
func (d *snapshotDecoder) validRequest(from *SnapshotRequest) bool {
	return validIndex(from.Request.Class, len(d.scheduler.settings.Classes)) &&
		validIndex(from.Volume, len(d.volumes)) &&
		validIndexOrNone(from.Node, len(d.nodes)) &&
		validIndexOrNone(from.FirstNode, len(d.nodes)) &&
		validIndex(from.Tier, queueTiers)
}

// newRequest returns a request without its attempts.
func (d *snapshotDecoder) newRequest(from *SnapshotRequest) *requestState {
	request := &requestState{
		Request:         from.Request,
		class:           &d.scheduler.settings.Classes[from.Request.Class],
		volume:          d.volumes[from.Volume],
		sequence:        from.Sequence,
		randomDraw:      from.RandomDraw,
		arrivedAt:       from.ArrivedAt,
		objectiveAt:     from.ObjectiveAt,
		answerBy:        from.AnswerBy,
		clientTimeoutAt: from.ClientTimeoutAt,
		tier:            from.Tier,
		tag:             from.Tag,
		spilledOver:     from.SpilledOver,
		attempts:        from.Attempts,
		charged:         from.Charged,
		firstSentAt:     from.FirstSentAt,
		firstAttempt:    from.FirstAttempt,
		mayStillRun:     from.MayStillRun,
		streamStarted:   from.StreamStarted,
		ended:           from.Ended,
	}
	request.effectivePolicy = request.class.RetryPolicy().NarrowedBy(request.RetryPolicy)
	if from.Node >= 0 {
		request.node = d.nodes[from.Node]
	}
	if from.FirstNode >= 0 {
		request.firstNode = d.nodes[from.FirstNode]
	}
	return request
}

// allNodeQueues restores the parts of the nodes that refer to volumes and requests.
func (d *snapshotDecoder) allNodeQueues() error {
	for i := range d.snapshot.Nodes {
		if err := d.nodeQueues(d.nodes[i], &d.snapshot.Nodes[i]); err != nil {
			return fmt.Errorf("node %q: %w", d.nodes[i].ID, err)
		}
	}
	return nil
}

// nodeQueues restores a node's waiting requests, fair-queueing tags and pending attempts.
func (d *snapshotDecoder) nodeQueues(node *nodeState, from *SnapshotNode) error {
	if from.Failures < 0 {
		return invalid("number of failures is negative: %d", from.Failures)
	}
	var err error
	if node.waiting, err = d.requestsAt(from.Waiting); err != nil {
		return err
	}
	for tier := range from.FinishTags {
		for _, tag := range from.FinishTags[tier] {
			if !validIndex(tag.Volume, len(d.volumes)) {
				return invalid("fair-queueing tag has volume index %d, but there are %d volumes",
					tag.Volume, len(d.volumes))
			}
			node.finishTags[tier][d.volumes[tag.Volume]] = tag.Tag
		}
	}
	for _, pending := range from.Pending {
		attempt, err := d.attemptAt(node, pending)
		if err != nil {
			return err
		}
		node.pending = append(node.pending, attempt)
	}
	return nil
}

// attemptAt returns the attempt at a node from the attempts of its request.
func (d *snapshotDecoder) attemptAt(node *nodeState, from SnapshotAttempt) (*attemptState, error) {
	if !validIndex(from.Request, len(d.requests)) {
		return nil, invalid("pending attempt has request index %d, but there are %d requests",
			from.Request, len(d.requests))
	}
	inFlight := d.requests[from.Request].inFlight
	i := slices.IndexFunc(inFlight, func(attempt *attemptState) bool {
		return attempt.number == from.Number && attempt.node == node
	})
	if i < 0 {
		return nil, invalid("pending attempt %d is missing from request %q",
			from.Number, d.requests[from.Request].ID)
	}
	return inFlight[i], nil
}

// requestsAt returns the requests with the indexes.
func (d *snapshotDecoder) requestsAt(indexes []int) ([]*requestState, error) {
	var requests []*requestState
	for _, i := range indexes {
		if !validIndex(i, len(d.requests)) {
			return nil, invalid("request index is %d, but there are %d requests", i, len(d.requests))
		}
		requests = append(requests, d.requests[i])
	}
	return requests, nil
}

// unassigned restores the list of requests that no node may take now.
func (d *snapshotDecoder) unassigned() error {
	var err error
	d.scheduler.unassigned, err = d.requestsAt(d.snapshot.Unassigned)
	return err
}

// orderedKeys restores the queues of ordered keys.
func (d *snapshotDecoder) orderedKeys() error {
	for _, from := range d.snapshot.OrderedKeys {
		waiters, err := d.requestsAt(from.Waiters)
		if err != nil {
			return fmt.Errorf("ordered key %q: %w", from.Key, err)
		}
		if !validIndexOrNone(from.QuietExempt, len(d.requests)) {
			return invalid("ordered key %q has request index %d, but there are %d requests",
				from.Key, from.QuietExempt, len(d.requests))
		}
		queue := &orderedKeyQueue{waiters: waiters, quietUntil: from.QuietUntil}
		if from.QuietExempt >= 0 {
			queue.quietExempt = d.requests[from.QuietExempt]
		}
		d.scheduler.orderedKeys[from.Key] = queue
	}
	return nil
}

// rejected restores the requests that were recently rejected or failed, as far as they apply to their clients' next
// tries.
func (d *snapshotDecoder) rejected() {
	for _, from := range d.snapshot.Rejected {
		request := &requestState{objectiveAt: from.ObjectiveAt, clientTimeoutAt: from.ClientTimeoutAt}
		request.Volume, request.Key, request.Class, request.Units = from.Volume, from.Key, from.Class, from.Units
		d.scheduler.rejected[request.fingerprint()] = request
	}
}

// restored restores the nodes and volumes of the previous incarnation that have not been listed or used yet.
func (d *snapshotDecoder) restored() {
	d.scheduler.restoredUntil = d.snapshot.RestoredUntil
	if d.scheduler.restoredUntil > 0 {
		d.scheduler.indexRestored(d.snapshot.Restored)
	}
}
