package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/config"
	"reachpulley/internal/filesystem/filesystemtest"
)

// What a trigger kept in the last moment of a gateway is written before it ends.
func TestTriggeredAtTheEnd(t *testing.T) {
	directory := t.TempDir()
	g := Options{Config: &config.Config{Name: "g"}, Operator: &config.Operator{Capture: config.Capture{Directory: directory, MaxTriggered: 5}}, Log: slog.New(slog.DiscardHandler)}
	triggered := make(chan triggeredCapture, mostTriggered)
	for i := range mostTriggered {
		triggered <- triggeredCapture{name: fmt.Sprint("late", i)}
	}
	ended, end := context.WithCancel(context.Background())
	end()
	keepTriggered(ended, g, triggered)
	if files, err := filepath.Glob(filepath.Join(directory, "*-trigger-*.capture")); err != nil || len(files) != mostTriggered {
		t.Error(files, err)
	}
}

// Captures of triggers stay within their number, the oldest going first; nothing else goes.
func TestRemoveOldest(t *testing.T) {
	f := filesystemtest.New()
	for i := range 5 {
		f.Put(fmt.Sprintf("d/decisions-g-2026120%d-trigger-late.capture", i), nil)
	}
	others := []string{"decisions-g-20261201-asked.capture", "decisions-g-000000000001.segment", "decisions-h-20261201-trigger-late.capture", "state-g.capture"}
	for _, name := range others {
		f.Put("d/"+name, nil)
	}
	for range 2 {
		if err := removeOldest(f, "d", "decisions-g-", 2); err != nil {
			t.Fatal(err)
		}
	}
	list, _ := f.List("d")
	var names []string
	for _, info := range list {
		names = append(names, info.Name)
	}
	want := []string{"decisions-g-000000000001.segment", "decisions-g-20261201-asked.capture", "decisions-g-20261203-trigger-late.capture",
		"decisions-g-20261204-trigger-late.capture", "decisions-h-20261201-trigger-late.capture", "state-g.capture"}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Error(diff)
	}
}
