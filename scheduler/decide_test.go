package scheduler

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

const ms = time.Millisecond

// recorder keeps the actions of a Scheduler as lines and checks nothing by itself.
type recorder struct {
	lines []string
	sends []sent
}

type sent struct{ id, node string }

func (r *recorder) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) Send(id, node string, _ time.Duration) {
	r.sends = append(r.sends, sent{id, node})
	r.add("send %s %s", id, node)
}
func (r *recorder) Cancel(id string, n int)               { r.add("cancel %s %d", id, n) }
func (r *recorder) Reject(id string, after time.Duration) { r.add("refuse %s %v", id, after) }
func (r *recorder) Fail(id string)                        { r.add("fail %s", id) }
func (r *recorder) Probe(node string)                     { r.add("probe %s", node) }
func (r *recorder) SetTimer(after time.Duration, key uint64) {
	r.add("timer %v %d", after, key)
}
func (r *recorder) Watch()          { r.add("watch") }
func (r *recorder) Log(text string) { r.add("log %s", text) }

// count is the number of lines that start with the prefix.
func (r *recorder) count(prefix string) int {
	n := 0
	for _, l := range r.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

// base gives settings with one class and one plan, no limit and no rule figures.
func base() Settings {
	return Settings{
		Siblings: 1, Tick: 2 * ms,
		Classes: []Class{{Name: "read", LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []Plan{{Name: "plain", Rate: 100, Weight: 1, Price: 1}},
		Allowed: Allowed{Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4},
		Sizes:   Sizes{MeanUnits: 2, MaxUnits: 6, ShareWeight: 0.3, SpareWeight: 0.1},
	}
}

// host is a Scheduler under test with its own clock.
type host struct {
	*Scheduler
	*recorder
	t   *testing.T
	now time.Duration
	id  int
}

// start makes a host that knows nodes a (shard 0, zone 0) and b (shard 1, zone 1).
func start(t *testing.T, set Settings) *host {
	t.Helper()
	rec := &recorder{}
	s, err := New(set, 1, rec)
	if err != nil {
		t.Fatal(err)
	}
	h := &host{Scheduler: s, recorder: rec, t: t, now: time.Minute}
	h.MembershipChanged(h.now, Membership{Kind: CachedList, Nodes: []Node{{ID: "a"}, {ID: "b", Shard: 1, Zone: 1}}})
	return h
}

// wait lets time pass with the housekeeping timer and all request timers that fall due.
func (h *host) wait(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+5*ms)
		h.TimerFired(h.now, 0)
		for key := uint64(1); key <= h.sequence; key++ {
			if r := h.timers[key]; r != nil && h.now >= r.endAt {
				h.TimerFired(h.now, key)
			}
		}
	}
}

func (h *host) ask(q Request) string {
	h.id++
	q.ID = fmt.Sprintf("r%d", h.id)
	if q.Volume == "" {
		q.Volume = "v"
	}
	if q.Units == 0 {
		q.Units = 2
	}
	if q.ClientTimeout == 0 {
		q.ClientTimeout = h.set.Classes[q.Class].Deadline
	}
	if q.Hosts == 0 {
		q.Hosts = 1
	}
	h.RequestArrived(h.now, q)
	return q.ID
}

func (h *host) end(id string, attempt int, result Result) {
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
func (h *host) serveAll() {
	for _, s := range h.sends {
		if r := h.requests[s.id]; r != nil && len(r.open) > 0 {
			h.end(s.id, r.open[0].number, Served)
		}
	}
}

func (h *host) want(prefix string, n int) {
	h.t.Helper()
	if got := h.count(prefix); got != n {
		h.t.Fatalf("%q: got %d, want %d in\n%s", prefix, got, n, strings.Join(h.lines, "\n"))
	}
}

func TestSettingsThatCannotBeUsed(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no class":        func(s *Settings) { s.Classes = nil },
		"no time":         func(s *Settings) { s.Classes[0].Deadline = 0 },
		"no scheduler":    func(s *Settings) { s.Siblings = 0 },
		"negative rate":   func(s *Settings) { s.Plans[0].Limit = -1 },
		"negative weight": func(s *Settings) { s.Plans[0].Weight = -1 },
		"negative size":   func(s *Settings) { s.Sizes.MaxUnits = -1 },
	} {
		set := base()
		spoil(&set)
		if _, err := New(set, 1, &recorder{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestEveryRequestHasOneAnswerInTime(t *testing.T) {
	h := start(t, base())
	id := h.ask(Request{})
	h.want("send "+id, 1)
	h.wait(1990 * ms)
	h.want("fail", 0)
	h.want("refuse", 0)
	h.wait(10 * ms)
	h.want("refuse "+id, 1)
	h.want("cancel "+id, 1)
	h.end(id, 0, Errored)
	h.wait(time.Second)
	h.want("send", 1)
	h.want("refuse", 1)
	if len(h.requests) != 0 {
		t.Fatal("the request was not forgotten")
	}
}

func TestNoTimeLeftIsAnsweredAtOnce(t *testing.T) {
	h := start(t, base())
	h.ask(Request{ClientTimeout: -5 * ms})
	h.want("refuse", 1)
	h.want("send", 0)
}

func TestUnknownClassFails(t *testing.T) {
	h := start(t, base())
	h.RequestArrived(h.now, Request{ID: "x", Class: 9, ClientTimeout: time.Second})
	h.want("fail x", 1)
}

func TestLateAndUnknownOutcomesAreIgnored(t *testing.T) {
	h := start(t, base())
	id := h.ask(Request{})
	h.end(id, 0, Served)
	before := len(h.lines)
	h.end(id, 0, Served)
	h.AttemptEnded(h.now, Outcome{ID: "never", Result: Errored})
	h.ClientDisconnected(h.now, id)
	h.ClientDisconnected(h.now, "never")
	h.TimerFired(h.now, 12345)
	h.ProbeEnded(h.now, ProbeResult{Node: "never"})
	h.StreamStarted(h.now, "never", 0)
	if len(h.lines) != before {
		t.Fatalf("acted: %v", h.lines[before:])
	}
}

func TestGuardAnswer(t *testing.T) {
	h := start(t, base())
	id := h.ask(Request{})
	r := h.requests[id]
	h.end(id, 0, Overloaded) // it waits for the node's rest to end
	h.wait(holdFirst - 10*ms)
	h.ClientDisconnected(h.now, id)
	h.now += holdFirst
	h.TimerFired(h.now, 0)
	if h.send(r, h.nodes["a"]) {
		t.Fatal("sent after the end")
	}
	h.want("send", 1)
	h.want("refuse", 0)
	h.want("fail", 0)
	if other := h.requests[h.ask(Request{})]; len(other.open) != 1 {
		t.Fatal("the node does not take requests")
	}
}

func TestGuardDrain(t *testing.T) {
	for _, phase := range []Phase{Draining, Removed} {
		h := start(t, base())
		h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "a", Phase: phase}}})
		h.ask(Request{})
		h.want("send", 0)
		h.wait(600 * ms)
		h.want("refuse r1", 1)
		h.ask(Request{Shard: AnyShard})
		h.want("send r2 b", 1)
	}
	h := start(t, base())
	h.MembershipChanged(h.now, Membership{Kind: FullList, Nodes: []Node{{ID: "b", Shard: 1}}})
	h.ask(Request{})
	h.want("send", 0)
	r := h.requests["r1"]
	if h.send(r, h.nodes["a"]) {
		t.Fatal("sent to a node that left the list")
	}
}

func keyed(group DedupScope) Settings {
	set := base()
	set.Classes[0].Idempotency, set.Classes[0].DedupScope = IdempotentWithKey, group
	set.Classes[0].DedupWindow = 300 * ms
	return set
}

func TestGuardRepeat(t *testing.T) {
	for _, c := range []struct {
		name  string
		set   Settings
		first Result
		delay time.Duration
		again string // the second attempt, or the end
	}{
		{"keyed, may have run: its own shard", keyed(ScopeShard), Errored, 0, "send r1 a"},
		{"keyed, too late", keyed(ScopeShard), Errored, 310 * ms, "fail r1"},
		{"keyed, broken connection", keyed(ScopeZone), ConnectionReset, 310 * ms, "fail r1"},
		{"keyed everywhere, too late", keyed(ScopeAll), Errored, 310 * ms, "refuse r1"},
		{"keyed, never ran", keyed(ScopeShard), Overloaded, 310 * ms, "send r1"},
	} {
		h := start(t, c.set)
		h.ask(Request{Shard: AnyShard})
		h.want("send r1 a", 1)
		h.wait(c.delay)
		h.lines = nil
		h.end("r1", 0, c.first)
		h.wait(100 * ms)
		if h.count(c.again) != 1 {
			t.Errorf("%s: want %q in %v", c.name, c.again, h.lines)
		}
	}
	set := base()
	set.Classes[0].Idempotency = NonIdempotent
	h := start(t, set)
	h.ask(Request{})
	h.end("r1", 0, Errored)
	h.want("fail r1", 1)
	h.want("send", 1)
	h.ask(Request{Shard: 1})
	h.end("r2", 0, ConnectFailed)
	h.wait(200 * ms)
	h.want("send r2", 2)
}

func TestKeyedRefusedOnlyBeforeItMayHaveRun(t *testing.T) {
	h := start(t, keyed(ScopeShard))
	h.ask(Request{})
	h.wait(2 * time.Second)
	h.want("fail r1", 1)
	h.want("refuse", 0)
}

func TestOneAttemptAtATimeAndAtMostMaxAttempts(t *testing.T) {
	h := start(t, base())
	id := h.ask(Request{})
	if h.send(h.requests[id], h.nodes["a"]) {
		t.Fatal("two attempts out at once")
	}
	for n := range 4 {
		h.end(id, n, Errored)
	}
	h.want("send", 4)
	h.want("refuse "+id, 1)
}

func TestGuardOrder(t *testing.T) {
	set := base()
	set.Classes[0].Ordered = true
	set.Rules.OrderedKeyQuietPeriod = 200 * ms
	set.Plans[0].Reserve = 1000 // a queue at the node holds back only what is beyond it
	h := start(t, set)
	h.ask(Request{Key: "k"})
	h.ask(Request{Key: "k", Shard: 1})
	h.ask(Request{Key: "other", Shard: 1})
	h.ask(Request{Shard: 1})
	h.want("send r2", 0)
	h.want("send r3", 1)
	h.want("send r4", 1)
	h.ClientDisconnected(h.now, "r1") // finished, but its attempt has no outcome
	h.wait(50 * ms)
	h.want("send r2", 0)
	h.end("r1", 0, Canceled)
	h.wait(100 * ms)
	h.want("send r2", 0)
	h.wait(105 * ms)
	h.want("send r2", 1)
}

func TestOrderedKeyGoesOnAfterARefusal(t *testing.T) {
	set := base()
	set.Classes[0].Ordered = true
	h := start(t, set)
	h.ask(Request{Key: "k"})
	h.ask(Request{Key: "k", ClientTimeout: 100 * ms})
	h.ask(Request{Key: "k"})
	h.wait(150 * ms)
	h.want("refuse r2", 1)
	h.end("r1", 0, Served)
	h.want("send r3", 1)
}

func limited() Settings {
	set := base()
	set.Plans[0].Limit, set.Plans[0].Burst = 20, 24
	return set
}

// A host's store holds half its even part of burst and slack and starts with it.
func TestGuardLimit(t *testing.T) {
	h := start(t, limited())
	part := (h.set.Plans[0].Burst + h.set.Plans[0].Slack) / 2 / 2
	filled := h.set.Plans[0].Limit / 2 // in the second that serve takes
	serve := func() float64 {
		before := h.count("send")
		for i := range 20 {
			h.end(h.ask(Request{Hosts: 2, Shard: 1, Key: fmt.Sprint(i)}), 0, Served)
		}
		h.wait(time.Second)
		h.serveAll()
		return 2 * float64(h.count("send")-before)
	}
	if sent := serve(); sent > part+filled || sent < part {
		t.Fatalf("sent %v units at first, want %v", sent, part)
	}
	h.wait(time.Minute)
	if sent := serve(); sent > part+filled || sent < part {
		t.Fatalf("sent %v units when full again, want %v", sent, part)
	}
}

// A request larger than a host's store leaves when the store is full, and its debt is repaid before the next.
func TestLimitLetsALargeRequestLeave(t *testing.T) {
	set := limited()
	set.Plans[0].Burst, set.Plans[0].Limit, set.Classes[0].LatencyObjective = 12, 12, 2*time.Second
	h := start(t, set)
	h.end(h.ask(Request{Hosts: 6, Units: 6, Shard: 1, Key: "1"}), 0, Served)
	h.want("send r1", 1)
	h.ask(Request{Hosts: 6, Units: 6, Shard: 1, Key: "2"})
	h.want("send r2", 0)
	h.want("refuse r2", 1) // its six units take three seconds to fill, its aim is nearer
	h.wait(3100 * ms)
	h.ask(Request{Hosts: 6, Units: 6, Shard: 1})
	h.want("send r3", 1)
}

// Many hosts that ask for far more than the limit, each of which dies once and comes back, hold the joint store.
func TestHostsTogetherHoldTheLimit(t *testing.T) {
	const hosts = 12
	set := limited()
	set.Plans[0].Limit, set.Plans[0].Burst, set.Plans[0].Slack = 24, 12*hosts, 1.2*hosts
	joint := store{rate: set.Plans[0].Limit, most: set.Plans[0].Burst, level: set.Plans[0].Burst, at: time.Minute}
	lowest := joint.level
	all := make([]*host, hosts)
	for i := range all {
		all[i] = start(t, set)
	}
	for step := range 600 {
		for i, h := range all {
			if step == 20+i { // killed with an empty store
				all[i] = start(t, set)
				all[i].now = h.now
				h = all[i]
			}
			h.lines, h.sends = nil, nil
			h.wait(10 * ms)
			h.ask(Request{Hosts: hosts, Shard: 1, Key: fmt.Sprint(step)})
			joint.fill(h.now)
			joint.level -= 2 * float64(len(h.sends))
			h.serveAll()
			if joint.level < -set.Plans[0].Slack {
				t.Fatalf("step %d: joint store at %v", step, joint.level)
			}
			lowest = min(lowest, joint.level)
		}
	}
	if lowest > 0.2*joint.most {
		t.Fatalf("joint store of %v never under %v: the limit was hardly used", joint.most, lowest)
	}
}

func TestFurtherAttemptsDrawNoUnits(t *testing.T) {
	h := start(t, limited())
	h.wait(time.Second)
	h.ask(Request{})
	v := h.volumes["v"]
	level := v.limit.fill(h.now)
	h.end("r1", 0, Errored)
	h.want("send r1", 2)
	if v.limit.fill(h.now) != level {
		t.Fatal("drew twice")
	}
}

func cold() Settings {
	set := base()
	set.Siblings = 2
	set.Rules = Rules{SlowStartShare: 0.25, SlowStartDuration: 10 * time.Second, SlowStartWindow: time.Second, SlowStartAllowance: 12}
	return set
}

func TestGuardCold(t *testing.T) {
	h := start(t, cold())
	h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "c", Shard: 2, StartedAt: h.now - 500*ms}}})
	for range 8 {
		id := h.ask(Request{Shard: 2})
		h.end(id, 0, Errored) // errors count too
		h.end(id, 1, Served)
	}
	h.want("send", 3) // 6 units: half of what the node always bears
	h.wait(400 * ms)
	h.want("send", 3)
	h.now += 10 * time.Second
	for range 8 {
		h.end(h.ask(Request{Shard: 2}), 0, Served)
	}
	if h.count("send") < 3+8 {
		t.Fatalf("still held when warm: %d sends", h.count("send"))
	}
}

