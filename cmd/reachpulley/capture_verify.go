package main

import (
	"errors"
	"fmt"
	"io"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/invariants"
	"reachpulley/internal/capture/timeline"
)

type captureVerify struct {
	File          string `arg:"" type:"existingfile" help:"A capture."`
	Rules         bool   `help:"Check the rules of the deployment too."`
	MaxViolations int    `name:"most" default:"50" help:"Maximum number of violations that are shown."`
}

// Run replays a capture and, with --rules, checks each step against the rules of the deployment. Violations are
// findings.
func (a captureVerify) Run(env environment) error {
	file, reader, err := openCapture(a.File)
	if err != nil {
		return env.reportUsageError(err)
	}
	defer file.Close()
	clock := timeline.ClockFor(&reader.Head)
	player := capture.NewPlayer(reader)
	checker := invariants.New(reader.Head.Settings)
	events := 0
	violations := 0
	for {
		step, err := player.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil && !a.ignores(err) {
			return reportReplayError(env, a.File, events, err)
		}
		events++
		if !a.Rules {
			continue
		}
		for _, violation := range checker.Step(step) {
			violations++
			if violations <= a.MaxViolations {
				printViolation(env, clock, violation)
			}
		}
	}
	fmt.Fprintf(env.stdout, "%d events, every block whole, %d gaps with %d lost records\n",
		events, player.Gaps, player.Lost)
	if a.Rules {
		printCheckedRules(env, checker, violations)
	}
	if violations > 0 {
		return errFindings
	}
	return nil
}

// ignores reports whether the check continues after an error of the replay. With --rules, it continues after an action
// that differs from the recorded one: whether the capture of another build obeys the rules does not depend on what this
// build would do.
func (a captureVerify) ignores(err error) bool {
	var difference *capture.Difference
	return a.Rules && errors.As(err, &difference)
}

func printViolation(env environment, clock timeline.Clock, v invariants.Violation) {
	fmt.Fprintf(env.stdout, "%s event %d, %s: %s", clock.Format(v.At), v.Event, v.Rule, v.Text)
	if v.ID != "" {
		fmt.Fprintf(env.stdout, " (request %s)", v.ID)
	}
	if v.Node != "" {
		fmt.Fprintf(env.stdout, " (node %s)", v.Node)
	}
	fmt.Fprintln(env.stdout)
}

func printCheckedRules(env environment, checker *invariants.Checker, violations int) {
	for _, rule := range invariants.Rules {
		fmt.Fprintf(env.stdout, "%s: checked %d times\n", rule, checker.Checked[rule])
	}
	fmt.Fprintf(env.stdout, "%d violations\n", violations)
}
