package scheduler

import "time"

// Tuned values of a request's times; ours.
const (
	answerMargin       = 3 * time.Millisecond // a final answer leaves so long before it is due
	minDisconnectShare = 0.2                  // share of a class's clients that disconnect early and set the objective
	demandWindows      = 6                    // slow-start windows over which the demand at a node is smoothed
)

// request is a request from its arrival until it has ended and all its attempts have outcomes.
type request struct {
	Request
	class           *Class
	effectivePolicy RetryPolicy // of its class, narrowed by its own
	volume          *volume
	sequence        uint64 // number of the arrival, and key of its timer
	randomDraw      float64

	arrivedAt       time.Duration
	objectiveAt     time.Duration // answers earn the full weight until then
	answerBy        time.Duration // the final answer is due
	clientTimeoutAt time.Duration // the client gives up, over all its tries

	node        *node // where it waits; nil: it does not wait for a node
	tier        int   // of the queue
	tag         float64
	spilledOver bool // it goes to another zone than it prefers

	inFlight []*attempt // attempts without an outcome
	attempts int        // attempts sent so far
	charged  bool       // its units were taken from the volume's limit

	// The first attempt that may have run. Without one, firstNode is nil.
	firstNode    *node
	firstSentAt  time.Duration
	firstAttempt int

	mayStillRun   bool // an attempt ended without an answer
	streamStarted bool
	ended         bool
}

// attempt is a request that was sent to a node.
type attempt struct {
	request    *request
	number     int // 0 for the first
	node       *node
	sentAt     time.Duration
	overtaken  int  // attempts sent to the node later and served earlier
	canceled   bool // as lost
	discounted bool // probably no longer at the node, so that it holds no capacity there
}

// discount stops an attempt from holding capacity at its node.
func (a *attempt) discount() {
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

func (r *request) fingerprint() requestFingerprint {
	return requestFingerprint{volume: r.Volume, key: r.Key, class: r.Class, units: r.Units}
}

// newRequest enters a request that has arrived into the books and sets the timer of its final answer.
func (s *Scheduler) newRequest(arrived Request) *request {
	if s.settings.Rules.RetryBudgetWindow > 0 {
		s.arrivedAt = append(s.arrivedAt, s.now)
	}
	s.sequence++
	r := &request{
		Request:    arrived,
		class:      &s.settings.Classes[arrived.Class],
		sequence:   s.sequence,
		randomDraw: s.random.Float64(),
		volume:     s.volumeOf(arrived),
	}
	r.effectivePolicy = r.class.RetryPolicy().NarrowedBy(arrived.RetryPolicy)
	r.Units = max(arrived.Units, 0)
	s.setDeadlines(r)
	r.volume.idleAt = max(r.volume.idleAt, r.answerBy+sweepInterval)
	s.requests[r.ID] = r
	for _, n := range s.nodesByShard[r.Shard] {
		n.demand.add(s.now, demandWindows*s.settings.Rules.SlowStartWindow, r.Units)
	}
	s.requestTimers[r.sequence] = r
	s.actions.SetTimer(max(0, r.answerBy-s.now), r.sequence)
	s.joinOrderedKey(r)
	return r
}

// setDeadlines sets when the final answer of a request is due and until when it earns the full weight. If the
// request is the client's retry of one that was rejected, the times of that one count. A retry is recognized by its
// fingerprint and by a client timeout that ends within the deadline of the first try.
func (s *Scheduler) setDeadlines(r *request) {
	serviceTime := r.Units * s.classWork[r.Class] * s.serviceTimePerUnit // in seconds
	stretch := time.Duration(r.class.ObjectiveStretch * serviceTime * float64(time.Second))
	r.arrivedAt = s.now
	r.answerBy = s.now + r.ClientTimeout - answerMargin
	r.objectiveAt = min(s.now+r.class.LatencyObjective+stretch, r.answerBy)
	if s.disconnectShare[r.Class] > minDisconnectShare {
		disconnectAfter := time.Duration(s.disconnectAfter[r.Class] * float64(time.Second))
		r.objectiveAt = min(r.objectiveAt, s.now+disconnectAfter)
	}
	r.clientTimeoutAt = s.now + r.class.Deadline
	if first := s.rejected[r.fingerprint()]; first != nil && r.answerBy <= first.clientTimeoutAt {
		r.objectiveAt = min(r.objectiveAt, first.objectiveAt)
		r.clientTimeoutAt = first.clientTimeoutAt
		delete(s.rejected, r.fingerprint())
	}
}

// recordDisconnect updates how many clients of a class disconnect early, and after what time.
func (s *Scheduler) recordDisconnect(r *request) {
	waited := (s.now - r.arrivedAt).Seconds()
	s.disconnectAfter[r.Class] += responseGain * (waited - s.disconnectAfter[r.Class])
	s.disconnectShare[r.Class] += responseGain
}

// end marks a request as ended and takes it out of the queue in which it waits.
func (s *Scheduler) end(r *request) {
	r.ended = true
	s.disconnectShare[r.Class] -= responseGain * s.disconnectShare[r.Class]
	delete(s.requestTimers, r.sequence)
	if r.node != nil {
		r.node.waiting = removeRequest(r.node.waiting, r)
		r.node = nil
	}
	s.unassigned = removeRequest(s.unassigned, r)
}

// release forgets an ended request once all its attempts have outcomes, and lets the next one of its key run.
func (s *Scheduler) release(r *request) {
	if r.ended && len(r.inFlight) == 0 {
		delete(s.requests, r.ID)
		s.leaveOrderedKey(r)
	}
}
