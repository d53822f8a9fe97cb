package warmrestart

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/internal/filesystem/filesystemtest"
	"reachpulley/scheduler"
)

func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "40")
}

const ms = time.Millisecond

// life is a Scheduler after a random day.
func life(seed uint64, events int) (*scheduler.Scheduler, *capturetest.Workload) {
	w := capturetest.NewWorkload(seed)
	s, err := scheduler.New(capturetest.Settings, seed, w)
	if err != nil {
		panic(err)
	}
	w.Play(s, events)
	return s, w
}

// next is a Scheduler that begins so long after an earlier life's end, on a clock that begins anew.
func next(state *scheduler.Snapshot, after time.Duration, believe bool) (*scheduler.Scheduler, *capturetest.Workload) {
	now := time.Hour
	w := capturetest.NewWorkloadAt(99, now)
	s, err := scheduler.New(capturetest.Settings, 7, w)
	if err != nil {
		panic(err)
	}
	if believe {
		s.Restore(now, Assess(state, capturetest.Settings, now, after, now-after-state.Now).Learned)
	}
	return s, w
}

// Whatever is believed after whatever time, no guard is looser than it would be for a host that knows nothing.
func TestNoGuardIsLoosened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, _ := life(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(10, 800).Draw(t, "events"))
		after := time.Duration(rapid.Int64Range(-5000, 20*60_000).Draw(t, "after")) * ms
		warm, _ := next(old.Snapshot(), after, true)
		cold, _ := next(nil, 0, false)
		for _, s := range []*scheduler.Scheduler{warm, cold} {
			list := scheduler.Membership{Kind: scheduler.FullList}
			for n := range 6 {
				list.Nodes = append(list.Nodes, scheduler.Node{ID: fmt.Sprint("n", n), Shard: n % 3, StartedAt: time.Hour - time.Duration(n)*time.Second})
			}
			s.MembershipChanged(time.Hour, list)
			for v := range 5 {
				s.RequestArrived(time.Hour, scheduler.Request{ID: fmt.Sprint("a", v), Class: 0, Plan: v % 2, Volume: fmt.Sprint("v", v), Units: 0, Shard: 9, ClientTimeout: time.Second, Hosts: 1 + v%2})
			}
		}
		a, b := warm.Snapshot(), cold.Snapshot()
		for i := range b.Nodes {
			x, y := a.Nodes[i], b.Nodes[i]
			if x.Node.ID != y.Node.ID || x.WarmingSince < y.WarmingSince || y.Down && !x.Down || len(x.RecentSends) < len(y.RecentSends) {
				t.Fatalf("%+v\n%+v", x, y)
			}
			if x.Cap < 0 || math.IsNaN(x.Cap) || x.LastServedAt > time.Hour {
				t.Fatalf("%+v", x)
			}
		}
		for i := range b.Volumes {
			x, y := a.Volumes[i], b.Volumes[i]
			if x.Name != y.Name || x.Limit.Tokens > y.Limit.Tokens || x.Limit.Burst != y.Limit.Burst || x.Limit.Rate != y.Limit.Rate {
				t.Fatalf("%+v\n%+v", x, y)
			}
		}
		if len(a.RetriedAt) < len(b.RetriedAt) || len(a.ArrivedAt) > len(b.ArrivedAt) {
			t.Fatalf("%d extra, %d taken", len(a.RetriedAt), len(a.ArrivedAt))
		}
	})
}

// A captured life that begins with what an earlier one left replays to the byte, from its begin and from every snapshot.
func TestWarmLifeReplays(t *testing.T) {
	old, _ := life(3, 600)
	state, now := old.Snapshot(), time.Hour
	w := capturetest.NewWorkloadAt(4, now)
	r, err := capture.NewRecorder(capturetest.Settings, 1, capture.Options{MaxBytes: 500_000}, w)
	if err != nil {
		t.Fatal(err)
	}
	r.Restore(now, Assess(state, capturetest.Settings, now, 3*time.Second, now-3*time.Second-state.Now).Learned)
	w.Play(r, 2000)
	file, err := r.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	c, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := capture.Replay(c); err != nil || n < 1000 {
		t.Errorf("%d events, %v", n, err)
	}
}

// counting counts the units sent to a node.
type counting struct {
	capturetest.Workload
	units int
}

func (c *counting) Send(string, string, time.Duration) { c.units++ }
func (*counting) SetTimer(time.Duration, uint64)       {}

