// Package warmrestart lets a gateway start with what its previous incarnation had learned.
//
// Store keeps the state of a gateway on disk, in two generations. Assess decides which parts of a stored state are
// restored. It is a pure function: it reads no clock and does no I/O, and its caller passes the times.
//
// Assess treats two kinds of knowledge differently. The scheduler's guards are the checks that every attempt must pass.
// Facts on which they depend are restored whatever their age, because these can only make the gateway more cautious.
// Estimates of capacity and latency are restored only if they are recent, and most of them lose weight with their age.
package warmrestart

import (
	"math"
	"time"

	"reachpulley/scheduler"
)

// Bounds of what is restored from a stored state.
const (
	// confidenceDecay is the time in which the confidence in estimates decays by a factor of e.
	confidenceDecay = time.Minute
	// maxEstimateAge is the age beyond which the confidence in estimates is 0.
	maxEstimateAge = 10 * time.Minute
	// maxReserveRateAge is the age of a state up to which the rate of this host's share of a volume's reserve is
	// restored.
	maxReserveRateAge = 30 * time.Second
	// maxClockSetback is how far the wall clock may have been set back between two incarnations.
	maxClockSetback = time.Second
	// minConfidence is the confidence that must be exceeded for estimates to be restored.
	minConfidence = 0.1
	// maxPlausible is the largest magnitude of a restored figure. A Scheduler has no larger ones.
	maxPlausible = 1e12
)

// Assessment says what to restore of a previous state.
type Assessment struct {
	Learned    scheduler.LearnedState // what to restore
	KnownNodes int                    // number of nodes whose estimates are restored as well
	Confidence float64                // weight of the restored estimates, from 0 to 1
}

// assessor holds the input of one assessment.
type assessor struct {
	previous   *scheduler.Snapshot
	settings   scheduler.Settings
	now        time.Duration // present time on the new clock
	age        time.Duration // time since the previous state was taken
	shift      time.Duration // what to add to a time on the previous clock to get the time on the new one
	confidence float64       // in the estimates of the previous state, from 0 to 1
}

// Assess decides which parts of a previous state are restored. The times in the state are those of another clock, and
// adding shift converts them to the new clock. The age is how long ago the state was taken, and now is the time on the
// new clock.
//
// Facts that can only hold back work are restored whatever their age: nodes that warm up and the work sent to them,
// nodes that are down, used tokens of volumes, ordered keys of which an attempt may still run, and retries.
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

// confidenceAt returns the confidence in the estimates of a state of an age. It is 0 if the state is too old, or if its
// time is in the future by more than maxClockSetback.
func confidenceAt(age time.Duration) float64 {
	if age < -maxClockSetback || age > maxEstimateAge {
		return 0
	}
	return math.Exp(-max(0, age).Seconds() / confidenceDecay.Seconds())
}

// onNewClock converts a time on the previous clock to the new clock. The result is never in the future.
func (a *assessor) onNewClock(at time.Duration) time.Duration { return min(at+a.shift, a.now) }

// nodes returns the restored state of the nodes that are listed and not removed, and the number of those whose
// estimates are restored.
func (a *assessor) nodes() (learned []scheduler.LearnedNode, known int) {
	listed := min(max(0, a.previous.Listed), len(a.previous.Nodes))
	for i := range a.previous.Nodes[:listed] {
		node := &a.previous.Nodes[i]
		if node.Node.Phase == scheduler.Removed {
			continue
		}
		restored := a.guardFacts(node)
		if a.hasUsableEstimates(node) {
			a.restoreEstimates(&restored, node)
			known++
		}
		learned = append(learned, restored)
	}
	return learned, known
}

// guardFacts returns the part of a node's state on which the scheduler's guards depend.
func (a *assessor) guardFacts(node *scheduler.SnapshotNode) scheduler.LearnedNode {
	restored := scheduler.LearnedNode{ID: node.Node.ID, Down: node.Down}
	if node.Node.StartedAt > 0 {
		restored.StartedAt = max(0, a.onNewClock(node.Node.StartedAt))
	}
	if node.WarmingSince > 0 {
		restored.WarmingSince = max(1, a.onNewClock(node.WarmingSince)) // 0 would mean that the node is warm
	}
	for _, send := range node.RecentSends {
		restored.RecentSends = append(restored.RecentSends, scheduler.SnapshotSend{
			At:    a.onNewClock(send.At),
			Units: max(0, send.Units),
		})
	}
	return restored
}

