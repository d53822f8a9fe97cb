package eventloop

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/replaytest"
	"reachpulley/internal/exchange"
	"reachpulley/scheduler"
)

// fakeBack keeps what it was asked for; a test reports on it.
type fakeBack struct {
	mu      sync.Mutex // for tests that look while timers may still have something sent
	started []func(Report)
	ctxs    []context.Context
}

func (b *fakeBack) Start(ctx context.Context, _ Attempt, report func(Report)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started, b.ctxs = append(b.started, report), append(b.ctxs, ctx)
}

func (b *fakeBack) Probe(string, func(scheduler.ProbeResult)) {}

type fakeLister struct{ watches int }

func (l *fakeLister) Watch() { l.watches++ }

var testSettings = scheduler.Settings{Siblings: 1, PollMembership: true, Classes: []scheduler.Class{
	{Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
	{Name: "once", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, Idempotency: scheduler.NonIdempotent}},
	Plans:   []scheduler.Plan{{Reserve: 99, Weight: 1, Price: 1}},
	Allowed: scheduler.Allowed{Cancel: true, MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: time.Second}}

// bench runs a loop with one node in fake time, and replays what was recorded meanwhile.
func bench(t *testing.T, test func(l *Loop, b *fakeBack)) { benchWith(t, testSettings, test) }

func init() { replaytest.WarmUp() }

func benchWith(t *testing.T, settings scheduler.Settings, test func(l *Loop, b *fakeBack)) {
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBack{}
		ctx, cancel := context.WithCancel(t.Context())
		l, err := New(settings, 1, NewClock(), b, &fakeLister{}, capture.Options{MaxBytes: 8 << 20}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan bool)
		go func() { l.Run(ctx); close(ended) }()
		l.MembershipChanged(scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "n"}}})
		test(l, b)
		cancel()
		<-ended
		file, err := l.record.Recording().File()
		if err != nil {
			t.Fatal(err)
		}
		replaytest.ReplayTwice(t, file)
	})
}

func submit(l *Loop, id string, class int) *exchange.Exchange {
	x := exchange.New(scheduler.Request{ID: id, Class: class, Volume: "v", Units: 1, Hosts: 1}, time.Now().Add(time.Second), nil)
	l.Open(x)
	synctest.Wait()
	return x
}

// told words an answer, or that there is none yet.
func told(x *exchange.Exchange) string {
	synctest.Wait()
	select {
	case <-x.Done():
		return fmt.Sprint(x.Answer().Verdict, " ", x.Answer().Reply)
	default:
		return "open"
	}
}

func TestOneAnswerForEachRequest(t *testing.T) {
	for name, c := range map[string]struct {
		class    int
		reports  []scheduler.Result
		want     string
		attempts int
	}{
		"served":                            {0, []scheduler.Result{scheduler.Served}, "served yes", 1},
		"never ran, then served":            {1, []scheduler.Result{scheduler.Overloaded, scheduler.Served}, "served yes", 2},
		"may have run":                      {1, []scheduler.Result{scheduler.ConnectionReset}, "failed <nil>", 1},
		"may have run, safe to repeat":      {0, []scheduler.Result{scheduler.ConnectionReset, scheduler.Served}, "served yes", 2},
		"no attempt is left":                {0, []scheduler.Result{scheduler.ConnectionReset, scheduler.ConnectionReset}, "refused <nil>", 2},
		"the node cannot be reached at all": {1, []scheduler.Result{scheduler.ConnectFailed, scheduler.ConnectFailed}, "refused <nil>", 2},
	} {
		t.Run(name, func(t *testing.T) {
			bench(t, func(l *Loop, b *fakeBack) {
				x := submit(l, "r", c.class)
				for i, result := range c.reports {
					if len(b.started) <= i {
						t.Fatalf("%d attempts", len(b.started))
					}
					b.started[i](Report{Result: result, Reply: "yes", VolumeUse: -1})
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
				}
				if diff := cmp.Diff(c.want, told(x)); diff != "" || len(b.started) != c.attempts {
					t.Errorf("%d attempts: %s", len(b.started), diff)
				}
			})
		})
	}
}

func TestAnAttemptEndsWithItsRequest(t *testing.T) {
	bench(t, func(l *Loop, b *fakeBack) {
		left, late := submit(l, "left", 0), submit(l, "late", 1)
		if deadline, _ := b.ctxs[1].Deadline(); time.Until(deadline) != time.Second {
			t.Errorf("the attempt has %v", time.Until(deadline))
		}
		left.Disconnect()
		synctest.Wait()
		time.Sleep(998 * time.Millisecond)
		synctest.Wait()
		if diff := cmp.Diff([]string{"failed <nil>", "failed <nil>"}, []string{told(left), told(late)}); diff != "" {
			t.Error(diff)
		}
		if b.ctxs[0].Err() == nil || b.ctxs[1].Err() == nil {
			t.Error("an attempt goes on")
		}
		// A reply that comes too late changes nothing.
		b.started[1](Report{Result: scheduler.Served, Reply: "yes"})
		if told(late) != "failed <nil>" || len(l.entries) != 1 {
			t.Errorf("%s, %d entries", told(late), len(l.entries))
		}
		b.started[0](Report{Result: scheduler.Canceled})
		if synctest.Wait(); len(l.entries) != 0 {
			t.Error("an exchange is kept")
		}
	})
}

