package scheduler

import (
	"cmp"
	"math"
	"time"
)

// InitialRequests is the concurrency limit of a node of which nothing is known, in mean requests (design).
const InitialRequests = 8

// Tuned values of the concurrency limit. "Design" marks values that docs/design.md takes from the published design,
// "ours" those that were tuned for this product.
const (
	maxLimitRequests     = 32                     // highest limit, in mean requests (design)
	latencyTolerance     = 0.3                    // growth of the latency that the limit accepts (design)
	minLatencyGain       = 0.1                    // weight of a lower window in the minimum latency
	maxRateGain          = minLatencyGain / 10    // weight of a window in the maximum rate
	windowDuration       = 500 * time.Millisecond // a window closes after this time (design)
	maxWindowResponses   = 8                      // or after so many responses (ours)
	smoothingResponses   = 4                      // weight of all earlier windows, in responses (ours)
	retestInterval       = 10 * time.Second       // between two cuts that remeasure the minimum latency (design)
	retestCutShare       = 0.5                    // a cut keeps this share of the units in flight (ours)
	retestDrainLatencies = 2                      // a cut waits for this many latencies (design)
	maxRetestRaise       = 1.05                   // a cut raises the minimum latency by this factor at most (ours)
	initialLatency       = 50 * time.Millisecond  // of a mean request before the first response (ours)
)

// latencyWindow collects the responses of a node from which its next concurrency limit is computed.
type latencyWindow struct {
	openedAt  time.Duration
	units     float64 // served
	responses int
	latency   time.Duration // sum over the responses
	work      float64       // expected for them, in mean requests
}

// due says whether the window has been open for long enough.
func (w *latencyWindow) due(now time.Duration) bool { return now-w.openedAt >= windowDuration }

// recordServed updates the estimates of a node by a served attempt.
func (s *Scheduler) recordServed(node *nodeState, request *requestState, latency time.Duration, load *Load) {
	s.recordWork(request, latency)
	s.recordServedQueue(node, request, latency, load)
	node.window.units += request.Units
	node.window.responses++
	node.window.latency += latency
	node.window.work += max(request.Units, 1) * s.classWork[request.Class] / s.settings.Sizes.MeanUnits
	if node.window.responses >= maxWindowResponses || node.window.due(s.now) {
		s.closeWindow(node)
	}
}

// closeWindow computes the node's next concurrency limit from the window's mean latency and rate.
func (s *Scheduler) closeWindow(node *nodeState) {
	window := node.window
	node.window = latencyWindow{openedAt: s.now}
	duration := max(s.now-window.openedAt, s.settings.Tick, time.Millisecond)
	rate := window.units / duration.Seconds()
	if window.responses > 0 || node.attemptsInFlight > 0 {
		node.maxRate = max(rate, node.maxRate+maxRateGain*(rate-node.maxRate))
	}
	if window.responses > 0 {
		s.smoothLatency(node, window.latency.Seconds()/window.work, window.responses)
	}
	s.setConcurrencyLimit(node)
}

// smoothLatency takes a window's mean latency of a mean request into the node's latency and minimum latency. A
// window holds few responses to requests of unlike size, so windows are weighted by their number of responses.
func (s *Scheduler) smoothLatency(node *nodeState, mean float64, responses int) {
	switch {
	case node.minLatency == 0:
		node.latency = mean
		node.minLatency = min(mean, cmp.Or(s.minLatencyMedian, mean))
	case node.cutDrainedAt > 0 && s.now >= node.cutDrainedAt:
		node.latency = mean
		node.minLatency = min(mean, maxRetestRaise*node.minLatency)
		node.cutDrainedAt = 0
	default:
		earlier := smoothingResponses * math.Exp(-(s.now-node.learnedAt).Seconds()/estimateDecayTime.Seconds())
		node.latency += float64(responses) / (float64(responses) + earlier) * (mean - node.latency)
		node.minLatency += minLatencyGain * min(0, node.latency-node.minLatency)
	}
	node.learnedAt = s.now
}

// setConcurrencyLimit sets the limit at which the node's latency stays within the tolerance, by Little's law.
func (s *Scheduler) setConcurrencyLimit(node *nodeState) {
	if node.minLatency == 0 {
		return
	}
	limit := node.maxRate * ((2+latencyTolerance)*node.minLatency - node.latency)
	if node.cutDrainedAt > 0 {
		limit = min(limit, node.cutLimit)
	}
	sizes := s.settings.Sizes
	node.concurrencyLimit = min(max(limit, sizes.MaxUnits), maxLimitRequests*sizes.MeanUnits)
}

// retestMinLatency cuts the limit below what is in flight from time to time. The latency that is measured once the
// node's queue has drained becomes the minimum latency, which otherwise could only fall.
func (s *Scheduler) retestMinLatency(node *nodeState) {
	if node.minLatency == 0 || s.now < node.retestAt {
		return
	}
	node.retestAt = s.now + retestInterval
	node.cutLimit = retestCutShare * node.unitsInFlight
	node.cutDrainedAt = s.now + time.Duration(retestDrainLatencies*node.latency*float64(time.Second))
	s.setConcurrencyLimit(node)
}

// drainRate is the rate, in units a second, at which the node's queue drains at its limit, by Little's law.
func (n *nodeState) drainRate() float64 {
	return n.concurrencyLimit / cmp.Or(n.latency, initialLatency.Seconds())
}
