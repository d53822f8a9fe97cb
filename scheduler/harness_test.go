package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/zonefailover"
)

const ms = time.Millisecond

// actionRecorder records the actions of a Scheduler as lines of text, without checking them.
type actionRecorder struct {
	recorded []string
	sends    []sentAttempt
}

// sentAttempt is a call of Send.
type sentAttempt struct {
	id   string
	node string
}

func (r *actionRecorder) add(format string, args ...any) {
	r.recorded = append(r.recorded, fmt.Sprintf(format, args...))
}

func (r *actionRecorder) Send(id, node string, _ time.Duration) {
	r.sends = append(r.sends, sentAttempt{id: id, node: node})
	r.add("send %s %s", id, node)
}

func (r *actionRecorder) Cancel(id string, attempt int) { r.add("cancel %s %d", id, attempt) }

func (r *actionRecorder) Reject(id string, after time.Duration) { r.add("reject %s %v", id, after) }

func (r *actionRecorder) Fail(id string) { r.add("fail %s", id) }

func (r *actionRecorder) Probe(node string) { r.add("probe %s", node) }

func (r *actionRecorder) SetTimer(after time.Duration, key uint64) { r.add("timer %v %d", after, key) }

func (r *actionRecorder) Watch() { r.add("watch") }

func (r *actionRecorder) Log(text string) { r.add("log %s", text) }

// count returns the number of recorded lines that start with the prefix.
func (r *actionRecorder) count(prefix string) int {
	count := 0
	for _, line := range r.recorded {
		if strings.HasPrefix(line, prefix) {
			count++
		}
	}
	return count
}

// discardActions ignores all actions.
type discardActions struct{}

func (discardActions) Send(string, string, time.Duration) {}

func (discardActions) Cancel(string, int) {}

func (discardActions) Reject(string, time.Duration) {}

func (discardActions) Fail(string) {}

func (discardActions) Probe(string) {}

func (discardActions) SetTimer(time.Duration, uint64) {}

func (discardActions) Watch() {}

func (discardActions) Log(string) {}

// baseSettings returns settings with one class and one plan, without a volume limit and without rules.
func baseSettings() Settings {
	return Settings{
		Siblings: 1,
		Tick:     2 * ms,
		Classes:  []Class{{Name: "read", LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:    []Plan{{Name: "plain", Rate: 100, Weight: 1, Price: 1}},
		Allowed:  Allowed{Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4},
		Sizes:    Sizes{MeanUnits: 2, MaxUnits: 6, ShareWeight: 0.3, SpareWeight: 0.1},
	}
}

// keyedSettings returns settings with a class whose repeated requests are discarded by the nodes of the scope.
func keyedSettings(scope DedupScope) Settings {
	settings := baseSettings()
	settings.Classes[0].Idempotency = IdempotentWithKey
	settings.Classes[0].DedupScope = scope
	settings.Classes[0].DedupWindow = 300 * ms
	return settings
}

// limitedSettings returns settings with a plan that limits the rate of its volumes.
func limitedSettings() Settings {
	settings := baseSettings()
	settings.Plans[0].Limit = 20
	settings.Plans[0].Burst = 24
	return settings
}

// slowStartSettings returns settings of one of two hosts, with nodes that warm up slowly.
func slowStartSettings() Settings {
	settings := baseSettings()
	settings.Siblings = 2
	settings.Rules = Rules{
		SlowStartShare:     0.25,
		SlowStartDuration:  10 * time.Second,
		SlowStartWindow:    time.Second,
		SlowStartAllowance: 12,
	}
	return settings
}

// zonedSettings returns settings with two zones: zone 0, which is the home zone, and zone 1.
func zonedSettings() Settings {
	settings := baseSettings()
	settings.Allowed.ConnectTimeout = 250 * ms
	settings.Rules = Rules{
		SlowStartShare:     0.18,
		SlowStartDuration:  17 * time.Second,
		SlowStartWindow:    3 * time.Second,
		SlowStartAllowance: 20,
		SlowStartMultiple:  4,
	}
	settings.ZoneFailover = zonefailover.Settings{
		Tiers:           []int{0, 1},
		Spillover:       10,
		Burst:           10,
		Siblings:        1,
		MembershipDelay: 5 * time.Second,
	}
	return settings
}

// harness is a Scheduler under test with its own clock and a recorder of its actions.
type harness struct {
	*Scheduler
	*actionRecorder
	t      *testing.T
	now    time.Duration
	lastID int
}

// newHarness returns a harness whose Scheduler knows the nodes a (shard 0, zone 0) and b (shard 1, zone 1).
func newHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	h := newEmptyHarness(t, settings, 1)
	h.list(CachedList, Node{ID: "a"}, Node{ID: "b", Shard: 1, Zone: 1})
	return h
}

// newEmptyHarness returns a harness whose Scheduler knows no nodes.
func newEmptyHarness(t *testing.T, settings Settings, seed uint64) *harness {
	t.Helper()
	recorder := &actionRecorder{}
	s, err := New(settings, seed, recorder)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{Scheduler: s, actionRecorder: recorder, t: t, now: time.Minute}
}

// list sends a membership event.
func (h *harness) list(kind MembershipKind, nodes ...Node) {
	h.MembershipChanged(h.now, Membership{Kind: kind, Nodes: nodes})
}

// advance moves the clock forward in steps of 5 ms. It fires the housekeeping timer at each step and the request timers
// that have expired.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+5*ms)
		h.TimerFired(h.now, housekeepingTimer)
		for key := uint64(1); key <= h.sequence; key++ {
			if request := h.requestTimers[key]; request != nil && h.now >= request.answerBy {
				h.TimerFired(h.now, key)
			}
		}
	}
}

