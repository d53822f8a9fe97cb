package capture

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

// Every run draws the same cases.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "30") // days are long, and longer under the race detector
}

var settings = capturetest.Settings

// day records a random day: arrivals, leavings, outcomes of every kind, lists, timers of the same instant.
func day(t testing.TB, seed uint64, events, most int) *Recorder {
	return dayTo(t, seed, events, most, nil)
}

func dayTo(t testing.TB, seed uint64, events, most int, sink Sink) *Recorder {
	w := capturetest.NewWorkload(seed)
	r, err := NewRecorder(settings, seed, Options{Program: "test", MaxBytes: most, Sink: sink}, w)
	if err != nil {
		t.Fatal(err)
	}
	w.Play(r, events)
	return r
}

func captured(t testing.TB, r *Recorder) []byte {
	t.Helper()
	c, err := r.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func replay(capture []byte) (int, error) {
	c, err := NewReader(bytes.NewReader(capture))
	if err != nil {
		return 0, err
	}
	return Replay(c)
}

// The same events give the same actions, to the byte, however often they are played: nothing in the decisions depends on the order
// of a map or on a clock of their own. Go walks its maps in another order each time.
func TestRandomDaysReplayEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		r := day(nil, seed, 600, 16<<20)
		c, err := r.Recording().File()
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if n, err := replay(c); err != nil || n < 300 {
				t.Fatalf("%d events: %v", n, err)
			}
		}
	})
}

func TestDifferenceIsShown(t *testing.T) {
	c, err := NewReader(bytes.NewReader(captured(t, day(t, 3, 300, 16<<20))))
	if err != nil {
		t.Fatal(err)
	}
	var all []Record
	changed := -1
	for {
		r, err := c.Next()
		if err != nil {
			break
		}
		if r.Kind == KindSend && changed < 0 && len(all) > 100 {
			r.Node, changed = "elsewhere", len(all)
		}
		all = append(all, *r)
	}
	var out bytes.Buffer
	if err := Write(&out, c.Head, all); err != nil {
		t.Fatal(err)
	}
	_, err = replay(out.Bytes())
	var d *Difference
	if !errors.As(err, &d) || d.Recorded.Node != "elsewhere" || d.Replayed.Kind != KindSend || d.Replayed.ID != d.Recorded.ID || len(d.Before) != shownBefore {
		t.Errorf("%v", err)
	}
}

// What is read can be written again, and nothing of a record is lost on the way.
func TestWrittenAgainIsTheSame(t *testing.T) {
	c, all := records(t, captured(t, day(t, 5, 500, 16<<20)))
	if diff := cmp.Diff(settings, c.Head.Settings); diff != "" {
		t.Error(diff)
	}
	var again, third bytes.Buffer
	if err := Write(&again, c.Head, all); err != nil {
		t.Fatal(err)
	}
	_, same := records(t, again.Bytes())
	if err := Write(&third, c.Head, same); err != nil || len(same) != len(all) || !bytes.Equal(again.Bytes(), third.Bytes()) {
		t.Errorf("%v, %d and %d records", err, len(all), len(same))
	}
	if n, err := replay(third.Bytes()); err != nil || n == 0 {
		t.Errorf("%d events, %v", n, err)
	}
}

func records(t *testing.T, capture []byte) (*Reader, []Record) {
	t.Helper()
	c, err := NewReader(bytes.NewReader(capture))
	if err != nil {
		t.Fatal(err)
	}
	var all []Record
	for {
		r, err := c.Next()
		if err == io.EOF {
			return c, all
		}
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, *r)
	}
}

