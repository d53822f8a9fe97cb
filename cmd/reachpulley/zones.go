package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

// zonesCommands are the commands that show and simulate the loss and the recovery of zones.
type zonesCommands struct {
	State zonesState `cmd:"" help:"Show the state of zones, nodes and spillover in a capture or a saved state."`
	Play  zonesPlay  `cmd:"" help:"Simulate the loss and recovery of a zone, with and without zone failover."`
}

type zonesState struct {
	File string        `arg:"" type:"existingfile" help:"A capture, or a state file of the setting restart.directory."`
	At   time.Duration `help:"Show the state at this time on the gateway's clock; 0: the end."`
}

// Run prints the states of zones and nodes, the evidence for them, and how much work may spill over.
func (z zonesState) Run(env environment) error {
	file, reader, err := openCapture(z.File)
	if err != nil {
		return env.reportUsageError(err)
	}
	defer file.Close()
	settings := reader.Head.Settings
	if !settings.ZoneFailover.Enabled() {
		return env.reportUsageError(fmt.Errorf("%s: the gateway that wrote it ran without zone failover", z.File))
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return env.reportUsageError(err)
	}
	at := z.At
	if at == 0 {
		at = math.MaxInt64
	}
	snapshot, err := capture.StateAt(file, at)
	if err != nil {
		return env.reportUsageError(fmt.Errorf("%s: %w", z.File, err))
	}
	report := zoneReport{out: env.stdout, snapshot: snapshot, settings: settings}
	return report.print()
}

// zoneReport prints the zones, the nodes and the spillover of a snapshot.
type zoneReport struct {
	out      io.Writer
	snapshot *scheduler.Snapshot
	settings scheduler.Settings
}

func (r zoneReport) print() error {
	if err := r.printZones(); err != nil {
		return err
	}
	if r.snapshot.ZoneHealth.Isolated {
		fmt.Fprintln(r.out, "all zones are silent: this gateway seems to be isolated")
	}
	if err := r.printNodes(); err != nil {
		return err
	}
	r.printSpillover()
	return nil
}

func (r zoneReport) printZones() error {
	table := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table,
		"zone\ttier\tstate\tfor\tnodes\tresponding\tsilent of those tried\tremoved\tflaps\trecovery time")
	for zone, health := range r.snapshot.ZoneHealth.Zones {
		tier := r.settings.ZoneFailover.Tier(zone, -1, -1) // for work whose class and plan have no tiers of their own
		fmt.Fprintf(table, "%s\t%d\t%v\t%v\t%d\t%.0f%%\t%.0f%%\t%.0f%%\t%d\t%v\n",
			r.zoneName(zone), tier, health.State, r.since(health.Since), health.Nodes,
			100*health.RespondingShare, 100*health.SilentShare, 100*health.RemovedShare,
			health.Flaps, health.RecoveryTime)
	}
	return table.Flush()
}

func (r zoneReport) printNodes() error {
	warmingUp := map[string]bool{}
	for _, node := range r.snapshot.Nodes {
		warmingUp[node.Node.ID] = node.WarmingSince > 0 &&
			r.snapshot.Now-node.WarmingSince < r.settings.Rules.SlowStartDuration
	}
	table := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nnode\tzone\tstate\tfor\tlast response\toldest unanswered\tnext trial\tstart")
	for _, node := range r.snapshot.ZoneHealth.Nodes {
		nextTrial := "-"
		if node.State == zonefailover.Unavailable {
			nextTrial = (node.TrialAt - r.snapshot.Now).Round(time.Millisecond).String()
		}
		start := "warm"
		if warmingUp[node.Observation.ID] {
			start = "warming up"
		}
		fmt.Fprintf(table, "%s\t%s\t%v\t%v\t%v ago\t%v\t%s\t%s\n",
			node.Observation.ID, r.zoneName(node.Observation.Zone), node.State, r.since(node.Since),
			r.since(node.Observation.LastResponse), node.Observation.UnansweredFor.Round(time.Millisecond),
			nextTrial, start)
	}
	return table.Flush()
}

func (r zoneReport) printSpillover() {
	if len(r.snapshot.Spillover) == 0 {
		return
	}
	failover := r.settings.ZoneFailover
	share := 1 / float64(max(1, failover.Siblings))
	fmt.Fprintf(r.out, "\nmay spill over now: %.1f units, and %.2f more a second (this gateway's share of %.1f)\n",
		r.snapshot.Spillover[0].Tokens, failover.Spillover*share, failover.Spillover)
}

func (r zoneReport) zoneName(zone int) string {
	if zone >= 0 && zone < len(r.settings.Zones) {
		return r.settings.Zones[zone]
	}
	return fmt.Sprint("zone ", zone)
}

// since returns how long before the snapshot a time was, or 0 if it was later.
func (r zoneReport) since(then time.Duration) time.Duration {
	return max(0, r.snapshot.Now-then).Round(time.Millisecond)
}
