package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"unicode"

	"reachpulley/internal/capture/shrink"
	"reachpulley/internal/capture/tally"
	"reachpulley/internal/capture/whatif"
	"reachpulley/internal/config"
)

// with compares what was recorded with what other settings would have had decided.
func (a replayCommand) with(s streams) error {
	f, c, err := open(a.File)
	if err != nil {
		return show(s, err)
	}
	defer f.Close()
	text, err := os.ReadFile(a.With)
	if err != nil {
		return show(s, err)
	}
	settings, err := config.Settings(json.RawMessage(text))
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", a.With, err))
	}
	day, err := whatif.Read(c)
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", a.File, err))
	}
	same, err := day.Play(day.Head.Settings)
	if err != nil {
		return show(s, fmt.Errorf("%s: settings: %w", a.File, err))
	}
	other, err := day.Play(settings)
	if err != nil {
		return show(s, fmt.Errorf("%s: %w", a.With, err))
	}
	fmt.Fprint(s.out, "An open loop: clients come when they came, and nodes answer as they answered near that time, whatever the load would have been.\n"+
		"Compare the second table with the third; the first tells how far the second is from what was.\n")
	series := []tally.Series{{Name: "recorded", Tally: day.Recorded}, {Name: "its settings, open loop", Tally: same}, {Name: "other settings, open loop", Tally: other}}
	for _, one := range series {
		fmt.Fprintf(s.out, "\n%s\n", one.Name)
		if err := one.Tally.Write(s.out); err != nil {
			return err
		}
	}
	if a.Plot {
		tally.Plot(s.out, series)
	}
	return nil
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
