package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"time"

	"reachpulley/internal/capture/summary"
	"reachpulley/internal/capture/whatif"
	"reachpulley/internal/config"
)

// maxBuildTime bounds how long another build may run.
const maxBuildTime = 10 * time.Minute

// openLoopNotice precedes each comparison.
const openLoopNotice = "An open loop: clients arrive as recorded, " +
	"and nodes respond as they responded near that time, whatever the load would have been.\n" +
	"Compare the second table with the third; the first shows how far the second is from what happened.\n"

// compareSettings compares the recorded outcomes with those that the same arrivals have with other settings.
func (r replayCommand) compareSettings(env environment) error {
	text, err := os.ReadFile(r.Settings)
	if err != nil {
		return env.reportUsageError(err)
	}
	settings, err := config.ParseSettings(text)
	if err != nil {
		return env.reportUsageError(fmt.Errorf("%s: %w", r.Settings, err))
	}
	workload, baseline, err := r.loadWorkload(env)
	if err != nil {
		return err
	}
	other, err := workload.Play(settings)
	if err != nil {
		return env.reportUsageError(fmt.Errorf("%s: %w", r.Settings, err))
	}
	r.printComparison(env, workload, baseline, summary.Series{
		Name:    "other settings, open loop",
		Summary: other,
	})
	return nil
}

// compareBuilds compares the recorded outcomes with those that the same arrivals have with another build.
func (r replayCommand) compareBuilds(env environment) error {
	workload, baseline, err := r.loadWorkload(env)
	if err != nil {
		return err
	}
	text, err := runBuild(r.Build, r.File)
	if err != nil {
		return env.reportUsageError(fmt.Errorf("%s: %w", r.Build, err))
	}
	other := summary.New(workload.Head.Settings)
	if err := json.Unmarshal(text, other); err != nil {
		return env.reportUsageError(fmt.Errorf("%s: the output of replay --tally cannot be parsed: %w", r.Build, err))
	}
	if got, want := len(other.Classes), len(workload.Head.Settings.Classes); got != want {
		return env.reportUsageError(
			fmt.Errorf("%s: replay --tally reports %d classes, but the capture has %d", r.Build, got, want))
	}
	r.printComparison(env, workload, baseline, summary.Series{
		Name:    "its settings, the other build, open loop",
		Summary: other,
	})
	return nil
}

// runBuild has another build of this program run printSummary on a capture, and returns the output.
func runBuild(binary, file string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxBuildTime)
	defer cancel()
	command := exec.CommandContext(ctx, binary, "replay", "--tally", file)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	output, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("%w: %s", err, bytes.TrimSpace(stderr.Bytes()))
	}
	return output, nil
}

// printSummary prints the outcomes that the recorded arrivals have with this build, in JSON, which compareBuilds of
// another build reads.
func (r replayCommand) printSummary(env environment) error {
	_, baseline, err := r.loadWorkload(env)
	if err != nil {
		return err
	}
	return json.NewEncoder(env.stdout).Encode(baseline)
}

// loadWorkload reads the recorded arrivals and responses of the capture, and plays them with this build and the
// recorded settings. It prints the error that it returns.
func (r replayCommand) loadWorkload(env environment) (*whatif.Workload, *summary.Summary, error) {
	file, reader, err := openCapture(r.File)
	if err != nil {
		return nil, nil, env.reportUsageError(err)
	}
	defer file.Close()
	workload, err := whatif.Read(reader)
	if err != nil {
		return nil, nil, env.reportUsageError(fmt.Errorf("%s: %w", r.File, err))
	}
	baseline, err := workload.Play(workload.Head.Settings)
	if err != nil {
		return nil, nil, env.reportUsageError(fmt.Errorf("%s: settings: %w", r.File, err))
	}
	return workload, baseline, nil
}

// printComparison prints the outcomes that were recorded, those with this build and the recorded settings (baseline),
// and those with other settings or another build.
func (r replayCommand) printComparison(
	env environment, workload *whatif.Workload, baseline *summary.Summary, other summary.Series,
) {
	fmt.Fprint(env.stdout, openLoopNotice)
	series := []summary.Series{
		{Name: "recorded", Summary: workload.Recorded},
		{Name: "its settings, this build, open loop", Summary: baseline},
		other,
	}
	for _, s := range series {
		fmt.Fprintf(env.stdout, "\n%s\n", s.Name)
		s.Summary.Write(env.stdout)
	}
	if r.Plot {
		summary.Plot(env.stdout, series)
	}
}
