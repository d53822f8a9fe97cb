package eventloop

import (
	"context"
	"fmt"
	"log/slog"
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

func init() { replaytest.WarmUp() }

// Indexes of the classes of testSettings.
const (
	idempotentClass = iota
	nonIdempotentClass
)

var testSettings = scheduler.Settings{
	Siblings:       1,
	PollMembership: true,
	Classes: []scheduler.Class{
		{
			Name:             "read",
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         time.Second,
			PriorityWeight:   1,
		},
		{
			Name:             "once",
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         time.Second,
			PriorityWeight:   1,
			Idempotency:      scheduler.NonIdempotent,
		},
	},
	Plans: []scheduler.Plan{{Reserve: 99, Weight: 1, Price: 1}},
	Allowed: scheduler.Allowed{
		Cancel:        true,
		MaxAttempts:   2,
		RetryAfter:    true,
		MaxRetryAfter: time.Second,
	},
}

// oneNode is the membership of the tests.
var oneNode = scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "n"}}}

// fakeBackend records the attempts that are started; a test reports on them.
type fakeBackend struct {
	mu       sync.Mutex // for tests that look while a timer may still have something sent
	reports  []func(Report)
	contexts []context.Context
}

func (b *fakeBackend) Start(ctx context.Context, _ Attempt, report func(Report)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports = append(b.reports, report)
	b.contexts = append(b.contexts, ctx)
}

func (b *fakeBackend) Probe(string, func(scheduler.ProbeResult)) {}

type fakeMembership struct{}

func (fakeMembership) Watch() {}

// withLoop runs a test on a loop with one node in fake time, and replays what was recorded meanwhile.
func withLoop(t *testing.T, settings scheduler.Settings, test func(l *Loop, b *fakeBackend)) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{}
		ctx, cancel := context.WithCancel(t.Context())
		loop, err := New(Options{
			Settings:   settings,
			Seed:       1,
			Clock:      NewClock(),
			Backend:    backend,
			Membership: fakeMembership{},
			Capture:    capture.Options{MaxBytes: 8 << 20},
			Log:        slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan bool)
		go func() {
			loop.Run(ctx)
			close(ended)
		}()
		loop.MembershipChanged(oneNode)
		test(loop, backend)
		cancel()
		<-ended
		file, err := loop.recorder.Recording().File()
		if err != nil {
			t.Fatal(err)
		}
		replaytest.ReplayTwice(t, file)
	})
}

// submit opens an exchange with a deadline of a second and waits until the loop has handled it.
func submit(l *Loop, id string, class int) *exchange.Exchange {
	request := scheduler.Request{ID: id, Class: class, Volume: "v", Units: 1, Hosts: 1}
	x := exchange.New(request, time.Now().Add(time.Second), nil)
	l.Open(x)
	synctest.Wait()
	return x
}

// answerOf returns the answer to an exchange as text, or "open" where there is none yet.
func answerOf(x *exchange.Exchange) string {
	synctest.Wait()
	select {
	case <-x.Done():
		return fmt.Sprint(x.Answer().Verdict, " ", x.Answer().Reply)
	default:
		return "open"
	}
}

// answerTests state the answer to a request whose attempts end with the given results.
var answerTests = []struct {
	name     string
	class    int
	reports  []scheduler.Result
	want     string
	attempts int
}{
	{
		name:     "served",
		class:    idempotentClass,
		reports:  []scheduler.Result{scheduler.Served},
		want:     "served yes",
		attempts: 1,
	},
	{
		name:     "never ran, then served",
		class:    nonIdempotentClass,
		reports:  []scheduler.Result{scheduler.Overloaded, scheduler.Served},
		want:     "served yes",
		attempts: 2,
	},
	{
		name:     "may have run",
		class:    nonIdempotentClass,
		reports:  []scheduler.Result{scheduler.ConnectionReset},
		want:     "failed <nil>",
		attempts: 1,
	},
	{
		name:     "may have run, idempotent",
		class:    idempotentClass,
		reports:  []scheduler.Result{scheduler.ConnectionReset, scheduler.Served},
		want:     "served yes",
		attempts: 2,
	},
	{
		name:     "no attempt is left",
		class:    idempotentClass,
		reports:  []scheduler.Result{scheduler.ConnectionReset, scheduler.ConnectionReset},
		want:     "refused <nil>",
		attempts: 2,
	},
	{
		name:     "the node cannot be reached at all",
		class:    nonIdempotentClass,
		reports:  []scheduler.Result{scheduler.ConnectFailed, scheduler.ConnectFailed},
		want:     "refused <nil>",
		attempts: 2,
	},
}

func TestOneAnswerForEachRequest(t *testing.T) {
	for _, test := range answerTests {
		t.Run(test.name, func(t *testing.T) {
			withLoop(t, testSettings, func(l *Loop, b *fakeBackend) {
				x := submit(l, "r", test.class)
				for i, result := range test.reports {
					if len(b.reports) <= i {
						t.Fatalf("%d attempts", len(b.reports))
					}
					b.reports[i](Report{Result: result, Reply: "yes", VolumeUse: -1})
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
				}
				if diff := cmp.Diff(test.want, answerOf(x)); diff != "" || len(b.reports) != test.attempts {
					t.Errorf("%d attempts: %s", len(b.reports), diff)
				}
			})
		})
	}
}

func TestAnAttemptEndsWithItsRequest(t *testing.T) {
	withLoop(t, testSettings, func(l *Loop, b *fakeBackend) {
		disconnected := submit(l, "disconnected", idempotentClass)
		late := submit(l, "late", nonIdempotentClass)
		if deadline, _ := b.contexts[1].Deadline(); time.Until(deadline) != time.Second {
			t.Errorf("the attempt has %v", time.Until(deadline))
		}
		disconnected.Disconnect()
		synctest.Wait()
		time.Sleep(998 * time.Millisecond)
		synctest.Wait()
		want := []string{"failed <nil>", "failed <nil>"}
		if diff := cmp.Diff(want, []string{answerOf(disconnected), answerOf(late)}); diff != "" {
			t.Error(diff)
		}
		if b.contexts[0].Err() == nil || b.contexts[1].Err() == nil {
			t.Error("an attempt goes on")
		}
		// A reply that comes too late changes nothing.
		b.reports[1](Report{Result: scheduler.Served, Reply: "yes"})
		if answerOf(late) != "failed <nil>" || len(l.pending) != 1 {
			t.Errorf("%s, %d exchanges are pending", answerOf(late), len(l.pending))
		}
		b.reports[0](Report{Result: scheduler.Canceled})
		synctest.Wait()
		if len(l.pending) != 0 {
			t.Error("an exchange is still pending")
		}
	})
}

func TestLatencyIsTheServiceTimeWhereKnown(t *testing.T) {
	if latency := (Report{}).latency(9); latency != 9 {
		t.Errorf("%v of 9 without a service time", latency)
	}
	if latency := (Report{ServiceTime: 5}).latency(9); latency != 5 {
		t.Errorf("%v of 9 with a service time of 5", latency)
	}
}

func TestDuplicateRequestIDFails(t *testing.T) {
	withLoop(t, testSettings, func(l *Loop, _ *fakeBackend) {
		first := submit(l, "r", idempotentClass)
		second := submit(l, "r", idempotentClass)
		want := []string{"open", "failed <nil>"}
		if diff := cmp.Diff(want, []string{answerOf(first), answerOf(second)}); diff != "" {
			t.Error(diff)
		}
	})
}