// A hundred hosts, each with a fiftieth of what the warm node can do in a window, use it while it warms, and never
// send it what makes it fall, however cold it started.
func TestManyHostsTogetherSpareAColdNode(t *testing.T) {
	const hosts = 100
	set := base()
	set.Siblings = hosts
	set.Rules = Rules{SlowStartShare: 0.2, SlowStartDuration: 10 * time.Second, SlowStartWindow: time.Second, SlowStartAllowance: 30, SlowStartMultiple: 2.5}
	warm := set.Rules.SlowStartAllowance / set.Rules.SlowStartShare / set.Rules.SlowStartMultiple // units in a window
	all := make([]*host, hosts)
	for i := range all {
		rec := &recorder{}
		s, err := New(set, uint64(i), rec)
		if err != nil {
			t.Fatal(err)
		}
		all[i] = &host{Scheduler: s, recorder: rec, t: t, now: time.Minute}
		all[i].MembershipChanged(time.Minute, Membership{Kind: FullList, Nodes: []Node{{ID: "c", StartedAt: time.Minute}}})
	}
	asked, sent := 0.0, 0.0
	for second := range 10 {
		units := 0.0
		for i, h := range all {
			h.wait(time.Second)
			if i < int(warm)/2 { // of two units each
				h.lines, h.sends = nil, nil
				h.ask(Request{Key: fmt.Sprint(second)})
				units += 2 * float64(len(h.sends))
				asked += 2
				h.serveAll()
			}
		}
		bears := warm * set.Rules.SlowStartMultiple * (0.2 + 0.8*float64(second)/10)
		if sent += units; units > bears {
			t.Errorf("second %d: sent %v units, the node bears %v", second, units, bears)
		}
	}
	if sent < asked/3 {
		t.Errorf("sent %v of %v units: the node was hardly used while it warmed", sent, asked)
	}
}

