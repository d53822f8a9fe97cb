// Package replaytest checks captures that tests have recorded.
package replaytest

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/invariants"
)

// ReplayTwice replays a capture two times and returns the number of its events. The test fails if an action differs
// from the recorded one, if records were lost, or if the capture violates an invariant.
func ReplayTwice(t testing.TB, file []byte) (events int) {
	t.Helper()
	for range 2 {
		events = replay(t, file)
	}
	return events
}

func replay(t testing.TB, file []byte) (events int) {
	t.Helper()
	reader, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	player := capture.NewPlayer(reader)
	checker := invariants.New(reader.Head.Settings)
	for {
		step, err := player.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("after %d events: %v", events, err)
		}
		for _, violation := range checker.Step(step) {
			t.Errorf("violation of an invariant, want none: %v", violation)
		}
		events++
	}
	if player.Gaps > 0 {
		t.Errorf("%d gaps with %d lost records, want none", player.Gaps, player.Lost)
	}
	return events
}

// WarmUp creates the compressor and the decompressor. A test calls it before its bubble (testing/synctest) begins,
// because what is created within a bubble must not be used by another bubble.
func WarmUp() {
	header, err := capture.EncodeHeader(&capture.Head{Version: capture.Version})
	if err != nil {
		panic(err) // the head is constant
	}
	file := capture.AppendBlock(header, nil, false)
	if reader, err := capture.NewReader(bytes.NewReader(file)); err == nil {
		reader.Next()
	}
}