// pushOver sends all that a cold node may have, restarts the host and tries again within the same window.
func pushOver(t *testing.T, believe bool) (first, second int) {
	settings := capturetest.Settings
	settings.Siblings = 1
	began := time.Hour
	list := scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "n", StartedAt: began - 10*ms}}}
	// A request of any shard passes by the node's budget alone, not by chance.
	push := func(s *scheduler.Scheduler, now time.Duration, life string) {
		s.MembershipChanged(now, list)
		for i := range 300 {
			id := fmt.Sprint(life, i)
			s.RequestArrived(now, scheduler.Request{ID: id, Volume: "tin", Plan: 1, Units: 1, Shard: scheduler.AnyShard, ClientTimeout: time.Second, Hosts: 1})
			s.AttemptEnded(now+ms, scheduler.Outcome{ID: id, Node: "n", Result: scheduler.Served, Latency: ms, Concluded: true, VolumeUse: -1})
		}
	}
	var one, two counting
	s, err := scheduler.New(settings, 1, &one)
	if err != nil {
		t.Fatal(err)
	}
	push(s, began, "a")
	state := s.Snapshot()
	again, err := scheduler.New(settings, 2, &two)
	if err != nil {
		t.Fatal(err)
	}
	now := began + 500*ms // the clocks agree here
	if believe {
		again.Restore(now, Assess(state, settings, now, 500*ms, 0).Learned)
	}
	push(again, now, "b")
	return one.units, two.units
}

// A restart in the middle of a node's cold start must not push the node over: what the earlier life sent counts in the same window.
func TestColdStartAcrossARestart(t *testing.T) {
	most := int(capturetest.Settings.Rules.SlowStartAllowance) + 20 // it warms a little meanwhile
	first, second := pushOver(t, true)
	if first < 50 || first+second > most {
		t.Errorf("%d, then %d of %d", first, second, most)
	}
	if first, second := pushOver(t, false); first+second <= most {
		t.Errorf("without what was learned, %d and %d: the test shows nothing", first, second)
	}
}

// A node that was started anew since is cold and unknown, whatever was known of it.
func TestAnotherLifeOfANode(t *testing.T) {
	old, _ := life(5, 800)
	state := old.Snapshot()
	for i := range state.Nodes {
		state.Nodes[i].Node.Phase, state.Nodes[i].Node.StartedAt, state.Nodes[i].WarmingSince = scheduler.Up, 0, 0
		state.Nodes[i].Cap, state.Nodes[i].MinLatency, state.Nodes[i].Latency, state.Nodes[i].MaxRate = 40, 0.01, 0.011, 2000
	}
	s, _ := next(state, time.Second, true)
	s.MembershipChanged(time.Hour, scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "n0"}, {ID: "n1", StartedAt: time.Hour - 200*ms}}})
	got := s.Snapshot()
	if n := got.Nodes[0]; n.WarmingSince != 0 || n.Cap < 35 || n.MinLatency == 0 {
		t.Errorf("the same life: %+v", n)
	}
	if n := got.Nodes[1]; n.WarmingSince != time.Hour-200*ms || n.Cap != 16 || n.MinLatency != 0 {
		t.Errorf("another life: %+v", n)
	}
}

// What is known of nodes counts less the older it is, and nothing in the end; hostile states give nothing that can't be reached.
func TestFading(t *testing.T) {
	old, _ := life(5, 800)
	state := old.Snapshot()
	for i := range state.Nodes {
		state.Nodes[i].Node.Phase, state.Nodes[i].Cap, state.Nodes[i].MinLatency, state.Nodes[i].Latency, state.Nodes[i].MaxRate = scheduler.Up, 60, 0.01, 0.02, 3000
	}
	last := math.Inf(1)
	for _, age := range []time.Duration{0, time.Second, 10 * time.Second, time.Minute, 2 * time.Minute, 9 * time.Minute, time.Hour} {
		b := Assess(state, capturetest.Settings, time.Hour, age, 0)
		known := b.Learned.Nodes[0].Cap
		if known > last || known < 0 || age > forgotten && (b.KnownNodes > 0 || len(b.Learned.ClassWork) > 0) {
			t.Errorf("%v: cap %v after %v, %d nodes", age, known, last, b.KnownNodes)
		}
		last = known
	}
	if b := Assess(state, capturetest.Settings, time.Hour, -time.Minute, 0); b.KnownNodes > 0 {
		t.Error("a state of the future is believed")
	}
	state.Nodes[0].Cap, state.Nodes[1].Latency, state.ClassWork[0] = math.NaN(), math.Inf(1), math.NaN()
	b := Assess(state, capturetest.Settings, time.Hour, 0, 0)
	if b.Learned.Nodes[0].Cap != 0 || b.Learned.Nodes[1].Cap != 0 || len(b.Learned.ClassWork) > 0 {
		t.Errorf("%+v", b.Learned)
	}
}

func store(f *filesystemtest.FS) (*Store, *bytes.Buffer) {
	var log bytes.Buffer
	return &Store{FS: f, Path: Path("d", "gate"), Log: slog.New(slog.NewTextHandler(&log, nil))}, &log
}

var head = capture.Head{Version: capture.Version, Program: "test", Settings: capturetest.Settings, Origin: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC).UnixNano()}

