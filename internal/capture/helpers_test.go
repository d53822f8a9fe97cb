package capture

import (
	"bytes"
	"flag"
	"io"

	"reachpulley/internal/capture/capturetest"
)

// Every run draws the same cases.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "30") // recordings are long, and longer under the race detector
}

var settings = capturetest.Settings

// testingT is what the helpers need of a *testing.T, *testing.B, *testing.F or *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// record records a random workload.
func record(t testingT, seed uint64, events, maxBytes int) *Recorder {
	t.Helper()
	workload := capturetest.NewWorkload(seed)
	r, err := NewRecorder(settings, seed, Options{Program: "test", MaxBytes: maxBytes}, workload)
	if err != nil {
		t.Fatal(err)
	}
	workload.Play(r, events)
	return r
}

// fileOf returns what a recorder holds as a capture file.
func fileOf(t testingT, r *Recorder) []byte {
	t.Helper()
	file, err := r.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// recordFile records a random workload and returns it as a capture file.
func recordFile(t testingT, seed uint64, events, maxBytes int) []byte {
	t.Helper()
	return fileOf(t, record(t, seed, events, maxBytes))
}

// writeFile returns records as an uncompressed capture file.
func writeFile(t testingT, head Head, records []Record) []byte {
	t.Helper()
	var file bytes.Buffer
	if err := Write(&file, head, records); err != nil {
		t.Fatal(err)
	}
	return file.Bytes()
}

// openFile returns a Reader of a capture file.
func openFile(t testingT, file []byte) *Reader {
	t.Helper()
	reader, err := NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	return reader
}

// readFile returns the head and the records of a capture file.
func readFile(t testingT, file []byte) (Head, []Record) {
	t.Helper()
	reader := openFile(t, file)
	var records []Record
	for {
		record, err := reader.Next()
		if err == io.EOF {
			return reader.Head, records
		}
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, *record)
	}
}

// replayFile replays a capture file.
func replayFile(file []byte) (events int, err error) {
	reader, err := NewReader(bytes.NewReader(file))
	if err != nil {
		return 0, err
	}
	return Replay(reader)
}
