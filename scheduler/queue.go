package scheduler

import (
	"cmp"
	"slices"
)

// Tiers of the requests that wait for a node, in the order in which they are sent.
const (
	reservedTier = iota // within the volume's reserve
	sharedTier          // beyond it, by the weights of the volumes
	queueTiers
)

// sortQueue sorts the node's queue into the order in which its requests are expected to be sent: by tier,
// then by the start tags of weighted fair queueing among volumes. The requests of one volume are ordered by
// weight per work, then by objective. The first of them are within its reserve, so what exceeds the share of
// a volume is last.
func (s *Scheduler) sortQueue(n *node) {
	slices.SortFunc(n.waiting, func(a, b *request) int {
		return cmp.Or(
			cmp.Compare(s.weightPerWork(b), s.weightPerWork(a)),
			cmp.Compare(a.objectiveAt, b.objectiveAt),
			cmp.Compare(a.sequence, b.sequence),
		)
	})
	ahead := [queueTiers]map[*volume]float64{{}, {}} // units of each volume
	for _, r := range n.waiting {
		r.tier = sharedTier
		if !r.spilledOver && ahead[reservedTier][r.volume]+r.Units <= r.volume.reserve.refill(s.now) {
			r.tier = reservedTier
		}
		start := max(n.virtualTime[r.tier], n.finishTags[r.tier][r.volume])
		r.tag = start + ahead[r.tier][r.volume]/r.volume.weight
		ahead[r.tier][r.volume] += r.Units
	}
	slices.SortStableFunc(n.waiting, func(a, b *request) int {
		return cmp.Or(
			a.tier-b.tier,
			cmp.Compare(a.tag, b.tag),
			cmp.Compare(a.objectiveAt, b.objectiveAt),
		)
	})
}

// weightPerWork is the priority weight of a request for the work that it causes.
func (s *Scheduler) weightPerWork(r *request) float64 {
	return r.class.PriorityWeight / s.classWork[r.Class]
}

// advanceTags moves the fair queueing on by a request that was sent.
func (s *Scheduler) advanceTags(r *request, n *node) {
	if r.tier == reservedTier {
		r.volume.reserve.tokens -= r.Units
	}
	finish := max(r.tag, n.finishTags[r.tier][r.volume])
	n.virtualTime[r.tier] = max(n.virtualTime[r.tier], r.tag)
	n.finishTags[r.tier][r.volume] = finish + r.Units/r.volume.weight
}
