package eventloop

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/exchange"
	"reachpulley/scheduler"
)

// panickingBackend panics on the loop's goroutine at the first attempt.
type panickingBackend struct{ fakeBackend }

func (*panickingBackend) Start(context.Context, Attempt, func(Report)) { panic("broken") }

// When the loop panics, the recording is passed to OnCrash, with everything up to the action that panicked, and the
// panic reaches the caller of Run.
func TestRecordingSurvivesPanic(t *testing.T) {
	var recordings []capture.Recording
	loop, err := New(Options{
		Settings:   testSettings,
		Seed:       1,
		Clock:      NewClock(),
		Backend:    &panickingBackend{},
		Membership: fakeMembership{},
		Capture: capture.Options{
			MaxBytes: 1 << 20,
			OnCrash:  func(r capture.Recording) { recordings = append(recordings, r) },
		},
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	loop.MembershipChanged(oneNode)
	request := scheduler.Request{ID: "last", Volume: "v", Units: 1, Hosts: 1}
	loop.Open(exchange.New(request, time.Now().Add(time.Minute), nil))
	func() {
		defer func() {
			if failure := recover(); failure != "broken" {
				t.Errorf("Run panicked with %v, want the backend's panic %q", failure, "broken")
			}
		}()
		loop.Run(t.Context())
	}()
	if len(recordings) != 1 {
		t.Fatalf("OnCrash was called %d times, want once", len(recordings))
	}
	if !recordsSend(t, recordings[0], "last") {
		t.Error("the recording lacks the Send in which the loop panicked")
	}
}

// recordsSend reports whether a recording holds a Send of the request with the given ID.
func recordsSend(t *testing.T, recording capture.Recording, id string) bool {
	t.Helper()
	file, err := recording.File()
	if err != nil {
		t.Fatal(err)
	}
	reader, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	found := false
	for record, err := reader.Next(); err == nil; record, err = reader.Next() {
		if record.Kind == capture.KindSend && record.ID == id {
			found = true
		}
	}
	return found
}
