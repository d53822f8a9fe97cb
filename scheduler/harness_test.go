package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/zonefailover"
)

const ms = time.Millisecond

// actionRecorder keeps the actions of a Scheduler as lines and checks nothing by itself.
type actionRecorder struct {
	recorded []string
	sends    []sentAttempt
}

type sentAttempt struct{ id, node string }

func (r *actionRecorder) add(format string, args ...any) {
	r.recorded = append(r.recorded, fmt.Sprintf(format, args...))
}

func (r *actionRecorder) Send(id, node string, _ time.Duration) {
	r.sends = append(r.sends, sentAttempt{id, node})
	r.add("send %s %s", id, node)
}

func (r *actionRecorder) Cancel(id string, n int) { r.add("cancel %s %d", id, n) }

func (r *actionRecorder) Reject(id string, after time.Duration) { r.add("refuse %s %v", id, after) }

func (r *actionRecorder) Fail(id string) { r.add("fail %s", id) }

func (r *actionRecorder) Probe(node string) { r.add("probe %s", node) }

func (r *actionRecorder) SetTimer(after time.Duration, key uint64) {
	r.add("timer %v %d", after, key)
}

func (r *actionRecorder) Watch() { r.add("watch") }

func (r *actionRecorder) Log(text string) { r.add("log %s", text) }

// count is the number of lines that start with the prefix.
func (r *actionRecorder) count(prefix string) int {
	n := 0
	for _, l := range r.recorded {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

// baseSettings gives settings with one class and one plan, no limit and no rule figures.
func baseSettings() Settings {
	return Settings{
		Siblings: 1, Tick: 2 * ms,
		Classes: []Class{{Name: "read", LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []Plan{{Name: "plain", Rate: 100, Weight: 1, Price: 1}},
		Allowed: Allowed{Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4},
		Sizes:   Sizes{MeanUnits: 2, MaxUnits: 6, ShareWeight: 0.3, SpareWeight: 0.1},
	}
}

func keyedSettings(group DedupScope) Settings {
	set := baseSettings()
	set.Classes[0].Idempotency, set.Classes[0].DedupScope = IdempotentWithKey, group
	set.Classes[0].DedupWindow = 300 * ms
	return set
}

func limitedSettings() Settings {
	set := baseSettings()
	set.Plans[0].Limit, set.Plans[0].Burst = 20, 24
	return set
}

func slowStartSettings() Settings {
	set := baseSettings()
	set.Siblings = 2
	set.Rules = Rules{SlowStartShare: 0.25, SlowStartDuration: 10 * time.Second, SlowStartWindow: time.Second, SlowStartAllowance: 12}
	return set
}

// zonedSettings makes settings of two rooms: a, where the host is, and b. Nodes a and b of start are in them.
func zonedSettings(change func(*Settings)) Settings {
	set := baseSettings()
	set.Allowed.ConnectTimeout = 250 * ms
	set.Rules.SlowStartShare, set.Rules.SlowStartDuration, set.Rules.SlowStartWindow, set.Rules.SlowStartAllowance, set.Rules.SlowStartMultiple = 0.18, 17*time.Second, 3*time.Second, 20, 4
	set.ZoneFailover = zonefailover.Settings{Tiers: []int{0, 1}, Spillover: 10, Burst: 10, Siblings: 1, MembershipDelay: 5 * time.Second}
	if change != nil {
		change(&set)
	}
	return set
}

// harness is a Scheduler under test with its own clock.
type harness struct {
	*Scheduler
	*actionRecorder
	t   *testing.T
	now time.Duration
	id  int
}

// newHarness makes a host that knows nodes a (shard 0, zone 0) and b (shard 1, zone 1).
func newHarness(t *testing.T, set Settings) *harness {
	t.Helper()
	rec := &actionRecorder{}
	s, err := New(set, 1, rec)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{Scheduler: s, actionRecorder: rec, t: t, now: time.Minute}
	h.MembershipChanged(h.now, Membership{Kind: CachedList, Nodes: []Node{{ID: "a"}, {ID: "b", Shard: 1, Zone: 1}}})
	return h
}

// advance lets time pass with the housekeeping timer and all request timers that fall due.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+5*ms)
		h.TimerFired(h.now, 0)
		for key := uint64(1); key <= h.sequence; key++ {
			if r := h.requestTimers[key]; r != nil && h.now >= r.answerBy {
				h.TimerFired(h.now, key)
			}
		}
	}
}

func (h *harness) arrive(q Request) string {
	h.id++
	q.ID = fmt.Sprintf("r%d", h.id)
	if q.Volume == "" {
		q.Volume = "v"
	}
	if q.Units == 0 {
		q.Units = 2
	}
	if q.ClientTimeout == 0 {
		q.ClientTimeout = h.settings.Classes[q.Class].Deadline
	}
	if q.Hosts == 0 {
		q.Hosts = 1
	}
	h.RequestArrived(h.now, q)
	return q.ID
}

func (h *harness) endAttempt(id string, attempt int, result Result) {
	node := ""
	for _, s := range h.sends {
		if s.id == id {
			node = s.node
		}
	}
	h.AttemptEnded(h.now, Outcome{ID: id, Attempt: attempt, Node: node, Result: result, Latency: 20 * ms,
		Concluded: result == Served, VolumeUse: -1})
}

// serveAll answers all that is out.
func (h *harness) serveAll() {
	for _, s := range h.sends {
		if r := h.requests[s.id]; r != nil && len(r.inFlight) > 0 {
			h.endAttempt(s.id, r.inFlight[0].number, Served)
		}
	}
}

func (h *harness) wantActions(prefix string, n int) {
	h.t.Helper()
	if got := h.count(prefix); got != n {
		h.t.Fatalf("%q: got %d, want %d in\n%s", prefix, got, n, strings.Join(h.recorded, "\n"))
	}
}

// discardActions carries out nothing.
type discardActions struct{}

func (discardActions) Send(string, string, time.Duration) {}

func (discardActions) Cancel(string, int) {}

func (discardActions) Reject(string, time.Duration) {}

func (discardActions) Fail(string) {}

func (discardActions) Probe(string) {}

func (discardActions) SetTimer(time.Duration, uint64) {}

func (discardActions) Watch() {}

func (discardActions) Log(string) {}
