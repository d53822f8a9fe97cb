// Package warmrestart lets a gateway start with what its previous incarnation had learned.
//
// Store keeps the state of a gateway on disk, in two generations. Assess decides which parts of a stored state still
// hold. It is a pure function: it has no clock and does no I/O, its caller passes the times.
//
// Assess treats two kinds of knowledge differently. What the guards of the rules depend on is restored whatever its
// age, because it can only make the gateway more cautious. Estimates of capacity and latency lose confidence with age.
package warmrestart

import (
	"math"
	"time"

	"reachpulley/scheduler"
)

// Tuned values that bound which parts of a stored state are restored.
const (
	// confidenceDecay is the time in which the confidence in estimates decays by a factor of e.
	confidenceDecay = time.Minute
	// maxEstimateAge is the age after which the confidence in estimates is 0.
	maxEstimateAge = 10 * time.Minute
	// maxReserveRateAge is the age up to which this host's part of a volume's reserve is restored.
	maxReserveRateAge = 30 * time.Second
	// maxClockSetback is by how much the wall clock may have been set back between two incarnations.
	maxClockSetback = time.Second
	// minConfidence is the confidence up to which estimates are not worth restoring.
	minConfidence = 0.1
	// maxPlausible is the greatest magnitude that a figure of a Scheduler can reach.
	maxPlausible = 1e12
)

// Assessment is the result of Assess.
type Assessment struct {
	Learned    scheduler.LearnedState // what to restore
	KnownNodes int                    // nodes of which estimates are restored, not only what the guards depend on
	Confidence float64                // weight of the restored estimates, from 0 to 1
}

// assessor holds the input of one assessment.
type assessor struct {
	previous   *scheduler.Snapshot
	settings   scheduler.Settings
	now        time.Duration // on the new clock
	age        time.Duration // of the previous state
	shift      time.Duration // to add to a time on the previous clock to get the same moment on the new one
	confidence float64
}

// Assess decides which parts of a previous state are restored. The state was taken on another clock: shift is added
// to its times to put them on the new clock. Age is how long ago it was taken, now is the time on the new clock.
//
// Restored whatever their age are the facts that can only hold back more work: nodes that warm up and the work sent
// to them, nodes that are down, used tokens of volumes, ordered keys of which an attempt may still run, and retries.
func Assess(previous *scheduler.Snapshot, settings scheduler.Settings, now, age, shift time.Duration) Assessment {
	a := &assessor{
		previous:   previous,
		settings:   settings,
		now:        now,
		age:        age,
		shift:      shift,
		confidence: confidenceAt(age),
	}
	result := Assessment{Confidence: a.confidence}
	result.Learned.Nodes, result.KnownNodes = a.nodes()
	result.Learned.Volumes = a.volumes()
	result.Learned.Keys = a.orderedKeys()
	result.Learned.RetriedAt = a.uncoveredRetries()
	a.restoreFleetEstimates(&result.Learned)
	return result
}

// confidenceAt returns the confidence in the estimates of a state of an age.
func confidenceAt(age time.Duration) float64 {
	if age < -maxClockSetback || age > maxEstimateAge {
		return 0
	}
	return math.Exp(-max(0, age).Seconds() / confidenceDecay.Seconds())
}

// onNewClock converts a time of the previous clock. The result is never in the future.
func (a *assessor) onNewClock(at time.Duration) time.Duration { return min(at+a.shift, a.now) }

// nodes returns what is restored of the listed nodes, and of how many of them estimates are restored.
func (a *assessor) nodes() (learned []scheduler.LearnedNode, known int) {
	listed := min(max(0, a.previous.Listed), len(a.previous.Nodes))
	for i := range a.previous.Nodes[:listed] {
		node := &a.previous.Nodes[i]
		if node.Node.Phase == scheduler.Removed {
			continue
		}
		restored := a.guardedNode(node)
		if a.hasEstimates(node) {
			a.restoreEstimates(&restored, node)
			known++
		}
		learned = append(learned, restored)
	}
	return learned, known
}

// guardedNode returns the part of a node's state that the guards depend on.
func (a *assessor) guardedNode(node *scheduler.SnapshotNode) scheduler.LearnedNode {
	restored := scheduler.LearnedNode{ID: node.Node.ID, Down: node.Down}
	if node.Node.StartedAt > 0 {
		restored.StartedAt = max(0, a.onNewClock(node.Node.StartedAt))
	}
	if node.WarmingSince > 0 {
		restored.WarmingSince = max(1, a.onNewClock(node.WarmingSince)) // 0 would mean that it is warm
	}
	for _, send := range node.RecentSends {
		restored.RecentSends = append(restored.RecentSends, scheduler.SnapshotSend{
			At:    a.onNewClock(send.At),
			Units: max(0, send.Units),
		})
	}
	return restored
}

// hasEstimates reports whether the estimates of a node are to be restored.
func (a *assessor) hasEstimates(node *scheduler.SnapshotNode) bool {
	return a.confidence > minConfidence && node.MinLatency > 0 &&
		plausible(node.ConcurrencyLimit, node.MaxRate, node.Latency, node.MinLatency, node.Queue, node.QueueConfidence)
}

