package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/internal/capture/invariants"
	"reachpulley/internal/contract/conformance"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/trust"
	"reachpulley/internal/warmrestart"
	"reachpulley/scheduler"
)

// The files under storedDirectory were written by the program of commit 6bf5e3d, before names were changed in the
// source. They come from a real gateway in front of the demo's nodes, and from a random day with every kind of record.
// Captures have format 5, states have version 4.
const storedDirectory = "testdata/format5"

func storedFile(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(storedDirectory, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Guards against a change of a name in the source that renames a key of a stored map or moves a stored field. Each
// stored capture must be readable and replayable and violate as many invariants as before. Written again, it must have
// the bytes that the program which recorded it would have written.
func TestStoredCapturesReplay(t *testing.T) {
	for _, stored := range []struct {
		name       string
		events     int
		violations int
		rewritten  string // SHA-256 of the uncompressed capture of the same records, by the program that recorded it
	}{
		{"demo.capture", 291, 0, "0aa75fb398d4b8e84ddc45f7c0bde9810398e5cba438118f60d9e1a21adbee53"},
		{"demo.segment", 338, 0, "0313ee573636169b2f6a55dd9ac43201245bdb3f8b3388049a6d4c50cbc611a9"},
		{"state-demo.capture", 0, 0, "6cd838c1198a956156d75061e11576816fc7586c161fb22098cfa701e9035bfe"},
		{"state-random.capture", 0, 0, "008a74e2149959ec42999d72886c8d6594600970f8daf5eaef9b5e9b5b8f9ee2"},
		{"random-day.capture", 353, 15, "f2a2bc0d9c6a8901cd7c986a9f6af6761eb69bd540579380bf279d62b8cb0c01"},
	} {
		t.Run(stored.name, func(t *testing.T) {
			content := storedFile(t, stored.name)
			if events, err := replayStored(content); err != nil || events != stored.events {
				t.Errorf("%d events replayed, want %d: %v", events, stored.events, err)
			}
			if violations := countViolations(t, content); violations != stored.violations {
				t.Errorf("%d violations, want %d", violations, stored.violations)
			}
			sum := sha256.Sum256(rewrite(t, content))
			if got := hex.EncodeToString(sum[:]); got != stored.rewritten {
				t.Errorf("SHA-256 of the rewritten capture is %s, want %s", got, stored.rewritten)
			}
		})
	}
}

// replayStored replays a capture and returns the number of its events.
func replayStored(content []byte) (events int, err error) {
	reader, err := capture.NewReader(bytes.NewReader(content))
	if err != nil {
		return 0, err
	}
	return capture.Replay(reader)
}

// countViolations counts the violations of invariants in a capture.
func countViolations(t *testing.T, content []byte) (violations int) {
	t.Helper()
	reader, err := capture.NewReader(bytes.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	player, checker := capture.NewPlayer(reader), invariants.New(reader.Head.Settings)
	for {
		step, err := player.Next()
		if errors.Is(err, io.EOF) {
			return violations
		}
		if err != nil {
			t.Fatal(err)
		}
		violations += len(checker.Step(step))
	}
}

// rewrite reads all records of a capture and writes them as an uncompressed capture.
func rewrite(t *testing.T, content []byte) []byte {
	t.Helper()
	reader, err := capture.NewReader(bytes.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	var records []capture.Record
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, *record)
	}
	var out bytes.Buffer
	if err := capture.Write(&out, reader.Head, records); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Each stored state must be readable with the settings with which it was written. The numbers of nodes and volumes that
// Assess restores from it must be those that the program that wrote it would have restored.
func TestStoredStatesAreRestored(t *testing.T) {
	demo, err := capture.NewReader(bytes.NewReader(storedFile(t, "state-demo.capture")))
	if err != nil {
		t.Fatal(err)
	}
	for _, stored := range []struct {
		name     string
		settings scheduler.Settings
		nodes    int // number of nodes whose state is restored
		known    int // number of restored nodes that also have their estimates restored
		volumes  int // number of volumes whose state is restored
	}{
		{"state-demo.capture", demo.Head.Settings, 2, 2, 1},
		{"state-random.capture", capturetest.Settings, 4, 4, 5},
	} {
		t.Run(stored.name, func(t *testing.T) {
			store := &warmrestart.Store{
				FS:   filesystem.OS{},
				Path: filepath.Join(storedDirectory, stored.name),
				Log:  slog.New(slog.DiscardHandler),
			}
			state, _ := store.Load(stored.settings)
			if state == nil {
				t.Fatalf("the stored state %q could not be read", store.Path)
			}
			const now, age = time.Hour, 3 * time.Second
			assessment := warmrestart.Assess(state, stored.settings, now, age, now-age-state.Now)
			if nodes := len(assessment.Learned.Nodes); nodes != stored.nodes {
				t.Errorf("%d nodes restored, want %d", nodes, stored.nodes)
			}
			if assessment.KnownNodes != stored.known {
				t.Errorf("estimates of %d nodes restored, want %d", assessment.KnownNodes, stored.known)
			}
			if volumes := len(assessment.Learned.Volumes); volumes != stored.volumes {
				t.Errorf("%d volumes restored, want %d", volumes, stored.volumes)
			}
		})
	}
}

// The stored distrust file is read and restored as a whole. Written again, it has the same JSON.
func TestStoredDistrustFileIsRestored(t *testing.T) {
	content := storedFile(t, "distrust.json")
	file, err := conformance.ReadDistrustFile(filesystem.OS{}, filepath.Join(storedDirectory, "distrust.json"))
	if err != nil {
		t.Fatal(err)
	}
	changes, err := trust.New(scheduler.AvoidNode).Restore(time.Hour, file.Records, time.Second)
	if err != nil || len(file.Records) != 2 || len(changes) != 2 {
		t.Errorf("%d records, %d changes of trust, error %v; want 2, 2 and none", len(file.Records), len(changes), err)
	}
	rewritten, err := json.MarshalIndent(file, "", "  ")
	if err != nil || !bytes.Equal(append(rewritten, '\n'), content) {
		t.Errorf("rewritten file: error %v, got\n%s\nwant\n%s", err, rewritten, content)
	}
}
