package scheduler

import (
	"cmp"
	"math"
	"time"
)

// InitialRequests is the concurrency limit of a node of which nothing is known, in requests of mean size.
const InitialRequests = 8

// InitialRequests, maxLimitRequests, latencyTolerance, windowDuration, retestInterval and retestDrainLatencies are
// those of the published design that docs/design.md describes.
const (
	maxLimitRequests     = 32                     // highest concurrency limit, in requests of mean size
	latencyTolerance     = 0.3                    // relative growth of the latency that the limit tolerates
	minLatencyGain       = 0.1                    // weight of a window with a lower latency in the minimum latency
	maxRateGain          = minLatencyGain / 10    // weight of a window with a lower rate in the maximum rate
	windowDuration       = 500 * time.Millisecond // time after which a window is closed
	maxWindowResponses   = 8                      // number of responses after which a window is closed earlier
	smoothingResponses   = 4                      // weight of all earlier windows, in responses
	retestInterval       = 10 * time.Second       // time between two cuts that remeasure the minimum latency
	retestCutShare       = 0.5                    // share of the units in flight that a cut keeps as the limit
	retestDrainLatencies = 2                      // time until the queue has drained after a cut, in latencies
	maxRetestRaise       = 1.05                   // largest factor by which a cut raises the minimum latency
	initialLatency       = 50 * time.Millisecond  // latency of a request of mean size before the first response
)

// latencyWindow collects the responses of a node from which its next concurrency limit is computed.
type latencyWindow struct {
	openedAt  time.Duration
	units     float64       // units served
	responses int           // number of responses
	latency   time.Duration // sum of the latencies
	work      float64       // work of the served requests, as a multiple of that of a request of mean size
}

// due reports whether the window has been open for windowDuration.
func (w *latencyWindow) due(now time.Duration) bool { return now-w.openedAt >= windowDuration }

// recordServed updates the estimates of a node with a served attempt.
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

// closeWindow computes the node's next concurrency limit from the mean latency and the rate of its window, and opens
// the next window.
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

// smoothLatency updates the node's latency and minimum latency with the mean latency of a window, which is scaled to a
// request of mean size. A window may contain few responses, to requests of different sizes, so windows are weighted by
// their number of responses.
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

// setConcurrencyLimit sets the limit at which, by Little's law, the node's latency stays within the tolerance. The
// limit is at least the largest request and at most maxLimitRequests; a cut lowers it.
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

// retestMinLatency cuts the limit below the units in flight every retestInterval, so that the node's queue drains. The
// latency that is measured then replaces the minimum latency, but raises it by no more than the factor maxRetestRaise.
// Without cuts, the minimum latency could only fall.
func (s *Scheduler) retestMinLatency(node *nodeState) {
	if node.minLatency == 0 || s.now < node.retestAt {
		return
	}
	node.retestAt = s.now + retestInterval
	node.cutLimit = retestCutShare * node.unitsInFlight
	node.cutDrainedAt = s.now + time.Duration(retestDrainLatencies*node.latency*float64(time.Second))
	s.setConcurrencyLimit(node)
}

// drainRate returns the rate, in units a second, at which by Little's law the node's queue drains while the
// concurrency limit is reached.
func (n *nodeState) drainRate() float64 {
	return n.concurrencyLimit / cmp.Or(n.latency, initialLatency.Seconds())
}