// Whatever a fleet is asked for, and however unevenly, a cold node gets no more than it bears and what is put down to chance; and it is used meanwhile. Where 'at
// least one request each' was allowed, or a share of what came whatever came, thirty hosts pushed it over together.
func TestTheFleetSparesAColdNode(t *testing.T) {
	for _, hosts := range []int{3, 12, 30, 300} {
		for _, demand := range []float64{0.5, 1, 2.5, 5} { // of what the node can do when it is warm
			for seed := range uint64(4) {
				set := base()
				set.Siblings = hosts
				set.Sizes.MeanUnits, set.Sizes.MaxUnits = 2, 6
				set.Rules = Rules{SlowStartShare: 0.18, SlowStartDuration: 17 * time.Second, SlowStartWindow: 3 * time.Second, SlowStartAllowance: 76, SlowStartMultiple: 4}
				warm := set.Rules.SlowStartAllowance / set.Rules.SlowStartShare / set.Rules.SlowStartMultiple / set.Rules.SlowStartWindow.Seconds() // units a second
				random := rand.New(rand.NewPCG(seed, uint64(hosts)))
				all := make([]*host, hosts)
				for i := range all {
					rec := &recorder{}
					s, err := New(set, random.Uint64(), rec)
					if err != nil {
						t.Fatal(err)
					}
					all[i] = &host{Scheduler: s, recorder: rec, t: t, now: time.Minute}
					all[i].MembershipChanged(time.Minute, Membership{Kind: FullList, Nodes: []Node{{ID: "old", StartedAt: 0}}})
				}
				const began, burst = 10 * time.Second, 15 * time.Second // it is replaced, and five seconds later asked for twice as much
				type sending struct {
					at    time.Duration
					units float64
				}
				var sent []sending
				useful := 0.0
				now := time.Duration(0)
				for number := 0; now < began+16*time.Second; number++ {
					rate := demand * warm / 2 / 2.2 // requests have 2.2 units in the mean; half before the burst
					if now >= burst {
						rate *= 2
					}
					now += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
					h := all[random.IntN(hosts)]
					if random.IntN(2) == 0 { // a few are asked for half of all
						h = all[random.IntN((hosts+9)/10)]
					}
					if now >= began && h.nodes["new"] == nil {
						for _, each := range all {
							each.now = time.Minute + began
							each.MembershipChanged(each.now, Membership{Kind: FullList, Nodes: []Node{{ID: "new", StartedAt: time.Minute + began}}})
						}
					}
					h.now = time.Minute + now
					units := []float64{1, 1, 1, 2, 2, 2, 2, 2, 3, 6}[random.IntN(10)]
					h.TimerFired(h.now, 0)
					before := len(h.sends)
					h.RequestArrived(h.now, Request{ID: fmt.Sprint(number), Volume: fmt.Sprint(number), Units: units, ClientTimeout: 100 * ms, Hosts: 1})
					for _, one := range h.sends[before:] {
						sent = append(sent, sending{now, units})
						h.AttemptEnded(h.now, Outcome{ID: one.id, Node: one.node, Result: Served, Latency: 40 * ms, Concluded: true, VolumeUse: -1})
					}
					if now < began || len(h.sends) == before {
						continue
					}
					for sent[0].at < began || sent[0].at <= now-set.Rules.SlowStartWindow {
						sent = sent[1:]
					}
					sum := 0.0
					for _, x := range sent {
						sum += x.units
					}
					grown := min(1, 0.18+0.82*(now-began).Seconds()/17)
					useful += units
					n := 4 * grown * warm * 3 / 2
					if calls := sum / 2; calls > n+2*math.Sqrt(n)+2 {
						t.Fatalf("%d hosts, demand %v, seed %d: %v calls, %v after its start; the node bears %.0f and chance", hosts, demand, seed, calls, now-began, n)
					}
				}
				// What it can do while it warms, or what is asked for, whichever is less.
				if able := min(demand*0.8, 0.59) * warm * 16; useful < able/4 {
					t.Errorf("%d hosts, demand %v, seed %d: %.0f units sent, the node could do %.0f", hosts, demand, seed, useful, able)
				}
			}
		}
	}
}

