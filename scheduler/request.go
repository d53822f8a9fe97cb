package scheduler

import (
	"slices"
	"time"
)

// Tuned values of a request's times; ours.
const (
	answerMargin       = 3 * time.Millisecond // a final answer leaves so long before it is due
	minDisconnectShare = 0.2                  // share of a class's clients that disconnect early and set the objective
	demandWindows      = 6                    // slow-start windows over which the demand at a node is smoothed
)

// requestState is a request from its arrival until it has ended and all its attempts have outcomes.
type requestState struct {
	Request
	class           *Class
	effectivePolicy RetryPolicy // of its class, narrowed by its own
	volume          *volumeState
	sequence        uint64 // number of the arrival, and key of its timer
	randomDraw      float64

	arrivedAt       time.Duration
	objectiveAt     time.Duration // answers earn the full weight until then
	answerBy        time.Duration // the final answer is due
	clientTimeoutAt time.Duration // the client gives up, over all its tries

	node *nodeState // where it waits; nil: it does not wait for a node
	tier int        // of the queue
	tag  float64

	inFlight []*attemptState // attempts without an outcome
	attempts int             // attempts sent so far

	// The first attempt that may have run. Without one, firstNode is nil.
	firstNode    *nodeState
	firstSentAt  time.Duration
	firstAttempt int

	spilledOver   bool // it goes to another zone than it prefers
	charged       bool // its units were taken from the volume's limit
	mayStillRun   bool // an attempt ended without an answer
	streamStarted bool
	ended         bool
}

// attemptState is a request that was sent to a node.
type attemptState struct {
	request    *requestState
	number     int // 0 for the first
	node       *nodeState
	sentAt     time.Duration
	overtaken  int  // attempts sent to the node later and served earlier
	canceled   bool // as lost
	discounted bool // probably no longer at the node, so that it holds no capacity there
}

// discount stops an attempt from holding capacity at its node.
func (a *attemptState) discount() {
	if !a.discounted {
		a.discounted = true
		a.node.freeCapacity(a)
	}
}

// requestFingerprint is what the tries of a client for the same purpose have in common.
type requestFingerprint struct {
	volume string
	key    string
	class  int
	units  float64
}

// takeInFlight removes an attempt from those without an outcome; nil if it is none of them.
func (r *requestState) takeInFlight(number int) *attemptState {
	i := slices.IndexFunc(r.inFlight, func(attempt *attemptState) bool { return attempt.number == number })
	if i < 0 {
		return nil
	}
	attempt := r.inFlight[i]
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	return attempt
}

// fingerprint is the fingerprint of the request.
func (r *requestState) fingerprint() requestFingerprint {
	return requestFingerprint{volume: r.Volume, key: r.Key, class: r.Class, units: r.Units}
}

// newRequest enters a request that has arrived into the books and sets the timer of its final answer.
func (s *Scheduler) newRequest(arrived Request) *requestState {
	if s.settings.Rules.RetryBudgetWindow > 0 {
		s.arrivedAt = append(s.arrivedAt, s.now)
	}
	s.sequence++
	request := &requestState{
		Request:    arrived,
		class:      &s.settings.Classes[arrived.Class],
		sequence:   s.sequence,
		randomDraw: s.random.Float64(),
		volume:     s.volumeOf(arrived),
	}
	request.effectivePolicy = request.class.RetryPolicy().NarrowedBy(arrived.RetryPolicy)
	request.Units = max(arrived.Units, 0)
	s.setDeadlines(request)
	request.volume.idleAt = max(request.volume.idleAt, request.answerBy+sweepInterval)
	s.requests[request.ID] = request
	for _, node := range s.nodesByShard[request.Shard] {
		node.demand.add(s.now, demandWindows*s.settings.Rules.SlowStartWindow, request.Units)
	}
	s.requestTimers[request.sequence] = request
	s.actions.SetTimer(max(0, request.answerBy-s.now), request.sequence)
	s.joinOrderedKey(request)
	return request
}

// setDeadlines sets when the final answer of a request is due and until when it earns the full weight. If the
// request is the client's retry of one that was rejected, the times of that one count. A retry is recognized by its
// fingerprint and by a client timeout that ends within the deadline of the first try.
func (s *Scheduler) setDeadlines(request *requestState) {
	serviceTime := request.Units * s.classWork[request.Class] * s.serviceTimePerUnit // in seconds
	stretch := time.Duration(request.class.ObjectiveStretch * serviceTime * float64(time.Second))
	request.arrivedAt = s.now
	request.answerBy = s.now + request.ClientTimeout - answerMargin
	request.objectiveAt = min(s.now+request.class.LatencyObjective+stretch, request.answerBy)
	if s.disconnectShare[request.Class] > minDisconnectShare {
		disconnectAfter := time.Duration(s.disconnectAfter[request.Class] * float64(time.Second))
		request.objectiveAt = min(request.objectiveAt, s.now+disconnectAfter)
	}
	request.clientTimeoutAt = s.now + request.class.Deadline
	if first := s.rejected[request.fingerprint()]; first != nil && request.answerBy <= first.clientTimeoutAt {
		request.objectiveAt = min(request.objectiveAt, first.objectiveAt)
		request.clientTimeoutAt = first.clientTimeoutAt
		delete(s.rejected, request.fingerprint())
	}
}

// recordDisconnect updates how many clients of a class disconnect early, and after what time.
func (s *Scheduler) recordDisconnect(request *requestState) {
	waited := (s.now - request.arrivedAt).Seconds()
	s.disconnectAfter[request.Class] += responseGain * (waited - s.disconnectAfter[request.Class])
	s.disconnectShare[request.Class] += responseGain
}

// end marks a request as ended and takes it out of the queue in which it waits.
func (s *Scheduler) end(request *requestState) {
	request.ended = true
	s.disconnectShare[request.Class] -= responseGain * s.disconnectShare[request.Class]
	delete(s.requestTimers, request.sequence)
	if request.node != nil {
		request.node.waiting = removeRequest(request.node.waiting, request)
		request.node = nil
	}
	s.unassigned = removeRequest(s.unassigned, request)
}

// release forgets an ended request once all its attempts have outcomes, and lets the next one of its key run.
func (s *Scheduler) release(request *requestState) {
	if request.ended && len(request.inFlight) == 0 {
		delete(s.requests, request.ID)
		s.leaveOrderedKey(request)
	}
}