// arrive sends a request, with defaults for the fields that are zero, and returns its ID: r1, r2, ...
func (h *harness) arrive(request Request) string {
	h.lastID++
	request.ID = fmt.Sprintf("r%d", h.lastID)
	if request.Volume == "" {
		request.Volume = "v"
	}
	if request.Units == 0 {
		request.Units = 2
	}
	if request.ClientTimeout == 0 {
		request.ClientTimeout = h.settings.Classes[request.Class].Deadline
	}
	if request.Hosts == 0 {
		request.Hosts = 1
	}
	h.RequestArrived(h.now, request)
	return request.ID
}

// inFlight returns the first attempt of a request without an outcome; nil if there is none.
func (h *harness) inFlight(id string) *attemptState {
	request := h.requests[id]
	if request == nil || len(request.inFlight) == 0 {
		return nil
	}
	return request.inFlight[0]
}

// endAttempt reports the end of an attempt at the node where the request was last sent, with a latency of 20 ms.
func (h *harness) endAttempt(id string, attempt int, result Result) {
	node := ""
	for _, send := range h.sends {
		if send.id == id {
			node = send.node
		}
	}
	h.AttemptEnded(h.now, Outcome{
		ID:        id,
		Attempt:   attempt,
		Node:      node,
		Result:    result,
		Latency:   20 * ms,
		Concluded: result == Served,
		VolumeUse: -1,
	})
}

// serve sends a request and serves its first attempt at once.
func (h *harness) serve(request Request) {
	h.endAttempt(h.arrive(request), 0, Served)
}

// serveAll serves all attempts in flight.
func (h *harness) serveAll() {
	for _, send := range h.sends {
		if attempt := h.inFlight(send.id); attempt != nil {
			h.endAttempt(send.id, attempt.number, Served)
		}
	}
}

// wantActions fails the test unless exactly want recorded lines start with the prefix.
func (h *harness) wantActions(prefix string, want int) {
	h.t.Helper()
	if got := h.count(prefix); got != want {
		h.t.Fatalf("actions that start with %q: got %d, want %d in\n%s",
			prefix, got, want, strings.Join(h.recorded, "\n"))
	}
}

// setLatency sets the latency and the minimum latency of a node, in seconds.
func (n *nodeState) setLatency(latency, minLatency float64) {
	n.latency = latency
	n.minLatency = minLatency
}

// setQueue sets the measured queue of a node, in seconds, and the number of responses that it is worth from now on.
func (h *harness) setQueue(node *nodeState, queue, weight float64) {
	node.queueTime = queue
	node.queueWeight = weight
	node.queueMeasuredAt = h.now
}
