package config

import (
	"cmp"
	"slices"
	"time"

	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

// ZoneFailover is the table [rooms].
type ZoneFailover struct {
	Enabled bool `toml:"enabled"`
	// Prefer lists the zones for new work by priority tier, nearest first. Empty: the gateway's own zone, then all
	// others.
	Prefer [][]string `toml:"prefer"`
	// Spillover is how many units of new work per second may go beyond the first tier, over all gateways that share
	// the tier. 0: none.
	Spillover float64 `toml:"spill"`
	// Burst is how many units may go beyond the first tier at once, over the same gateways.
	Burst float64 `toml:"burst"`
	// Gateways is the number of gateways that share the first tier. 0: all.
	Gateways int `toml:"gateways"`
	// Share bounds the work that may spill over into a zone, as a share of the zone's observed spare capacity. 0: no
	// such limit.
	Share float64 `toml:"share"`
	// MembershipDelay is how long the endpoint list may take to show that a node has restarted.
	MembershipDelay time.Duration `toml:"list_late"`
	Work            []ZoneWork    `toml:"work"`

	Settings zonefailover.Settings `toml:"-"` // the table, with names replaced by indexes in the platform's settings
}

// ZoneWork is a table [[rooms.work]]: the zone preference for new work of one class or plan.
type ZoneWork struct {
	Class  string     `toml:"class"` // empty: any
	Plan   string     `toml:"plan"`  // empty: any
	Prefer [][]string `toml:"prefer"`
	Forbid []string   `toml:"forbid"` // zones that are never used
}

var defaultZoneFailover = ZoneFailover{Burst: 16, MembershipDelay: 10 * time.Second}

const (
	maxPriorityTiers   = 16
	maxSpilloverUnits  = 1_000_000 // units per second, and units at once
	maxCapacityShare   = 10        // times a zone's observed spare capacity
	maxMembershipDelay = 10 * time.Minute
	anyIndex           = -1 // in place of an index: any class or plan
)

// validate checks the table and converts it to Settings. If zone failover is off, it does neither.
func (z *ZoneFailover) validate(v tableValidator, settings scheduler.Settings) {
	if !z.Enabled {
		return
	}
	allGateways := max(1, settings.Siblings)
	sharingGateways := cmp.Or(z.Gateways, allGateways)
	z.validateBounds(v, settings, allGateways, sharingGateways)
	prefer := z.Prefer
	if len(prefer) == 0 {
		prefer = ownZoneFirst(settings)
	}
	z.Settings = zonefailover.Settings{
		Tiers:           priorityTiers(v, prefer, nil, settings.Zones),
		Spillover:       z.Spillover,
		Burst:           z.Burst,
		Share:           z.Share,
		Siblings:        sharingGateways,
		MembershipDelay: z.MembershipDelay,
	}
	for i, work := range z.Work {
		z.Settings.Work = append(z.Settings.Work, work.validate(v.element("work", i), prefer, settings))
	}
}

func (z *ZoneFailover) validateBounds(v tableValidator, settings scheduler.Settings, allGateways, sharingGateways int) {
	v.require(len(settings.Zones) > 0, "enabled", "zone failover needs zones, and the settings have none")
	v.require(z.Spillover >= 0 && z.Spillover <= maxSpilloverUnits, "spill",
		"%v is not from 0 to %d", z.Spillover, maxSpilloverUnits)
	v.require(z.Burst >= 0 && z.Burst <= maxSpilloverUnits, "burst",
		"%v is not from 0 to %d", z.Burst, maxSpilloverUnits)
	v.require(z.Gateways >= 0 && z.Gateways <= allGateways, "gateways",
		"%d is not from 0 to %d, the number of all gateways", z.Gateways, allGateways)
	burstShare := z.Burst / float64(sharingGateways)
	largest := settings.Sizes.MaxUnits
	v.require(z.Spillover == 0 || burstShare >= largest, "burst",
		"%v units over %d gateways are %.1f for each: a request of the maximum size, %v units, could never spill over",
		z.Burst, sharingGateways, burstShare, largest)
	v.require(z.Share >= 0 && z.Share <= maxCapacityShare, "share", "%v is not from 0 to %d", z.Share, maxCapacityShare)
	v.require(z.MembershipDelay >= 0 && z.MembershipDelay <= maxMembershipDelay, "list_late",
		"%v is not from 0s to 10m", z.MembershipDelay)
}

// ownZoneFirst returns two tiers, the gateway's own zone and all others, or none if the gateway is in no zone.
func ownZoneFirst(settings scheduler.Settings) [][]string {
	if settings.Zone < 0 || settings.Zone >= len(settings.Zones) {
		return nil
	}
	own := settings.Zones[settings.Zone]
	others := slices.Delete(slices.Clone(settings.Zones), settings.Zone, settings.Zone+1)
	return [][]string{{own}, others}
}

// validate checks the table and returns it with names replaced by indexes in the settings.
func (w ZoneWork) validate(
	v tableValidator, defaultPrefer [][]string, settings scheduler.Settings,
) zonefailover.WorkTiers {
	converted := zonefailover.WorkTiers{Class: anyIndex, Plan: anyIndex}
	if w.Class != "" {
		converted.Class = v.requireClass("class", w.Class, settings)
	}
	if w.Plan != "" {
		converted.Plan = v.requirePlan("plan", w.Plan, settings)
	}
	prefer := w.Prefer
	if len(prefer) == 0 {
		prefer = defaultPrefer
	}
	converted.Tiers = priorityTiers(v, prefer, w.Forbid, settings.Zones)
	isAllowed := func(tier int) bool { return tier != zonefailover.Forbidden }
	v.require(slices.ContainsFunc(converted.Tiers, isAllowed), "forbid", "no zone is allowed")
	return converted
}

// priorityTiers returns the tier of each zone. Zones that prefer does not name form one more tier, the last. Zones in
// forbid have the tier zonefailover.Forbidden.
func priorityTiers(v tableValidator, prefer [][]string, forbid, zones []string) []int {
	tiers := make([]int, len(zones))
	for zone := range tiers {
		tiers[zone] = len(prefer)
	}
	v.require(len(prefer) <= maxPriorityTiers, "prefer",
		"%d tiers are more than the maximum of %d", len(prefer), maxPriorityTiers)
	listed := map[string]bool{}
	for tier, names := range prefer {
		for _, name := range names {
			zone := slices.Index(zones, name)
			v.require(zone >= 0, "prefer", "the settings have no zone %q", name)
			v.require(!listed[name], "prefer", "zone %q is listed twice", name)
			listed[name] = true
			if zone >= 0 {
				tiers[zone] = tier
			}
		}
	}
	for _, name := range forbid {
		zone := slices.Index(zones, name)
		v.require(zone >= 0, "forbid", "the settings have no zone %q", name)
		if zone >= 0 {
			tiers[zone] = zonefailover.Forbidden
		}
	}
	return tiers
}
