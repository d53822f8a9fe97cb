package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/guptarohit/asciigraph"

	"reachpulley/internal/capture"
	"reachpulley/internal/simulation"
	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

// roomsCommands are about losing and regaining a room.
type roomsCommands struct {
	State roomsState `cmd:"" help:"Tell what a gateway believed of its rooms and nodes, and what may go where, from a capture or a kept state."`
	Play  roomsPlay  `cmd:"" help:"Play the loss and return of a room in simulated time, with and without looking at rooms."`
}

type roomsState struct {
	File string        `arg:"" type:"existingfile" help:"A capture, or the state that restart.directory keeps."`
	At   time.Duration `help:"When, on the gateway's clock; 0: at the end."`
}

// Run tells states, evidence and bounds.
func (r roomsState) Run(s streams) error {
	in, head, err := open(r.File)
	if err != nil {
		return show(s, err)
	}
	defer in.Close()
	settings := head.Head.Settings
	if !settings.ZoneFailover.Enabled() {
		return show(s, fmt.Errorf("%s: the gateway did not look at rooms", r.File))
	}
	if _, err := in.Seek(0, io.SeekStart); err != nil {
		return show(s, err)
	}
	at := r.At
	if at == 0 {
		at = 1<<63 - 1
	}
	state, err := capture.At(in, at)
	if err != nil {
		return show(s, err)
	}
	return tellRooms(s, state, settings)
}

func tellRooms(s streams, state *scheduler.Snapshot, settings scheduler.Settings) error {
	name := func(zone int) string {
		if zone >= 0 && zone < len(settings.Zones) {
			return settings.Zones[zone]
		}
		return fmt.Sprint("room ", zone)
	}
	out := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "room\ttier\tbelieved\tfor\tnodes\tanswer\tsilent of those asked\tgone\tflaps\tmust be heard for")
	for zone, r := range state.ZoneHealth.Zones {
		fmt.Fprintf(out, "%s\t%d\t%v\t%v\t%d\t%.0f%%\t%.0f%%\t%.0f%%\t%d\t%v\n", name(zone), settings.ZoneFailover.Tier(zone, -1, -1), r.State, since(state.Now, r.Since), r.Nodes,
			100*r.RespondingShare, 100*r.SilentShare, 100*r.RemovedShare, r.Flaps, r.RecoveryTime)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	if state.ZoneHealth.Isolated {
		fmt.Fprintln(s.out, "all rooms are silent: this gateway seems to be cut off")
	}
	cold := map[string]bool{}
	for _, n := range state.Nodes {
		cold[n.Node.ID] = n.WarmingSince > 0 && state.Now-n.WarmingSince < settings.Rules.SlowStartDuration
	}
	out = tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "\nnode\troom\tbelieved\tfor\tlast word\toldest question\tnext try\tstart")
	for _, n := range state.ZoneHealth.Nodes {
		try, start := "-", "warm"
		if n.State == zonefailover.Unavailable {
			try = (n.TrialAt - state.Now).Round(time.Millisecond).String()
		}
		if cold[n.Observation.ID] {
			start = "cold"
		}
		fmt.Fprintf(out, "%s\t%s\t%v\t%v\t%v ago\t%v\t%s\t%s\n", n.Observation.ID, name(n.Observation.Zone), n.State, since(state.Now, n.Since), since(state.Now, n.Observation.LastResponse),
			n.Observation.UnansweredFor.Round(time.Millisecond), try, start)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	if len(state.Spillover) > 0 {
		part := 1 / float64(max(1, settings.ZoneFailover.Siblings))
		fmt.Fprintf(s.out, "\nmay spill now: %.1f units, and %.2f more a second (this gateway's part of %.1f)\n", state.Spillover[0].Tokens, settings.ZoneFailover.Spillover*part, settings.ZoneFailover.Spillover)
	}
	return nil
}

func since(now, then time.Duration) time.Duration {
	return max(0, now-then).Round(time.Millisecond)
}

type roomsPlay struct {
	Seed     uint64        `default:"1" help:"Of the day."`
	Rooms    int           `default:"2" help:"Rooms."`
	Nodes    int           `default:"5" help:"Nodes in each."`
	Gateways int           `default:"3" help:"Gateways, in the rooms by turns."`
	Load     float64       `default:"0.35" help:"Of what all nodes can do."`
	Dark     time.Duration `default:"20s" help:"For how long the first room is dark."`
	Flaps    int           `default:"1" help:"How often that happens, with as much time between."`
	Part     float64       `default:"1" help:"Of the room that comes back."`
	Spill    float64       `default:"60" help:"As in the table [rooms]."`
	Burst    float64       `default:"24" help:"As in the table [rooms]."`
	Plot     bool          `help:"Draw what spilt, and the load of cold nodes against what they bear."`
}