func TestNodeBackAfterFailedConnectsIsCold(t *testing.T) {
	h := start(t, cold())
	h.ask(Request{})
	h.end("r1", 0, ConnectFailed)
	h.wait(50 * ms) // its rest is over
	h.end("r1", 1, ConnectFailed)
	h.want("log node a", 1)
	h.now += 2 * time.Second
	h.ask(Request{})
	h.end("r2", 0, Served)
	for range 8 {
		h.end(h.ask(Request{}), 0, Served)
	}
	h.want("send", 2+3) // 6 units within a second, r2's own included
}

// Resets on all nodes once had every node held and taken for cold.
func TestResetIsNoSignOfARestart(t *testing.T) {
	h := start(t, cold())
	h.ask(Request{})
	h.end("r1", 0, ConnectionReset)
	h.end("r1", 1, ConnectionReset)
	h.want("send r1", 3)
	for range 8 {
		h.end(h.ask(Request{}), 0, Served)
	}
	h.want("send", 3+8)
}

func TestGuardBudget(t *testing.T) {
	set := base()
	set.Rules.RetryBudgetWindow, set.Rules.RetryBudgetBase, set.Rules.RetryBudgetShare = time.Second, 1, 0.5
	h := start(t, set)
	h.ask(Request{})
	h.end("r1", 0, Errored)
	h.end("r1", 1, Errored) // 1 + 0.5 allow one further attempt
	h.wait(50 * ms)
	h.want("send", 2)
	h.ask(Request{Shard: 1})
	h.want("send", 4) // its own, and with two accepted a second further one
}

func TestGuardHealth(t *testing.T) {
	h := start(t, base())
	h.ask(Request{})
	h.end("r1", 0, Overloaded)
	h.ask(Request{})
	h.want("send", 1)
	h.wait(holdFirst + 10*ms)
	h.want("send", 2) // one at a time until one is served
	h.end("r1", 1, Served)
	h.want("send", 3)
}

func TestCapHoldsRequestsBack(t *testing.T) {
	h := start(t, base())
	for range 20 {
		h.ask(Request{Volume: "big", Units: 3})
	}
	if out := h.nodes["a"].out; out > InitialRequests*2 {
		t.Fatalf("%v units out over a cap of %v", out, h.nodes["a"].cap)
	}
	h.want("send", 5)
}

func TestCapFollowsTheFormula(t *testing.T) {
	h := start(t, base())
	n := h.nodes["a"]
	n.maxRate, n.minLatency, n.latency = 500, 0.02, 0.02
	h.setCap(n)
	if got, want := n.cap, 500*((2+alpha)*0.02-0.02); got != want {
		t.Fatalf("cap %v, want %v", got, want)
	}
	n.latency = 1
	h.setCap(n)
	if n.cap != h.set.Sizes.MaxUnits {
		t.Fatalf("cap %v under the largest request", n.cap)
	}
	n.maxRate, n.latency = 1e6, 0.02
	h.setCap(n)
	if n.cap != mostRequests*2 {
		t.Fatalf("cap %v over the ceiling", n.cap)
	}
}

// A cut by one host does not empty a node that others load: what it sees must not raise minLatency at will.
func TestRetestRaisesMinLatencyByAStep(t *testing.T) {
	h := start(t, base())
	n := h.nodes["a"]
	n.maxRate, n.minLatency, n.latency, n.out = 500, 0.02, 0.02, 40
	n.retestAt = h.now
	h.Scheduler.now = h.now
	h.retest(n)
	if n.cap > retestDepth*40 {
		t.Fatalf("no cut: cap %v", n.cap)
	}
	h.Scheduler.now += time.Second
	h.latencyOf(n, 1, 4)
	if n.minLatency != retestRaise*0.02 {
		t.Fatalf("minLatency %v", n.minLatency)
	}
	h.latencyOf(n, 1, 4)
	if n.minLatency != retestRaise*0.02 {
		t.Fatal("raised without a cut")
	}
}