// Whenever the power goes while a state is written, the next start finds this state or the one before it, whole.
func TestTwoGenerations(t *testing.T) {
	s, _ := life(1, 60)
	first := s.Snapshot()
	s.TimerFired(first.Now+time.Second, 0)
	second := s.Snapshot()
	for kill := 0; ; kill += 3 {
		f := filesystemtest.New()
		one, _ := store(f)
		if err := one.Save(head, first); err != nil {
			t.Fatal(err)
		}
		f.Kill = kill
		err := one.Save(head, second)
		for _, kept := range []int{0, 5, 1 << 20} {
			after, log := store(f.Restart(kept))
			got, taken := after.Load(capturetest.Settings)
			if got == nil || got.Now != first.Now && got.Now != second.Now || strings.Contains(log.String(), "set aside") {
				t.Fatalf("killed at %d: %v %s", kill, got, log)
			}
			if want := time.Unix(0, head.Origin).Add(got.Now); !taken.Equal(want) {
				t.Fatalf("taken %v, want %v", taken, want)
			}
		}
		if err == nil { // all was written
			return
		}
	}
}

// What can't be used is set aside, and the older generation is taken.
func TestSetAside(t *testing.T) {
	old, _ := life(1, 300)
	other := capturetest.Settings
	other.Siblings++
	for name, spoil := range map[string]func(file []byte) []byte{
		"damaged": func(file []byte) []byte { file[len(file)-20] ^= 1; return file },
		"cut":     func(file []byte) []byte { return file[:len(file)/2] },
		"foreign": func([]byte) []byte { return []byte("somebody else's file, which is of no use") },
		"empty":   func([]byte) []byte { return nil },
	} {
		f := filesystemtest.New()
		s, log := store(f)
		for range 2 {
			if err := s.Save(head, old.Snapshot()); err != nil {
				t.Fatal(err)
			}
		}
		content := spoil(f.Content(s.Path))
		f.Remove(s.Path)
		f.Put(s.Path, content)
		if got, _ := s.Load(capturetest.Settings); got == nil || !strings.Contains(log.String(), "set aside") {
			t.Errorf("%s: %v %s", name, got, log)
		}
		if aside := f.Content(s.Path + ".set-aside"); !bytes.Equal(aside, content) {
			t.Errorf("%s: what was set aside is lost", name)
		}
	}
	f := filesystemtest.New()
	s, log := store(f)
	if err := s.Save(head, old.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if got, _ := s.Load(other); got != nil || !strings.Contains(log.String(), "other settings") {
		t.Errorf("%v %s", got, log)
	}
	f.Capacity = 10
	if err := s.Save(head, old.Snapshot()); err == nil {
		t.Error("a full disk was not told")
	}
	if got, _ := (&Store{FS: filesystemtest.New(), Path: "d/none", Log: slog.New(slog.NewTextHandler(io.Discard, nil))}).Load(other); got != nil {
		t.Error("a state out of nothing")
	}
}

// server is a node that serves so many requests at a time, each for as long.
type server struct {
	capturetest.Workload
	out []scheduler.Outcome
	at  []time.Duration
	now time.Duration
}

const (
	workers = 40
	takes   = 20 * ms
)

func (v *server) Send(id, node string, _ time.Duration) {
	v.out = append(v.out, scheduler.Outcome{ID: id, Node: node, Result: scheduler.Served, Concluded: true, VolumeUse: -1})
	v.at = append(v.at, v.now+takes*time.Duration(1+len(v.out)/workers))
}
func (*server) SetTimer(time.Duration, uint64) {}

// learning gives how long it takes until a cap is within a tenth of what it is in the end.
func learning(s *scheduler.Scheduler, v *server, from time.Duration) time.Duration {
	s.MembershipChanged(from, scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "n"}}})
	n := 0
	var caps []float64
	for v.now = from; v.now < from+20*time.Second; v.now += 5 * ms {
		for len(v.out) > 0 && v.at[0] <= v.now {
			o := v.out[0]
			o.Latency = takes
			v.out, v.at = v.out[1:], v.at[1:]
			s.AttemptEnded(v.now, o)
		}
		for range 4 {
			n++
			s.RequestArrived(v.now, scheduler.Request{ID: fmt.Sprint(from, n), Volume: "tin", Plan: 1, Units: 2, ClientTimeout: time.Second, Hosts: 1})
		}
		if n%20 == 0 {
			s.TimerFired(v.now, 0)
		}
		caps = append(caps, s.Snapshot().Nodes[0].Cap)
	}
	for i, c := range caps {
		if c >= 0.9*caps[len(caps)-1] {
			return time.Duration(i) * 5 * ms
		}
	}
	return 0
}

// BenchmarkLearning is for how long, in the Scheduler's time, a node's cap stays below nine tenths of what it becomes, after a start that knows nothing and
// after one that believes a state of ten seconds ago.
func BenchmarkLearning(b *testing.B) {
	for b.Loop() {
		one := &server{}
		s, _ := scheduler.New(capturetest.Settings, 1, one)
		cold := learning(s, one, time.Hour)
		state, now := s.Snapshot(), 2*time.Hour
		two := &server{}
		again, _ := scheduler.New(capturetest.Settings, 2, two)
		again.Restore(now, Assess(state, capturetest.Settings, now, 10*time.Second, now-10*time.Second-state.Now).Learned)
		warm := learning(again, two, now)
		b.ReportMetric(cold.Seconds(), "s-cold")
		b.ReportMetric(warm.Seconds(), "s-warm")
	}
}
