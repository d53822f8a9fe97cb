package scheduler

import "time"

const (
	minPlanWeight        = 0.001       // weight of a plan that has a smaller weight or none
	reserveSmoothingSpan = time.Second // span over which this host's share of a volume's use is smoothed
)

// volumeState is the state of a volume at this host: its plan and the tokens that this host may spend for it.
type volumeState struct {
	plan     *Plan
	idleAt   time.Duration // time after which the volume is idle if no further request arrives
	weight   float64
	hosts    float64     // number of schedulers that receive requests of the volume
	reserve  tokenBucket // this host's share of the volume's reserve
	limit    tokenBucket // this host's share of the volume's limit
	ownUnits decayingSum // units of the volume served through this host, smoothed over reserveSmoothingSpan
}

// volumeOf returns the volume of a request. It creates the volume at its first request.
func (s *Scheduler) volumeOf(request Request) *volumeState {
	volume := s.volumes[request.Volume]
	if volume == nil {
		volume = s.newVolume(request)
		s.restoreVolume(request.Volume, volume)
		s.volumes[request.Volume] = volume
	}
	return volume
}

// newVolume creates the volume of a request with this host's equal share of what its plan entitles it to.
func (s *Scheduler) newVolume(request Request) *volumeState {
	plan := &Plan{Weight: 1, Price: 1}
	if request.Plan >= 0 && request.Plan < len(s.settings.Plans) {
		plan = &s.settings.Plans[request.Plan]
	}
	hosts := float64(max(request.Hosts, 1))
	reserveRate := plan.Reserve / hosts
	// The host may have restarted after it spent a full bucket. The bucket therefore holds only half of the host's
	// equal share of burst and slack, so that both runs together stay within that share.
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

// updateReserveShare sets this host's share of a volume's reserve to its share of the volume's served units, but at
// least to an equal share, because clients use their hosts unevenly. The argument units is the size of the request that
// was served; use is the recent rate of the volume through all hosts, as a share of the plan's rate, as the nodes
// report it. If use is not positive, the share of the reserve stays as it is.
func (s *Scheduler) updateReserveShare(volume *volumeState, units, use float64) {
	volume.ownUnits.add(s.now, reserveSmoothingSpan, units)
	if use > 0 && volume.plan.Reserve > 0 {
		part := min(max(volume.ownUnits.value/reserveSmoothingSpan.Seconds()/(use*volume.plan.Rate), 1/volume.hosts), 1)
		volume.reserve.refill(s.now)
		volume.reserve.rate = volume.plan.Reserve * part
		volume.reserve.burst = volume.reserve.rate + s.settings.Sizes.MaxUnits
	}
}

// idle reports whether the last request of the volume was over some time ago and the bucket of its limit is full again,
// so that releasing the volume and creating it anew gains it no tokens.
func (v *volumeState) idle(now time.Duration) bool {
	return now >= v.idleAt && v.limit.refill(now) >= v.limit.burst
}