func TestReservedLeaveFirstThenByWeight(t *testing.T) {
	set := base()
	set.Plans = []Plan{{Name: "x", Weight: 1}, {Name: "y", Weight: 3}, {Name: "z", Weight: 1, Reserve: 100}}
	h := start(t, set)
	n := h.nodes["a"]
	n.cap, n.latency, n.minLatency = 2, 0.001, 0.001
	h.ask(Request{Volume: "first"})
	for range 4 {
		h.ask(Request{Volume: "vx", Plan: 0})
	}
	for range 4 {
		h.ask(Request{Volume: "vy", Plan: 1})
	}
	h.ask(Request{Volume: "vz", Plan: 2})
	var order []string
	for range 9 {
		last := h.sends[len(h.sends)-1]
		order = append(order, h.requests[last.id].Volume)
		h.end(last.id, 0, Served)
		n.cap = 2
	}
	if order[1] != "vz" {
		t.Fatalf("reserved did not leave first: %v", order)
	}
	if y := len(slices.DeleteFunc(slices.Clone(order[2:7]), func(v string) bool { return v != "vy" })); y < 3 {
		t.Fatalf("weights not kept: %v", order)
	}
}

func TestRefusesEarlyWhatCannotBeAnsweredInTime(t *testing.T) {
	h := start(t, base())
	n := h.nodes["a"]
	n.cap, n.latency, n.minLatency = 6, 0.3, 0.3
	for range 12 {
		h.ask(Request{})
	}
	h.want("send", 3)
	if got := h.count("refuse"); got < 6 {
		t.Fatalf("%d refused", got)
	}
	for _, l := range h.lines {
		if strings.HasPrefix(l, "refuse") && strings.HasSuffix(l, " 0s") {
			t.Fatalf("no advice: %s", l)
		}
	}
}

// What is beyond its reserve waits at the host, and is not refused, while the node has a queue that would hold up
// what is within.
func TestBeyondTheReserveWaitsForAShortQueue(t *testing.T) {
	for reserve, atOnce := range map[float64]int{0: 1, 1000: 2} {
		set := base()
		set.Plans[0].Reserve = reserve
		h := start(t, set)
		n := h.nodes["a"]
		n.minLatency, n.latency, n.queue, n.known, n.heardAt = 0.02, 0.02, 0.15, smoothAnswers, h.now
		h.ask(Request{}) // there is always one out
		h.ask(Request{})
		h.want("send", atOnce)
		h.want("refuse", 0)
		n.queue = 0
		h.wait(10 * ms)
		h.want("send", 2)
	}
}

// ClassWork varies: what would take a little longer than its aim in the mean is often served in time all the same.
func TestLuckIsGivenAChance(t *testing.T) {
	for latency, sent := range map[float64]int{0.7: 1, 0.9: 0} {
		h := start(t, base())
		h.nodes["a"].latency, h.nodes["a"].minLatency = latency, latency
		h.ask(Request{})
		h.want("send", sent)
	}
}

// A volume's clients use their hosts unevenly: a host holds the part of the reserve that it serves of the volume,
// by what answers tell, and its even part where they tell nothing.
func TestReserveFollowsTheMeter(t *testing.T) {
	for use, want := range map[float64]float64{-1: 25, 0.1: 100, 0.4: 50, 4: 25} {
		set := base()
		set.Siblings, set.Plans[0].Reserve = 4, 100
		h := start(t, set)
		for range 20 { // 20 units a second
			h.wait(100 * ms)
			id := h.ask(Request{Hosts: 4})
			h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: Served, Latency: 20 * ms, Concluded: true, VolumeUse: use})
		}
		if got := h.volumes["v"].reserve.rate; got < 0.8*want || got > 1.2*want {
			t.Errorf("at a use of %v the part is %v, want about %v", use, got, want)
		}
	}
}

// What a light load was served is no measure of what the node could serve: requests were once refused for it.
func TestRateOfALightLoadRefusesNothing(t *testing.T) {
	h := start(t, base())
	n := h.nodes["a"]
	n.cap, n.maxRate, n.latency, n.minLatency = 6, 3, 0.03, 0.03
	for range 6 {
		h.ask(Request{})
	}
	h.want("send", 3)
	h.want("refuse", 0)
}

// Long-aim requests beyond the reserve must not keep a node full while others with a short aim have to pass.
func TestQueueAtNodeIsMeasuredAgainstTheShortestAim(t *testing.T) {
	set := base()
	set.Classes = append(set.Classes, Class{Name: "bulk", LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1})
	h := start(t, set)
	n := h.nodes["a"]
	n.minLatency, n.latency, n.queue, n.known, n.heardAt = 0.05, 0.8, 0.8, smoothAnswers, h.now
	h.ask(Request{Class: 1})
	h.want("refuse r1", 1)
	h.now += 4 * nodeForget // a stale figure shuts no node
	h.ask(Request{Class: 1})
	h.want("send r2", 1)
}

// A node that was not heard for long is taken to have the median queue of those that were: one slow node of
// three does not shut the others, an overload of most does.
func TestQueueElsewhereIsThePriorOfAnUnheardNode(t *testing.T) {
	for slow, refused := range map[int]int{1: 0, 2: 1} {
		h := start(t, base())
		h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "c", Shard: 2}, {ID: "d", Shard: 3}}})
		for i, id := range []string{"a", "b", "c"} {
			n := h.nodes[id]
			n.minLatency, n.latency, n.known, n.heardAt = 0.05, 0.05, 1, h.now
			if i < slow {
				n.queue = 2
			}
		}
		h.wait(30 * ms)
		h.ask(Request{Shard: 3})
		h.want("refuse", refused)
	}
}

// An attempt that is out far longer than its work explains tells of a queue before its answer does, unless a
// later one was served or it has been out for so long that its answer is more likely lost.
func TestOverdueAttemptTellsOfAQueue(t *testing.T) {
	queue := func(out time.Duration, passed int) float64 {
		h := start(t, base())
		n := h.nodes["a"]
		n.minLatency, n.latency = 0.02, 0.02
		h.ask(Request{})
		h.wait(out)
		n.pending[0].passed = passed
		h.survey()
		return h.queueAt(n)
	}
	if q := queue(400*ms, 0); q < 0.1 {
		t.Errorf("overdue: queue %v", q)
	}
	if q := queue(400*ms, 1); q > 0 {
		t.Errorf("passed by a later one: queue %v", q)
	}
	if q := queue(lostAims*500*ms-100*ms, 0); q < 1 {
		t.Errorf("out for long: queue %v", q)
	}
}

