package main

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"reachpulley/internal/rules"
	"reachpulley/internal/rules/expression"
)

const (
	benchBatches       = 10  // of which the median counts
	benchCallsPerCheck = 100 // evaluations between two checks of the time
)

type rulesBench struct {
	File string        `arg:"" help:"A rule file with a table of tests."`
	Time time.Duration `default:"300ms" help:"Time for each request."`
}

// measurement is what the evaluation of a request takes.
type measurement struct {
	Request     string  `json:"request"`
	Nanoseconds float64 `json:"ns"` // median of the batches
	Allocations float64 `json:"allocations"`
	Cost        int     `json:"cost"`
	Worst       int     `json:"worst"`
}

// Run measures each request of the table.
func (r rulesBench) Run(env environment, c *rulesCommands) error {
	set, err := c.load(env, r.File)
	if err != nil {
		return err
	}
	if len(set.Cases) == 0 {
		return env.reportUsageError(fmt.Errorf("%s: there is no [[test]] to measure", r.File))
	}
	var measurements []measurement
	for _, testCase := range set.Cases {
		measurements = append(measurements, measure(set, testCase, r.Time))
	}
	return c.print(env, measurements, func(w io.Writer) {
		fmt.Fprintln(w, "request\tns\tallocations\tcost\tat worst")
		for _, m := range measurements {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%d\t%d\n", m.Request, m.Nanoseconds, m.Allocations, m.Cost, m.Worst)
		}
	})
}

func measure(set *rules.Set, testCase rules.Case, total time.Duration) measurement {
	cost := evaluate(set, testCase.Facts)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var batchNanoseconds []float64
	calls := 0
	for range benchBatches {
		batchCalls, elapsed := measureBatch(set, testCase.Facts, total/benchBatches)
		batchNanoseconds = append(batchNanoseconds, float64(elapsed.Nanoseconds())/float64(batchCalls))
		calls += batchCalls
	}
	runtime.ReadMemStats(&after)
	slices.Sort(batchNanoseconds)
	return measurement{
		Request:     testCase.Name,
		Nanoseconds: batchNanoseconds[benchBatches/2],
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(calls),
		Cost:        cost,
		Worst:       set.Cost,
	}
}

func measureBatch(set *rules.Set, facts *expression.Facts, total time.Duration) (calls int, elapsed time.Duration) {
	start := time.Now()
	for time.Since(start) < total {
		for range benchCallsPerCheck {
			evaluate(set, facts)
		}
		calls += benchCallsPerCheck
	}
	return calls, time.Since(start)
}

// evaluate applies the rules to a request and returns the cost. A rejection is a result like any other.
func evaluate(set *rules.Set, facts *expression.Facts) (cost int) {
	evaluation := set.Begin(facts)
	evaluation.Apply()
	return evaluation.End()
}
