package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"reachpulley/examples"
	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
)

// captureCases run in order, because some read files that others wrote. $DIR stands for the directory of the files that
// newCaptureFiles writes.
var captureCases = []commandCase{
	{
		args: []string{"rooms", "state", "$DIR/whole"},
		code: exitSuccess,
		want: []string{
			"zone  tier  state",
			"responding  silent of those tried",
			"may spill over now:",
			"(this gateway's share of 20.0)",
		},
	},
	{
		args: []string{"capture", "info", "$DIR/whole"},
		code: exitSuccess,
		want: []string{"recorded by test, format 5", "0 gaps", "class", "connect failed"},
	},
	{
		args: []string{"capture", "verify", "$DIR/whole"},
		code: exitSuccess,
		want: []string{"every block whole, 0 gaps"},
	},
	{
		args: []string{"capture", "verify", "--rules", "$DIR/whole"},
		code: exitSuccess,
		want: []string{"drain: checked", "0 violations"},
	},
	{
		args: []string{"replay", "$DIR/other-action"},
		code: exitFailure,
		want: []string{"recorded send", "elsewhere", "node ", "volume "},
	},
	{
		args: []string{"capture", "verify", "$DIR/damaged"},
		code: exitUsage,
		want: []string{"capture: damaged file at byte"},
	},
	{
		args: []string{"capture", "merge", "$DIR/merged", "$DIR/part-a", "$DIR/part-b"},
		code: exitSuccess,
		want: []string{"bytes written"},
	},
	{
		args: []string{"replay", "$DIR/merged"},
		code: exitSuccess,
		want: []string{"replayed twice, every action as recorded"},
	},
	{
		args: []string{"capture", "merge", "$DIR/merged", "$DIR/part-a"},
		code: exitUsage,
		want: []string{"merged: the file exists already"},
	},
	{
		args: []string{"capture", "merge", "$DIR/with-gap", "$DIR/part-a", "$DIR/part-c"},
		code: exitSuccess,
		want: []string{"bytes written"},
	},
	{
		args: []string{"replay", "$DIR/with-gap"},
		code: exitUsage,
		want: []string{"capture: records were lost: 1 gaps"},
	},
	{
		args: []string{"capture", "merge", "$DIR/reversed", "$DIR/part-b", "$DIR/part-a"},
		code: exitUsage,
		want: []string{"part-a: the event at ", " is before the preceding event, at "},
	},
	{
		args: []string{"capture", "cut", "--from", "07:00:05", "--to", "1h0m7s", "$DIR/whole", "$DIR/cut"},
		code: exitSuccess,
		want: []string{"bytes written"},
	},
	{
		args: []string{"replay", "$DIR/cut"},
		code: exitSuccess,
		want: []string{"every action as recorded"},
	},
	{
		args: []string{"capture", "cut", "--from", "1h9m", "$DIR/whole", "$DIR/last-part"},
		code: exitSuccess,
		want: []string{"bytes written"},
	},
	{
		args: []string{"capture", "cut", "--from", "noon", "$DIR/whole", "$DIR/noon"},
		code: exitUsage,
		want: []string{`--from: "noon" is neither`},
	},
	{
		args: []string{"capture", "cut", "--from", "7s", "--to", "6s", "$DIR/whole", "$DIR/none"},
		code: exitUsage,
		want: []string{`--to: "6s" is before --from, "7s"`},
	},
	{
		args: []string{"capture", "export", "$DIR/whole"},
		code: exitSuccess,
		want: []string{`"Kind":"arrived"`, `"Kind":"set-timer"`},
	},
	{
		args: []string{"capture", "hash", "--key", "$DIR/key", "$DIR/whole", "$DIR/hashed"},
		code: exitSuccess,
		want: []string{"bytes written"},
	},
	{
		args: []string{"replay", "$DIR/hashed"},
		code: exitSuccess,
		want: []string{"every action as recorded"},
	},
	{
		args: []string{"capture", "hash", "--key", "$DIR/short-key", "$DIR/whole", "$DIR/hashed-2"},
		code: exitUsage,
		want: []string{"hash key has 5 bytes, less than the minimum of 16"},
	},
}

// captureFiles are the files that commands read.
type captureFiles struct {
	directory string
	whole     string // path of the capture of a random workload
}

