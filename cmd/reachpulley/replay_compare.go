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

const openLoopNotice = "An open loop: clients arrive as recorded, " +
	"and nodes respond as they responded near that time, whatever the load would have been.\n" +
	"Compare the second table with the third; the first shows how far the second is from what happened.\n"

// compareSettings compares what was recorded with what would have happened on other settings.
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

// compareBuilds compares what was recorded with what would have happened on another build.
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
		return env.reportUsageError(fmt.Errorf("%s: its answer is of another form: %w", r.Build, err))
	}
	if got, want := len(other.Classes), len(workload.Head.Settings.Classes); got != want {
		return env.reportUsageError(fmt.Errorf("%s: it reports %d classes, the capture %d", r.Build, got, want))
	}
	r.printComparison(env, workload, baseline, summary.Series{
		Name:    "its settings, the other build, open loop",
		Summary: other,
	})
	return nil
}

// runBuild runs another build of this program as printSummary does, and returns its output.
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

// printSummary prints what this build makes of the arrivals, for another build that compares itself with this one.
func (r replayCommand) printSummary(env environment) error {
	_, baseline, err := r.loadWorkload(env)
	if err != nil {
		return err
	}
	return json.NewEncoder(env.stdout).Encode(baseline)
}

// loadWorkload reads what came from outside in a capture, and what this build makes of it on the recorded settings. It
// reports errors by itself.
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

// printComparison prints what was recorded, what this build makes of it on the recorded settings, and what something
// else does.
func (r replayCommand) printComparison(
	env environment, workload *whatif.Workload, baseline *summary.Summary, other summary.Series,
) {
	fmt.Fprint(env.stdout, openLoopNotice)
	series := []summary.Series{
		{Name: "recorded", Summary: workload.Recorded},
		{Name: "its settings, this build, open loop", Summary: baseline},
		other,
	}
	for _, one := range series {
		fmt.Fprintf(env.stdout, "\n%s\n", one.Name)
		one.Summary.Write(env.stdout)
	}
	if r.Plot {
		summary.Plot(env.stdout, series)
	}
}
