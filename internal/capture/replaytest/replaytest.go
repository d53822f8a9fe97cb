// Package replaytest checks captures that tests have made on the way.
package replaytest

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/invariants"
)

// ReplayTwice plays a capture two times, every action as recorded, and has the model of the rules follow it. It gives the number of events.
func ReplayTwice(t testing.TB, file []byte) (events int) {
	t.Helper()
	for range 2 {
		c, err := capture.NewReader(bytes.NewReader(file))
		if err != nil {
			t.Fatal(err)
		}
		player, checker := capture.NewPlayer(c), invariants.New(c.Head.Settings)
		for events = 0; ; events++ {
			step, err := player.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatalf("after %d events: %v", events, err)
			}
			for _, b := range checker.Step(step) {
				t.Error(b)
			}
		}
		if player.Gaps > 0 {
			t.Errorf("%d gaps", player.Gaps)
		}
	}
	return events
}

// WarmUp has what compresses made before a test's bubble begins: what is made within one may not be used by another.
func WarmUp() {
	block := capture.AppendBlock(nil, nil, false)
	if c, err := capture.NewReader(bytes.NewReader(append(mustBegin(), block...))); err == nil {
		c.Next()
	}
}

func mustBegin() []byte {
	begin, err := capture.EncodeHeader(&capture.Head{Version: capture.Version})
	if err != nil {
		panic(err)
	}
	return begin
}
