package scheduler

import (
	"slices"
	"time"
)

const (
	// answerMargin is the time between the final answer of a request and the moment at which its client gives up.
	answerMargin = 3 * time.Millisecond
	// minDisconnectShare is the share of a class's requests above which early disconnects of their clients limit the
	// objective of the class to the mean time after which these clients disconnect.
	minDisconnectShare = 0.2
	// demandWindows is the number of slow-start windows over which the demand at a node is smoothed.
	demandWindows = 6
)

// requestState is a request from its arrival until it has ended and all its attempts have outcomes.
type requestState struct {
	Request
	class           *Class
	effectivePolicy RetryPolicy // policy of the class, narrowed by that of the request
	volume          *volumeState
	sequence        uint64  // number of the request in the order of arrival, and key of its timer
	randomDraw      float64 // uniform in [0, 1), for decisions that let requests pass at random

	arrivedAt       time.Duration
	objectiveAt     time.Duration // end of the time within which an answer earns the full weight
	answerBy        time.Duration // time at which the final answer is due
	clientTimeoutAt time.Duration // time at which the client gives up for good and makes no further try

	node *nodeState // node in whose queue the request waits; nil if it waits in none
	tier int        // queue tier
	tag  float64    // fair-queueing tag at which the request starts

	inFlight []*attemptState // attempts without an outcome
	attempts int             // number of attempts sent so far

	// The first attempt that may have run. firstNode is nil if there is none.
	firstNode    *nodeState
	firstSentAt  time.Duration
	firstAttempt int

	// spilledOver says that the request writes a new object and was assigned, within the spillover limit, to a node
	// outside the first tier of zones that the settings allow for it.
	spilledOver   bool
	charged       bool // the units of the request were taken from the volume's limit, if the volume has one
	mayStillRun   bool // an attempt ended without an answer and may still run
	streamStarted bool
	ended         bool
}

// attemptState is an attempt of a request at a node that has no outcome yet.
type attemptState struct {
	request    *requestState
	number     int // 0 for the first attempt
	node       *nodeState
	sentAt     time.Duration
	overtaken  int  // number of attempts that were sent to the node later but served earlier
	canceled   bool // canceled because the attempt seems lost
	discounted bool // no longer counted as in flight, so that the attempt holds no capacity at the node
}

// discount stops counting an attempt as in flight at its node, so that it holds no capacity there.
func (a *attemptState) discount() {
	if !a.discounted {
		a.discounted = true
		a.node.freeCapacity(a)
	}
}

// requestFingerprint holds the properties that a client's first try and its retries have in common.
type requestFingerprint struct {
	volume string
	key    string
	class  int
	units  float64
}

// takeInFlight removes the attempt with the number from those without an outcome and returns it; nil if there is no
// such attempt.
func (r *requestState) takeInFlight(number int) *attemptState {
	i := slices.IndexFunc(r.inFlight, func(attempt *attemptState) bool { return attempt.number == number })
	if i < 0 {
		return nil
	}
	attempt := r.inFlight[i]
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	return attempt
}

// fingerprint returns the properties of the request by which a client's retry of it is recognized.
func (r *requestState) fingerprint() requestFingerprint {
	return requestFingerprint{volume: r.Volume, key: r.Key, class: r.Class, units: r.Units}
}

// newRequest registers a request that has arrived and sets the timer of its final answer.
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

// setDeadlines sets when the final answer of a request is due and until when an answer earns the full weight. If the
// request is a client's retry of a request that was rejected or failed, the deadline of the client's first try applies,
// and its objective if that ends earlier. A retry is recognized by its fingerprint and by a client timeout that ends
// within the deadline of the first try.
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

// recordDisconnect updates, for the class of a request whose client has disconnected early, the mean time after which
// such clients disconnect, and raises their share. The function end lowers the share with every request.
func (s *Scheduler) recordDisconnect(request *requestState) {
	waited := (s.now - request.arrivedAt).Seconds()
	s.disconnectAfter[request.Class] += responseGain * (waited - s.disconnectAfter[request.Class])
	s.disconnectShare[request.Class] += responseGain
}

// end marks a request as ended, clears its timer, takes it out of the queue in which it waits, and lowers the share of
// early disconnects of its class.
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

// release drops an ended request once all its attempts have outcomes, and lets the next request of its key run.
func (s *Scheduler) release(request *requestState) {
	if request.ended && len(request.inFlight) == 0 {
		delete(s.requests, request.ID)
		s.leaveOrderedKey(request)
	}
}