// A capture that is cut at any byte gives all whole records before it, and says where it ends.
func TestCutAtEveryByte(t *testing.T) {
	c, all := records(t, captured(t, day(t, 9, 40, 16<<20)))
	var plain bytes.Buffer
	if err := Write(&plain, c.Head, all); err != nil {
		t.Fatal(err)
	}
	whole := plain.Bytes()
	ends, last := 0, 0
	for cut := range whole {
		c, err := NewReader(bytes.NewReader(whole[:cut]))
		if err != nil {
			if !errors.Is(err, ErrTruncated) {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			continue
		}
		n := 0
		for err == nil {
			if _, err = c.Next(); err == nil {
				n++
			}
		}
		if err == io.EOF {
			ends++
		} else if !errors.Is(err, ErrDamaged) {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if n < last {
			t.Fatalf("cut at %d: %d records, %d before", cut, n, last)
		}
		last = n
	}
	if ends != last+1 {
		t.Errorf("%d good ends of %d records", ends, last)
	}
}

func TestWhatCannotBeRead(t *testing.T) {
	good := captured(t, day(t, 1, 20, 16<<20))
	newer, err := frame([]byte(magic), Head{Version: Version + 1})
	if err != nil {
		t.Fatal(err)
	}
	spoilt := bytes.Clone(good)
	spoilt[len(spoilt)-1] ^= 1
	for name, c := range map[string]struct {
		capture []byte
		want    error
	}{"foreign": {[]byte("not a capture, but longer than the magic"), ErrNotCapture}, "newer": {newer, ErrVersion}, "spoilt": {spoilt, ErrDamaged}} {
		if _, err := replay(c.capture); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Beyond its bound a recorder keeps what is last, and that replays alone.
func TestRingKeepsWhatIsLast(t *testing.T) {
	const most = 300_000
	r := day(t, 2, 20_000, most)
	held := cap(r.part)
	for _, part := range r.parts {
		held += cap(part)
	}
	if held > most || len(r.parts) == 0 {
		t.Errorf("%d bytes in %d parts", held, len(r.parts))
	}
	whole := captured(t, day(t, 2, 20_000, 64<<20))
	n, err := replay(captured(t, r))
	if all, _ := replay(whole); err != nil || n == 0 || n >= all {
		t.Errorf("%d of %d events, %v", n, all, err)
	}
}

// A state that outgrows the memory ends the recording, is tried seldom, and what follows is told as a gap once it fits again.
func TestStateLargerThanTheMemory(t *testing.T) {
	const most = 30_000
	w := capturetest.NewWorkload(1)
	r, err := NewRecorder(settings, 1, Options{MaxBytes: most}, w)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	r.MembershipChanged(now, scheduler.Membership{Kind: scheduler.FullList})
	for i := range 1000 { // nobody takes them, so they wait
		now += time.Millisecond
		r.RequestArrived(now, scheduler.Request{ID: fmt.Sprint("waits-", i), Volume: fmt.Sprint("v", i), Units: 1, ClientTimeout: time.Minute, Hosts: 1})
		if held := r.held + cap(r.part); held > 2*most {
			t.Fatalf("%d bytes are held of %d", held, most)
		}
	}
	if !r.broken || r.lost == 0 {
		t.Error("the state still fits")
	}
	for i := range 1000 {
		r.ClientDisconnected(now, fmt.Sprint("waits-", i))
	}
	for range 400 { // until what was known of the volumes is forgotten
		now += time.Second
		r.TimerFired(now, 0)
	}
	c := captured(t, r)
	if n, err := replay(c); r.broken || n == 0 || err != nil && !errors.Is(err, ErrGap) {
		t.Errorf("%d events, %v", n, err)
	}
}

// From every snapshot of a capture its rest replays to the byte, whatever was open then, and reaches the next snapshot's state.
func TestReplayFromEverySnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := day(nil, rapid.Uint64().Draw(t, "seed"), 1500, 160_000)
		if len(r.parts) == 0 {
			t.Fatal("one part alone")
		}
		for i := range r.parts {
			if _, err := replay(mustFile(Recording{r.head, append(append([][]byte{}, r.parts[i:]...), r.part), 0})); err != nil {
				t.Fatalf("from part %d of %d: %v", i, len(r.parts), err)
			}
		}
	})
}

func mustFile(k Recording) []byte {
	file, err := k.File()
	if err != nil {
		panic(err)
	}
	return file
}

// A state at a time is the same whether it was played from the begin or from the nearest snapshot.
func TestAt(t *testing.T) {
	c := captured(t, day(t, 4, 6000, 64<<20))
	in, err := NewReader(bytes.NewReader(c))
	if err != nil {
		t.Fatal(err)
	}
	p := NewPlayer(in)
	checked := 0
	for {
		step, err := p.Next()
		if err != nil {
			break
		}
		if next, err := p.upcoming(); step.Number%997 == 0 && err == nil && next.At > step.Event.At {
			got, err := At(bytes.NewReader(c), step.Event.At)
			if diff := cmp.Diff(p.Scheduler().Snapshot(), got, cmpopts.IgnoreUnexported(scheduler.Snapshot{})); err != nil || diff != "" {
				t.Fatalf("%v %s", err, diff)
			}
			checked++
		}
	}
	if checked < 2 {
		t.Errorf("%d times were compared", checked)
	}
	if _, err := At(bytes.NewReader(c), -1); err == nil {
		t.Error("a state before the begin")
	}
}

// Notes stand between events and change nothing of a replay.
func TestNotes(t *testing.T) {
	w := capturetest.NewWorkload(6)
	r, err := NewRecorder(settings, 6, Options{MaxBytes: 8 << 20}, w)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		w.Play(r, 50)
		r.Note(time.Hour, "12 connections closed for want of room")
	}
	c := captured(t, r)
	if n, err := replay(c); err != nil || n < 500 {
		t.Errorf("%d events, %v", n, err)
	}
	notes := 0
	_, all := records(t, c)
	for _, one := range all {
		if one.Kind == KindNote && one.Text != "" {
			notes++
		}
	}
	if notes != 20 {
		t.Errorf("%d notes", notes)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(captured(f, day(f, 1, 30, 16<<20)))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, capture []byte) { replay(capture) })
}

