package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
)

const (
	housekeepingInterval = 25 * time.Millisecond // time between two rounds over all queues
	sweepInterval        = 5 * time.Second       // time between two searches for state that can be released
	logInterval          = time.Second           // shortest time between two log lines
)

// housekeepingTimer is the key of the housekeeping timer. The timers of requests use the sequence numbers of the
// requests as keys, which begin at 1.
const housekeepingTimer = 0

// Scheduler makes the decisions of one host. It is not safe for concurrent use.
type Scheduler struct {
	settings     Settings
	actions      Actions
	randomSource *rand.PCG // source of random, for snapshots
	random       *rand.Rand
	now          time.Duration
	started      bool // the first event has come in

	nodes        map[string]*nodeState
	listed       []*nodeState         // every node that was ever listed, in the order of listing, until it is swept
	nodesByShard map[int][]*nodeState // the nodes in listed, grouped by shard, in the same order
	volumes      map[string]*volumeState

	requests      map[string]*requestState // requests that have not ended or have an attempt without an outcome
	requestTimers map[uint64]*requestState // requests whose timers are set, by sequence number
	sequence      uint64                   // sequence number of the last request
	unassigned    []*requestState          // requests that no listed node may take now
	orderedKeys   map[string]*orderedKeyQueue
	rejected      map[requestFingerprint]*requestState // requests that were recently rejected or failed

	minClassObjective   time.Duration
	classWork           []float64 // work of a unit of each class, relative to the mean over all classes
	disconnectShare     []float64 // share of requests whose client disconnects before they end, by class
	disconnectAfter     []float64 // mean time after which such a client disconnects, in seconds, by class
	serviceTimePerUnit  float64   // mean latency of a request, divided by its units, in seconds
	queueTimePerRequest float64   // seconds that a request waiting at a node adds to the node's queue
	fleetQueueTime      float64   // median queue of the nodes that updateFleetEstimates selects, in seconds
	minLatencyMedian    float64   // median of the minimum latencies of these nodes, in seconds

	arrivedAt   []time.Duration    // times at which requests arrived within Rules.RetryBudgetWindow
	retriedAt   []time.Duration    // times at which retries were sent within Rules.RetryBudgetWindow
	retryBudget *retrybudget.Table // nil if retries need no tokens

	restrictions        map[restrictionKey]RestrictionLevel
	overflowRestriction RestrictionLevel // level for all operations, from restrictions beyond MaxRestrictions

	zoneTracker *zonefailover.Tracker // nil if the settings treat all zones alike
	spillover   *zonefailover.SpilloverLimiter

	nextWatchAt  time.Duration // time at which a failed watch is repeated; 0 if none has to be
	watchBackoff time.Duration
	loggedAt     time.Duration // time of the last log line
	sweepAt      time.Duration // time of the next sweep

	restoredNodes   map[string]*LearnedNode   // nodes known from the previous incarnation that are not listed yet
	restoredVolumes map[string]*LearnedVolume // volumes known from it that have not been used yet
	restoredUntil   time.Duration             // time at which restoredNodes and restoredVolumes are dropped; 0 if never
}

// New returns a Scheduler that calls actions. Schedulers with the same settings and seed make the same decisions on
// the same events. New fails with [ErrSettings] on settings that cannot be used.
func New(settings Settings, seed uint64, actions Actions) (*Scheduler, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, 0)
	s := &Scheduler{
		settings:        settings,
		actions:         actions,
		randomSource:    source,
		random:          rand.New(source),
		nodes:           map[string]*nodeState{},
		volumes:         map[string]*volumeState{},
		requests:        map[string]*requestState{},
		requestTimers:   map[uint64]*requestState{},
		orderedKeys:     map[string]*orderedKeyQueue{},
		rejected:        map[requestFingerprint]*requestState{},
		disconnectShare: make([]float64, len(settings.Classes)),
		disconnectAfter: make([]float64, len(settings.Classes)),
		retryBudget:     retrybudget.New(settings.RetryBudget),
		restrictions:    map[restrictionKey]RestrictionLevel{},
	}
	sizes := &s.settings.Sizes
	sizes.MeanUnits = cmp.Or(sizes.MeanUnits, 1)
	sizes.MaxUnits = max(sizes.MaxUnits, sizes.MeanUnits)
	s.serviceTimePerUnit = initialLatency.Seconds() / sizes.MeanUnits
	s.minClassObjective = settings.Classes[0].LatencyObjective
	for _, class := range settings.Classes {
		s.classWork = append(s.classWork, 1)
		s.minClassObjective = min(s.minClassObjective, class.LatencyObjective)
	}
	if settings.ZoneFailover.Enabled() {
		s.zoneTracker = zonefailover.NewTracker(len(settings.ZoneFailover.Tiers))
		s.spillover = zonefailover.NewSpilloverLimiter(settings.ZoneFailover)
	}
	return s, nil
}

// RequestArrived reports a client's request. The request gets one final answer before its client gives up, unless the
// client disconnects first or the response has started as a stream. A request whose ID is that of a request still in
// the Scheduler is ignored.
func (s *Scheduler) RequestArrived(now time.Duration, arrived Request) {
	s.tick(now)
	if s.requests[arrived.ID] != nil {
		return
	}
	if s.admit(arrived) {
		s.dispatch()
	}
}

