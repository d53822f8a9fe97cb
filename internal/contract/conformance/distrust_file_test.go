package conformance

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/filesystem"
	"reachpulley/internal/filesystem/filesystemtest"
	"reachpulley/internal/trust"
	"reachpulley/scheduler"
)

var record = trust.Record{
	Operation: "PUT /s/{x}",
	Node:      "n",
	State:     "distrusted",
	Level:     "avoided",
	HoldMs:    30_000,
	Weight:    12,
	Worst:     "repeat-ran",
	Counts:    map[string]int{"repeat-ran": 3},
	Responses: 9,
}

// saveRecord saves record the given number of times through a DistrustStore, and ends the store. It returns the log.
func saveRecord(fs filesystem.FS, path string, times int) string {
	var log bytes.Buffer
	store := NewDistrustStore(fs, path, slog.New(slog.NewTextHandler(&log, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		store.Run(ctx)
	}()
	for range times {
		store.Save([]trust.Record{record})
	}
	cancel()
	<-ended
	return log.String()
}

// Records survive a restart. An unusable file is set aside, and a failing write is logged once.
func TestDistrustRecordsSurviveARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "doubts.json")
	saveRecord(filesystem.OS{}, path, 3)
	records, age := NewDistrustStore(filesystem.OS{}, path, slog.New(slog.DiscardHandler)).Load()
	if diff := cmp.Diff([]trust.Record{record}, records); diff != "" || age > time.Minute {
		t.Errorf("age %v, want at most a minute; records (-want +got):\n%s", age, diff)
	}
	t.Run("the scheduler is notified", func(t *testing.T) {
		var notified []scheduler.Restriction
		o := New(Options{
			MaxRestriction: scheduler.AvoidNode,
			Notify:         func(r scheduler.Restriction) { notified = append(notified, r) },
			Log:            slog.New(slog.DiscardHandler),
		}, records, age)
		if len(notified) > 0 {
			t.Errorf("notified of %+v before NotifyRestored, want nothing", notified)
		}
		o.NotifyRestored()
		if len(notified) != 1 || notified[0].Level != scheduler.AvoidNode {
			t.Errorf("notified of %+v, want one restriction of level AvoidNode", notified)
		}
	})
	t.Run("an unusable file is set aside", func(t *testing.T) {
		if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
			t.Fatal(err)
		}
		var log bytes.Buffer
		records, _ := NewDistrustStore(filesystem.OS{}, path, slog.New(slog.NewTextHandler(&log, nil))).Load()
		if records != nil || !strings.Contains(log.String(), "set aside") {
			t.Errorf("records %v, log %q; want no records and a warning", records, log.String())
		}
		if _, err := os.Stat(path + ".set-aside"); err != nil {
			t.Errorf("the file under its new name: error %v, want none", err)
		}
	})
	t.Run("a full disk is reported once", func(t *testing.T) {
		full := filesystemtest.New()
		full.PowerLossAfter = 0
		if log := saveRecord(full, path, 1); strings.Count(log, "distrust file not written") != 1 {
			t.Errorf("log %q, want one warning", log)
		}
	})
}
