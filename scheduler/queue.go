package scheduler

import (
	"cmp"
	"slices"
)

// The tiers of the requests that wait for a node, in the order in which they are sent.
const (
	reservedTier = iota // requests within the reserves of their volumes that have not spilled over
	sharedTier          // all other (unreserved) requests; volumes share the capacity by their weights
	queueTiers          // number of tiers
)

// sortQueue sorts the node's queue into the order in which its requests are expected to be sent: by tier,
// then by the start tags of weighted fair queueing among volumes. The requests of one volume are ordered by
// weightPerWork, then by objective. The first of them use up the volume's reserve, so those that exceed the
// volume's share come last.
func (s *Scheduler) sortQueue(node *nodeState) {
	slices.SortFunc(node.waiting, func(a, b *requestState) int {
		return cmp.Or(
			cmp.Compare(s.weightPerWork(b), s.weightPerWork(a)),
			cmp.Compare(a.objectiveAt, b.objectiveAt),
			cmp.Compare(a.sequence, b.sequence),
		)
	})
	ahead := [queueTiers]map[*volumeState]float64{{}, {}} // units of each volume's earlier requests
	for _, request := range node.waiting {
		volume := request.volume
		tier := sharedTier
		if !request.spilledOver && ahead[reservedTier][volume]+request.Units <= volume.reserve.refill(s.now) {
			tier = reservedTier
		}
		start := max(node.virtualTime[tier], node.finishTags[tier][volume])
		request.tier = tier
		request.tag = start + ahead[tier][volume]/volume.weight
		ahead[tier][volume] += request.Units
	}
	slices.SortStableFunc(node.waiting, func(a, b *requestState) int {
		return cmp.Or(
			a.tier-b.tier,
			cmp.Compare(a.tag, b.tag),
			cmp.Compare(a.objectiveAt, b.objectiveAt),
		)
	})
}

// weightPerWork is the priority weight of the request's class divided by Scheduler.classWork, the ratio of
// the class's latency per unit to the mean latency per unit of all requests.
func (s *Scheduler) weightPerWork(request *requestState) float64 {
	return request.class.PriorityWeight / s.classWork[request.Class]
}

// advanceTags updates the node's fair-queueing tags for a request that was sent, and charges the volume's
// reserve if the request was in the reserved tier.
func (s *Scheduler) advanceTags(request *requestState, node *nodeState) {
	tier, volume := request.tier, request.volume
	if tier == reservedTier {
		volume.reserve.tokens -= request.Units
	}
	finish := max(request.tag, node.finishTags[tier][volume])
	node.virtualTime[tier] = max(node.virtualTime[tier], request.tag)
	node.finishTags[tier][volume] = finish + request.Units/volume.weight
}
