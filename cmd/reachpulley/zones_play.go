package main

import (
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/guptarohit/asciigraph"

	"reachpulley/internal/simulation"
	"reachpulley/internal/zonefailover"
)

type zonesPlay struct {
	Seed     uint64  `default:"1" help:"Seed of the simulation."`
	Zones    int     `name:"rooms" default:"2" help:"Number of zones."`
	Nodes    int     `default:"5" help:"Number of nodes in each zone."`
	Gateways int     `default:"3" help:"Number of gateways, which are spread over the zones."`
	Load     float64 `default:"0.35" help:"Load, as a share of the capacity of all nodes."`

	UnavailableFor time.Duration `name:"dark" default:"20s" help:"How long the first zone is unavailable."`
	Flaps          int           `default:"1" help:"How often the first zone is lost, with equally long pauses."`
	RecoveredShare float64       `name:"part" default:"1" help:"Share of the nodes of the first zone that recover."`

	Spillover float64 `name:"spill" default:"60" help:"The setting spill of the table [rooms]: units a second."`
	Burst     float64 `default:"24" help:"The setting burst of the table [rooms]: units."`
	Plot      bool    `help:"Draw the spillover, and the load of nodes in slow start."`
}

const (
	firstZoneLoss     = 15 * time.Second // time of the first loss of the zone
	timeAfterRecovery = 40 * time.Second // simulated time after the last recovery
)

const (
	simulatedMembershipDelay = 5 * time.Second // longest time until a gateway learns that a node has restarted
	simulatedNewObjectShare  = 0.35            // share of the requests that write new objects
)

var errZonesPlayBounds = errors.New("flag out of range: --rooms must be from 2 to 100, " +
	"--nodes and --gateways from 1 to 1000, --load above 0 and at most 10, --dark from 100ms to 10m, " +
	"--flaps from 1 to 100, --part above 0 and at most 1")

// zoneVariant is a run of the scenario, with or without zone failover, and its results.
type zoneVariant struct {
	name             string
	failoverDisabled bool

	// total holds the sums of the counts of all seconds and the maximum of SlowStartLoad. Its SpilledUnits stays 0.
	total                     simulation.ZoneSecond
	maxSpillover              float64 // most units that spilled over in a second
	spilloverWhileUnavailable float64 // units that spilled over during the first loss

	spilloverBySecond     []float64
	slowStartLoadBySecond []float64 // in percent of the load that crashes a node
}

// Run simulates the same scenario with and without zone failover.
func (z zonesPlay) Run(env environment) error {
	if !z.isWithinBounds() {
		return env.reportUsageError(errZonesPlayBounds)
	}
	variants := []*zoneVariant{
		{name: "without zone failover", failoverDisabled: true},
		{name: "with zone failover"},
	}
	table := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tserved\tlate\trejected\tfailed\tnew objects lost\tunits spilled over while unavailable"+
		"\tmax a second\tover the bound\tdetected after\tslow-start load\tcrashed")
	for _, variant := range variants {
		scenario := z.scenario()
		scenario.FailoverDisabled = variant.failoverDisabled
		result, err := scenario.Run()
		if err != nil {
			return err
		}
		variant.add(result.Seconds, z.UnavailableFor)
		fmt.Fprintln(table, variant.row(result))
		for _, violation := range result.Violations {
			fmt.Fprintln(env.stderr, "violated:", violation)
		}
	}
	if err := table.Flush(); err != nil || !z.Plot {
		return err
	}
	plotZoneVariants(env, variants)
	return nil
}

func (z zonesPlay) isWithinBounds() bool {
	return z.Zones >= 2 && z.Zones <= 100 &&
		z.Nodes >= 1 && z.Nodes <= 1000 &&
		z.Gateways >= 1 && z.Gateways <= 1000 &&
		z.Load > 0 && z.Load <= 10 &&
		z.UnavailableFor >= 100*time.Millisecond && z.UnavailableFor <= 10*time.Minute &&
		z.Flaps >= 1 && z.Flaps <= 100 &&
		z.RecoveredShare > 0 && z.RecoveredShare <= 1
}

