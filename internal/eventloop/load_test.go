package eventloop

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/scheduler"
)

// Indexes of the plans of loadSettings.
const (
	surgingPlan = iota
	calmPlan
)

// loadSettings returns settings with two plans and a slow start, for tests under load.
func loadSettings() scheduler.Settings {
	settings := testSettings
	settings.Plans = []scheduler.Plan{
		surgingPlan: {Name: "surging", Reserve: 5, Weight: 1, Price: 1, Limit: 60, Burst: 40},
		calmPlan:    {Name: "calm", Reserve: 99, Weight: 1, Price: 1},
	}
	settings.Rules = scheduler.Rules{
		SlowStartShare:     0.18,
		SlowStartDuration:  17 * time.Second,
		SlowStartWindow:    3 * time.Second,
		SlowStartAllowance: 30,
		SlowStartMultiple:  4,
	}
	settings.Sizes = scheduler.Sizes{MeanUnits: 1, MaxUnits: 4}
	return settings
}

// answerer reports the attempts of a backend as served, in the order in which they were started.
type answerer struct {
	backend  *fakeBackend
	answered int // number of attempts that were reported
}

// answerAllBut answers all attempts except the given number of latest ones. It copies the list first: as soon as an
// attempt is answered, the loop may start another.
func (a *answerer) answerAllBut(latest int) {
	a.backend.mu.Lock()
	until := max(a.answered, len(a.backend.reports)-latest)
	reports := slices.Clone(a.backend.reports[a.answered:until])
	a.backend.mu.Unlock()
	for _, report := range reports {
		report(Report{Result: scheduler.Served, Reply: "yes", VolumeUse: -1})
	}
	a.answered = until
}

// surge submits 400 requests within 0.8 s to a node that serves three at a time. In the first half one request of eight
// has the surging plan, in the second half seven of eight. It checks that at least 30 attempts are answered and that no
// exchange stays pending.
func surge(t *testing.T, l *Loop, b *fakeBackend) {
	node := answerer{backend: b}
	for i := range 400 {
		plan := min(1, i%8)
		if i > 200 {
			plan = 1 - plan
		}
		request := scheduler.Request{
			ID:     fmt.Sprint(i),
			Plan:   plan,
			Volume: fmt.Sprint("v", plan),
			Units:  1,
			Hosts:  1,
			Shard:  scheduler.AnyShard,
		}
		l.Open(exchange.New(request, time.Now().Add(time.Second), nil))
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		node.answerAllBut(3)
	}
	for range 300 { // 3 s, until every attempt that is still sent has been answered too
		node.answerAllBut(0)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
	}
	if node.answered < 30 || len(l.pending) > 0 {
		t.Errorf("%d attempts were answered, want at least 30; %d exchanges are pending, want none",
			node.answered, len(l.pending))
	}
}

// The gateway must serve two loads under which it has failed: one plan surges beside another, and a node warms up
// during such a surge. withLoop records each of them, replays the recording and checks the replay.
func TestSurgeIsServedAndReplayed(t *testing.T) {
	t.Run("surge", func(t *testing.T) {
		withLoop(t, loadSettings(), func(l *Loop, b *fakeBackend) { surge(t, l, b) })
	})
	t.Run("slow start", func(t *testing.T) {
		withLoop(t, loadSettings(), func(l *Loop, b *fakeBackend) {
			restarted := scheduler.Node{ID: "n", StartedAt: l.clock.Now()}
			l.MembershipChanged(scheduler.Membership{Kind: scheduler.DeltaList, Nodes: []scheduler.Node{restarted}})
			surge(t, l, b)
		})
	})
}