func TestNewObjectGoesWhereTheWaitIsLeast(t *testing.T) {
	h := start(t, base())
	h.nodes["a"].latency, h.nodes["a"].minLatency = 0.2, 0.2
	h.nodes["b"].latency, h.nodes["b"].minLatency = 0.02, 0.02
	h.ask(Request{Shard: AnyShard})
	h.want("send r1 b", 1)
}

func TestAsksWhereAskingIsNeeded(t *testing.T) {
	set := base()
	set.PollMembership = true
	h := start(t, set)
	h.want("watch", 1)
	h.MembershipChanged(h.now, Membership{Kind: WatchFailed})
	h.wait(120 * ms)
	h.want("watch", 1)
	h.wait(160 * ms)
	h.want("watch", 2)
	h.MembershipChanged(h.now, Membership{Kind: WatchFailed})
	h.MembershipChanged(h.now, Membership{Kind: WatchFailed}) // the same failure, told twice
	h.wait(240 * ms)
	h.want("watch", 2) // it backs off
	h.wait(290 * ms)
	h.want("watch", 3)
	quiet := start(t, base())
	quiet.want("watch", 0)
}

// Where a whole fleet had lost discovery, it came back to it in step: most were turned away, again and again, and were told of drains too late.
func TestAsksAgainOutOfStep(t *testing.T) {
	set := base()
	set.PollMembership = true
	at := map[time.Duration]int{}
	for seed := range uint64(300) {
		r := &recorder{}
		s, err := New(set, seed, r)
		if err != nil {
			t.Fatal(err)
		}
		s.MembershipChanged(time.Hour, Membership{Kind: FullList})
		last := time.Hour
		for try := range 12 { // of a long outage
			s.MembershipChanged(last, Membership{Kind: WatchFailed})
			now := last
			for before := len(r.lines); !slices.Contains(r.lines[before:], "watch"); now += housekeepEvery {
				s.TimerFired(now, 0)
			}
			if now-last > askMost+2*housekeepEvery {
				t.Fatalf("a pause of %v at try %d", now-last, try)
			}
			last = now
		}
		at[last.Truncate(100*ms)]++
	}
	for when, n := range at {
		if n > 30 {
			t.Errorf("%d of 300 call in the same 100 ms, at %v", n, when)
		}
	}
}

// An agent on this machine is silent while discovery is down, and what it has at its return counts as told at once.
func TestWatchesAnAgentWithoutPause(t *testing.T) {
	set := base()
	set.LocalAgent = true
	h := start(t, set)
	h.want("watch", 1)
	for try := range 8 {
		h.MembershipChanged(h.now, Membership{Kind: WatchFailed})
		h.wait(2 * housekeepEvery)
		h.want("watch", 2+try)
	}
}

func TestHomelessRequestFindsTheReplacement(t *testing.T) {
	h := start(t, base())
	h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "a", Phase: Removed}}})
	h.ask(Request{})
	h.wait(50 * ms)
	h.MembershipChanged(h.now, Membership{Kind: DeltaList, Nodes: []Node{{ID: "a2"}}})
	h.want("send r1 a2", 1)
}

// Clients with little patience were once taken for late repetitions and turned away.
func TestLittlePatienceIsNoRepetition(t *testing.T) {
	h := start(t, base())
	h.ask(Request{})
	h.ask(Request{ClientTimeout: 300 * ms})
	h.want("send r2", 1)
}

// A repetition is worth its full worth only within the aim of the first try.
func TestRepetitionKeepsTheAimOfTheTryGivenUp(t *testing.T) {
	h := start(t, base())
	n := h.nodes["a"]
	h.ask(Request{Key: "k1"})
	n.cap = 1
	h.ask(Request{Key: "k2"})
	h.wait(600 * ms)
	h.want("refuse r2", 1)
	h.ask(Request{Key: "k2"}) // patience for the whole deadline: another client's first try
	h.want("refuse r3", 0)
	h.ask(Request{Key: "k2", ClientTimeout: 1300 * ms})
	h.want("refuse r4", 1)
	h.ask(Request{Key: "k2", ClientTimeout: 1300 * ms}) // known once
	h.want("refuse r5", 1)
}

// An attempt that hangs while later ones are served is hardly at the node: it holds no room there, and comes back to
// none when it ends.
func TestWhatLaterOnesPassedHoldsNoRoom(t *testing.T) {
	for passed, want := range map[int]float64{1: 2, 2: 0} {
		h := start(t, base())
		for range 8 {
			h.end(h.ask(Request{}), 0, Served)
		}
		hangs := h.ask(Request{})
		for range passed {
			h.now += ms
			h.end(h.ask(Request{}), 0, Served)
		}
		h.wait(70 * ms)
		n := h.nodes["a"]
		if n.out != want {
			t.Errorf("%v units are taken for out after %d passed, want %v", n.out, passed, want)
		}
		if h.end(hangs, 0, ConnectionReset); n.out != 2 { // it goes out again
			t.Errorf("%v units are taken for out once it was sent again", n.out)
		}
	}
}

// A client that leaves after a moment tells nothing of a queue.
func TestAnEarlyLeaveTellsOfNoQueue(t *testing.T) {
	h := start(t, base())
	for range 8 {
		h.end(h.ask(Request{}), 0, Served)
	}
	id := h.ask(Request{})
	h.now += 15 * ms
	h.ClientDisconnected(h.now, id)
	if h.end(id, 0, Canceled); h.nodes["a"].queue > 0 {
		t.Errorf("a queue of %v s", h.nodes["a"].queue)
	}
}

