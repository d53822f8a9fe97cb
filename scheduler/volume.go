package scheduler

import "time"

// Tuned values of volumes; ours.
const (
	minPlanWeight        = 0.001       // weight of a plan without one
	reserveSmoothingSpan = time.Second // over which this host's part of a volume's use is smoothed
)

// volumeState is what this host knows of a volume: its plan and the tokens that this host may spend for it.
type volumeState struct {
	plan     *Plan
	idleAt   time.Duration // when its last request will be over for long
	weight   float64
	hosts    float64 // schedulers through which its requests come
	reserve  tokenBucket
	limit    tokenBucket
	ownUnits decayingSum // units served through this host
}

// volumeOf finds the volume of a request, and sets it up at its first request.
func (s *Scheduler) volumeOf(q Request) *volumeState {
	volume := s.volumes[q.Volume]
	if volume == nil {
		volume = s.newVolume(q)
		s.restoreVolume(q.Volume, volume)
		s.volumes[q.Volume] = volume
	}
	return volume
}

// newVolume sets up the volume of a request with this host's even part of what its plan entitles it to.
func (s *Scheduler) newVolume(q Request) *volumeState {
	plan := &Plan{Weight: 1, Price: 1}
	if q.Plan >= 0 && q.Plan < len(s.settings.Plans) {
		plan = &s.settings.Plans[q.Plan]
	}
	hosts := float64(max(q.Hosts, 1))
	reserveRate := plan.Reserve / hosts
	// The previous incarnation of this host may have spent its part of the limit. The bucket therefore holds half
	// of the even part of burst and slack; the other half covers what one previous incarnation spent.
	limitBurst := (plan.Burst + plan.Slack) / hosts / 2
	return &volumeState{
		plan:   plan,
		weight: max(plan.Weight, minPlanWeight),
		hosts:  hosts,
		reserve: tokenBucket{
			tokens:     reserveRate,
			rate:       reserveRate,
			burst:      reserveRate + s.settings.Sizes.MaxUnits,
			refilledAt: s.now,
		},
		limit: tokenBucket{
			tokens:     limitBurst,
			rate:       plan.Limit / hosts,
			burst:      limitBurst,
			refilledAt: s.now,
		},
	}
}

// updateReserveShare gives this host the part of a volume's reserve that corresponds to its part of the volume's
// requests, instead of the even part, because clients use their hosts unevenly. Use is the recent rate through all
// hosts, as a share of the plan's rate, as the nodes report it.
func (s *Scheduler) updateReserveShare(volume *volumeState, units, use float64) {
	volume.ownUnits.add(s.now, reserveSmoothingSpan, units)
	if use > 0 && volume.plan.Reserve > 0 {
		part := min(max(volume.ownUnits.value/reserveSmoothingSpan.Seconds()/(use*volume.plan.Rate), 1/volume.hosts), 1)
		volume.reserve.refill(s.now)
		volume.reserve.rate = volume.plan.Reserve * part
		volume.reserve.burst = volume.reserve.rate + s.settings.Sizes.MaxUnits
	}
}

// idle says whether the volume has been without requests until the bucket of its limit is full, so that setting it
// up again regains nothing.
func (v *volumeState) idle(now time.Duration) bool {
	return now >= v.idleAt && v.limit.refill(now) >= v.limit.burst
}
