package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
	"unicode"

	"reachpulley/internal/capture/shrink"
	"reachpulley/internal/capture/summary"
	"reachpulley/internal/capture/whatif"
	"reachpulley/internal/config"
)

// with compares what was recorded with what other settings would have had decided.
func (a replayCommand) with(s streams) error {
	text, err := os.ReadFile(a.With)
	if err != nil {
		return show(s, err)
	}
	settings, err := config.ParseSettings(text)
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", a.With, err))
	}
	day, same, err := a.day(s)
	if err != nil {
		return err
	}
	other, err := day.Play(settings)
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", a.With, err))
	}
	a.compare(s, day, same, summary.Series{Name: "other settings, open loop", Summary: other})
	return nil
}

// compare shows what was recorded, what the recorded settings and this build make of it, and what something else does.
func (a replayCommand) compare(s streams, day *whatif.Workload, same *summary.Summary, other summary.Series) {
	fmt.Fprint(s.out, "An open loop: clients come when they came, and nodes answer as they answered near that time, whatever the load would have been.\n"+
		"Compare the second table with the third; the first tells how far the second is from what was.\n")
	series := []summary.Series{{Name: "recorded", Summary: day.Recorded}, {Name: "its settings, this build, open loop", Summary: same}, other}
	for _, one := range series {
		fmt.Fprintf(s.out, "\n%s\n", one.Name)
		one.Summary.Write(s.out)
	}
	if a.Plot {
		summary.Plot(s.out, series)
	}
}

// day reads a capture as what came from outside.
func (a replayCommand) day(s streams) (*whatif.Workload, *summary.Summary, error) {
	f, c, err := open(a.File)
	if err != nil {
		return nil, nil, show(s, err)
	}
	defer f.Close()
	day, err := whatif.Read(c)
	if err != nil {
		return nil, nil, show(s, fmt.Errorf("%s: %w", a.File, err))
	}
	same, err := day.Play(day.Head.Settings)
	if err != nil {
		return nil, nil, show(s, fmt.Errorf("%s: settings: %w", a.File, err))
	}
	return day, same, nil
}

// otherBuild bounds how long another build may play.
const otherBuild = 10 * time.Minute

// against compares this build with another one.
func (a replayCommand) against(s streams) error {
	day, same, err := a.day(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), otherBuild)
	defer cancel()
	play := exec.CommandContext(ctx, a.Against, "replay", "--tally", a.File)
	var said bytes.Buffer
	play.Stderr = &said
	text, err := play.Output()
	if err != nil {
		return show(s, fmt.Errorf("%s: %w: %s", a.Against, err, bytes.TrimSpace(said.Bytes())))
	}
	other := summary.New(day.Head.Settings)
	if err := json.Unmarshal(text, other); err != nil {
		return show(s, fmt.Errorf("%s: its answer is of another form: %w", a.Against, err))
	}
	if len(other.Classes) != len(day.Head.Settings.Classes) {
		return show(s, fmt.Errorf("%s: it tells of %d classes, the capture of %d", a.Against, len(other.Classes), len(day.Head.Settings.Classes)))
	}
	a.compare(s, day, same, summary.Series{Name: "its settings, the other build, open loop", Summary: other})
	return nil
}

// tally tells another build what this one makes of the arrivals.
func (a replayCommand) tally(s streams) error {
	_, same, err := a.day(s)
	if err != nil {
		return err
	}
	return json.NewEncoder(s.out).Encode(same)
}

// shrink writes a capture and a test of it.
func (a replayCommand) shrink(s streams) error {
	keep, err := shrink.Parse(a.Keep)
	if err != nil {
		return show(s, fmt.Errorf("--keep: %w", err))
	}
	if a.Out == "" {
		return show(s, fmt.Errorf("--out: is missing"))
	}
	f, c, err := open(a.File)
	if err != nil {
		return show(s, err)
	}
	defer f.Close()
	whole, err := shrink.Read(c)
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", a.File, err))
	}
	small, err := whole.Shrink(keep, a.Tries, func(left int) { fmt.Fprintf(s.err, "\r%d of %d events ", left, len(whole.Events)) })
	fmt.Fprintln(s.err)
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", a.File, err))
	}
	file, err := small.Capture()
	if err != nil {
		return show(s, err)
	}
	if err := putNew(s, a.Out, file); err != nil {
		return err
	}
	name := filepath.Base(a.Out)
	return putNew(s, strings.TrimSuffix(a.Out, filepath.Ext(a.Out))+"_test.go", []byte(shrink.Test(testName(name), name, keep)))
}

// testName makes a file's name part of a test's.
func testName(file string) string {
	var out strings.Builder
	up := true
	for _, r := range strings.TrimSuffix(file, filepath.Ext(file)) {
		switch {
		case !unicode.IsLetter(r) && !unicode.IsDigit(r):
			up = true
			continue
		case up:
			r = unicode.ToUpper(r)
		}
		up = false
		out.WriteRune(r)
	}
	return out.String()
}
