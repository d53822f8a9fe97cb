package scheduler

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// ErrSnapshot is the error of [Resume] for a snapshot that cannot be resumed from.
var ErrSnapshot = errors.New("scheduler: inconsistent snapshot")

// Resume makes a Scheduler that goes on from a snapshot and calls actions. It fails with [ErrSnapshot] on a snapshot
// that is of another version, is of other settings, or refers to parts that it lacks.
func Resume(settings Settings, snapshot *Snapshot, actions Actions) (*Scheduler, error) {
	s, err := New(settings, 0, actions)
	if err != nil {
		return nil, err
	}
	d := snapshotDecoder{scheduler: s, snapshot: snapshot}
	for _, decode := range []func() error{
		d.checkHeader,
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

// snapshotDecoder makes the parts of a Scheduler from a snapshot.
type snapshotDecoder struct {
	scheduler *Scheduler
	snapshot  *Snapshot
	nodes     []*nodeState
	volumes   []*volumeState
	requests  []*requestState
}

// validIndex says whether i is an index of a list of so many.
func validIndex(i, length int) bool { return i >= 0 && i < length }

// validIndexOrNone says whether i is an index of a list of so many, or -1.
func validIndexOrNone(i, length int) bool { return i == -1 || validIndex(i, length) }

// invalid makes an ErrSnapshot that says what is wrong.
func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrSnapshot}, args...)...)
}

// checkHeader checks that this program knows the version of the snapshot.
func (d *snapshotDecoder) checkHeader() error {
	if d.snapshot.Version != SnapshotVersion {
		return invalid("its version is %d, this program resumes from %d", d.snapshot.Version, SnapshotVersion)
	}
	return nil
}

// random resumes the random numbers.
func (d *snapshotDecoder) random() error {
	source := rand.NewPCG(0, 0)
	if err := source.UnmarshalBinary(d.snapshot.Random); err != nil {
		return invalid("random numbers: %w", err)
	}
	d.scheduler.randomSource = source
	d.scheduler.random = rand.New(source)
	return nil
}

