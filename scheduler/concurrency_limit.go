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
	minLatencyGain       = 0.1                    // weight of a lower window in the minimum latency (design)
	maxRateGain          = minLatencyGain / 10    // weight of a window in the maximum rate (design)
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
func (s *Scheduler) recordServed(n *node, r *request, latency time.Duration, load *Load) {
	s.recordWork(r, latency)
	s.recordServedQueue(n, r, latency, load)
	n.window.units += r.Units
	n.window.responses++
	n.window.latency += latency
	n.window.work += max(r.Units, 1) * s.classWork[r.Class] / s.settings.Sizes.MeanUnits
	if n.window.responses >= maxWindowResponses || n.window.due(s.now) {
		s.closeWindow(n)
	}
}

// closeWindow computes the node's next concurrency limit from the window's mean latency and rate.
func (s *Scheduler) closeWindow(n *node) {
	window := n.window
	n.window = latencyWindow{openedAt: s.now}
	duration := max(s.now-window.openedAt, s.settings.Tick, time.Millisecond)
	rate := window.units / duration.Seconds()
	if window.responses > 0 || n.attemptsInFlight > 0 {
		n.maxRate = max(rate, n.maxRate+maxRateGain*(rate-n.maxRate))
	}
	if window.responses > 0 {
		s.smoothLatency(n, window.latency.Seconds()/window.work, window.responses)
	}
	s.setConcurrencyLimit(n)
}

// smoothLatency takes a window's mean latency of a mean request into the node's latency and minimum latency. A
// window holds few responses to requests of unlike size, so windows are weighted by their number of responses.
func (s *Scheduler) smoothLatency(n *node, mean float64, responses int) {
	switch {
	case n.minLatency == 0:
		n.latency = mean
		n.minLatency = min(mean, cmp.Or(s.minLatencyMedian, mean))
	case n.cutDrainedAt > 0 && s.now >= n.cutDrainedAt:
		n.latency = mean
		n.minLatency = min(mean, maxRetestRaise*n.minLatency)
		n.cutDrainedAt = 0
	default:
		earlier := smoothingResponses * math.Exp(-(s.now-n.learnedAt).Seconds()/nodeDecay.Seconds())
		n.latency += float64(responses) / (float64(responses) + earlier) * (mean - n.latency)
		n.minLatency += minLatencyGain * min(0, n.latency-n.minLatency)
	}
	n.learnedAt = s.now
}

// setConcurrencyLimit sets the limit at which the node's latency stays within the tolerance, by Little's law.
func (s *Scheduler) setConcurrencyLimit(n *node) {
	if n.minLatency == 0 {
		return
	}
	limit := n.maxRate * ((2+latencyTolerance)*n.minLatency - n.latency)
	if n.cutDrainedAt > 0 {
		limit = min(limit, n.cutLimit)
	}
	sizes := s.settings.Sizes
	n.concurrencyLimit = min(max(limit, sizes.MaxUnits), maxLimitRequests*sizes.MeanUnits)
}

// retestMinLatency cuts the limit below what is in flight from time to time. The latency that is measured once the
// node's queue has drained becomes the minimum latency, which otherwise could only fall.
func (s *Scheduler) retestMinLatency(n *node) {
	if n.minLatency == 0 || s.now < n.retestAt {
		return
	}
	n.retestAt = s.now + retestInterval
	n.cutLimit = retestCutShare * n.unitsInFlight
	n.cutDrainedAt = s.now + time.Duration(retestDrainLatencies*n.latency*float64(time.Second))
	s.setConcurrencyLimit(n)
}

// drainRate is the rate, in units a second, at which the node's queue drains at its limit, by Little's law.
func (n *node) drainRate() float64 {
	return n.concurrencyLimit / cmp.Or(n.latency, initialLatency.Seconds())
}
