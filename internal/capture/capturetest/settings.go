package capturetest

import (
	"time"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

const ms = time.Millisecond

// Indexes of Settings.Classes.
const (
	readClass = iota
	writeClass
	onceClass
)

// Settings have a class for each kind of idempotency, a plan with a limit, slow start, zones and retry budgets.
var Settings = scheduler.Settings{
	Siblings:       2,
	Zones:          []string{"a", "b"},
	PollMembership: true,
	Classes: []scheduler.Class{
		readClass: {
			Name:             "read",
			LatencyObjective: 300 * ms,
			Deadline:         1500 * ms,
			PriorityWeight:   3,
		},
		writeClass: {
			Name:             "write",
			LatencyObjective: 400 * ms,
			Deadline:         2500 * ms,
			PriorityWeight:   2,
			Idempotency:      scheduler.IdempotentWithKey,
			DedupScope:       scheduler.ScopeShard,
			DedupWindow:      4 * time.Second,
			Writes:           true,
		},
		onceClass: {
			Name:             "once",
			LatencyObjective: 400 * ms,
			Deadline:         2500 * ms,
			PriorityWeight:   2,
			Idempotency:      scheduler.NonIdempotent,
			Writes:           true,
			Ordered:          true,
		},
	},
	Plans: []scheduler.Plan{
		{Name: "gold", Rate: 50, Reserve: 20, Weight: 2, Price: 1, Limit: 80, Burst: 40},
		{Name: "tin", Rate: 10, Weight: 1, Price: 0.5},
	},
	Rules: scheduler.Rules{
		DrainGrace:         250 * ms,
		SlowStartShare:     0.18,
		SlowStartDuration:  17 * time.Second,
		SlowStartWindow:    3 * time.Second,
		SlowStartAllowance: 76,
		SlowStartMultiple:  4,
		RetryBudgetWindow:  10 * time.Second,
		RetryBudgetBase:    10,
		RetryBudgetShare:   0.1,
	},
	Allowed: scheduler.Allowed{
		Cancel:         true,
		HedgedRequests: true,
		RetryAfter:     true,
		MaxRetryAfter:  500 * ms,
		MaxAttempts:    4,
	},
	Sizes: scheduler.Sizes{
		MeanUnits:   2,
		MaxUnits:    8,
		ShareWeight: 0.4,
		SpareWeight: 0.1,
	},
	ZoneFailover: zonefailover.Settings{
		Tiers:           []int{0, 1},
		Spillover:       20,
		Burst:           16,
		Share:           1,
		Siblings:        2,
		MembershipDelay: 2 * time.Second,
		Work: []zonefailover.WorkTiers{
			{Class: onceClass, Plan: -1, Tiers: []int{zonefailover.Forbidden, 0}},
		},
	},
	RetryBudget: retrybudget.Settings{
		Share:    0.5,
		MinShare: 0.05,
		Trickle:  1,
		Burst:    5,
		Cells:    16,
	},
}
