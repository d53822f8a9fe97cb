package segment

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/filesystem/filesystemtest"
)

func TestRotationBySizeAndAge(t *testing.T) {
	for name, limits := range map[string]Limits{
		"size": {Size: 3000, Age: time.Hour, Total: 1 << 20},
		"age":  {Size: 1 << 20, Age: 20 * time.Second, Total: 1 << 24},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, filesystemtest.New(), limits)
			f.record(3000)
			f.finish()
			events, gaps := replayAll(t, f.fs)
			if len(f.writer.files) < 3 || events != 3000 || gaps > 0 {
				t.Errorf("%d segments with %d events and %d gaps, want at least 3 with 3000 events and no gap",
					len(f.writer.files), events, gaps)
			}
		})
	}
}

// The oldest segments are removed first. The remaining ones stay within the limit and can be replayed.
func TestTotalSizeIsBounded(t *testing.T) {
	f := newFixture(t, filesystemtest.New(), Limits{Size: 3000, Age: time.Hour, Total: 20_000})
	f.record(6000)
	f.finish()
	segments := list(t, f.fs)
	total := int64(0)
	for _, info := range segments {
		total += info.Size
	}
	// A segment ends at the first part that begins beyond its size, so each may be longer by one part.
	const maxTotal = 30_000
	events, gaps := replayAll(t, f.fs)
	if events == 0 || events >= 6000 || gaps > 0 || total > maxTotal || segments[0].Name == names.File(1) {
		t.Errorf("%d events, %d gaps and %d bytes from segment %q on; want the newest events without a gap in %d bytes",
			events, gaps, total, segments[0].Name, maxTotal)
	}
}

// A full disk pauses the recording with a log line. While the disk is full, the writer rarely tries to write. When the
// disk has space again, the recording resumes after a gap.
func TestFullDisk(t *testing.T) {
	fs := filesystemtest.New()
	fs.Capacity = 6000
	f := newFixture(t, fs, Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 21})
	f.record(3000)
	if lines := strings.Count(f.log.String(), "recording to disk paused"); lines == 0 || lines > 20 {
		t.Errorf("%d log lines about the pause, want 1 to 20:\n%s", lines, f.log.String())
	}
	eventsWhileFull, _ := replayAll(t, fs)
	fs.Capacity = 0
	f.record(3000)
	f.finish()
	events, gaps := replayAll(t, fs)
	if eventsWhileFull == 0 || events <= eventsWhileFull || gaps == 0 ||
		!strings.Contains(f.log.String(), "recording to disk resumed") {
		t.Errorf("%d events while the disk was full, then %d with %d gaps; want more events after a gap; log:\n%s",
			eventsWhileFull, events, gaps, f.log.String())
	}
}

// After a failed sync it is not known which bytes reached the disk, so the segment ends with those that were synced
// before.
func TestFailedSync(t *testing.T) {
	for failing := 1; failing < 40; failing++ {
		t.Run(fmt.Sprint("sync ", failing), func(t *testing.T) {
			fs := filesystemtest.New()
			fs.FailSyncNumber = failing
			f := newFixture(t, fs, Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 21})
			f.record(2000)
			f.finish()
			restarted := fs.Restart(0)
			if events, _ := replayAll(t, restarted); events < 500 {
				t.Errorf("%d events replayed, want at least 500", events)
			}
			for _, info := range list(t, restarted) {
				checkComplete(t, restarted, info)
			}
		})
	}
}

// A writer that does not keep up loses records but never blocks the recorder. Gaps take the place of the lost records.
func TestSlowDisk(t *testing.T) {
	f := newFixture(t, filesystemtest.New(), Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 24})
	for range 3000 {
		f.now += 2 * time.Second
		f.recordRequest(0)
	}
	if len(f.writer.queue) > maxQueuedChunks || f.writer.queuedBytes.Load() > maxQueuedBytes {
		t.Errorf("%d chunks with %d bytes are queued, want at most %d with %d bytes",
			len(f.writer.queue), f.writer.queuedBytes.Load(), maxQueuedChunks, maxQueuedBytes)
	}
	f.writer.drain()
	if left := f.writer.queuedBytes.Load(); left != 0 {
		t.Errorf("%d bytes are queued after the queue was drained, want 0", left)
	}
	f.record(2000)
	f.finish()
	events, gaps := replayAll(t, f.fs)
	if gaps == 0 || events < 1500 || events >= 8000 {
		t.Errorf("%d events and %d gaps, want 1500 to 7999 events and at least one gap", events, gaps)
	}
}

func TestRunWritesWhatWasOffered(t *testing.T) {
	f := newFixture(t, filesystemtest.New(), Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 21})
	f.writer.options.Now = time.Now // the fixture's clock belongs to the goroutine of the test
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.writer.Run(ctx)
	}()
	for range 30 {
		f.now += time.Second
		f.recorder.ClientDisconnected(f.now, "nobody")
	}
	f.recorder.Flush(f.now)
	cancel()
	<-done
	if events, gaps := replayAll(t, f.fs); events != 30 || gaps > 0 {
		t.Errorf("%d events and %d gaps, want 30 events and no gap", events, gaps)
	}
}

// BenchmarkRecover measures the start of a writer after a segment of the default size with an incomplete end.
func BenchmarkRecover(b *testing.B) {
	segment, err := capture.EncodeHeader(&capture.Head{Version: capture.Version, Settings: settings})
	if err != nil {
		b.Fatal(err)
	}
	frames := make([]byte, 64<<10)
	for i := range frames {
		frames[i] = byte(i * i >> 3)
	}
	for len(segment) < 8<<20 {
		segment = capture.AppendBlock(segment, frames, true)
	}
	segment = segment[:len(segment)-100]
	limits := Limits{Size: 8 << 20, Age: time.Hour, Total: 64 << 20}
	for b.Loop() {
		b.StopTimer()
		fs := filesystemtest.New()
		fs.Put(pathOf(1), segment)
		b.StartTimer()
		newWriter(b, fs, limits, nil, slog.New(slog.DiscardHandler))
	}
}