func TestLatencyIsTheBacksWhereItKnows(t *testing.T) {
	if long, short := (Report{}).latency(9), (Report{ServiceTime: 5}).latency(9); long != 9 || short != 5 {
		t.Errorf("%v and %v of 9", long, short)
	}
}

func TestTheSameIDTwice(t *testing.T) {
	bench(t, func(l *Loop, b *fakeBack) {
		first, second := submit(l, "r", 0), submit(l, "r", 0)
		if diff := cmp.Diff([]string{"open", "failed <nil>"}, []string{told(first), told(second)}); diff != "" {
			t.Error(diff)
		}
	})
}

func TestClockConvertsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClock()
		before := c.AtUnixMilli(time.Now().Add(-5 * time.Second).UnixMilli())
		if c.AtUnixMilli(0) != 0 || before != c.Now()-5*time.Second || before <= 0 {
			t.Errorf("0 gives %v, 5 s ago %v at %v", c.AtUnixMilli(0), before, c.Now())
		}
		if old := c.AtUnixMilli(1); old != 0 {
			t.Errorf("1970 gives %v", old)
		}
	})
}

// breaking is a back whose first attempt breaks the loop.
type breaking struct{ fakeBack }

func (*breaking) Start(context.Context, Attempt, func(Report)) { panic("broken") }

// What was recorded outlasts a crash of the loop, up to the event at which it came, and the crash stays one.
func TestCrashIsKept(t *testing.T) {
	var kept []capture.Recording
	record := capture.Options{MaxBytes: 1 << 20, OnCrash: func(k capture.Recording) { kept = append(kept, k) }}
	l, err := New(testSettings, 1, NewClock(), &breaking{}, &fakeLister{}, record, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.MembershipChanged(scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "n"}}})
	l.Open(exchange.New(scheduler.Request{ID: "last", Volume: "v", Units: 1, Hosts: 1}, time.Now().Add(time.Minute), nil))
	func() {
		defer func() {
			if recover() != "broken" {
				t.Error("the crash was hidden")
			}
		}()
		l.Run(t.Context())
	}()
	if len(kept) != 1 {
		t.Fatalf("%d captures", len(kept))
	}
	file, err := kept[0].File()
	if err != nil {
		t.Fatal(err)
	}
	c, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	sent := false
	for r, err := c.Next(); err == nil; r, err = c.Next() {
		sent = sent || r.Kind == capture.KindSend && r.ID == "last"
	}
	if !sent {
		t.Error("the capture lacks the action at which it crashed")
	}
}

// Failures of the past, each recorded and played again by bench: a surge of one plan beside another, and a cold start under load.
func TestPastFailures(t *testing.T) {
	settings := testSettings
	settings.Plans = []scheduler.Plan{{Name: "surging", Reserve: 5, Weight: 1, Price: 1, Limit: 60, Burst: 40}, {Name: "calm", Reserve: 99, Weight: 1, Price: 1}}
	settings.Rules = scheduler.Rules{SlowStartShare: 0.18, SlowStartDuration: 17 * time.Second, SlowStartWindow: 3 * time.Second, SlowStartAllowance: 30, SlowStartMultiple: 4}
	settings.Sizes = scheduler.Sizes{MeanUnits: 1, MaxUnits: 4}
	load := func(l *Loop, b *fakeBack) {
		answered := 0
		// All but the latest few are answered. The list is copied, as the loop adds to it as soon as one is.
		answer := func(but int) {
			b.mu.Lock()
			until := max(answered, len(b.started)-but)
			reports := slices.Clone(b.started[answered:until])
			b.mu.Unlock()
			for _, report := range reports {
				report(Report{Result: scheduler.Served, Reply: "yes", VolumeUse: -1})
			}
			answered = until
		}
		for i := range 400 {
			plan := min(1, i%8) // one of eight is of the surging plan, and in the second half seven are
			if i > 200 {
				plan = 1 - plan
			}
			x := exchange.New(scheduler.Request{ID: fmt.Sprint(i), Plan: plan, Volume: fmt.Sprint("v", plan), Units: 1, Hosts: 1, Shard: scheduler.AnyShard}, time.Now().Add(time.Second), nil)
			l.Open(x)
			time.Sleep(2 * time.Millisecond)
			synctest.Wait()
			answer(3) // the node has three at a time
		}
		for range 300 { // until all that is still sent has been answered, too
			answer(0)
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		if answered < 30 || len(l.entries) > 0 {
			t.Errorf("%d were answered, %d are open", answered, len(l.entries))
		}
	}
	t.Run("surge", func(t *testing.T) { benchWith(t, settings, load) })
	t.Run("cold start", func(t *testing.T) {
		benchWith(t, settings, func(l *Loop, b *fakeBack) {
			l.MembershipChanged(scheduler.Membership{Kind: scheduler.DeltaList, Nodes: []scheduler.Node{{ID: "n", StartedAt: l.clock.Now()}}})
			load(l, b)
		})
	})
}