// Attempts that are never answered once held the cap until their clients gave up.
func TestLostAttemptIsWithdrawnAndSentAgain(t *testing.T) {
	lose := func(set Settings) *host {
		h := start(t, set)
		for range 8 {
			h.end(h.ask(Request{}), 0, Served)
		}
		lost := h.ask(Request{})
		h.wait(20 * ms)
		for range 1 {
			h.end(h.ask(Request{}), 0, Served)
		}
		h.want("cancel", 0) // not out for long enough
		h.wait(400 * ms)
		if h.count("cancel") > 0 {
			h.end(lost, 0, Canceled)
		}
		return h
	}
	h := lose(base())
	h.want("cancel r9 0", 1)
	h.want("log node a", 1)
	h.want("send r9", 2)
	h = lose(keyed(ScopeShard)) // its window has passed
	h.want("send r9", 1)
	h.want("fail r9", 1)
	set := base()
	set.Allowed.Cancel = false
	h = lose(set)
	h.want("cancel", 0)
	h.want("send r9", 1)
}

func TestSlowAttemptThatNobodyPassedIsLeftAlone(t *testing.T) {
	h := start(t, base())
	for range 8 {
		h.end(h.ask(Request{}), 0, Served)
	}
	h.ask(Request{})
	h.wait(time.Second)
	h.want("cancel", 0)
}

func TestStreamHasNoDeadline(t *testing.T) {
	set := base()
	set.Classes[0].Streamed = true
	h := start(t, set)
	h.ask(Request{})
	h.StreamStarted(h.now, "r1", 0)
	h.wait(5 * time.Second)
	h.want("refuse", 0)
	h.want("fail", 0)
	h.want("cancel", 0)
}

// drive plays one mixed load and gives all actions.
func drive(h *host) string {
	results := []Result{Served, Errored, Served, Served, ConnectFailed, Served, ConnectionReset, Served, Served, TimedOut}
	for i := range 200 {
		id := h.ask(Request{Volume: fmt.Sprint("v", i%7), Units: float64(1 + i%6), Shard: i%3 - 1, Key: fmt.Sprint(i % 5)})
		if i%3 == 0 {
			h.wait(15 * ms)
			for _, s := range slices.Clone(h.sends) {
				if r := h.requests[s.id]; r != nil && len(r.open) > 0 {
					h.end(s.id, r.open[0].number, results[i/3%len(results)])
				}
			}
		}
		if i%11 == 0 {
			h.ClientDisconnected(h.now, id)
		}
	}
	h.wait(3 * time.Second)
	return strings.Join(h.lines, "\n")
}

func TestSameEventsGiveSameActions(t *testing.T) {
	set := limited()
	set.Classes[0].Ordered = true
	first := drive(start(t, set))
	for range 5 {
		if drive(start(t, set)) != first {
			t.Fatal("actions differ")
		}
	}
	if strings.Count(first, "send ") < 50 {
		t.Fatal("the load was hardly sent")
	}
}

func TestMixedLoadEndsEveryRequestOnce(t *testing.T) {
	h := start(t, base())
	drive(h)
	answers := map[string]int{}
	for _, l := range h.lines {
		if f := strings.Fields(l); f[0] == "refuse" || f[0] == "fail" {
			answers[f[1]]++
		}
	}
	for id, n := range answers {
		if n > 1 {
			t.Errorf("%s has %d answers", id, n)
		}
	}
	for id, r := range h.requests {
		if !r.ended {
			t.Errorf("%s has no answer", id)
		}
	}
}

func TestModuleStaysSmall(t *testing.T) {
	text, err := os.ReadFile("decide.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, l := range bytes.Split(text, []byte("\n")) {
		if len(bytes.TrimSpace(l)) > 0 {
			lines++
		}
		if wide := utf8.RuneCount(bytes.ReplaceAll(l, []byte("\t"), []byte("    "))); wide > 110 {
			t.Errorf("line %d has %d columns", i+1, wide)
		}
	}
	if lines > 940 {
		t.Errorf("%d lines that are not blank", lines)
	}
}

// Where clients leave early, the answers that are still seen are the quick ones: only unanswered attempts tell of
// the queue. Nodes once filled up with the work of those who had left.
func TestUnansweredAttemptTellsOfAQueue(t *testing.T) {
	h := start(t, base())
	n := h.nodes["a"]
	n.minLatency, n.latency = 0.02, 0.02
	for i := range 6 {
		id := h.ask(Request{Key: fmt.Sprint(i)})
		h.wait(100 * ms)
		if i%2 == 0 {
			h.ClientDisconnected(h.now, id)
			h.end(id, 0, Canceled)
		} else {
			h.end(id, 0, Served)
		}
	}
	if q := h.queueAt(n); q < 0.05 {
		t.Fatalf("queue %v", q)
	}
}

// The queue that answers report counts once they have shown how long a queued request takes; an impossible
// report counts as none.
func TestReportedQueueCountsWhereItIsLonger(t *testing.T) {
	set := base()
	set.Plans[0].Reserve = 1000 // beyond the reserve a queue at the node is a ground to refuse
	queue := func(queued float64) float64 {
		h := start(t, set)
		n := h.nodes["a"]
		for i := range 30 {
			id := h.ask(Request{Key: fmt.Sprint(i)})
			latency := 400 * ms
			if i == 29 {
				latency = 20 * ms
			}
			n.queue, n.known, n.minLatency, n.latency = 0, 0, 0.02, 0.02
			h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: Served, Latency: latency, Concluded: true, VolumeUse: -1,
				Load: &Load{InFlight: -1, Queued: queued, Busy: -1}})
		}
		return n.queue
	}
	if q := queue(10); q < 0.1 {
		t.Errorf("ten waiting: queue %v", q)
	}
	if q := queue(-7); q > 0 {
		t.Errorf("impossible report: queue %v", q)
	}
}

// Where a fifth of a class's clients leave long before its aim, what would take longer than they stay is refused.
func TestClientsThatLeaveEarlySetTheAim(t *testing.T) {
	set := base()
	set.Plans[0].Reserve = 1000
	h := start(t, set)
	n := h.nodes["a"]
	for i := range 20 {
		id := h.ask(Request{Key: fmt.Sprint(i)})
		h.wait(100 * ms)
		h.ClientDisconnected(h.now, id)
		h.end(id, 0, Canceled)
	}
	n.minLatency, n.latency, n.queue, n.known, n.heardAt = 0.02, 0.02, 0.2, 4, h.now
	h.lines = nil
	h.ask(Request{Key: "k"})
	h.want("refuse", 1)
	n.queue = 0
	h.ask(Request{Key: "l"})
	h.want("send", 1)
	for i := range 40 { // clients that stay end it
		h.end(h.ask(Request{Key: fmt.Sprint("s", i)}), 0, Served)
	}
	n.queue, n.known, n.heardAt = 0.2, 4, h.now
	h.lines = nil
	h.ask(Request{Key: "m"})
	h.want("send", 1)
}

