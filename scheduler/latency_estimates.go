package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values of the estimates; ours.
const (
	serviceTimeTolerance = 2               // service times that a request may take without a queue
	workGain             = 0.02            // weight of one response in the relative work of its class
	responseGain         = 0.1             // weight of one request in what is learned of clients and load reports
	estimateDecayTime    = 5 * time.Second // what is known of a node's queue fades by e in this time
	lostAfterObjectives  = 4               // shortest objectives after which an answer counts as lost
	maxFleetSampleAge    = 3 * time.Second // nodes that answered so recently count in the medians of the fleet
	fleetPriorResponses  = 1               // weight of the fleet's median queue, in responses
)

// recordWork updates how long a unit takes, and how much work a unit of the request's class is against the mean.
func (s *Scheduler) recordWork(request *requestState, latency time.Duration) {
	perUnit := latency.Seconds() / max(request.Units, 1)
	s.serviceTimePerUnit += workGain * (perUnit - s.serviceTimePerUnit)
	s.classWork[request.Class] += workGain * (perUnit/s.serviceTimePerUnit - s.classWork[request.Class])
}

// recordServedQueue takes the node's queue from the latency of a served attempt, or from its load report if that
// indicates a longer queue.
func (s *Scheduler) recordServedQueue(node *nodeState, request *requestState, latency time.Duration, load *Load) {
	queue := latency.Seconds() - serviceTimeTolerance*s.serviceTime(request, node)
	if load != nil && load.Queued >= 1 {
		perQueued := max(0, queue) / load.Queued
		s.queueTimePerRequest += responseGain * (perQueued - s.queueTimePerRequest)
		queue = max(queue, load.Queued*s.queueTimePerRequest)
	}
	s.recordQueueTime(node, queue)
}

// recordUnansweredQueue takes the node's queue from an attempt that ended without an answer. What has lasted so long
// is expected to last as long again. Otherwise clients that disconnect would hide long queues.
func (s *Scheduler) recordUnansweredQueue(node *nodeState, attempt *attemptState) {
	queue := 2*s.unansweredTime(attempt) - serviceTimeTolerance*s.serviceTime(attempt.request, node)
	s.recordQueueTime(node, max(node.queueTime, queue))
}

// recordQueueTime smooths one measurement of the node's queue, in seconds, into its estimate.
func (s *Scheduler) recordQueueTime(node *nodeState, queue float64) {
	weight := s.currentQueueWeight(node)
	node.queueTime = (weight*node.queueTime + queue) / (weight + 1)
	node.queueWeight = min(weight+1, smoothingResponses)
	node.lastServedAt = s.now
}

// currentQueueWeight is the number of responses that the node's measured queue is worth now.
func (s *Scheduler) currentQueueWeight(node *nodeState) float64 {
	return node.queueWeight * math.Exp(-(s.now-node.lastServedAt).Seconds()/estimateDecayTime.Seconds())
}

// estimatedQueueTime is the time, in seconds, that the queue at the node takes. With age, what was measured there
// gives way to the median of the fleet. An overdue attempt counts as one more response.
func (s *Scheduler) estimatedQueueTime(node *nodeState) float64 {
	measured := s.currentQueueWeight(node)
	weight := measured + fleetPriorResponses
	queue := (measured*node.queueTime + fleetPriorResponses*s.fleetQueueTime) / weight
	if overdue := s.overdueTime(node); overdue > queue {
		return (queue*weight + overdue) / (weight + 1)
	}
	return max(0, queue)
}

// serviceTime is the time, in seconds, that the request takes at the node without a queue.
func (s *Scheduler) serviceTime(request *requestState, node *nodeState) float64 {
	perMeanRequest := min(node.latency, node.minLatency)
	if node.minLatency == 0 {
		perMeanRequest = cmp.Or(s.minLatencyMedian, s.serviceTimePerUnit*s.settings.Sizes.MeanUnits)
	}
	return max(request.Units, 1) * s.classWork[request.Class] / s.settings.Sizes.MeanUnits * perMeanRequest
}

// overdueTime is the time, in seconds, by which the oldest late attempt at the node exceeds what its work explains.
func (s *Scheduler) overdueTime(node *nodeState) float64 {
	for _, attempt := range node.pending {
		if late := s.unansweredTime(attempt) - serviceTimeTolerance*s.serviceTime(attempt.request, node); late > 0 {
			return late
		}
	}
	return 0
}

// unansweredTime is the time, in seconds, for which an attempt has been in flight. It is 0 for an attempt that
// seems lost, because that says nothing about the node's queue.
func (s *Scheduler) unansweredTime(attempt *attemptState) float64 {
	lost := s.now-attempt.sentAt > lostAfterObjectives*s.minClassObjective
	if attempt.overtaken > 0 || attempt.canceled || attempt.discounted || lost {
		return 0
	}
	return (s.now - attempt.sentAt).Seconds()
}

// updateFleetEstimates takes the medians of queues and minimum latencies over the nodes that answered recently. They
// are the prior for nodes that rarely answer. A minority of slow nodes does not move a median.
func (s *Scheduler) updateFleetEstimates() {
	var queues, minLatencies []float64
	for _, node := range s.listed {
		overdue := s.overdueTime(node)
		recent := overdue > 0 || s.now-node.lastServedAt < maxFleetSampleAge
		if recent && node.minLatency > 0 {
			queues = append(queues, max(overdue, node.queueTime, 0))
			minLatencies = append(minLatencies, node.minLatency)
		}
	}
	s.fleetQueueTime = median(queues)
	s.minLatencyMedian = cmp.Or(median(minLatencies), s.minLatencyMedian)
}

// median sorts the values and returns the upper one in the middle; 0 if there is none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
