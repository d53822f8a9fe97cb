package simulation

import (
	"fmt"
	"time"

	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

// ZoneScenario is a scenario in which zones of nodes are lost and return.
type ZoneScenario struct {
	Seed             uint64
	Zones            int
	NodesPerZone     int     // number of nodes in each zone
	Gateways         int     // number of gateways, which are spread over the zones in rotation
	Load             float64 // units that clients request, as a share of the capacity of all nodes
	NewObjectShare   float64 // share of the requests that write new objects, which any node can take
	Events           []ZoneEvent
	Length           time.Duration         // simulated time
	ZoneFailover     zonefailover.Settings // the scenario sets Tiers, Siblings and MembershipDelay
	FailoverDisabled bool                  // gateways ignore zones
	Passthrough      bool                  // gateways do not use package scheduler but retry at once
	MembershipDelay  time.Duration         // longest time until a gateway learns that a node has restarted

	probesDisabled bool // gateways may not probe nodes
}

// ZoneEvent is the loss or return of a zone's nodes, or of the network path between one gateway and the zone.
type ZoneEvent struct {
	At          time.Duration // time from the start of the scenario
	Zone        int
	NodeShare   float64 // if Gateway is -1: share of the zone's nodes that are affected; 0: all
	Gateway     int     // number of the gateway whose path to the zone is affected; -1: the nodes are affected
	Unavailable bool    // true: loss; false: return
	Restarted   bool    // the returning nodes have restarted
}

// ZoneSecond is the outcome of one second of a scenario.
type ZoneSecond struct {
	Served, Rejected, Failed int     // number of answers
	Late                     int     // number of requests served after the latency objective
	NewObjectsLost           int     // number of writes of new objects that failed
	SpilledUnits             float64 // units of new objects sent to zones other than the gateway's
	SlowStartLoad            float64 // highest load of a node in slow start, as a share of that above which it crashes
}

// ZoneResult is the outcome of a scenario.
type ZoneResult struct {
	Seconds []ZoneSecond
	Crashed []string // ids of the nodes that crashed in slow start
	// DetectedAfter is the time from the first loss until lost nodes got only probing attempts; -1: no loss.
	DetectedAfter      time.Duration
	Violations         []string       // violations of what must hold in each scenario
	LastAttemptsByNode map[string]int // number of attempts by node id in the last 10 seconds
	MaxExcessSpillover float64        // most units by which the spillover from a zone exceeded its limit; 0: never
}

// Parameters of the slow start of simulated nodes. The gateways are configured with the same values.
const (
	slowStartShare    = 0.18             // speed of a node that has just started, as a share of its full speed
	slowStartDuration = 17 * time.Second // time from the start of a node until it has its full speed
	slowStartMultiple = 4                // load above which a node crashes, as a multiple of its current capacity
	slowStartWindow   = 3 * time.Second  // time over which the load is measured
	slowStartMargin   = 0.8              // share of what a node tolerates at its start that all gateways may send
)

// samplingInterval is the time between two samples of the load of nodes in slow start. The operators sample it at the
// same interval.
const samplingInterval = 10 * time.Millisecond

// zoneSettings are the settings of the operators' deployment, reduced to two of its classes.
var zoneSettings = scheduler.Settings{
	Tick: time.Millisecond,
	Classes: []scheduler.Class{
		{
			Name:             "sheet-read",
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         1500 * time.Millisecond,
			PriorityWeight:   3,
		},
		{
			Name:             "entry-write",
			LatencyObjective: 400 * time.Millisecond,
			Deadline:         2500 * time.Millisecond,
			PriorityWeight:   2,
			Idempotency:      scheduler.IdempotentWithKey,
			DedupScope:       scheduler.ScopeShard,
			DedupWindow:      4 * time.Second,
			Writes:           true,
		},
	},
	Plans: []scheduler.Plan{{Name: "standard", Rate: 100, Reserve: 120, Weight: 1, Price: 1.2}},
	Rules: scheduler.Rules{
		DrainGrace:        250 * time.Millisecond,
		SlowStartShare:    slowStartShare,
		SlowStartDuration: slowStartDuration,
		SlowStartWindow:   slowStartWindow,
		SlowStartMultiple: slowStartMultiple,
	},
	Allowed: scheduler.Allowed{
		Probes:         true,
		Cancel:         true,
		RetryAfter:     true,
		MaxRetryAfter:  time.Second,
		MaxAttempts:    4,
		ConnectTimeout: connectTimeout,
	},
	Sizes: scheduler.Sizes{MeanUnits: 2, MaxUnits: 8, ShareWeight: 0.4, SpareWeight: 0.1},
}

// Run simulates the scenario.
func (s ZoneScenario) Run() (*ZoneResult, error) {
	run := newZoneRun(s)
	run.addNodes()
	for i := range s.Gateways {
		if err := run.addGateway(i); err != nil {
			return nil, err
		}
	}
	for _, event := range s.Events {
		run.simulation.After(event.At, func() { run.apply(event) })
	}
	for elapsed := time.Duration(0); elapsed < s.Length; elapsed += samplingInterval {
		run.simulation.Run(samplingInterval)
		run.sampleSlowStart()
	}
	return run.finish(), nil
}

// settings returns the settings of the gateways in a zone, given the capacity of a node in units per second.
func (s ZoneScenario) settings(zone int, nodeRate float64) scheduler.Settings {
	settings := zoneSettings
	settings.Siblings = s.Gateways
	settings.Zone = zone
	settings.Allowed.Probes = !s.probesDisabled
	settings.Rules.SlowStartAllowance = slowStartMultiple * slowStartShare * nodeRate *
		slowStartWindow.Seconds() * slowStartMargin
	if s.FailoverDisabled {
		return settings
	}
	settings.ZoneFailover = s.ZoneFailover
	settings.ZoneFailover.Siblings = (s.Gateways - zone + s.Zones - 1) / s.Zones
	settings.ZoneFailover.MembershipDelay = 2 * s.MembershipDelay
	for other := range s.Zones {
		tier := min((other-zone+s.Zones)%s.Zones, 1)
		settings.ZoneFailover.Tiers = append(settings.ZoneFailover.Tiers, tier)
	}
	return settings
}

// nodeID returns the id of a node in a zone: a0, a1 and so on for the first zone, b0, b1 and so on for the second.
func nodeID(zone, number int) string { return fmt.Sprintf("%c%d", 'a'+zone, number) }