// A long life does not grow: nodes that left, silent volumes and what was given up are forgotten, and a volume
// met again has no more of its limit than it had left.
func TestForgetsWhatIsOver(t *testing.T) {
	h := start(t, limited())
	h.ask(Request{Volume: "w", Units: 6, Shard: 1})
	h.serveAll()
	h.MembershipChanged(h.now, Membership{Kind: FullList, Nodes: []Node{{ID: "a"}}})
	spent := h.volumes["w"].limit.level
	h.ask(Request{Volume: "w", Units: 6}) // over the limit and turned away
	if h.volumes["w"].limit.level > spent {
		t.Fatalf("regained %v units", h.volumes["w"].limit.level-spent)
	}
	h.wait(3 * time.Second)
	h.serveAll()
	h.wait(30 * time.Second)
	if len(h.volumes) > 0 || len(h.nodes) != 1 || len(h.listed) != 1 || len(h.givenUp) > 0 || len(h.requests) > 0 {
		t.Fatalf("kept: %d volumes, %d nodes, %d given up", len(h.volumes), len(h.nodes), len(h.givenUp))
	}
	h.ask(Request{Volume: "w", Units: 6})
	if v := h.volumes["w"]; v.limit.level > v.limit.most {
		t.Fatalf("met again with %v of %v", v.limit.level, v.limit.most)
	}
}

// A host that stood still finds late timers, outcomes and departed clients at once: each request still has its
// one answer, and nothing goes out for those whose time is over.
func TestAfterALongStall(t *testing.T) {
	h := start(t, base())
	var ids []string
	for i := range 30 {
		ids = append(ids, h.ask(Request{Key: fmt.Sprint(i), Shard: i % 2}))
	}
	h.now += 10 * time.Second
	sends := len(h.sends)
	for i, id := range ids {
		if i%3 == 0 {
			h.ClientDisconnected(h.now, id)
		}
		if r := h.requests[id]; r != nil && len(r.open) > 0 {
			h.AttemptEnded(h.now, Outcome{ID: id, Node: "a", Result: TimedOut, Latency: 10 * time.Second, VolumeUse: -1})
		}
	}
	h.wait(50 * ms)
	if len(h.sends) > sends {
		t.Fatalf("%d sends for requests whose time was over", len(h.sends)-sends)
	}
	for i, id := range ids {
		answers := h.count("refuse "+id+" ") + h.count("fail "+id)
		if i%3 != 0 && answers == 0 && h.requests[id] != nil {
			t.Errorf("%s has no answer", id)
		}
		if answers > 1 && id != "r1" && id != "r2" && id != "r3" { // prefixes of others' names
			t.Errorf("%s has %d answers", id, answers)
		}
	}
	if len(h.requests) > 0 {
		t.Errorf("%d requests kept", len(h.requests))
	}
}

// Random legal events keep the rules: one attempt at a time, nothing after the end, only to nodes that are up,
// ordered keys in turn, keyed repeats in their group and time, one answer each.
func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		set := keyed(ScopeShard)
		set.Classes[0].Ordered, set.Rules.OrderedKeyQuietPeriod = true, 50*ms
		set.Plans[0].Limit, set.Plans[0].Burst = 200, 200
		h := start(t, set)
		random := rand.New(rand.NewPCG(seed, 1))
		type state struct {
			key, ranOn string
			ranAt      time.Duration
			out, ended bool
		}
		all, order, up := map[string]*state{}, []string{}, map[string]bool{"a": true, "b": true}
		attempts, answers, seen := map[string]int{}, map[string]int{}, 0
		check := func() {
			for ; seen < len(h.lines); seen++ {
				word := strings.Fields(h.lines[seen])
				switch word[0] {
				case "send":
					r := all[word[1]]
					if r.out || r.ended || !up[word[2]] {
						t.Fatalf("seed %d: %s: out %v, ended %v, node up %v", seed, h.lines[seen], r.out, r.ended, up[word[2]])
					}
					if r.ranOn != "" && (r.ranOn != word[2] || h.now >= r.ranAt+set.Classes[0].DedupWindow) {
						t.Fatalf("seed %d: %s may run twice: ran on %s %v ago", seed, h.lines[seen], r.ranOn, h.now-r.ranAt)
					}
					for _, id := range order {
						if o := all[id]; id == word[1] {
							break
						} else if o.key == r.key && (!o.ended || o.out) {
							t.Fatalf("seed %d: %s before %s", seed, word[1], id)
						}
					}
					r.out = true
					if r.ranOn == "" {
						r.ranOn, r.ranAt = word[2], h.now
					}
				case "refuse", "fail":
					answers[word[1]]++
					if all[word[1]].ended {
						t.Fatalf("seed %d: %s: a second answer", seed, h.lines[seen])
					}
					if word[0] == "refuse" && all[word[1]].ranOn != "" {
						t.Fatalf("seed %d: %s, but it may have run", seed, h.lines[seen])
					}
					all[word[1]].ended = true
				}
			}
		}
		for step := range 400 {
			switch random.IntN(4) {
			case 0, 1:
				id := fmt.Sprint("r", h.id+1)
				all[id] = &state{key: fmt.Sprint(step % 3)}
				order = append(order, id)
				h.ask(Request{Key: all[id].key, Shard: random.IntN(3) - 1, ClientTimeout: time.Duration(1+random.IntN(2000)) * ms})
			case 2:
				for _, s := range slices.Clone(h.sends) {
					if r := h.requests[s.id]; r != nil && len(r.open) > 0 && random.IntN(3) == 0 {
						result := Result(random.IntN(int(NotSent)))
						n := r.open[0].number
						all[s.id].out = false
						if result == Overloaded || result == ConnectFailed {
							if attempts[s.id] == 0 {
								all[s.id].ranOn = ""
							}
						} else {
							attempts[s.id]++
						}
						all[s.id].ended = all[s.id].ended || result == Served
						h.end(s.id, n, result)
						check()
						break
					}
				}
			case 3:
				for range random.IntN(12) {
					h.wait(5 * ms)
					check()
				}
			}
			check()
		}
		for range 600 {
			h.wait(5 * ms)
			check()
		}
		for _, id := range order {
			if !all[id].ended {
				t.Fatalf("seed %d: %s has no answer", seed, id)
			}
		}
	}
}
