package segment

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"reachpulley/internal/capture"
	"reachpulley/internal/filesystem/filesystemtest"
	"reachpulley/scheduler"
)

func init() { flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var names = NamesOf("gate 1")

var settings = scheduler.Settings{Siblings: 1, Classes: []scheduler.Class{{Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}}}

// bench is a recorder on a writer on a disk of the test's.
type bench struct {
	t   *testing.T
	fs  *filesystemtest.FS
	w   *Writer
	r   *capture.Recorder
	now time.Duration
	log bytes.Buffer
	n   int
}

// nothing carries no action out.
var nothing = capture.RecordActions(func(capture.Record) {})

func newBench(t *testing.T, fs *filesystemtest.FS, limits Limits) *bench {
	t.Helper()
	b := &bench{t: t, fs: fs}
	var err error
	b.w, err = New(Options{FS: fs, Directory: "d", Names: names, Limits: limits, Log: slog.New(slog.NewTextHandler(&b.log, nil)),
		Now: func() time.Time { return time.Unix(0, 0).Add(b.now) }})
	if err != nil {
		t.Fatal(err)
	}
	b.r, err = capture.NewRecorder(settings, 1, capture.Options{MaxBytes: 64 << 10, Sink: b.w}, nothing)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// run tells so many events, twenty a second, and has the writer write what it was offered after each.
func (b *bench) run(events int) {
	for range events / 2 {
		b.now += 100 * time.Millisecond
		b.n++
		b.r.RequestArrived(b.now, scheduler.Request{ID: fmt.Sprint("request-", b.n), Volume: fmt.Sprint("volume-", b.n%7), Units: 1, ClientTimeout: time.Second})
		b.r.ClientDisconnected(b.now, fmt.Sprint("request-", b.n))
		b.drain()
	}
}

func (b *bench) drain() {
	for len(b.w.queue) > 0 {
		b.w.take(<-b.w.queue)
	}
}

func (b *bench) finish() {
	b.r.Flush(b.now)
	b.drain()
	b.w.close()
}

// played replays every segment that is on a disk; a cut at the end of the newest is all that may be wrong with them.
func played(t *testing.T, fs *filesystemtest.FS) (events, gaps int) {
	t.Helper()
	list, _ := fs.List("d")
	var all bytes.Buffer
	for i, info := range list {
		content := fs.Content("d/" + info.Name)
		if i > 0 {
			c, err := capture.NewReader(bytes.NewReader(content))
			if err != nil {
				t.Fatal(info.Name, err)
			}
			head, _ := capture.EncodeHeader(&c.Head)
			content = content[len(head):]
		}
		all.Write(content)
	}
	if all.Len() == 0 {
		return 0, 0
	}
	c, err := capture.NewReader(&all)
	if err != nil {
		t.Fatal(err)
	}
	p := capture.NewPlayer(c)
	for {
		_, err := p.Next()
		if errors.Is(err, io.EOF) {
			return events, p.Gaps
		}
		if err != nil {
			t.Fatalf("after %d events: %v", events, err)
		}
		events++
	}
}

func TestRotateBySizeAndAge(t *testing.T) {
	for name, limits := range map[string]Limits{"size": {Size: 3000, Age: time.Hour, Total: 1 << 20}, "age": {Size: 1 << 20, Age: 20 * time.Second, Total: 1 << 24}} {
		b := newBench(t, filesystemtest.New(), limits)
		b.run(3000)
		b.finish()
		if n, gaps := played(t, b.fs); len(b.w.segments) < 3 || n != 3000 || gaps > 0 {
			t.Errorf("%s: %d segments, %d events, %d gaps", name, len(b.w.segments), n, gaps)
		}
	}
}

// The oldest go first, what is left stays within the bound and replays.
func TestTotalIsBounded(t *testing.T) {
	b := newBench(t, filesystemtest.New(), Limits{Size: 3000, Age: time.Hour, Total: 20_000})
	b.run(6000)
	b.finish()
	list, _ := b.fs.List("d")
	total := int64(0)
	for _, info := range list {
		total += info.Size
	}
	// A segment ends at the first part after its size, so each may be longer by a part.
	if n, gaps := played(t, b.fs); n == 0 || n >= 6000 || gaps > 0 || total > 30_000 || list[0].Name == names.Name(1) {
		t.Errorf("%d events, %d gaps, %d bytes, from %s", n, gaps, total, list[0].Name)
	}
}

func (o Options) on(fs *filesystemtest.FS) Options { o.FS = fs; return o }

// pieces keeps what it is offered.
type pieces struct{ all []capture.Chunk }

func (p *pieces) Offer(one capture.Chunk) bool { p.all = append(p.all, one); return true }

// Wherever the power goes, what is on the disk then replays from its begin, and the next life goes on behind it.
func TestPowerLossAtEveryByte(t *testing.T) {
	limits := Limits{Size: 1500, Age: time.Hour, Total: 1 << 20}
	recorded := &pieces{}
	b := newBench(t, filesystemtest.New(), limits)
	var err error
	if b.r, err = capture.NewRecorder(settings, 1, capture.Options{MaxBytes: 8 << 10, Sink: recorded}, nothing); err != nil {
		t.Fatal(err)
	}
	b.run(70)
	b.r.Flush(b.now)
	last, segments := 0, 0
	for kill := 0; last < 70; kill++ {
		fs := filesystemtest.New()
		fs.Kill = kill
		w, err := New(Options{FS: fs, Directory: "d", Names: names, Limits: limits, Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return time.Unix(0, 0) }})
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range recorded.all {
			w.take(p)
		}
		for _, kept := range []int{0, 30} {
			after := fs.Restart(kept)
			if _, err := New(w.o.on(after)); err != nil {
				t.Fatal(err)
			}
			list, _ := after.List("d")
			if len(list) > 0 {
				info := list[len(list)-1]
				if whole, err := capture.CompleteLength(bytes.NewReader(after.Content("d/" + info.Name))); err != nil || whole != info.Size {
					t.Fatalf("killed at %d, %d kept: %s: %d of %d bytes are whole, %v", kill, kept, info.Name, whole, info.Size, err)
				}
			}
			if kill%50 > 0 { // replays take most of the time
				continue
			}
			next := newBench(t, after, limits)
			n, gaps := played(t, after)
			if gaps > 0 || n < last {
				t.Fatalf("killed at %d, %d kept: %d events, %d before, %d gaps", kill, kept, n, last, gaps)
			}
			if kept == 0 {
				last, segments = n, len(list)
			}
			next.run(100)
			next.finish()
			if list, _ := after.List("d"); len(list) == 0 {
				t.Fatalf("killed at %d: the next life recorded nothing", kill)
			}
		}
	}
	if segments < 2 {
		t.Errorf("%d segments alone", segments)
	}
}

// A full disk ends the recording with a line, is asked seldom, and after it has room again the gap is told.
func TestFullDisk(t *testing.T) {
	fs := filesystemtest.New()
	fs.Capacity = 6000
	b := newBench(t, fs, Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 21})
	b.run(3000)
	if lines := strings.Count(b.log.String(), "recording to disk stopped"); lines == 0 || lines > 20 {
		t.Errorf("%d lines: %s", lines, b.log.String())
	}
	before, _ := played(t, fs)
	fs.Capacity = 0
	b.run(3000)
	b.finish()
	n, gaps := played(t, fs)
	if before == 0 || n <= before || gaps == 0 || !strings.Contains(b.log.String(), "recording to disk again") {
		t.Errorf("%d events, then %d with %d gaps", before, n, gaps)
	}
}

