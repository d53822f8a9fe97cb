package simulation

import (
	"fmt"
	"time"

	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

// ZoneScenario is the loss and return of zones of nodes.
type ZoneScenario struct {
	Seed             uint64
	Zones            int
	Nodes            int     // in each zone
	Gateways         int     // spread over the zones in rotation
	Load             float64 // share of what all nodes can do
	NewObjectShare   float64 // share of the requests that write new objects, which any node can take
	Events           []ZoneEvent
	Length           time.Duration
	Settings         zonefailover.Settings // without tiers, siblings and membership delay, which the scenario sets
	FailoverDisabled bool                  // gateways ignore zones
	Passthrough      bool                  // gateways retry at once, without package scheduler
	MembershipDelay  time.Duration         // longest time until a gateway learns that a node has restarted

	probesDisabled bool // gateways may not probe nodes
}

// ZoneEvent is the loss or return of a zone, or of the network path between it and one gateway.
type ZoneEvent struct {
	At          time.Duration
	Zone        int
	NodeShare   float64 // share of the zone's nodes; 0: all
	Gateway     int     // the only one whose path to the zone is concerned; -1: the nodes themselves are
	Unavailable bool    // lost; otherwise returned
	Restarted   bool    // the nodes that return have restarted
}

// ZoneSecond is the outcome of one second of a scenario.
type ZoneSecond struct {
	Served, Rejected, Failed int     // answers
	Late                     int     // served after the latency objective
	NewObjectsLost           int     // requests for new objects that failed
	SpilledUnits             float64 // units of new objects that were sent to a zone other than the gateway's
	SlowStartLoad            float64 // highest load of a node in slow start, as a share of the load that crashes it
}

// ZoneResult is the outcome of a scenario.
type ZoneResult struct {
	Seconds        []ZoneSecond
	Crashed        []string       // nodes that crashed in slow start
	DetectedAfter  time.Duration  // from the first loss until only probing attempts were sent there; -1: no loss
	Violations     []string       // of what must hold in each scenario
	ToNode         map[string]int // attempts at each node in the last ten seconds
	WorstSpillover float64        // highest excess of the spillover from a zone over its limit; 0: none
}

// SlowdownDuration start of nodes, which the gateways' settings match.
const (
	slowStartShare    = 0.18
	slowStartDuration = 17 * time.Second
	slowStartMultiple = 4
	slowStartWindow   = 3 * time.Second
	slowStartMargin   = 0.8 // share of a node's capacity in slow start that all gateways together may use
)

// samplingInterval is the time between two samples of the load of nodes in slow start, as the operators sample it.
const samplingInterval = 10 * time.Millisecond

// zoneSettings are the settings of the operators' deployment, with two of its classes.
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
	return run.conclude(), nil
}

// settings returns the settings of the gateways in a zone.
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
	settings.ZoneFailover = s.Settings
	settings.ZoneFailover.Siblings = (s.Gateways - zone + s.Zones - 1) / s.Zones
	settings.ZoneFailover.MembershipDelay = 2 * s.MembershipDelay
	for other := range s.Zones {
		tier := min((other-zone+s.Zones)%s.Zones, 1)
		settings.ZoneFailover.Tiers = append(settings.ZoneFailover.Tiers, tier)
	}
	return settings
}

// nodeID returns the id of a zone's node: a0, a1, b0, b1 and so on.
func nodeID(zone, number int) string { return fmt.Sprintf("%c%d", 'a'+zone, number) }
