package main

import (
	"errors"
	"fmt"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/timeline"
)

type replayCommand struct {
	File string `arg:"" type:"existingfile" help:"A capture."`
	Why  string `xor:"what" placeholder:"REQUEST" help:"Tell the story of a request, by its id."`
	At   string `xor:"what" placeholder:"TIME" help:"Tell how nodes and volumes stood: at a duration of the recorder's clock, a time, or a time of day (UTC)."`

	With    string `xor:"what" type:"existingfile" placeholder:"SETTINGS" help:"Play the arrivals on other settings, a file in the platform's form, and compare what would have become of them."`
	Against string `xor:"what" type:"existingfile" placeholder:"BINARY" help:"Have another build of this program play the arrivals and compare what would have become of them."`
	Tally   bool   `xor:"what" hidden:"" help:"What --against asks the other build: what would have become of the arrivals, as JSON."`
	Plot    bool   `help:"With --with or --against: draw what became of them by second, too."`

	Shrink bool   `xor:"what" help:"Write the smallest capture on which --keep still holds, and a Go test with it."`
	Keep   string `placeholder:"PROPERTY" help:"With --shrink: breach, breach=RULE, refused=ID, failed=ID, sent=ID, sent=ID@NODE or crash."`
	Out    string `placeholder:"FILE" help:"With --shrink: the capture to write; the test stands beside it."`
	Tries  int    `default:"20000" help:"With --shrink: plays at most."`
}

const timesReplayed = 2 // so that what is not determined shows, too

// Run plays a capture on the decisions of this program and compares every action with the recorded one.
func (a replayCommand) Run(s streams) error {
	switch {
	case a.Why != "":
		return a.why(s)
	case a.At != "":
		return a.at(s)
	case a.With != "":
		return a.with(s)
	case a.Against != "":
		return a.against(s)
	case a.Tally:
		return a.tally(s)
	case a.Shrink:
		return a.shrink(s)
	}
	for i := range timesReplayed {
		f, c, err := open(a.File)
		if err != nil {
			return show(s, err)
		}
		defer f.Close()
		n, err := capture.Replay(c)
		if err != nil {
			return differ(s, a.File, n, err)
		}
		if i == timesReplayed-1 {
			fmt.Fprintf(s.out, "%d events by %s replayed twice, every action as recorded\n", n, c.Head.Program)
		}
	}
	return nil
}

// differ tells why a replay ended early: a difference is a finding, anything else the file's fault.
func differ(s streams, file string, events int, err error) error {
	var differs *capture.Difference
	if !errors.As(err, &differs) {
		fmt.Fprintf(s.out, "%d events replayed\n", events)
		return show(s, fmt.Errorf("%s: %w", file, err))
	}
	for _, e := range differs.Before {
		fmt.Fprintf(s.out, "  %v %s %s\n", e.At, e.Kind, e.ID)
	}
	fmt.Fprintf(s.out, "%v\n", differs)
	if err := around(s, file, differs); err != nil {
		fmt.Fprintf(s.out, "the state before it can't be told: %v\n", err)
	}
	return errFound
}

// around tells the state before a difference, of what it is about: the capture is played up to there.
func around(s streams, file string, d *capture.Difference) error {
	f, c, err := open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	p := capture.NewPlayer(c)
	for {
		number, err := p.Upcoming()
		if err != nil {
			return err
		}
		if number >= d.Event {
			return timeline.WriteContext(p.Scheduler().Snapshot(), timeline.ClockFor(&c.Head), c.Head.Settings, d, s.out)
		}
		if _, err := p.Next(); err != nil {
			return err
		}
	}
}

func (a replayCommand) why(s streams) error {
	f, _, err := open(a.File)
	if err != nil {
		return show(s, err)
	}
	defer f.Close()
	if _, err := f.Seek(0, 0); err != nil {
		return err
	}
	if err := timeline.WriteRequest(f, a.Why, s.out); err != nil {
		return differ(s, a.File, 0, err)
	}
	return nil
}

func (a replayCommand) at(s streams) error {
	f, c, err := open(a.File)
	if err != nil {
		return show(s, err)
	}
	defer f.Close()
	clock := timeline.ClockFor(&c.Head)
	first, err := c.Next()
	for err == nil && !first.Kind.IsEvent() {
		first, err = c.Next()
	}
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", a.File, err))
	}
	at, err := clock.Parse(a.At, first.At)
	if err != nil {
		return show(s, fmt.Errorf("--at: %w", err))
	}
	if _, err := f.Seek(0, 0); err != nil {
		return err
	}
	state, err := capture.At(f, at)
	if err != nil {
		return differ(s, a.File, 0, err)
	}
	return timeline.WriteState(state, clock, c.Head.Settings, nil, s.out)
}
