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

// Tuned values of the housekeeping; ours.
const (
	housekeepingInterval = 25 * time.Millisecond // between two rounds over all queues
	sweepInterval        = 5 * time.Second       // between two searches for what can be released
	logInterval          = time.Second           // between two log lines
)

// housekeepingTimer is the key of the timer of the housekeeping. The timers of requests have their sequence numbers
// as keys, which begin at 1.
const housekeepingTimer = 0

// Scheduler decides for one host. It is not safe for concurrent use.
type Scheduler struct {
	settings     Settings
	actions      Actions
	randomSource *rand.PCG // of random
	random       *rand.Rand
	now          time.Duration
	started      bool // there has been an event

	nodes        map[string]*node
	listed       []*node         // every node ever listed, in the order of listing, until it is swept
	nodesByShard map[int][]*node // the same, in the same order
	volumes      map[string]*volume

	requests      map[string]*request // not ended, or with an attempt that has no outcome
	requestTimers map[uint64]*request // by sequence
	sequence      uint64              // of the last request
	unassigned    []*request          // no listed node may take them now
	orderedKeys   map[string]*orderedKeyQueue
	rejected      map[requestFingerprint]*request // rejected or failed recently

	minClassObjective   time.Duration
	classWork           []float64 // work of a unit of each class, against the mean
	disconnectShare     []float64 // share of each class's clients that disconnect early
	disconnectAfter     []float64 // seconds after which they do
	serviceTimePerUnit  float64   // mean, in seconds
	queueTimePerRequest float64   // seconds that a request waiting at a node adds to the node's queue
	fleetQueue          float64   // median queue of the nodes that answered recently, in seconds
	minLatencyMedian    float64   // median of their minimum latencies, in seconds

	arrivedAt   []time.Duration      // requests within the window of the rules' retry budget
	retriedAt   []time.Duration      // retries within it
	retryBudget *retrybudget.Budgets // nil: retries need no tokens

	restrictions        map[restrictionKey]RestrictionLevel
	overflowRestriction RestrictionLevel // of all operations, for restrictions that found no place

	zoneTracker *zonefailover.Tracker // nil: all zones are alike
	spillover   *zonefailover.SpilloverLimiter

	nextWatchAt  time.Duration // 0: the last watch has not failed
	watchBackoff time.Duration
	loggedAt     time.Duration
	sweepAt      time.Duration

	restoredNodes   map[string]*LearnedNode // of the previous incarnation, until they are listed
	restoredVolumes map[string]*LearnedVolume
	restoredUntil   time.Duration
}

// New makes a Scheduler that calls actions. Schedulers with the same settings and seed make the same decisions on
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
		nodes:           map[string]*node{},
		volumes:         map[string]*volume{},
		requests:        map[string]*request{},
		requestTimers:   map[uint64]*request{},
		orderedKeys:     map[string]*orderedKeyQueue{},
		rejected:        map[requestFingerprint]*request{},
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

// RequestArrived takes a client's request. The request gets one final answer before its client gives up. A request
// with the ID of one that is still known is ignored.
func (s *Scheduler) RequestArrived(now time.Duration, arrived Request) {
	s.tick(now)
	if s.requests[arrived.ID] != nil {
		return
	}
	if s.admit(arrived) {
		s.dispatch()
	}
}

// AttemptEnded takes the outcome of an attempt.
func (s *Scheduler) AttemptEnded(now time.Duration, outcome Outcome) {
	s.tick(now)
	r := s.requests[outcome.ID]
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.inFlight, func(a *attempt) bool { return a.number == outcome.Attempt })
	if i < 0 {
		return
	}
	a := r.inFlight[i]
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	a.node.recordEnd(a)
	s.reportToRetryBudget(a, outcome.Result)
	s.recordResponse(a, outcome)
	s.updateHealth(a, outcome)
	s.recordExecution(r, a, outcome.Result)
	if outcome.Concluded {
		s.end(r)
	} else if !r.ended && len(r.inFlight) == 0 {
		s.retryOrReject(r, a.node, outcome.Result)
	}
	s.release(r)
	s.dispatch()
}

// StreamStarted says that the response to a request has started as a stream. Its time no longer runs out.
func (s *Scheduler) StreamStarted(now time.Duration, id string, _ int) {
	s.tick(now)
	if r := s.requests[id]; r != nil {
		r.streamStarted = true
	}
}

// ClientDisconnected says that the client of a request is gone.
func (s *Scheduler) ClientDisconnected(now time.Duration, id string) {
	s.tick(now)
	if r := s.requests[id]; r != nil && !r.ended {
		s.recordDisconnect(r)
		s.end(r)
		s.cancelInFlight(r)
		s.release(r)
	}
	s.dispatch()
}

// TimerFired says that the timer with the key, set by [Actions.SetTimer], has run out.
func (s *Scheduler) TimerFired(now time.Duration, key uint64) {
	s.tick(now)
	if key == housekeepingTimer {
		s.housekeep()
		s.actions.SetTimer(housekeepingInterval, housekeepingTimer)
	} else if r := s.requestTimers[key]; r != nil {
		delete(s.requestTimers, key)
		s.expire(r)
	}
	s.dispatch()
}

// tick moves the clock on. At the first event it starts the housekeeping and the watch of the endpoint list.
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

// housekeep closes windows that are due and reconsiders all queues.
func (s *Scheduler) housekeep() {
	for _, n := range s.listed {
		if n.window.due(s.now) && (n.window.responses > 0 || n.attemptsInFlight > 0) {
			s.closeWindow(n)
		}
		s.retestMinLatency(n)
		s.drawSlowStart(n)
		s.cancelLost(n)
		s.rejectLate(n)
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

// sweep releases what is over. Its loops over maps only delete, so that their order does not matter.
func (s *Scheduler) sweep() {
	s.dropRestored()
	maps.DeleteFunc(s.rejected, func(_ requestFingerprint, r *request) bool {
		return s.now >= r.clientTimeoutAt
	})
	maps.DeleteFunc(s.orderedKeys, func(_ string, queue *orderedKeyQueue) bool {
		return len(queue.waiters) == 0 && s.now >= queue.quietUntil
	})
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool { return v.idle(s.now) })
	s.sweepNodes()
}

// sweepNodes releases the fair-queueing tags of idle volumes, and nodes that were removed long ago.
func (s *Scheduler) sweepNodes() {
	before := len(s.listed)
	s.listed = slices.DeleteFunc(s.listed, func(n *node) bool {
		for tier := range n.finishTags {
			maps.DeleteFunc(n.finishTags[tier], func(v *volume, _ float64) bool { return v.idle(s.now) })
		}
		over := n.Phase == Removed && len(n.pending) == 0 && s.now-n.sentAt > s.settings.Rules.SlowStartDuration
		if over {
			delete(s.nodes, n.ID)
		}
		return over
	})
	if len(s.listed) != before {
		s.indexNodes()
	}
}

// logf logs a line, unless one was logged a moment ago.
func (s *Scheduler) logf(format string, args ...any) {
	if s.loggedAt > 0 && s.now-s.loggedAt < logInterval {
		return
	}
	s.loggedAt = s.now
	s.actions.Log(fmt.Sprintf(format, args...))
}