// newCaptureFiles writes a capture, each of its parts, variants of it and the other files that commands read.
func newCaptureFiles(t *testing.T) captureFiles {
	t.Helper()
	files := captureFiles{directory: t.TempDir()}
	files.whole = files.path("whole")
	files.writeWorkload(t)
	damaged := []byte(readFile(t, files.whole))
	damaged[len(damaged)-9] ^= 1
	files.write(t, "damaged", damaged, 0o600)
	files.write(t, "other-action", withOtherAction(t, files.whole), 0o600)
	files.write(t, "key", []byte("a key of sixteen bytes\n"), 0o600)
	files.write(t, "short-key", []byte("short"), 0o600)
	files.write(t, "config.json", examples.Config(), 0o600)
	return files
}

func (f captureFiles) path(name string) string { return filepath.Join(f.directory, name) }

func (f captureFiles) write(t *testing.T, name string, content []byte, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(f.path(name), content, mode); err != nil {
		t.Fatal(err)
	}
}

// replacer replaces $DIR and $ID in the cases.
func (f captureFiles) replacer(t *testing.T) *strings.Replacer {
	t.Helper()
	return strings.NewReplacer("$DIR", f.directory, "$ID", sentRequestID(t, f.whole))
}

// writeWorkload records a random workload and writes it as the file "whole", and its parts as "part-a" and so on.
func (f captureFiles) writeWorkload(t *testing.T) {
	t.Helper()
	workload := capturetest.NewWorkload(5)
	sink := &partsSink{}
	recorder, err := capture.NewRecorder(capturetest.Settings, 5, capture.Options{
		Program:  "test",
		MaxBytes: 400_000,
		Sink:     sink,
		Origin:   time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC),
	}, workload)
	if err != nil {
		t.Fatal(err)
	}
	workload.Play(recorder, 4000)
	recorder.Flush(time.Hour)
	if len(sink.parts) < 4 {
		t.Fatalf("the workload was recorded in %d parts, want at least 4", len(sink.parts))
	}
	head, err := capture.EncodeHeader(sink.head)
	if err != nil {
		t.Fatal(err)
	}
	whole := append([]byte{}, head...)
	for i, part := range sink.parts {
		whole = capture.AppendBlock(whole, part, true)
		name := "part-" + string(rune('a'+i))
		f.write(t, name, capture.AppendBlock(append([]byte{}, head...), part, true), 0o600)
	}
	f.write(t, "whole", whole, 0o600)
}

// partsSink collects the parts of a capture.
type partsSink struct {
	head  *capture.Head
	parts [][]byte
}

// Offer implements capture.Sink.
func (s *partsSink) Offer(chunk capture.Chunk) bool {
	s.head = chunk.Head
	if chunk.StartsPart {
		s.parts = append(s.parts, nil)
	}
	last := &s.parts[len(s.parts)-1]
	*last = append(*last, chunk.Frames...)
	return true
}

// withOtherAction returns the capture at path with one action changed: a request is sent to another node than the
// scheduler decides.
func withOtherAction(t *testing.T, path string) []byte {
	t.Helper()
	file, reader, err := openCapture(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var all []capture.Record
	isChanged := false
	for record, err := range records(reader) {
		if err != nil {
			t.Fatal(err)
		}
		if record.Kind == capture.KindSend && len(all) > 600 && !isChanged {
			record.Node = "elsewhere"
			isChanged = true
		}
		all = append(all, *record)
	}
	content, err := capture.Compress(reader.Head, all)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// sentRequestID returns the id of the first request that was sent to a node.
func sentRequestID(t *testing.T, path string) string {
	t.Helper()
	file, reader, err := openCapture(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for record, err := range records(reader) {
		if err != nil {
			t.Fatal(err)
		}
		if record.Kind == capture.KindSend {
			return record.ID
		}
	}
	t.Fatalf("%s: no request was sent to a node", path)
	return ""
}

func TestCaptureCommands(t *testing.T) {
	files := newCaptureFiles(t)
	runCommandCases(t, captureCases, files.replacer(t))
	_, export, _ := runCommand(t, nil, "capture", "export", files.whole)
	for i, line := range strings.Split(strings.TrimSpace(export), "\n") {
		if !json.Valid([]byte(line)) {
			t.Fatalf("line %d of the export is not valid JSON: %s", i+1, line)
		}
	}
}
