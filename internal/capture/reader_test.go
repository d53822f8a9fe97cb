package capture

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

// Records that were read can be written again, and no part of a record is lost by that.
func TestRewrittenCaptureIsTheSame(t *testing.T) {
	head, records := readFile(t, recordFile(t, 5, 500, 16<<20))
	if diff := cmp.Diff(settings, head.Settings); diff != "" {
		t.Errorf("settings of the head (-want +got):\n%s", diff)
	}
	second := writeFile(t, head, records)
	_, recordsAgain := readFile(t, second)
	third := writeFile(t, head, recordsAgain)
	if len(recordsAgain) != len(records) || !bytes.Equal(second, third) {
		t.Errorf("capture rewritten twice: %d records, then %d, same bytes: %t; want the same records and bytes",
			len(records), len(recordsAgain), bytes.Equal(second, third))
	}
	if events, err := replayFile(third); err != nil || events == 0 {
		t.Errorf("%d events of the rewritten capture replayed, want some; error: %v", events, err)
	}
}

// A capture that is cut off at any byte gives all complete records before it, and an error that says how it ends.
func TestReadCaptureCutOffAtEveryByte(t *testing.T) {
	head, records := readFile(t, recordFile(t, 9, 40, 16<<20))
	whole := writeFile(t, head, records)
	cleanEnds, lastCount := 0, 0
	for length := range whole {
		reader, err := NewReader(bytes.NewReader(whole[:length]))
		if err != nil {
			if !errors.Is(err, ErrTruncated) {
				t.Fatalf("cut off at byte %d: NewReader: %v, want %v", length, err, ErrTruncated)
			}
			continue
		}
		count := 0
		for err == nil {
			if _, err = reader.Next(); err == nil {
				count++
			}
		}
		if err == io.EOF {
			cleanEnds++
		} else if !errors.Is(err, ErrDamaged) {
			t.Fatalf("cut off at byte %d: Next: %v, want %v", length, err, ErrDamaged)
		}
		if count < lastCount {
			t.Fatalf("cut off at byte %d: %d records, but %d when cut off one byte earlier", length, count, lastCount)
		}
		lastCount = count
	}
	if cleanEnds != lastCount+1 {
		t.Errorf("%d lengths end without an error, want %d: one after the head and after each record",
			cleanEnds, lastCount+1)
	}
}

func TestUnreadableCaptures(t *testing.T) {
	newer, err := appendFrame([]byte(magic), Head{Version: Version + 1})
	if err != nil {
		t.Fatal(err)
	}
	damaged := recordFile(t, 1, 20, 16<<20)
	damaged[len(damaged)-1] ^= 1
	for name, test := range map[string]struct {
		file []byte
		want error
	}{
		"another kind of file": {[]byte("not a capture, but longer than the magic"), ErrNotCapture},
		"newer version":        {newer, ErrVersion},
		"damaged":              {damaged, ErrDamaged},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := replayFile(test.file); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

func FuzzReader(f *testing.F) {
	f.Add(recordFile(f, 1, 30, 16<<20))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, file []byte) { replayFile(file) })
}

// A Scheduler that is resumed from a state must not panic, whatever the state contains, if the indexes in it are
// valid.
func FuzzSnapshot(f *testing.F) {
	for seed := range uint64(3) {
		state := record(f, seed, 200, 16<<20).Scheduler.Snapshot()
		state.Rejected = nil
		state.Volumes[0].Name = "v"
		encoded, err := encoding.Marshal(Record{Kind: KindSnapshot, State: state})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var record Record
		if decoding.Unmarshal(encoded, &record) != nil || record.State == nil {
			return
		}
		workload := capturetest.NewWorkloadAt(1, record.State.Now)
		resumed, err := scheduler.Resume(settings, record.State, workload)
		if err != nil {
			return
		}
		workload.Play(resumed, 100)
	})
}