// After a failed sync nobody knows what the segment holds: it is given up at what was known to last.
func TestFailedSync(t *testing.T) {
	for at := 1; at < 40; at++ {
		fs := filesystemtest.New()
		fs.FailSync = at
		b := newBench(t, fs, Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 21})
		b.run(2000)
		b.finish()
		after := fs.Restart(0)
		if n, _ := played(t, after); n < 500 {
			t.Errorf("sync %d: %d events", at, n)
		}
		list, _ := after.List("d")
		for _, info := range list { // nothing is half
			if whole, err := capture.CompleteLength(bytes.NewReader(after.Content("d/" + info.Name))); err != nil || whole != info.Size {
				t.Errorf("sync %d: %s: %d of %d, %v", at, info.Name, whole, info.Size, err)
			}
		}
	}
}

// A writer that does not keep up costs records, never the recorder's time; what is lost is told.
func TestSlowDisk(t *testing.T) {
	b := newBench(t, filesystemtest.New(), Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 24})
	for range 3000 {
		b.now += 2 * time.Second
		b.n++
		b.r.RequestArrived(b.now, scheduler.Request{ID: fmt.Sprint(b.n), Volume: "v", Units: 1, ClientTimeout: time.Second})
		b.r.ClientDisconnected(b.now, fmt.Sprint(b.n)) // or the state would outgrow the memory
	}
	if len(b.w.queue) > mostWaiting || b.w.waiting.Load() > mostWaitingBytes {
		t.Errorf("%d pieces of %d bytes wait", len(b.w.queue), b.w.waiting.Load())
	}
	b.drain()
	if left := b.w.waiting.Load(); left != 0 {
		t.Errorf("%d bytes are still counted", left)
	}
	b.run(2000)
	b.finish()
	if n, gaps := played(t, b.fs); gaps == 0 || n < 1500 || n >= 8000 {
		t.Errorf("%d events, %d gaps", n, gaps)
	}
}

