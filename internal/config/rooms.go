package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

// ZoneFailover is the table [rooms].
type ZoneFailover struct {
	Enabled         bool          `toml:"enabled"`
	Prefer          [][]string    `toml:"prefer"`    // rooms of new work by tier, nearest first; empty: the gateway's own, then all others
	Spillover       float64       `toml:"spill"`     // units a second of new work, over all gateways with the same first tier, that may go beyond it; 0: none
	Burst           float64       `toml:"burst"`     // units of it at once, over them
	Gateways        int           `toml:"gateways"`  // how many they are; 0: all
	Share           float64       `toml:"share"`     // of what this gateway has seen a room spare, that may spill into it; 0: no such bound
	MembershipDelay time.Duration `toml:"list_late"` // for which the list of nodes may not tell yet that one has started anew
	Work            []ZoneWork    `toml:"work"`

	Settings zonefailover.Settings `toml:"-"` // the table in the terms of the settings
}

// ZoneWork is a block [[rooms.work]]: a preference of a class or plan of its own.
type ZoneWork struct {
	Class  string     `toml:"class"` // empty: any
	Plan   string     `toml:"plan"`
	Prefer [][]string `toml:"prefer"`
	Forbid []string   `toml:"forbid"` // rooms that it must not go to
}

var defaultRooms = ZoneFailover{Burst: 16, MembershipDelay: 10 * time.Second}

const mostTiers = 16

// check turns the table into the terms of the settings.
func (r *ZoneFailover) check(c checker, settings scheduler.Settings) {
	if !r.Enabled {
		return
	}
	c.unless(len(settings.Zones) > 0, "enabled", "the settings name no room")
	c.unless(r.Spillover >= 0 && r.Spillover <= 1e6, "spill", "%v is not from 0 to 1000000", r.Spillover)
	c.unless(r.Burst >= 0 && r.Burst <= 1e6, "burst", "%v is not from 0 to 1000000", r.Burst)
	c.unless(r.Gateways >= 0 && r.Gateways <= max(1, settings.Siblings), "gateways", "%d is not from 0 to %d, which are all", r.Gateways, max(1, settings.Siblings))
	sharing := cmp.Or(r.Gateways, max(1, settings.Siblings))
	c.unless(r.Spillover == 0 || r.Burst/float64(sharing) >= settings.Sizes.MaxUnits, "burst",
		"%v units are %.1f for each of %d gateways, less than the largest request's %v, which could never spill", r.Burst, r.Burst/float64(sharing), sharing, settings.Sizes.MaxUnits)
	c.unless(r.Share >= 0 && r.Share <= 10, "share", "%v is not from 0 to 10", r.Share)
	c.unless(r.MembershipDelay >= 0 && r.MembershipDelay <= 10*time.Minute, "list_late", "%v is not from 0s to 10m", r.MembershipDelay)
	own := make([][]string, 0, 2)
	if settings.Zone >= 0 && settings.Zone < len(settings.Zones) {
		others := slices.Clone(settings.Zones)
		own = append(own, settings.Zones[settings.Zone:settings.Zone+1], slices.Delete(others, settings.Zone, settings.Zone+1))
	}
	prefer := r.Prefer
	if len(prefer) == 0 {
		prefer = own
	}
	r.Settings = zonefailover.Settings{Tiers: tiers(c, "prefer", prefer, nil, settings.Zones), Spillover: r.Spillover, Burst: r.Burst, Share: r.Share, Siblings: sharing,
		MembershipDelay: r.MembershipDelay}
	for i, w := range r.Work {
		within := checker{c.file, fmt.Sprintf("%s.work[%d]", c.table, i), c.faults}
		one := zonefailover.Work{Class: -1, Plan: -1}
		if w.Class != "" {
			one.Class = slices.IndexFunc(settings.Classes, func(k scheduler.Class) bool { return k.Name == w.Class })
			within.unless(one.Class >= 0, "class", "the settings have no %q", w.Class)
		}
		if w.Plan != "" {
			one.Plan = slices.IndexFunc(settings.Plans, func(p scheduler.Plan) bool { return p.Name == w.Plan })
			within.unless(one.Plan >= 0, "plan", "the settings have no %q", w.Plan)
		}
		mine := w.Prefer
		if len(mine) == 0 {
			mine = prefer
		}
		one.Tiers = tiers(within, "prefer", mine, w.Forbid, settings.Zones)
		within.unless(slices.ContainsFunc(one.Tiers, func(t int) bool { return t != zonefailover.Forbidden }), "forbid", "no room is left")
		r.Settings.Work = append(r.Settings.Work, one)
	}
}

// tiers gives the tier of each room. One that no tier names is in a last one of its own.
func tiers(c checker, key string, prefer [][]string, forbid, zones []string) []int {
	out := make([]int, len(zones))
	for i := range out {
		out[i] = len(prefer)
	}
	c.unless(len(prefer) <= mostTiers, key, "there are %d tiers, more than %d", len(prefer), mostTiers)
	named := map[string]bool{}
	for tier, names := range prefer {
		for _, name := range names {
			room := slices.Index(zones, name)
			c.unless(room >= 0, key, "the settings have no room %q", name)
			c.unless(!named[name], key, "room %q stands twice", name)
			if named[name] = true; room >= 0 {
				out[room] = tier
			}
		}
	}
	for _, name := range forbid {
		room := slices.Index(zones, name)
		c.unless(room >= 0, "forbid", "the settings have no room %q", name)
		if room >= 0 {
			out[room] = zonefailover.Forbidden
		}
	}
	return out
}
