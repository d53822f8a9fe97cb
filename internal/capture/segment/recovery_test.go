package segment

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/filesystem/filesystemtest"
)

// chunkList is a sink that takes every chunk.
type chunkList struct{ chunks []capture.Chunk }

func (l *chunkList) Offer(chunk capture.Chunk) bool {
	l.chunks = append(l.chunks, chunk)
	return true
}

// After a power loss at any byte, the segments on the disk can be replayed from their beginning, and the next
// incarnation continues after them.
func TestPowerLossAtEveryByte(t *testing.T) {
	limits := Limits{Size: 1500, Age: time.Hour, Total: 1 << 20}
	const recordedEvents = 70
	chunks := recordChunks(t, recordedEvents, limits)
	events, segments := 0, 0
	for lossAt := 0; events < recordedEvents; lossAt++ {
		fs := filesystemtest.New()
		fs.PowerLossAfter = lossAt
		writer := newPowerLossWriter(t, fs, limits)
		for _, chunk := range chunks {
			writer.write(chunk)
		}
		for _, unsyncedBytes := range []int{0, 30} {
			restarted := fs.Restart(unsyncedBytes)
			checkRecovery(t, restarted, limits)
			if lossAt%50 > 0 { // replaying each time would take most of the test's time
				continue
			}
			name := fmt.Sprintf("power loss after byte %d, %d unsynced bytes kept", lossAt, unsyncedBytes)
			found, files := continueRecording(t, name, restarted, limits)
			if found < events {
				t.Fatalf("%s: %d events, want at least the %d after an earlier power loss", name, found, events)
			}
			if unsyncedBytes == 0 {
				events, segments = found, files
			}
		}
	}
	if segments < 2 {
		t.Errorf("%d segments after the last power loss, want at least 2", segments)
	}
}

// recordChunks records events and returns the chunks that are offered to a sink.
func recordChunks(t *testing.T, events int, limits Limits) []capture.Chunk {
	t.Helper()
	sink := &chunkList{}
	f := newFixture(t, filesystemtest.New(), limits)
	f.recorder = newRecorder(t, 8<<10, sink)
	f.record(events)
	f.recorder.Flush(f.now)
	return sink.chunks
}

func newPowerLossWriter(t *testing.T, fs filesystem.FS, limits Limits) *Writer {
	t.Helper()
	now := func() time.Time { return time.Unix(0, 0) }
	return newWriter(t, fs, limits, now, slog.New(slog.DiscardHandler))
}

// checkRecovery starts a writer after a power loss and checks that the newest segment then ends with a complete frame.
func checkRecovery(t *testing.T, fs *filesystemtest.FS, limits Limits) {
	t.Helper()
	newPowerLossWriter(t, fs, limits)
	if segments := list(t, fs); len(segments) > 0 {
		checkComplete(t, fs, segments[len(segments)-1])
	}
	if t.Failed() {
		t.FailNow()
	}
}

// continueRecording checks that the segments of a file system can be replayed without a gap, and that the next
// incarnation records after them. It returns the numbers of events and of segments that it found.
func continueRecording(t *testing.T, name string, fs *filesystemtest.FS, limits Limits) (events, segments int) {
	t.Helper()
	segments = len(list(t, fs))
	next := newFixture(t, fs, limits)
	events, gaps := replayAll(t, fs)
	if gaps > 0 {
		t.Fatalf("%s: %d gaps, want none", name, gaps)
	}
	next.record(100)
	next.finish()
	if len(list(t, fs)) == 0 {
		t.Fatalf("%s: no segments after the next incarnation, want at least one", name)
	}
	return events, segments
}

// A file that is not a segment stays unchanged. A file that has the name of a segment but can't be read is neither
// removed nor emptied, and the recording continues in a new segment.
func TestForeignFilesStayUnchanged(t *testing.T) {
	fs := filesystemtest.New()
	fs.Put(pathOf(7), []byte("something that somebody else has put here"))
	fs.Put(directory+"/notes.txt", []byte("mine"))
	f := newFixture(t, fs, Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 21})
	f.record(50)
	f.finish()
	if string(fs.Content(directory+"/notes.txt")) != "mine" ||
		len(fs.Content(pathOf(7))) == 0 || len(fs.Content(pathOf(8))) == 0 {
		files, err := fs.List(directory)
		t.Errorf("files: %v, error: %v; want notes.txt unchanged, segment 7 not empty and a new segment 8", files, err)
	}
	if !strings.Contains(f.log.String(), "unreadable segment left unchanged") {
		t.Errorf("log without the unreadable segment that was left unchanged:\n%s", f.log.String())
	}
}
