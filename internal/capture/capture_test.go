package capture

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"reachpulley/decide"
)

// Every run draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

var settings = decide.Settings{
	Siblings: 2, Zones: []string{"a", "b"}, MustAsk: true,
	Classes: []decide.Class{{Name: "read", Aim: 300 * ms, Deadline: 1500 * ms, Worth: 3},
		{Name: "write", Aim: 400 * ms, Deadline: 2500 * ms, Worth: 2, Repeats: decide.Keyed, RepeatGroup: decide.GroupShard, RepeatFor: 4 * time.Second, Writes: true},
		{Name: "once", Aim: 400 * ms, Deadline: 2500 * ms, Worth: 2, Repeats: decide.Unsafe, Writes: true, Ordered: true}},
	Plans: []decide.Plan{{Name: "gold", Rate: 50, Reserve: 20, Weight: 2, Price: 1, Limit: 80, Burst: 40}, {Name: "tin", Rate: 10, Weight: 1, Price: 0.5}},
	Rules: decide.Rules{DrainGrace: 250 * ms, ColdFrom: 0.18, WarmWithin: 17 * time.Second, ColdWindow: 3 * time.Second, ColdUnits: 76, ColdMultiple: 4,
		BudgetWindow: 10 * time.Second, BudgetExtra: 10, BudgetShare: 0.1},
	Allowed: decide.Allowed{Cancel: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: 500 * ms, MaxAttempts: 4},
	Sizes:   decide.Sizes{MeanUnits: 2, MostUnits: 8, ShareWorth: 0.4, SpareWorth: 0.1},
}

// world carries actions out at random: attempts end sometime, timers go off.
type world struct {
	random *rand.Rand
	open   []decide.Outcome
	timers []timer
	now    time.Duration
	tries  map[string]int
}

type timer struct {
	at  time.Duration
	key uint64
}

func (w *world) Send(id, node string, _ time.Duration) {
	w.open = append(w.open, decide.Outcome{ID: id, Attempt: w.tries[id], Node: node, Use: -1})
	w.tries[id]++
}
func (w *world) Cancel(string, int)           {}
func (w *world) Refuse(string, time.Duration) {}
func (w *world) Fail(string)                  {}
func (w *world) Probe(string)                 {}
func (w *world) SetTimer(after time.Duration, key uint64) {
	w.timers = append(w.timers, timer{w.now + after, key})
}
func (w *world) Watch()     {}
func (w *world) Fetch()     {}
func (w *world) Log(string) {}

// day records a random day: arrivals, leavings, outcomes of every kind, lists, timers of the same instant.
func day(t testing.TB, seed uint64, events, most int) *Recorder {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, tries: map[string]int{}}
	r, err := NewRecorder(settings, seed, "test", most, w)
	if err != nil {
		t.Fatal(err)
	}
	pick := w.random.IntN
	for i := range events {
		w.now += time.Duration(pick(8)) * ms * time.Duration(pick(3))
		for j := 0; j < len(w.timers); j++ {
			if one := w.timers[j]; one.at <= w.now {
				w.timers = append(w.timers[:j], w.timers[j+1:]...)
				j--
				r.Timer(w.now, one.key)
			}
		}
		switch pick(12) {
		case 0:
			m := decide.Membership{Kind: decide.ListKind(pick(4))}
			for n := range 6 {
				if pick(4) > 0 {
					m.Nodes = append(m.Nodes, decide.Node{ID: fmt.Sprint("n", n), Zone: n % 2, Shard: n % 3, Phase: decide.Phase(pick(5) / 3), Size: 1,
						StartedAt: time.Duration(pick(2)) * w.now})
				}
			}
			r.Members(w.now, m)
		case 1:
			r.Left(w.now, fmt.Sprint(pick(i+1)))
		case 2, 3, 4, 5:
			r.Arrived(w.now, decide.Request{ID: fmt.Sprint(i), Class: pick(3), Plan: pick(2), Volume: fmt.Sprint("v", pick(5)), Key: fmt.Sprint("k", pick(9)),
				Units: float64(1 + pick(8)), Shard: pick(4) - 1, Patience: time.Duration(1+pick(2500)) * ms, Hosts: 1 + pick(2)})
		default:
			if len(w.open) > 0 {
				j := pick(len(w.open))
				o := w.open[j]
				w.open = append(w.open[:j], w.open[j+1:]...)
				if o.Result = decide.Served; pick(4) == 0 {
					o.Result = decide.Result(pick(int(decide.Moot) + 1))
				}
				o.Latency = time.Duration(1+pick(300)) * ms
				o.Use, o.Others = w.random.Float64()*2-0.5, float64(pick(5))
				o.Done = o.Result == decide.Served
				r.Ended(w.now, o)
			}
		}
	}
	return r
}

func captured(t testing.TB, r *Recorder) []byte {
	t.Helper()
	c, err := r.Kept().File()
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
		c, err := r.Kept().File()
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
		if r.Kind == Send && changed < 0 && len(all) > 100 {
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
	if !errors.As(err, &d) || d.Recorded.Node != "elsewhere" || d.Replayed.Kind != Send || d.Replayed.ID != d.Recorded.ID || len(d.Before) != shownBefore {
		t.Errorf("%v", err)
	}
}

// What is written again is the same to the byte, and nothing of a record is lost on the way.
func TestWrittenAgainIsTheSame(t *testing.T) {
	first := captured(t, day(t, 5, 500, 16<<20))
	c, err := NewReader(bytes.NewReader(first))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(settings, c.Head.Settings); diff != "" {
		t.Error(diff)
	}
	var all []Record
	for {
		r, err := c.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, *r)
	}
	var again bytes.Buffer
	if err := Write(&again, c.Head, all); err != nil || !bytes.Equal(first, again.Bytes()) {
		t.Errorf("%v, %d and %d bytes", err, len(first), again.Len())
	}
}

// A capture that is cut at any byte gives all whole records before it, and says where it ends.
func TestCutAtEveryByte(t *testing.T) {
	whole := captured(t, day(t, 9, 40, 16<<20))
	ends, last := 0, 0
	for cut := range whole {
		c, err := NewReader(bytes.NewReader(whole[:cut]))
		if err != nil {
			if !errors.Is(err, ErrForeign) && !errors.Is(err, ErrDamaged) && !errors.Is(err, io.EOF) {
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
	}{"foreign": {[]byte("not a capture, but longer than the magic"), ErrForeign}, "newer": {newer, ErrNewer}, "spoilt": {spoilt, ErrDamaged}} {
		if _, err := replay(c.capture); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Beyond its bound a recorder keeps nothing more, and a replay does not pretend to be whole.
func TestBound(t *testing.T) {
	r := day(t, 2, 2000, 20_000)
	c := captured(t, r)
	if len(r.bytes) > 20_000 || r.lost == 0 {
		t.Errorf("%d bytes, %d lost", len(r.bytes), r.lost)
	}
	if n, err := replay(c); err == nil || n == 0 {
		t.Errorf("%d events, %v", n, err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(captured(f, day(f, 1, 30, 16<<20)))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, capture []byte) { replay(capture) })
}

// BenchmarkRecorder is a random day with and without a recorder.
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
