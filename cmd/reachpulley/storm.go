package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/guptarohit/asciigraph"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/simulation"
)

// stormCommand plays a metastable failure in simulated time.
type stormCommand struct {
	Seed    uint64        `default:"1" help:"Of the first run; the others follow."`
	Runs    int           `default:"3" help:"How many runs of each kind."`
	Nodes   bool          `help:"The nodes themselves slow down. By default what all of them share does, whose failures no latency tells of."`
	Clients int           `help:"Clients that wait for their answers; 0: as the storm has them."`
	Tries   int           `help:"Tries of a client for one request; 0: as the storm has them."`
	Length  time.Duration `default:"120s" help:"Of a run, in simulated time."`
	Share   float64       `default:"0.2" help:"Of the budgets, as in the table [retry]."`
	Trickle float64       `default:"0.5" help:"Of the budgets, as in the table [retry]."`
	Plot    bool          `help:"Draw what was served in each second of the first run."`
}

// Run plays the same storms as a plain proxy, by the decisions alone, and by them with budgets.
func (c stormCommand) Run(s streams) error {
	make := simulation.SharedStorm
	if c.Nodes {
		make = simulation.NodeStorm
	}
	kinds := []struct {
		name  string
		plain bool
		retry retrybudget.Settings
	}{{name: "plain proxy", plain: true}, {name: "no budgets"}, {name: "budgets", retry: retrybudget.Settings{Share: c.Share, Trickle: c.Trickle, Burst: 10, Cells: 1024}}}
	if key, err := kinds[2].retry.Check(); err != nil {
		return show(s, fmt.Errorf("--%s: %w", key, err))
	}
	if c.Runs < 1 || c.Runs > 100 || c.Length < 40*time.Second || c.Length > time.Hour || c.Clients < 0 || c.Clients > 100_000 || c.Tries < 0 || c.Tries > 10 {
		return show(s, fmt.Errorf("--runs is from 1 to 100, --length from 40s to 1h, --clients up to 100000, --tries up to 10"))
	}
	out := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "seed\t\tserved a second before\tafter it\tattempts a second\trecovered after")
	var lines [][]float64
	for run := range c.Runs {
		for _, k := range kinds {
			storm := make(c.Seed + uint64(run))
			storm.Passthrough, storm.Retry, storm.Length = k.plain, k.retry, c.Length
			if c.Clients > 0 {
				storm.Clients = c.Clients
			}
			if c.Tries > 0 {
				storm.Tries = c.Tries
			}
			r, err := storm.Run()
			if err != nil {
				return err
			}
			served, sent, line := 0, 0, []float64{}
			for i, one := range r.Seconds {
				line = append(line, float64(one.Served))
				if time.Duration(i)*time.Second >= storm.Begin+storm.Slow {
					served += one.Served
					sent += one.Sent
				}
			}
			if run == 0 {
				lines = append(lines, line)
			}
			recovered := "never"
			if r.Recovered >= 0 {
				recovered = r.Recovered.String()
			}
			span := (storm.Length - storm.Begin - storm.Slow).Seconds()
			fmt.Fprintf(out, "%d\t%s\t%.0f\t%.0f\t%.0f\t%s\n", storm.Seed, k.name, r.Before, float64(served)/span, float64(sent)/span, recovered)
		}
	}
	if err := out.Flush(); err != nil || !c.Plot {
		return err
	}
	_, err := fmt.Fprintf(s.out, "\n%s\n", asciigraph.PlotMany(lines, asciigraph.Height(12), asciigraph.Width(100), asciigraph.LowerBound(0),
		asciigraph.Caption("served a second; the slow time is from 20 s to 24 s"), asciigraph.SeriesLegends(kinds[0].name, kinds[1].name, kinds[2].name),
		asciigraph.SeriesColors(asciigraph.Gray, asciigraph.Red, asciigraph.Blue)))
	return err
}
