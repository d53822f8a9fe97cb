package whatif

import (
	"bytes"
	"encoding/json"
	"testing"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
)

// readWorkload records a random workload and reads the file back.
func readWorkload(t *testing.T, events int) *Workload {
	t.Helper()
	random := capturetest.NewWorkload(3)
	recorder, err := capture.NewRecorder(capturetest.Settings, 3, capture.Options{MaxBytes: 64 << 20}, random)
	if err != nil {
		t.Fatal(err)
	}
	random.Play(recorder, events)
	file, err := recorder.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	reader, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	workload, err := Read(reader)
	if err != nil {
		t.Fatal(err)
	}
	return workload
}

// Playing a workload with the recorded settings reproduces the arrivals, and gives the same result each time.
func TestPlayIsDeterministic(t *testing.T) {
	workload := readWorkload(t, 4000)
	var results [][]byte
	for range 2 {
		played, err := workload.Play(workload.Head.Settings)
		if err != nil {
			t.Fatal(err)
		}
		for i, class := range played.Classes {
			if recorded := workload.Recorded.Classes[i]; class.Arrived != recorded.Arrived || class.Arrived == 0 {
				t.Errorf("class %d: %d requests arrived, want the recorded number %d",
					i, class.Arrived, recorded.Arrived)
			}
		}
		result, err := json.Marshal(played)
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, result)
	}
	if !bytes.Equal(results[0], results[1]) {
		t.Errorf("results of two plays, want the same:\n%s\n%s", results[0], results[1])
	}
}

// A capture without any response of a node can't be played.
func TestReadWithoutResponses(t *testing.T) {
	header, err := capture.EncodeHeader(&capture.Head{Version: capture.Version, Settings: capturetest.Settings})
	if err != nil {
		t.Fatal(err)
	}
	reader, err := capture.NewReader(bytes.NewReader(header))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Read(reader); err == nil {
		t.Error("a capture without responses was accepted, want an error")
	}
}
