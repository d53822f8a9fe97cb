package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"unicode"

	"reachpulley/internal/capture/shrink"
)

// shrinkCapture writes the smallest capture that it finds on which a property still holds, and a Go test that replays
// it.
func (r replayCommand) shrinkCapture(env environment) error {
	property, err := shrink.Parse(r.Property)
	if err != nil {
		return env.reportUsageError(fmt.Errorf("--keep: %w", err))
	}
	if r.Out == "" {
		return env.reportUsageError(errors.New("--out: is not set, but --shrink requires it"))
	}
	content, err := r.smallestCapture(env, property)
	if err != nil {
		return env.reportUsageError(err)
	}
	if err := writeNewFile(env, r.Out, content); err != nil {
		return err
	}
	name := filepath.Base(r.Out)
	test := shrink.GoTestSource(testName(name), name, property)
	testPath := strings.TrimSuffix(r.Out, filepath.Ext(r.Out)) + "_test.go"
	return writeNewFile(env, testPath, []byte(test))
}

// smallestCapture returns the smallest capture that it finds within r.MaxReplays replays on which the property holds.
// It prints its progress to stderr.
func (r replayCommand) smallestCapture(env environment, property shrink.Property) ([]byte, error) {
	file, reader, err := openCapture(r.File)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	original, err := shrink.Read(reader)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.File, err)
	}
	reportProgress := func(left int) {
		fmt.Fprintf(env.stderr, "\r%d of %d events ", left, len(original.Events))
	}
	smallest, err := original.Shrink(property, r.MaxReplays, reportProgress)
	fmt.Fprintln(env.stderr)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.File, err)
	}
	return smallest.Capture()
}

// testName derives a part of the test's name from the name of a file: small-day.capture becomes SmallDay.
func testName(file string) string {
	var name strings.Builder
	startsWord := true
	for _, r := range strings.TrimSuffix(file, filepath.Ext(file)) {
		if !unicode.IsLetter(r) && !unicode.IsDigit(r) {
			startsWord = true
			continue
		}
		if startsWord {
			r = unicode.ToUpper(r)
			startsWord = false
		}
		name.WriteRune(r)
	}
	return name.String()
}