// restoreEstimates moves the estimates of a node by the confidence from the values of an unknown node to the previous
// ones.
func (a *assessor) restoreEstimates(restored *scheduler.LearnedNode, node *scheduler.SnapshotNode) {
	unknown := initialCap(a.settings)
	restored.ConcurrencyLimit = unknown + a.confidence*(node.ConcurrencyLimit-unknown)
	restored.MaxRate = a.confidence * node.MaxRate
	restored.MinLatency = node.MinLatency
	restored.Latency = node.MinLatency + a.confidence*(node.Latency-node.MinLatency)
	restored.Queue = node.Queue
	restored.QueueConfidence = node.QueueConfidence
	restored.LastServedAt = a.onNewClock(node.LastServedAt)
}

// initialCap returns the concurrency limit of a node of which nothing is known.
func initialCap(settings scheduler.Settings) float64 {
	mean := settings.Sizes.MeanUnits
	if mean == 0 {
		mean = 1
	}
	return scheduler.InitialRequests * mean
}

// volumes returns what is restored of the volumes that are found by their name and have used tokens or a rate.
func (a *assessor) volumes() (learned []scheduler.LearnedVolume) {
	for i := range a.previous.Volumes {
		volume := &a.previous.Volumes[i]
		used := volume.Limit.Tokens < volume.Limit.Burst ||
			volume.Reserve.Tokens < volume.Reserve.Burst ||
			volume.Reserve.Rate > 0
		if !volume.Indexed || !used {
			continue
		}
		restored := scheduler.LearnedVolume{
			Name:          volume.Name,
			At:            a.onNewClock(a.previous.Now),
			LimitTokens:   tokensAt(volume.Limit, a.previous.Now),
			ReserveTokens: tokensAt(volume.Reserve, a.previous.Now),
		}
		if a.age >= -maxClockSetback && a.age <= maxReserveRateAge && plausible(volume.Reserve.Rate) {
			restored.ReserveRate = max(0, volume.Reserve.Rate)
		}
		if plausible(restored.LimitTokens, restored.ReserveTokens) {
			learned = append(learned, restored)
		}
	}
	return learned
}

// tokensAt returns the tokens of a bucket that has been refilled up to now.
func tokensAt(bucket scheduler.SnapshotTokenBucket, now time.Duration) float64 {
	return min(bucket.Burst, bucket.Tokens+max(0, bucket.Rate)*max(0, now-bucket.RefilledAt).Seconds())
}

// orderedKeys returns the ordered keys in a quiet period. The previous incarnation may have sent more after the
// snapshot, so the quiet period of a key that had an attempt in flight begins now.
func (a *assessor) orderedKeys() (learned []scheduler.LearnedKey) {
	quietPeriod := a.settings.Rules.OrderedKeyQuietPeriod
	quietUntil := map[string]time.Duration{}
	for _, key := range a.previous.OrderedKeys {
		if key.QuietUntil > a.previous.Now {
			remaining := a.onNewClock(a.previous.Now) + key.QuietUntil - a.previous.Now
			quietUntil[key.Key] = min(remaining, a.now+quietPeriod)
		}
	}
	for i := range a.previous.Requests {
		request := &a.previous.Requests[i]
		if a.isOrdered(request.Request.Class) && request.Request.Key != "" && len(request.InFlight) > 0 {
			quietUntil[request.Request.Key] = a.now + quietPeriod
		}
	}
	for _, key := range a.previous.OrderedKeys { // not the map: the result has a fixed order
		if until := quietUntil[key.Key]; until > a.now {
			learned = append(learned, scheduler.LearnedKey{Key: key.Key, QuietUntil: until})
		}
	}
	return learned
}

// isOrdered reports whether a class exists and keeps the order of its keys.
func (a *assessor) isOrdered(class int) bool {
	return class >= 0 && class < len(a.settings.Classes) && a.settings.Classes[class].Ordered
}

// uncoveredRetries returns the times of the retries that count against the retry budget of the new incarnation. It
// has taken no requests yet, so the retries that the previous requests covered are left out: restoring those requests,
// too, would loosen the budget.
func (a *assessor) uncoveredRetries() (retriedAt []time.Duration) {
	covered := int(a.settings.Rules.RetryBudgetShare * float64(len(a.previous.ArrivedAt)))
	first := min(len(a.previous.RetriedAt), max(0, covered))
	for _, at := range a.previous.RetriedAt[first:] {
		retriedAt = append(retriedAt, a.onNewClock(at))
	}
	return retriedAt
}

// restoreFleetEstimates restores the estimates that are not of a single node.
func (a *assessor) restoreFleetEstimates(learned *scheduler.LearnedState) {
	previous := a.previous
	if a.confidence <= minConfidence || len(previous.ClassWork) != len(a.settings.Classes) ||
		!plausible(previous.ClassWork...) ||
		!plausible(previous.ServiceTimePerUnit, previous.QueueTimePerRequest, previous.MinLatencyMedian) {
		return
	}
	for _, work := range previous.ClassWork {
		learned.ClassWork = append(learned.ClassWork, 1+a.confidence*(work-1))
	}
	learned.ServiceTimePerUnit = previous.ServiceTimePerUnit
	learned.QueueTimePerRequest = previous.QueueTimePerRequest
	learned.MinLatencyMedian = previous.MinLatencyMedian
}

// plausible reports whether all values are numbers that a Scheduler could have reached.
func plausible(values ...float64) bool {
	for _, value := range values {
		if math.IsNaN(value) || math.IsInf(value, 0) || math.Abs(value) > maxPlausible {
			return false
		}
	}
	return true
}
