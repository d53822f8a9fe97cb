package invariants

import (
	"time"

	"reachpulley/scheduler"
)

// volume is the token bucket of a volume's limit. Its size is this host's share of the plan's burst and slack,
// which are divided equally among the hosts. The scheduler keeps to less than that.
type volume struct {
	tokens     float64 // in units
	rate       float64 // in units a second
	burst      float64 // the size, in units
	refilledAt time.Duration
}

func (v *volume) tokensAt(now time.Duration) float64 {
	return v.tokens + v.rate*(now-v.refilledAt).Seconds()
}

// limitTolerance is the difference in units that is ignored, because sums of floating-point numbers are not exact.
const limitTolerance = 1e-6

// checkVolumeLimit checks that a request is within the limit of its volume. Retries are not charged to the limit
// again.
func (c *Checker) checkVolumeLimit(r *request) {
	if r.charged || r.Plan < 0 || r.Plan >= len(c.settings.Plans) || c.settings.Plans[r.Plan].Limit <= 0 {
		return
	}
	v := c.volumes[r.Volume]
	if v == nil {
		v = newVolume(&c.settings.Plans[r.Plan], float64(max(r.Hosts, 1)), c.now)
		c.volumes[r.Volume] = v
	}
	v.tokens = min(v.burst, v.tokensAt(c.now))
	v.refilledAt = c.now
	c.check(RuleVolumeLimit, v.tokens >= min(r.Units, v.burst)-limitTolerance, r.ID, "",
		"%.2f units sent for volume %q, of whose limit only %.2f tokens were left", r.Units, r.Volume, v.tokens)
	v.tokens -= r.Units
}

// newVolume returns the full token bucket of a volume with a plan, whose limit is shared by a number of hosts.
func newVolume(plan *scheduler.Plan, hosts float64, now time.Duration) *volume {
	burst := (plan.Burst + plan.Slack) / hosts
	return &volume{
		tokens:     burst,
		rate:       plan.Limit / hosts,
		burst:      burst,
		refilledAt: now,
	}
}

// restoreVolume restores a volume from a snapshot. The scheduler holds back half of the host's share of burst and
// slack, so that half is added to its tokens.
func (c *Checker) restoreVolume(from *scheduler.SnapshotVolume) {
	if !from.Indexed || from.Plan < 0 || c.settings.Plans[from.Plan].Limit <= 0 {
		return
	}
	plan := &c.settings.Plans[from.Plan]
	c.volumes[from.Name] = &volume{
		tokens:     from.Limit.Tokens + (plan.Burst+plan.Slack)/from.Hosts/2,
		rate:       from.Limit.Rate,
		burst:      (plan.Burst + plan.Slack) / from.Hosts,
		refilledAt: from.Limit.RefilledAt,
	}
}

// forgetFullVolumes forgets the volumes whose token buckets are full again, because a new bucket is also full.
func (c *Checker) forgetFullVolumes() {
	for name, v := range c.volumes {
		if v.tokensAt(c.now) >= v.burst {
			delete(c.volumes, name)
		}
	}
}
