package main

import (
	"errors"
	"fmt"
	"io"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/timeline"
)

type replayCommand struct {
	File string `arg:"" type:"existingfile" help:"A capture."`

	RequestID string `name:"why" xor:"what" placeholder:"REQUEST" help:"Show the timeline of the request with this id."`
	Time      string `name:"at" xor:"what" placeholder:"TIME" help:"Show nodes and volumes at this time: ${time_help}."`

	Settings string `name:"with" xor:"what" type:"existingfile" placeholder:"SETTINGS" help:"${with_help}"`
	Build    string `name:"against" xor:"what" type:"existingfile" placeholder:"BINARY" help:"${against_help}"`
	Summary  bool   `name:"tally" xor:"what" hidden:"" help:"${tally_help}"`
	Plot     bool   `help:"With --with or --against: draw the outcomes of each second."`

	Shrink     bool   `xor:"what" help:"Write the smallest capture on which --keep still holds, and a Go test of it."`
	Property   string `name:"keep" placeholder:"PROPERTY" help:"With --shrink: ${property_help}."`
	Out        string `placeholder:"FILE" help:"With --shrink: the capture to write; the test is written beside it."`
	MaxReplays int    `name:"tries" default:"20000" help:"With --shrink: maximum number of replays."`
}

// timesReplayed is how often a capture is replayed: more than once, to notice decisions that are not deterministic.
const timesReplayed = 2

// Run replays a capture and compares every action with the recorded one, or does what a flag names instead.
func (r replayCommand) Run(env environment) error {
	switch {
	case r.RequestID != "":
		return r.showTimeline(env)
	case r.Time != "":
		return r.showState(env)
	case r.Settings != "":
		return r.compareSettings(env)
	case r.Build != "":
		return r.compareBuilds(env)
	case r.Summary:
		return r.printSummary(env)
	case r.Shrink:
		return r.shrinkCapture(env)
	}
	return r.replay(env)
}

func (r replayCommand) replay(env environment) error {
	events := 0
	program := ""
	for range timesReplayed {
		var err error
		if events, program, err = r.replayOnce(env); err != nil {
			return err
		}
	}
	fmt.Fprintf(env.stdout, "%d events by %s replayed twice, every action as recorded\n", events, program)
	return nil
}

// replayOnce replays the capture, and returns the number of its events and the program that recorded them. It prints
// the error that it returns.
func (r replayCommand) replayOnce(env environment) (events int, program string, err error) {
	file, reader, err := openCapture(r.File)
	if err != nil {
		return 0, "", env.reportUsageError(err)
	}
	defer file.Close()
	events, err = capture.Replay(reader)
	if err != nil {
		return 0, "", reportReplayError(env, r.File, events, err)
	}
	return events, reader.Head.Program, nil
}

// reportReplayError prints why a replay ended early. An action that differs from the recorded one is a finding; any
// other error is a fault of the file.
func reportReplayError(env environment, path string, events int, err error) error {
	var difference *capture.Difference
	if !errors.As(err, &difference) {
		fmt.Fprintf(env.stdout, "%d events replayed\n", events)
		return env.reportUsageError(fmt.Errorf("%s: %w", path, err))
	}
	for _, event := range difference.Before {
		fmt.Fprintf(env.stdout, "  %v %s %s\n", event.At, event.Kind, event.ID)
	}
	fmt.Fprintf(env.stdout, "%v\n", difference)
	if err := showContext(env, path, difference); err != nil {
		fmt.Fprintf(env.stdout, "the state before it cannot be shown: %v\n", err)
	}
	return errFindings
}

// showContext replays the capture up to a difference, and prints the state of the requests, nodes and volumes that the
// difference concerns.
func showContext(env environment, path string, difference *capture.Difference) error {
	file, reader, err := openCapture(path)
	if err != nil {
		return err
	}
	defer file.Close()
	player := capture.NewPlayer(reader)
	for {
		number, err := player.NextEventNumber()
		if err != nil {
			return err
		}
		if number >= difference.Event {
			break
		}
		if _, err := player.Next(); err != nil {
			return err
		}
	}
	snapshot := player.Scheduler().Snapshot()
	clock := timeline.ClockFor(&reader.Head)
	return timeline.WriteContext(snapshot, clock, reader.Head.Settings, difference, env.stdout)
}

func (r replayCommand) showTimeline(env environment) error {
	file, _, err := openCapture(r.File)
	if err != nil {
		return env.reportUsageError(err)
	}
	defer file.Close()
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return err
	}
	if err := timeline.WriteRequest(file, r.RequestID, env.stdout); err != nil {
		return reportReplayError(env, r.File, 0, err)
	}
	return nil
}

func (r replayCommand) showState(env environment) error {
	file, reader, err := openCapture(r.File)
	if err != nil {
		return env.reportUsageError(err)
	}
	defer file.Close()
	first, err := firstEvent(reader)
	if err != nil {
		return env.reportUsageError(fmt.Errorf("%s: %w", r.File, err))
	}
	clock := timeline.ClockFor(&reader.Head)
	at, err := clock.Parse(r.Time, first.At)
	if err != nil {
		return env.reportUsageError(fmt.Errorf("--at: %w", err))
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return err
	}
	state, err := capture.StateAt(file, at)
	if err != nil {
		return reportReplayError(env, r.File, 0, err)
	}
	return timeline.WriteState(state, clock, reader.Head.Settings, nil, env.stdout)
}

func firstEvent(reader *capture.Reader) (*capture.Record, error) {
	for record, err := range records(reader) {
		if err != nil || record.Kind.IsEvent() {
			return record, err
		}
	}
	return nil, io.EOF
}