// Run plays the same day with and without looking at rooms.
func (r roomsPlay) Run(s streams) error {
	if r.Rooms < 2 || r.Rooms > 100 || r.Nodes < 1 || r.Nodes > 1000 || r.Gateways < 1 || r.Gateways > 1000 || r.Load <= 0 || r.Load > 10 || r.Dark < 100*time.Millisecond || r.Dark > 10*time.Minute ||
		r.Flaps < 1 || r.Flaps > 100 || r.Part <= 0 || r.Part > 1 {
		return show(s, fmt.Errorf("a number is out of its bounds: --rooms from 2 to 100, --nodes and --gateways to 1000, --load to 10, --dark from 100ms to 10m, --flaps to 100, --part to 1"))
	}
	const begin, after = 15 * time.Second, 40 * time.Second
	day := simulation.ZoneScenario{Seed: r.Seed, Zones: r.Rooms, Nodes: r.Nodes, Gateways: r.Gateways, Load: r.Load, NewObjectShare: 0.35, MembershipDelay: 5 * time.Second,
		Settings: zonefailover.Settings{Spillover: r.Spill, Burst: r.Burst}}
	at := begin
	for range r.Flaps {
		day.Events = append(day.Events, simulation.ZoneEvent{At: at, Gateway: -1, Unavailable: true}, simulation.ZoneEvent{At: at + r.Dark, Gateway: -1, Restarted: true, NodeShare: r.Part})
		at += 2 * r.Dark
	}
	day.Length = at + after
	out := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "\tserved\tlate\trefused\tfailed\tnew objects lost\tunits spilt, dark\tmost a second\tover the bound\tnoticed after\tcold nodes bore\tpushed over")
	var spilt, push [][]float64
	kinds := []string{"rooms not looked at", "rooms looked at"}
	for i, kind := range kinds {
		day.FailoverDisabled = i == 0
		result, err := day.Run()
		if err != nil {
			return err
		}
		var sum simulation.ZoneSecond
		var lineSpilt, linePush []float64
		mostSpilt, darkSpilt := 0.0, 0.0
		for second, one := range result.Seconds {
			sum.Served, sum.Late, sum.Rejected, sum.Failed, sum.NewObjectsLost = sum.Served+one.Served, sum.Late+one.Late, sum.Rejected+one.Rejected, sum.Failed+one.Failed, sum.NewObjectsLost+one.NewObjectsLost
			sum.SlowStartLoad, mostSpilt = max(sum.SlowStartLoad, one.SlowStartLoad), max(mostSpilt, one.SpilledUnits)
			if t := time.Duration(second) * time.Second; t >= begin && t < begin+r.Dark {
				darkSpilt += one.SpilledUnits
			}
			lineSpilt, linePush = append(lineSpilt, one.SpilledUnits), append(linePush, 100*one.SlowStartLoad)
		}
		spilt, push = append(spilt, lineSpilt), append(push, linePush)
		over := "no bound"
		if i > 0 {
			over = fmt.Sprintf("%.1f", max(0, result.WorstSpillover))
		}
		fell := "none"
		if len(result.Crashed) > 0 {
			fell = strings.Join(result.Crashed, " ")
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%s\t%v\t%.0f%%\t%s\n", kind, sum.Served, sum.Late, sum.Rejected, sum.Failed, sum.NewObjectsLost, darkSpilt, mostSpilt, over,
			result.DetectedAfter.Round(time.Millisecond), 100*sum.SlowStartLoad, fell)
		for _, broken := range result.Violations {
			fmt.Fprintln(s.err, "broken:", broken)
		}
	}
	if err := out.Flush(); err != nil || !r.Plot {
		return err
	}
	for _, plot := range []struct {
		caption string
		lines   [][]float64
	}{{"new work sent into another room, units a second", spilt}, {"highest load of a cold node, % of what pushes it over", push}} {
		fmt.Fprintf(s.out, "\n%s\n", asciigraph.PlotMany(plot.lines, asciigraph.Height(8), asciigraph.Width(100), asciigraph.LowerBound(0), asciigraph.Caption(plot.caption),
			asciigraph.SeriesLegends(kinds...), asciigraph.SeriesColors(asciigraph.Gray, asciigraph.Blue)))
	}
	return nil
}