// What is not ours is left alone.
func TestForeignFiles(t *testing.T) {
	fs := filesystemtest.New()
	fs.Put("d/"+names.Name(7), []byte("something that somebody else has put here"))
	fs.Put("d/notes.txt", []byte("mine"))
	b := newBench(t, fs, Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 21})
	b.run(50)
	b.finish()
	if string(fs.Content("d/notes.txt")) != "mine" || len(fs.Content("d/"+names.Name(7))) == 0 || len(fs.Content("d/"+names.Name(8))) == 0 {
		t.Error(fs.List("d"))
	}
	if !strings.Contains(b.log.String(), "it stays as it is") {
		t.Error(b.log.String())
	}
}

func TestRunWritesWhatWasOffered(t *testing.T) {
	b := newBench(t, filesystemtest.New(), Limits{Size: 1 << 20, Age: time.Hour, Total: 1 << 21})
	ctx, cancel := context.WithCancel(context.Background())
	b.w.o.Now = time.Now // the bench's is its own goroutine's
	done := make(chan struct{})
	go func() { b.w.Run(ctx); close(done) }()
	for range 30 {
		b.now += time.Second
		b.r.ClientDisconnected(b.now, "nobody")
	}
	b.r.Flush(b.now)
	cancel()
	<-done
	if n, gaps := played(t, b.fs); n != 30 || gaps > 0 {
		t.Errorf("%d events, %d gaps", n, gaps)
	}
}

func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Size: rapid.Int64Range(1, 100).Draw(t, "size"), Total: rapid.Int64Range(100, 1000).Draw(t, "total")}
		var all []held
		for i, size := range rapid.SliceOfN(rapid.Int64Range(0, 150), 0, 30).Draw(t, "sizes") {
			all = append(all, held{uint64(i), size})
		}
		out := l.outdated(all)
		left := l.Size
		for i, one := range all {
			if i < len(out) && out[i].number != one.number {
				t.Fatal("a newer one goes before an older one")
			}
			if i >= len(out) {
				left += one.size
			}
		}
		if left > l.Total && len(out) < len(all) {
			t.Fatalf("%d bytes are left", left)
		}
		if len(out) > 0 && left+out[len(out)-1].size <= l.Total {
			t.Fatal("more goes than must")
		}
	})
	for failures := 1; failures < 100; failures++ {
		if p := pause(failures); p <= 0 || p > mostPause {
			t.Errorf("%d failures: %v", failures, p)
		}
	}
	for _, name := range []string{"", "decisions-gate_1-1.segment", "decisions-gate_1-000000000001.segment.part", NamesOf("gate").Name(1), "x", names.Name(3) + "x"} {
		if _, ok := names.Number(name); ok {
			t.Errorf("%q is taken for a segment", name)
		}
	}
	if n, ok := names.Number(names.Name(123)); !ok || n != 123 {
		t.Error(n, ok)
	}
}

// BenchmarkRecover is a start that finds a segment of the shipped size whose end is half written.
func BenchmarkRecover(b *testing.B) {
	head, err := capture.EncodeHeader(&capture.Head{Version: capture.Version, Settings: settings})
	if err != nil {
		b.Fatal(err)
	}
	piece := make([]byte, 64<<10)
	for i := range piece {
		piece[i] = byte(i * i >> 3)
	}
	for len(head) < 8<<20 {
		head = capture.AppendBlock(head, piece, true)
	}
	head = head[:len(head)-100]
	for b.Loop() {
		b.StopTimer()
		fs := filesystemtest.New()
		fs.Put("d/"+names.Name(1), head)
		b.StartTimer()
		if _, err := New(Options{FS: fs, Directory: "d", Names: names, Limits: Limits{Size: 8 << 20, Age: time.Hour, Total: 64 << 20}, Log: slog.New(slog.DiscardHandler)}); err != nil {
			b.Fatal(err)
		}
	}
}