func (z zonesPlay) scenario() simulation.ZoneScenario {
	scenario := simulation.ZoneScenario{
		Seed:            z.Seed,
		Zones:           z.Zones,
		NodesPerZone:    z.Nodes,
		Gateways:        z.Gateways,
		Load:            z.Load,
		NewObjectShare:  simulatedNewObjectShare,
		MembershipDelay: simulatedMembershipDelay,
		ZoneFailover:    zonefailover.Settings{Spillover: z.Spillover, Burst: z.Burst},
	}
	const noGateway = -1 // the event affects the nodes, not the path of a gateway to them
	at := firstZoneLoss
	for range z.Flaps {
		scenario.Events = append(scenario.Events,
			simulation.ZoneEvent{
				At:          at,
				Gateway:     noGateway,
				Unavailable: true,
			},
			simulation.ZoneEvent{
				At:        at + z.UnavailableFor,
				Gateway:   noGateway,
				Restarted: true,
				NodeShare: z.RecoveredShare,
			})
		at += 2 * z.UnavailableFor
	}
	scenario.Length = at + timeAfterRecovery
	return scenario
}

// add adds the results of each second of the run.
func (v *zoneVariant) add(seconds []simulation.ZoneSecond, unavailableFor time.Duration) {
	for i, second := range seconds {
		v.total.Served += second.Served
		v.total.Late += second.Late
		v.total.Rejected += second.Rejected
		v.total.Failed += second.Failed
		v.total.NewObjectsLost += second.NewObjectsLost
		v.total.SlowStartLoad = max(v.total.SlowStartLoad, second.SlowStartLoad)
		v.maxSpillover = max(v.maxSpillover, second.SpilledUnits)
		at := time.Duration(i) * time.Second
		if at >= firstZoneLoss && at < firstZoneLoss+unavailableFor {
			v.spilloverWhileUnavailable += second.SpilledUnits
		}
		v.spilloverBySecond = append(v.spilloverBySecond, second.SpilledUnits)
		v.slowStartLoadBySecond = append(v.slowStartLoadBySecond, 100*second.SlowStartLoad)
	}
}

// row returns the row of the variant in the table.
func (v *zoneVariant) row(result *simulation.ZoneResult) string {
	overBound := "no bound"
	if !v.failoverDisabled {
		overBound = fmt.Sprintf("%.1f", max(0, result.MaxExcessSpillover))
	}
	crashed := "none"
	if len(result.Crashed) > 0 {
		crashed = strings.Join(result.Crashed, " ")
	}
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%s\t%v\t%.0f%%\t%s",
		v.name, v.total.Served, v.total.Late, v.total.Rejected, v.total.Failed, v.total.NewObjectsLost,
		v.spilloverWhileUnavailable, v.maxSpillover, overBound,
		result.DetectedAfter.Round(time.Millisecond), 100*v.total.SlowStartLoad, crashed)
}

func plotZoneVariants(env environment, variants []*zoneVariant) {
	var names []string
	var spillover, slowStartLoad [][]float64
	for _, variant := range variants {
		names = append(names, variant.name)
		spillover = append(spillover, variant.spilloverBySecond)
		slowStartLoad = append(slowStartLoad, variant.slowStartLoadBySecond)
	}
	for _, plot := range []struct {
		caption string
		lines   [][]float64
	}{
		{"new work spilled over into another zone, units a second", spillover},
		{"highest load of a node in slow start, % of what crashes it", slowStartLoad},
	} {
		fmt.Fprintf(env.stdout, "\n%s\n", asciigraph.PlotMany(plot.lines,
			asciigraph.Height(8),
			asciigraph.Width(100),
			asciigraph.LowerBound(0),
			asciigraph.Caption(plot.caption),
			asciigraph.SeriesLegends(names...),
			asciigraph.SeriesColors(asciigraph.Gray, asciigraph.Blue)))
	}
}