// BenchmarkRecord is a random day without a recorder, with a ring, and with a sink beside it; the ratio of two of them is what
// recording costs.
func BenchmarkRecord(b *testing.B) {
	const events = 20_000
	for name, options := range map[string]*Options{"off": nil, "ring": {MaxBytes: 4 << 20}, "sink": {MaxBytes: 4 << 20, Sink: taker{}}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w := capturetest.NewWorkload(1)
				var s Scheduler
				var err error
				if options == nil {
					s, err = scheduler.New(settings, 1, w)
				} else {
					s, err = NewRecorder(settings, 1, *options, w)
				}
				if err != nil {
					b.Fatal(err)
				}
				w.Play(s, events)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
		})
	}
}

// taker takes all and keeps nothing.
type taker struct{}

func (taker) Offer(Chunk) bool { return true }

// BenchmarkSnapshot is for how long the loop stands still at the begin of a part.
func BenchmarkSnapshot(b *testing.B) {
	for _, volumes := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(volumes, " volumes"), func(b *testing.B) {
			s, err := scheduler.New(settings, 1, capturetest.NewWorkload(1))
			if err != nil {
				b.Fatal(err)
			}
			var list scheduler.Membership
			for n := range 24 {
				list.Nodes = append(list.Nodes, scheduler.Node{ID: fmt.Sprint("node-", n), Shard: n % 3, Size: 1})
			}
			s.MembershipChanged(time.Hour, list)
			for i := range volumes {
				s.RequestArrived(time.Hour, scheduler.Request{ID: fmt.Sprint("request-", i), Volume: fmt.Sprint("volume-", i), Units: 2, Shard: i % 3, ClientTimeout: time.Second, Hosts: 2})
			}
			var bytes []byte
			for b.Loop() {
				if bytes, err = frame(bytes[:0], Record{Kind: KindSnapshot, State: s.Snapshot()}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(bytes)), "B")
		})
	}
}

// BenchmarkReplay is how fast captures are played and compared.
func BenchmarkReplay(b *testing.B) {
	c := captured(b, day(b, 1, 20_000, 64<<20))
	events := 0
	for b.Loop() {
		n, err := replay(c)
		if err != nil {
			b.Fatal(err)
		}
		events += n
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(float64(len(c))/float64(events/b.N), "B/event")
}

// A state that holds together by its places, but is otherwise of any content, must not break the Scheduler that goes on from it.
func FuzzSnapshot(f *testing.F) {
	for seed := range uint64(3) {
		state := day(f, seed, 200, 16<<20).Scheduler.Snapshot()
		state.Rejected, state.Volumes[0].Name = nil, "v"
		body, err := encoding.Marshal(Record{Kind: KindSnapshot, State: state})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var r Record
		if decoding.Unmarshal(body, &r) != nil || r.State == nil {
			return
		}
		w := capturetest.NewWorkloadAt(1, r.State.Now)
		s, err := scheduler.Resume(settings, r.State, w)
		if err != nil {
			return
		}
		w.Play(s, 100)
	})
}
