package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/filesystem/filesystemtest"
)

// Captures of triggers that are still queued when the recording ends are written before the gateway ends.
func TestTriggeredCapturesAreWrittenAtTheEnd(t *testing.T) {
	files := &captureFiles{
		directory:    t.TempDir(),
		gatewayName:  "g",
		maxTriggered: 5,
		triggered:    make(chan triggeredCapture, maxQueuedCaptures),
		log:          slog.New(slog.DiscardHandler),
	}
	for i := range maxQueuedCaptures {
		files.triggered <- triggeredCapture{trigger: fmt.Sprint("late", i)}
	}
	recorded, endRecording := context.WithCancel(context.Background())
	endRecording()
	files.runTriggered(recorded)
	written, err := filepath.Glob(filepath.Join(files.directory, "*-trigger-*.capture"))
	if err != nil || len(written) != maxQueuedCaptures {
		t.Errorf("%d captures written, want %d: %v, %v", len(written), maxQueuedCaptures, written, err)
	}
}

// Captures of triggers are limited in number, and the oldest are removed first. No other file is removed.
func TestOldestTriggeredCapturesAreRemoved(t *testing.T) {
	fs := filesystemtest.New()
	for i := range 5 {
		fs.Put(fmt.Sprintf("d/decisions-g-2026120%d-trigger-late.capture", i), nil)
	}
	for _, other := range []string{
		"decisions-g-20261201-asked.capture",
		"decisions-g-000000000001.segment",
		"decisions-h-20261201-trigger-late.capture",
		"state-g.capture",
	} {
		fs.Put("d/"+other, nil)
	}
	for range 2 {
		if err := removeOldestTriggered(fs, "d", "decisions-g-", 2); err != nil {
			t.Fatal(err)
		}
	}
	files, err := fs.List("d")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range files {
		names = append(names, file.Name)
	}
	want := []string{
		"decisions-g-000000000001.segment",
		"decisions-g-20261201-asked.capture",
		"decisions-g-20261203-trigger-late.capture",
		"decisions-g-20261204-trigger-late.capture",
		"decisions-h-20261201-trigger-late.capture",
		"state-g.capture",
	}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Errorf("files after the removal (-want +got):\n%s", diff)
	}
}