// hasUsableEstimates reports whether the estimates of a node are known, plausible and recent enough to be restored.
func (a *assessor) hasUsableEstimates(node *scheduler.SnapshotNode) bool {
	return a.confidence > minConfidence && node.MinLatency > 0 &&
		plausible(node.ConcurrencyLimit, node.MaxRate, node.Latency, node.MinLatency, node.QueueTime, node.QueueWeight)
}

// restoreEstimates restores the estimates of a node. The lower the confidence in the estimates, the closer the
// concurrency limit is to that of an unknown node, the rate to 0 and the latency to the minimum latency. The other
// values are copied, and the time of the last update is converted to the new clock.
func (a *assessor) restoreEstimates(restored *scheduler.LearnedNode, node *scheduler.SnapshotNode) {
	unknown := initialConcurrencyLimit(a.settings)
	restored.ConcurrencyLimit = unknown + a.confidence*(node.ConcurrencyLimit-unknown)
	restored.MaxRate = a.confidence * node.MaxRate
	restored.MinLatency = node.MinLatency
	restored.Latency = node.MinLatency + a.confidence*(node.Latency-node.MinLatency)
	restored.QueueTime = node.QueueTime
	restored.QueueWeight = node.QueueWeight
	restored.QueueMeasuredAt = a.onNewClock(node.QueueMeasuredAt)
}

// initialConcurrencyLimit returns the concurrency limit, in units, of a node about which nothing is known.
func initialConcurrencyLimit(settings scheduler.Settings) float64 {
	mean := settings.Sizes.MeanUnits
	if mean == 0 {
		mean = 1
	}
	return scheduler.InitialRequests * mean
}

// volumes returns the restored state of the volumes that new requests find by name and that have used tokens or a
// reserve rate.
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

// tokensAt returns the tokens that a bucket holds when it is refilled up to now.
func tokensAt(bucket scheduler.SnapshotTokenBucket, now time.Duration) float64 {
	return min(bucket.Burst, bucket.Tokens+max(0, bucket.Rate)*max(0, now-bucket.RefilledAt).Seconds())
}

// orderedKeys returns the ordered keys that are in a quiet period. The period of a key that had an attempt in flight
// begins anew now, because the previous incarnation may have sent more attempts after the snapshot.
func (a *assessor) orderedKeys() (learned []scheduler.LearnedKey) {
	quietPeriod := a.settings.Rules.OrderedKeyQuietPeriod
	quietUntil := map[string]time.Duration{}
	for _, key := range a.previous.OrderedKeys {
		if key.QuietUntil > a.previous.Now {
			until := a.onNewClock(a.previous.Now) + key.QuietUntil - a.previous.Now
			quietUntil[key.Key] = min(until, a.now+quietPeriod)
		}
	}
	for i := range a.previous.Requests {
		request := &a.previous.Requests[i]
		if a.isOrdered(request.Request.Class) && request.Request.Key != "" && len(request.InFlight) > 0 {
			quietUntil[request.Request.Key] = a.now + quietPeriod
		}
	}
	for _, key := range a.previous.OrderedKeys { // ranging over the map would give the result a random order
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

// uncoveredRetries returns the times of the retries that count against the retry budget of the new incarnation. The
// requests of the previous incarnation are not restored, because that would loosen the budget. Therefore as many
// retries are left out as those requests covered.
func (a *assessor) uncoveredRetries() (retriedAt []time.Duration) {
	covered := int(a.settings.Rules.RetryBudgetShare * float64(len(a.previous.ArrivedAt)))
	first := min(len(a.previous.RetriedAt), max(0, covered))
	for _, at := range a.previous.RetriedAt[first:] {
		retriedAt = append(retriedAt, a.onNewClock(at))
	}
	return retriedAt
}

// restoreFleetEstimates restores the estimates that concern all nodes together. The lower the confidence in the
// estimates, the closer the work of each class is to 1. The other estimates are copied.
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

// plausible reports whether all values are finite and their magnitudes are at most maxPlausible.
func plausible(values ...float64) bool {
	for _, value := range values {
		if math.IsNaN(value) || math.IsInf(value, 0) || math.Abs(value) > maxPlausible {
			return false
		}
	}
	return true
}
