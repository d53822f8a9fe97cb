package main

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/guptarohit/asciigraph"

	"reachpulley/internal/retrybudget"
	"reachpulley/internal/simulation"
)

// stormCommand simulates a metastable failure: an overload that retries sustain after its cause is gone.
type stormCommand struct {
	Seed    uint64        `default:"1" help:"Seed of the first run; each later run has the next number."`
	Runs    int           `default:"3" help:"Number of runs, each with every way to send retries."`
	Nodes   bool          `help:"Slow down the nodes themselves; by default, a resource that they share slows down."`
	Clients int           `help:"Number of clients, which wait for their answers; 0: the storm's default."`
	Tries   int           `help:"How often a client tries one request; 0: the storm's default."`
	Length  time.Duration `default:"120s" help:"Length of a run, in simulated time."`
	Share   float64       `default:"0.2" help:"The setting share of the table [retry], for the retry budgets."`
	Trickle float64       `default:"0.5" help:"The setting trickle of the table [retry], for the retry budgets."`
	Plot    bool          `help:"Draw how many requests were served in each second of the first run."`
}

// The settings of the simulated retry budgets that no flag sets.
const (
	stormBudgetBurst = 10 // retries
	stormBudgetCells = 1024
)

var errStormBounds = errors.New(
	"flag out of range: --runs must be from 1 to 100, --length from 40s to 1h, " +
		"--clients from 0 to 100000, --tries from 0 to 10")

// stormVariant is a way to send retries, and the result of its first run.
type stormVariant struct {
	name        string
	passthrough bool
	retry       retrybudget.Settings

	servedBySecond []float64 // requests served in each second of the first run
}

// Run simulates the same storms with a plain proxy, with the scheduler alone, and with the scheduler and retry budgets.
func (c stormCommand) Run(env environment) error {
	budgets := retrybudget.Settings{
		Share:   c.Share,
		Trickle: c.Trickle,
		Burst:   stormBudgetBurst,
		Cells:   stormBudgetCells,
	}
	if key, err := budgets.Check(); err != nil {
		return env.reportUsageError(fmt.Errorf("--%s: %w", key, err))
	}
	if !c.isWithinBounds() {
		return env.reportUsageError(errStormBounds)
	}
	variants := []*stormVariant{
		{name: "plain proxy", passthrough: true},
		{name: "no retry budgets"},
		{name: "retry budgets", retry: budgets},
	}
	table := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "seed\t\tserved a second before\tafter it\tattempts a second\trecovered after")
	for run := range c.Runs {
		for _, variant := range variants {
			storm := c.storm(c.Seed+uint64(run), variant)
			result, err := storm.Run()
			if err != nil {
				return err
			}
			fmt.Fprintln(table, stormRow(variant.name, storm, result))
			if run == 0 {
				variant.servedBySecond = servedBySecond(result)
			}
		}
	}
	if err := table.Flush(); err != nil || !c.Plot {
		return err
	}
	return plotStorm(env, variants)
}

func (c stormCommand) isWithinBounds() bool {
	return c.Runs >= 1 && c.Runs <= 100 &&
		c.Length >= 40*time.Second && c.Length <= time.Hour &&
		c.Clients >= 0 && c.Clients <= 100_000 &&
		c.Tries >= 0 && c.Tries <= 10
}

func (c stormCommand) storm(seed uint64, variant *stormVariant) simulation.Storm {
	storm := simulation.SharedResourceStorm(seed)
	if c.Nodes {
		storm = simulation.NodeStorm(seed)
	}
	storm.Passthrough = variant.passthrough
	storm.RetryBudget = variant.retry
	storm.Length = c.Length
	if c.Clients > 0 {
		storm.Clients = c.Clients
	}
	if c.Tries > 0 {
		storm.Tries = c.Tries
	}
	return storm
}

// stormRow returns the row of a run in the table. The rates of served requests and of attempts after the slowdown are
// averages from its end to the end of the run.
func stormRow(name string, storm simulation.Storm, result simulation.StormResult) string {
	end := storm.SlowdownStart + storm.SlowdownDuration
	served := 0
	sent := 0
	for i, second := range result.Seconds {
		if time.Duration(i)*time.Second >= end {
			served += second.Served
			sent += second.Sent
		}
	}
	seconds := (storm.Length - storm.SlowdownStart - storm.SlowdownDuration).Seconds()
	recovered := "never"
	if result.RecoveryTime >= 0 {
		recovered = result.RecoveryTime.String()
	}
	return fmt.Sprintf("%d\t%s\t%.0f\t%.0f\t%.0f\t%s",
		storm.Seed, name, result.ServedBefore, float64(served)/seconds, float64(sent)/seconds, recovered)
}

func servedBySecond(result simulation.StormResult) []float64 {
	served := []float64{}
	for _, second := range result.Seconds {
		served = append(served, float64(second.Served))
	}
	return served
}

func plotStorm(env environment, variants []*stormVariant) error {
	var names []string
	var lines [][]float64
	for _, variant := range variants {
		names = append(names, variant.name)
		lines = append(lines, variant.servedBySecond)
	}
	_, err := fmt.Fprintf(env.stdout, "\n%s\n", asciigraph.PlotMany(lines,
		asciigraph.Height(12),
		asciigraph.Width(100),
		asciigraph.LowerBound(0),
		asciigraph.Caption("served a second; the slow time is from 20 s to 24 s"),
		asciigraph.SeriesLegends(names...),
		asciigraph.SeriesColors(asciigraph.Gray, asciigraph.Red, asciigraph.Blue)))
	return err
}