// scalars resumes what refers to no other part.
func (d *snapshotDecoder) scalars() error {
	s, from := d.scheduler, d.snapshot
	classes := len(s.settings.Classes)
	if len(from.ClassWork) != classes || len(from.DisconnectShare) != classes || len(from.DisconnectAfter) != classes {
		return invalid("it is of %d classes, the settings name %d", len(from.ClassWork), classes)
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

// restrictions resumes the restrictions.
func (d *snapshotDecoder) restrictions() error {
	s, from := d.scheduler, d.snapshot
	if len(from.Restrictions) > MaxRestrictions {
		return invalid("%d restrictions", len(from.Restrictions))
	}
	s.overflowRestriction = from.OverflowRestriction
	for _, restriction := range from.Restrictions {
		key := restrictionKey{operation: restriction.Operation, node: restriction.Node}
		s.restrictions[key] = restriction.Level
	}
	return nil
}

// trackers resumes the state that other packages keep: the retry budgets and the health of zones.
func (d *snapshotDecoder) trackers() error {
	s, from := d.scheduler, d.snapshot
	if err := s.retryBudget.Resume(from.RetryBudget); err != nil {
		return invalid("%w", err)
	}
	if s.zoneTracker == nil {
		return nil
	}
	if !s.zoneTracker.Resume(from.ZoneHealth) || !s.spillover.Resume(from.Spillover) {
		return invalid("its zones are not those of the settings")
	}
	return nil
}

// allNodes makes the nodes. Their queues follow in allNodeQueues, once there are volumes and requests.
func (d *snapshotDecoder) allNodes() error {
	s, from := d.scheduler, d.snapshot
	if from.Listed < 0 || from.Listed > len(from.Nodes) {
		return invalid("%d of %d nodes are listed", from.Listed, len(from.Nodes))
	}
	for i := range from.Nodes {
		node := newSnapshotNode(&from.Nodes[i])
		d.nodes = append(d.nodes, node)
		if i < from.Listed {
			s.nodes[node.ID] = node
			s.listed = append(s.listed, node)
		}
	}
	s.indexNodes()
	return nil
}

// newSnapshotNode makes a node without what refers to volumes and requests.
func newSnapshotNode(from *SnapshotNode) *nodeState {
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
		maxRate:      from.MaxRate,
		latency:      from.Latency,
		minLatency:   from.MinLatency,
		learnedAt:    from.LearnedAt,
		retestAt:     from.RetestAt,
		cutDrainedAt: from.CutDrainedAt,
		cutLimit:     from.CutLimit,
		queueTime:    from.Queue,
		queueWeight:  from.QueueConfidence,
		lastServedAt: from.LastServedAt,

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

// allVolumes makes the volumes.
func (d *snapshotDecoder) allVolumes() error {
	s := d.scheduler
	for i := range d.snapshot.Volumes {
		from := &d.snapshot.Volumes[i]
		if !validIndexOrNone(from.Plan, len(s.settings.Plans)) {
			return invalid("volume %q has plan %d of %d", from.Name, from.Plan, len(s.settings.Plans))
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

// bucket makes a token bucket.
func (b *SnapshotTokenBucket) bucket() tokenBucket {
	return tokenBucket{tokens: b.Tokens, rate: b.Rate, burst: b.Burst, refilledAt: b.RefilledAt}
}

// allRequests makes the requests and their attempts.
func (d *snapshotDecoder) allRequests() error {
	s := d.scheduler
	for i := range d.snapshot.Requests {
		from := &d.snapshot.Requests[i]
		if !d.validRequest(from) {
			return invalid("request %q", from.Request.ID)
		}
		request := d.newRequest(from)
		for _, a := range from.InFlight {
			if a.Request != i || !validIndex(a.Node, len(d.nodes)) {
				return invalid("an attempt of request %q", from.Request.ID)
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

// validRequest says whether what a request refers to exists.
func (d *snapshotDecoder) validRequest(from *SnapshotRequest) bool {
	return validIndex(from.Request.Class, len(d.scheduler.settings.Classes)) &&
		validIndex(from.Volume, len(d.volumes)) &&
		validIndexOrNone(from.Node, len(d.nodes)) &&
		validIndexOrNone(from.FirstNode, len(d.nodes)) &&
		validIndex(from.Tier, queueTiers)
}

// newRequest makes a request without its attempts.
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

// allNodeQueues gives the nodes what refers to volumes and requests.
func (d *snapshotDecoder) allNodeQueues() error {
	for i := range d.snapshot.Nodes {
		if err := d.nodeQueues(d.nodes[i], &d.snapshot.Nodes[i]); err != nil {
			return fmt.Errorf("node %q: %w", d.nodes[i].ID, err)
		}
	}
	return nil
}

// nodeQueues gives a node its waiting requests, its fair-queueing tags and its pending attempts.
func (d *snapshotDecoder) nodeQueues(node *nodeState, from *SnapshotNode) error {
	if from.Failures < 0 {
		return invalid("%d failures", from.Failures)
	}
	var err error
	if node.waiting, err = d.requestsAt(from.Waiting); err != nil {
		return err
	}
	for tier := range from.FinishTags {
		for _, tag := range from.FinishTags[tier] {
			if !validIndex(tag.Volume, len(d.volumes)) {
				return invalid("volume %d of %d", tag.Volume, len(d.volumes))
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

// attemptAt finds an attempt at a node among those of its request.
func (d *snapshotDecoder) attemptAt(node *nodeState, from SnapshotAttempt) (*attemptState, error) {
	if !validIndex(from.Request, len(d.requests)) {
		return nil, invalid("an attempt of request %d of %d", from.Request, len(d.requests))
	}
	inFlight := d.requests[from.Request].inFlight
	i := slices.IndexFunc(inFlight, func(attempt *attemptState) bool {
		return attempt.number == from.Number && attempt.node == node
	})
	if i < 0 {
		return nil, invalid("an attempt that its request lacks")
	}
	return inFlight[i], nil
}

// requestsAt finds requests by their indexes.
func (d *snapshotDecoder) requestsAt(indexes []int) ([]*requestState, error) {
	var requests []*requestState
	for _, i := range indexes {
		if !validIndex(i, len(d.requests)) {
			return nil, invalid("request %d of %d", i, len(d.requests))
		}
		requests = append(requests, d.requests[i])
	}
	return requests, nil
}

// unassigned resumes the requests that no node may take.
func (d *snapshotDecoder) unassigned() error {
	var err error
	d.scheduler.unassigned, err = d.requestsAt(d.snapshot.Unassigned)
	return err
}

// orderedKeys makes the queues of ordered keys.
func (d *snapshotDecoder) orderedKeys() error {
	for _, from := range d.snapshot.OrderedKeys {
		waiters, err := d.requestsAt(from.Waiters)
		if err != nil {
			return fmt.Errorf("ordered key %q: %w", from.Key, err)
		}
		if !validIndexOrNone(from.QuietExempt, len(d.requests)) {
			return invalid("ordered key %q: request %d of %d", from.Key, from.QuietExempt, len(d.requests))
		}
		queue := &orderedKeyQueue{waiters: waiters, quietUntil: from.QuietUntil}
		if from.QuietExempt >= 0 {
			queue.quietExempt = d.requests[from.QuietExempt]
		}
		d.scheduler.orderedKeys[from.Key] = queue
	}
	return nil
}

// rejected restores of the recently rejected requests what their next tries need.
func (d *snapshotDecoder) rejected() {
	for _, from := range d.snapshot.Rejected {
		request := &requestState{objectiveAt: from.ObjectiveAt, clientTimeoutAt: from.ClientTimeoutAt}
		request.Volume, request.Key, request.Class, request.Units = from.Volume, from.Key, from.Class, from.Units
		d.scheduler.rejected[request.fingerprint()] = request
	}
}

// restored resumes what was restored from the previous incarnation and has not been used yet.
func (d *snapshotDecoder) restored() {
	d.scheduler.restoredUntil = d.snapshot.RestoredUntil
	if d.scheduler.restoredUntil > 0 {
		d.scheduler.indexRestored(d.snapshot.Restored)
	}
}
