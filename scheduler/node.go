package scheduler

import (
	"slices"
	"time"
)

// nodeState is a storage node as this host sees it.
type nodeState struct {
	Node
	waiting []*requestState // in the order in which they are expected to be sent
	pending []*attemptState // attempts without an outcome, in the order in which they were sent

	unitsInFlight    float64 // without discounted attempts
	attemptsInFlight int     // without discounted attempts
	sentAt           time.Duration
	recentSends      []recentSend // within the slow-start window

	// What its answers say; see concurrency_limit.go and latency_estimates.go.
	concurrencyLimit float64 // units in flight
	window           latencyWindow
	maxRate          float64       // units a second
	latency          float64       // seconds of a mean request, smoothed
	minLatency       float64       // seconds of a mean request without a queue; 0: unknown
	learnedAt        time.Duration // close of the last window that held a response
	retestAt         time.Duration // next cut
	cutDrainedAt     time.Duration // when the queue will have drained after a cut; 0: no cut
	cutLimit         float64
	queueTime        float64 // seconds that its queue took, smoothed over responses
	queueWeight      float64 // number of responses that queueTime was worth at lastServedAt
	lastServedAt     time.Duration

	// The order of its queue; see queue.go.
	virtualTime [queueTiers]float64                  // tag of the last request that was sent
	finishTags  [queueTiers]map[*volumeState]float64 // of each volume's last request

	// Its health; see node_health.go.
	failures        int // rejections and failed connections in a row
	backoffUntil    time.Duration
	down            bool          // connections failed repeatedly, and nothing was served since
	unansweredSince time.Duration // first attempt since its last response; 0: none
	lastResponseAt  time.Duration // last answer or refused connection
	resetAt         time.Duration // when a connection last broke
	// recoveredAt is when it answered after it was unavailable, until it is known whether it had restarted;
	// 0: nothing is open.
	recoveredAt time.Duration

	// Its slow start; see slow_start.go.
	warmingSince       time.Duration // its start, or the end of a failure; 0: warm
	demand             decayingSum   // units requested of its data
	slowStartDraw      float64       // random draw by which its part is rounded up for now
	slowStartDrawUntil time.Duration
}

// recentSend is a sent attempt that counts in the slow-start window.
type recentSend struct {
	at    time.Duration
	units float64
}

// recordSend adds an attempt that is being sent to the books of its node.
func (n *nodeState) recordSend(attempt *attemptState, slowStartWindow time.Duration) {
	n.pending = append(n.pending, attempt)
	n.unitsInFlight += attempt.request.Units
	n.attemptsInFlight++
	n.sentAt = attempt.sentAt
	if n.unansweredSince == 0 {
		n.unansweredSince = attempt.sentAt
	}
	n.recentSends = slices.DeleteFunc(n.recentSends, func(send recentSend) bool {
		return send.at <= attempt.sentAt-slowStartWindow
	})
	n.recentSends = append(n.recentSends, recentSend{at: attempt.sentAt, units: attempt.request.Units})
}

// recordEnd takes an attempt that has an outcome out of the books of its node.
func (n *nodeState) recordEnd(attempt *attemptState) {
	n.pending = slices.DeleteFunc(n.pending, func(other *attemptState) bool { return other == attempt })
	if !attempt.discounted {
		n.freeCapacity(attempt)
	}
}

// freeCapacity takes an attempt out of what is in flight at the node.
func (n *nodeState) freeCapacity(attempt *attemptState) {
	n.unitsInFlight = max(0, n.unitsInFlight-attempt.request.Units)
	n.attemptsInFlight--
}

// unitsSentSince is the number of units sent to the node after a time.
func (n *nodeState) unitsSentSince(at time.Duration) float64 {
	sum := 0.0
	for _, send := range n.recentSends {
		if send.at > at {
			sum += send.units
		}
	}
	return sum
}

// waitingUnits is the number of units that wait for the node.
func (n *nodeState) waitingUnits() float64 {
	sum := 0.0
	for _, request := range n.waiting {
		sum += request.Units
	}
	return sum
}
