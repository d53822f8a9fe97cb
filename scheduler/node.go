package scheduler

import (
	"slices"
	"time"
)

// nodeState is the state of a storage node as this host knows it.
type nodeState struct {
	Node
	waiting []*requestState // requests in the order in which they are expected to be sent
	pending []*attemptState // attempts without an outcome, in the order in which they were sent

	unitsInFlight    float64       // units of the pending attempts for which attemptState.discounted is not set
	attemptsInFlight int           // number of the pending attempts for which attemptState.discounted is not set
	sentAt           time.Duration // when the last attempt was sent
	recentSends      []recentSend  // attempts sent within the SlowStartWindow before the last one

	// Estimates from the node's answers; see concurrency_limit.go and latency_estimates.go.
	concurrencyLimit float64 // limit of the units in flight
	window           latencyWindow
	maxRate          float64       // highest rate at which the node served units, in units a second
	latency          float64       // latency of a request of mean size, in seconds, smoothed
	minLatency       float64       // latency of a request of mean size without a queue, in seconds; 0 if unknown
	learnedAt        time.Duration // when the last window that contained a response was closed
	retestAt         time.Duration // when the limit is next cut to measure the minimum latency again
	cutDrainedAt     time.Duration // when the queue will have drained after a cut; 0 if no cut lasts
	cutLimit         float64       // limit while a cut lasts, in units
	queueTime        float64       // time that a request spends in the node's queue, in seconds, smoothed
	queueWeight      float64       // number of responses that queueTime was worth at queueMeasuredAt
	queueMeasuredAt  time.Duration // when queueTime was last updated, also by an attempt without an answer

	// Order of the node's queue; see queue.go.
	virtualTime [queueTiers]float64                  // highest tag of the requests that were sent, by tier
	finishTags  [queueTiers]map[*volumeState]float64 // tag at which each volume's last request ends, by tier

	// Health of the node; see node_health.go.
	failures        int // rejections and failed connections in a row, without those during a backoff
	backoffUntil    time.Duration
	down            bool          // the node seems to have failed, and has not served a request since then
	unansweredSince time.Duration // since when attempts there have had no response; 0 if there is no such attempt
	lastResponseAt  time.Duration // when the node last answered or refused a connection
	resetAt         time.Duration // when a connection last broke
	// recoveredAt is when the node answered after it was down. It is 0 once it is known whether the node had
	// restarted.
	recoveredAt time.Duration

	// Slow start of the node; see slow_start.go.
	warmingSince       time.Duration // when the node started or recovered from a failure; 0 if it is warm
	demand             decayingSum   // units requested for its data, smoothed over demandWindows SlowStartWindows
	slowStartDraw      float64       // random draw that decides whether new objects pass in the current SlowStartWindow
	slowStartDrawUntil time.Duration // when the next random draw is due
}

// recentSend is an attempt that was sent within the last SlowStartWindow and counts toward the slow-start allowance.
type recentSend struct {
	at    time.Duration
	units float64
}

// recordSend registers at the node an attempt that is being sent there.
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

// recordEnd removes from the node an attempt that has an outcome.
func (n *nodeState) recordEnd(attempt *attemptState) {
	n.pending = slices.DeleteFunc(n.pending, func(other *attemptState) bool { return other == attempt })
	if !attempt.discounted {
		n.freeCapacity(attempt)
	}
}

// freeCapacity subtracts an attempt from what counts as in flight at the node.
func (n *nodeState) freeCapacity(attempt *attemptState) {
	n.unitsInFlight = max(0, n.unitsInFlight-attempt.request.Units)
	n.attemptsInFlight--
}

// unitsSentSince returns the number of units sent to the node after at, a time within the last SlowStartWindow.
func (n *nodeState) unitsSentSince(at time.Duration) float64 {
	sum := 0.0
	for _, send := range n.recentSends {
		if send.at > at {
			sum += send.units
		}
	}
	return sum
}

// waitingUnits returns the number of units that wait for the node.
func (n *nodeState) waitingUnits() float64 {
	sum := 0.0
	for _, request := range n.waiting {
		sum += request.Units
	}
	return sum
}
