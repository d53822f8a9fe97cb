package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// serviceTimeTolerance is the number of service times that a request may take before the rest counts as time in
	// a queue.
	serviceTimeTolerance = 2
	// workGain is the weight of one response in the mean latency per unit and in the relative work of its class.
	workGain = 0.02
	// responseGain is the weight of one request in what is learned about clients and load reports.
	responseGain = 0.1
	// estimateDecayTime is the time in which the weight of what is known of a node decays by a factor of e.
	estimateDecayTime = 5 * time.Second
	// lostAfterObjectives is the time after which an answer counts as lost, as a multiple of the shortest latency
	// objective of all classes.
	lostAfterObjectives = 4
	// maxFleetSampleAge is the age below which the last measurement of a node's queue makes the node count in the
	// fleet's medians.
	maxFleetSampleAge = 3 * time.Second
	// fleetPriorResponses is the weight of the fleet's median queue, in responses.
	fleetPriorResponses = 1
)

// recordWork updates the mean latency per unit, and the classWork of the request's class: the ratio of its latency per
// unit to that mean.
func (s *Scheduler) recordWork(request *requestState, latency time.Duration) {
	perUnit := latency.Seconds() / max(request.Units, 1)
	s.serviceTimePerUnit += workGain * (perUnit - s.serviceTimePerUnit)
	s.classWork[request.Class] += workGain * (perUnit/s.serviceTimePerUnit - s.classWork[request.Class])
}

// recordServedQueue estimates the node's queue from the latency of a served attempt, or from the load report if that
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

// recordUnansweredQueue estimates the node's queue from an attempt that ended without an answer. The attempt is
// expected to have taken twice the time that it was in flight. Without this estimate, clients that disconnect would
// hide long queues.
func (s *Scheduler) recordUnansweredQueue(node *nodeState, attempt *attemptState) {
	queue := 2*s.unansweredTime(attempt) - serviceTimeTolerance*s.serviceTime(attempt.request, node)
	s.recordQueueTime(node, max(node.queueTime, queue))
}

// recordQueueTime updates the smoothed estimate of the node's queue with one measurement, in seconds.
func (s *Scheduler) recordQueueTime(node *nodeState, queue float64) {
	weight := s.currentQueueWeight(node)
	node.queueTime = (weight*node.queueTime + queue) / (weight + 1)
	node.queueWeight = min(weight+1, smoothingResponses)
	node.queueMeasuredAt = s.now
}

// currentQueueWeight returns the number of responses that the node's measured queue is worth now. It decays with the
// time since the last measurement.
func (s *Scheduler) currentQueueWeight(node *nodeState) float64 {
	return node.queueWeight * math.Exp(-(s.now-node.queueMeasuredAt).Seconds()/estimateDecayTime.Seconds())
}

// estimatedQueueTime returns the time, in seconds, that a request is expected to spend in the queue at the node. The
// older the node's own measurements are, the more the median of the fleet counts instead. An overdue attempt counts
// as one more response.
func (s *Scheduler) estimatedQueueTime(node *nodeState) float64 {
	measured := s.currentQueueWeight(node)
	weight := measured + fleetPriorResponses
	queue := (measured*node.queueTime + fleetPriorResponses*s.fleetQueueTime) / weight
	if overdue := s.overdueTime(node); overdue > queue {
		return (queue*weight + overdue) / (weight + 1)
	}
	return max(0, queue)
}

// serviceTime returns the time, in seconds, that the request takes at the node without a queue.
func (s *Scheduler) serviceTime(request *requestState, node *nodeState) float64 {
	perMeanRequest := min(node.latency, node.minLatency)
	if node.minLatency == 0 {
		perMeanRequest = cmp.Or(s.minLatencyMedian, s.serviceTimePerUnit*s.settings.Sizes.MeanUnits)
	}
	return max(request.Units, 1) * s.classWork[request.Class] / s.settings.Sizes.MeanUnits * perMeanRequest
}

// overdueTime returns the time, in seconds, by which the oldest late attempt at the node exceeds the time that its
// work explains; 0 if no attempt is late.
func (s *Scheduler) overdueTime(node *nodeState) float64 {
	for _, attempt := range node.pending {
		if late := s.unansweredTime(attempt) - serviceTimeTolerance*s.serviceTime(attempt.request, node); late > 0 {
			return late
		}
	}
	return 0
}

// unansweredTime returns the time, in seconds, for which an attempt has been in flight. It returns 0 for an attempt
// that seems lost, because such an attempt says nothing about the node's queue.
func (s *Scheduler) unansweredTime(attempt *attemptState) float64 {
	lost := s.now-attempt.sentAt > lostAfterObjectives*s.minClassObjective
	if attempt.overtaken > 0 || attempt.canceled || attempt.discounted || lost {
		return 0
	}
	return (s.now - attempt.sentAt).Seconds()
}

// updateFleetEstimates computes the medians of the queues and the minimum latencies of the nodes whose queue was
// measured recently or that have an overdue attempt. The medians are the prior for nodes that rarely answer. A minority
// of slow nodes does not move a median.
func (s *Scheduler) updateFleetEstimates() {
	var queues, minLatencies []float64
	for _, node := range s.listed {
		overdue := s.overdueTime(node)
		recent := overdue > 0 || s.now-node.queueMeasuredAt < maxFleetSampleAge
		if recent && node.minLatency > 0 {
			queues = append(queues, max(overdue, node.queueTime, 0))
			minLatencies = append(minLatencies, node.minLatency)
		}
	}
	s.fleetQueueTime = median(queues)
	s.minLatencyMedian = cmp.Or(median(minLatencies), s.minLatencyMedian)
}

// median sorts the values and returns their median, which is the higher of the two middle ones if their number is even.
// It returns 0 for no values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
