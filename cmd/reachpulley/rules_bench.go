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
	benchBatches       = 10  // batches for each request; the result is their median
	benchCallsPerCheck = 100 // evaluations between two checks of the elapsed time
)

type rulesBench struct {
	File string        `arg:"" help:"A rule file that holds tests."`
	Time time.Duration `default:"300ms" help:"How long each request is measured."`
}

// measurement holds the measured time, the allocations and the estimated cost of an evaluation of the rules for a
// request.
type measurement struct {
	Request     string  `json:"request"`
	Nanoseconds float64 `json:"ns"`          // per evaluation, as the median of the batches
	Allocations float64 `json:"allocations"` // mean number per evaluation
	Cost        int     `json:"cost"`        // estimated nanoseconds
	Worst       int     `json:"worst"`       // highest cost of any request, in estimated nanoseconds
}

// Run measures each request of the tests in a rule file.
func (r rulesBench) Run(env environment, c *rulesCommands) error {
	set, err := c.load(env, r.File)
	if err != nil {
		return err
	}
	if len(set.TestRequests) == 0 {
		return env.reportUsageError(fmt.Errorf("%s: the file has no [[test]] to measure", r.File))
	}
	var measurements []measurement
	for _, testCase := range set.TestRequests {
		measurements = append(measurements, measure(set, testCase, r.Time))
	}
	return c.print(env, measurements, func(w io.Writer) {
		fmt.Fprintln(w, "request\tns\tallocations\tcost\tat worst")
		for _, m := range measurements {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%d\t%d\n", m.Request, m.Nanoseconds, m.Allocations, m.Cost, m.Worst)
		}
	})
}

// measure evaluates the rules for the request of a test, in batches that take duration together.
func measure(set *rules.Set, testCase rules.TestRequest, duration time.Duration) measurement {
	cost := evaluate(set, testCase.Facts)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var batchNanoseconds []float64
	calls := 0
	for range benchBatches {
		batchCalls, elapsed := measureBatch(set, testCase.Facts, duration/benchBatches)
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

// measureBatch evaluates the rules for a request until duration has elapsed.
func measureBatch(set *rules.Set, facts *expression.Facts, duration time.Duration) (calls int, elapsed time.Duration) {
	start := time.Now()
	for time.Since(start) < duration {
		for range benchCallsPerCheck {
			evaluate(set, facts)
		}
		calls += benchCallsPerCheck
	}
	return calls, time.Since(start)
}

// evaluate applies the rules to a request and returns the cost, also if the rules reject the request.
func evaluate(set *rules.Set, facts *expression.Facts) (cost int) {
	evaluation := set.Begin(facts)
	evaluation.Apply()
	return evaluation.End()
}
