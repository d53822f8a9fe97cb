package segment

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"go.uber.org/goleak"

	"reachpulley/internal/capture"
	"reachpulley/internal/filesystem"
	"reachpulley/internal/filesystem/filesystemtest"
	"reachpulley/scheduler"
)

func init() { flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const directory = "d"

var names = FilePrefixOf("gate 1")

// pathOf returns the path of a segment.
func pathOf(number uint64) string { return directory + "/" + names.File(number) }

var settings = scheduler.Settings{
	Siblings: 1,
	Classes: []scheduler.Class{
		{Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
	},
}

// discardActions does not carry out any action.
var discardActions = capture.RecordActions(func(capture.Record) {})

func newRecorder(t *testing.T, maxBytes int, sink capture.Sink) *capture.Recorder {
	t.Helper()
	options := capture.Options{MaxBytes: maxBytes, Sink: sink}
	recorder, err := capture.NewRecorder(settings, 1, options, discardActions)
	if err != nil {
		t.Fatal(err)
	}
	return recorder
}

func newWriter(t testing.TB, fs filesystem.FS, limits Limits, now func() time.Time, log *slog.Logger) *Writer {
	t.Helper()
	writer, err := New(Options{
		FS:         fs,
		Directory:  directory,
		FilePrefix: names,
		Limits:     limits,
		Now:        now,
		Log:        log,
	})
	if err != nil {
		t.Fatal(err)
	}
	return writer
}

// fixture is a recorder whose sink is a writer on an in-memory file system.
type fixture struct {
	fs       *filesystemtest.FS
	writer   *Writer
	recorder *capture.Recorder
	now      time.Duration
	log      bytes.Buffer
	requests int // number of requests that were recorded
}

func newFixture(t *testing.T, fs *filesystemtest.FS, limits Limits) *fixture {
	t.Helper()
	f := &fixture{fs: fs}
	now := func() time.Time { return time.Unix(0, 0).Add(f.now) }
	f.writer = newWriter(t, fs, limits, now, slog.New(slog.NewTextHandler(&f.log, nil)))
	f.recorder = newRecorder(t, 64<<10, f.writer)
	return f
}

// record records this number of events, twenty in a second. After every two events, the writer writes the chunks that
// it was offered.
func (f *fixture) record(events int) {
	for range events / 2 {
		f.now += 100 * time.Millisecond
		f.recordRequest(f.requests % 7)
		f.writer.drain()
	}
}

// recordRequest records a request whose client disconnects, so that the state does not grow.
func (f *fixture) recordRequest(volume int) {
	f.requests++
	id := fmt.Sprint("request-", f.requests)
	f.recorder.RequestArrived(f.now, scheduler.Request{
		ID:            id,
		Volume:        fmt.Sprint("volume-", volume),
		Units:         1,
		ClientTimeout: time.Second,
	})
	f.recorder.ClientDisconnected(f.now, id)
}

// finish writes all recorded events that were not written yet, and closes the segment.
func (f *fixture) finish() {
	f.recorder.Flush(f.now)
	f.writer.drain()
	f.writer.closeSegment()
}

// list returns the files of a file system.
func list(t testing.TB, fs *filesystemtest.FS) []filesystem.Info {
	t.Helper()
	files, err := fs.List(directory)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// replayAll replays all segments of a file system as one capture.
func replayAll(t *testing.T, fs *filesystemtest.FS) (events, gaps int) {
	t.Helper()
	file := joinSegments(t, fs)
	if len(file) == 0 {
		return 0, 0
	}
	reader, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	player := capture.NewPlayer(reader)
	for {
		_, err := player.Next()
		if errors.Is(err, io.EOF) {
			return events, player.Gaps
		}
		if err != nil {
			t.Fatalf("replay after %d events: %v", events, err)
		}
		events++
	}
}

// joinSegments returns all segments of a file system as one capture with the header of the first segment.
func joinSegments(t *testing.T, fs *filesystemtest.FS) (file []byte) {
	t.Helper()
	for i, info := range list(t, fs) {
		content := fs.Content(directory + "/" + info.Name)
		if i > 0 {
			reader, err := capture.NewReader(bytes.NewReader(content))
			if err != nil {
				t.Fatalf("segment %q: %v", info.Name, err)
			}
			header, err := capture.EncodeHeader(&reader.Head)
			if err != nil {
				t.Fatal(err)
			}
			content = content[len(header):]
		}
		file = append(file, content...)
	}
	return file
}

// checkComplete checks that a segment consists of complete frames.
func checkComplete(t *testing.T, fs *filesystemtest.FS, segment filesystem.Info) {
	t.Helper()
	content := fs.Content(directory + "/" + segment.Name)
	complete, err := capture.CompleteLength(bytes.NewReader(content))
	if err != nil || complete != segment.Size {
		t.Errorf("segment %q: %d bytes in complete frames, want %d; error: %v",
			segment.Name, complete, segment.Size, err)
	}
}