// AttemptEnded reports the outcome of an attempt. Outcomes of unknown attempts are ignored.
func (s *Scheduler) AttemptEnded(now time.Duration, outcome Outcome) {
	s.tick(now)
	request := s.requests[outcome.ID]
	if request == nil {
		return
	}
	attempt := request.takeInFlight(outcome.Attempt)
	if attempt == nil {
		return
	}
	attempt.node.recordEnd(attempt)
	s.reportToRetryBudget(attempt, outcome.Result)
	s.recordResponse(attempt, outcome)
	s.updateHealth(attempt, outcome)
	s.recordExecution(request, attempt, outcome.Result)
	if outcome.Concluded {
		s.end(request)
	} else if !request.ended && len(request.inFlight) == 0 {
		s.retryOrReject(request, attempt.node, outcome.Result)
	}
	s.release(request)
	s.dispatch()
}

// StreamStarted reports that the response to a request has started as a stream. The request no longer expires.
func (s *Scheduler) StreamStarted(now time.Duration, id string, _ int) {
	s.tick(now)
	if request := s.requests[id]; request != nil {
		request.streamStarted = true
	}
}

// ClientDisconnected reports that the client of a request has disconnected.
func (s *Scheduler) ClientDisconnected(now time.Duration, id string) {
	s.tick(now)
	if request := s.requests[id]; request != nil && !request.ended {
		s.recordDisconnect(request)
		s.end(request)
		s.cancelInFlight(request)
		s.release(request)
	}
	s.dispatch()
}

// TimerFired reports that the timer that [Actions.SetTimer] set with the key has expired.
func (s *Scheduler) TimerFired(now time.Duration, key uint64) {
	s.tick(now)
	if key == housekeepingTimer {
		s.housekeep()
		s.actions.SetTimer(housekeepingInterval, housekeepingTimer)
	} else if request := s.requestTimers[key]; request != nil {
		delete(s.requestTimers, key)
		s.expire(request)
	}
	s.dispatch()
}

// tick advances the clock. At the first event it starts the housekeeping and, if the settings require one, the watch of
// the endpoint list.
func (s *Scheduler) tick(now time.Duration) {
	s.now = max(s.now, now)
	if s.started {
		return
	}
	s.started = true
	s.actions.SetTimer(housekeepingInterval, housekeepingTimer)
	if s.settings.PollMembership || s.settings.LocalAgent {
		s.actions.Watch()
	}
}

// housekeep does the periodic work: it closes latency windows that are due, updates the state of nodes and zones,
// cancels lost attempts, rejects or reassigns requests, repeats failed watches and releases unused state.
func (s *Scheduler) housekeep() {
	for _, node := range s.listed {
		if node.window.due(s.now) && (node.window.responses > 0 || node.attemptsInFlight > 0) {
			s.closeWindow(node)
		}
		s.retestMinLatency(node)
		s.drawSlowStart(node)
		s.cancelLost(node)
		s.rejectLate(node)
	}
	s.updateFleetEstimates()
	s.updateZoneHealth()
	s.reassign()
	s.watchIfDue()
	if s.now >= s.sweepAt {
		s.sweepAt = s.now + sweepInterval
		s.sweep()
	}
}

// sweep releases state that is no longer needed. Its loops over maps only delete entries, so the random order of
// maps does not make decisions differ.
func (s *Scheduler) sweep() {
	s.dropRestored()
	maps.DeleteFunc(s.rejected, func(_ requestFingerprint, request *requestState) bool {
		return s.now >= request.clientTimeoutAt
	})
	maps.DeleteFunc(s.orderedKeys, func(_ string, queue *orderedKeyQueue) bool {
		return len(queue.waiters) == 0 && s.now >= queue.quietUntil
	})
	maps.DeleteFunc(s.volumes, func(_ string, volume *volumeState) bool { return volume.idle(s.now) })
	s.sweepNodes()
}

// sweepNodes releases the fair-queueing tags of idle volumes, and the removed nodes that have no pending attempt and
// were sent none for Rules.SlowStartDuration.
func (s *Scheduler) sweepNodes() {
	before := len(s.listed)
	s.listed = slices.DeleteFunc(s.listed, func(node *nodeState) bool {
		for tier := range node.finishTags {
			maps.DeleteFunc(node.finishTags[tier], func(volume *volumeState, _ float64) bool {
				return volume.idle(s.now)
			})
		}
		idleFor := s.now - node.sentAt
		over := node.Phase == Removed && len(node.pending) == 0 && idleFor > s.settings.Rules.SlowStartDuration
		if over {
			delete(s.nodes, node.ID)
		}
		return over
	})
	if len(s.listed) != before {
		s.indexNodes()
	}
}

// logf logs a line, unless the previous one was logged less than logInterval ago.
func (s *Scheduler) logf(format string, args ...any) {
	if s.loggedAt > 0 && s.now-s.loggedAt < logInterval {
		return
	}
	s.loggedAt = s.now
	s.actions.Log(fmt.Sprintf(format, args...))
}
