package catalog

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"reachpulley/internal/contract"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

func init() { flag.Set("rapid.seed", "1") }

// settings have the classes of the platform's, and one that allows no repeat.
var settings = scheduler.Settings{Siblings: 1, Zones: []string{"a", "b"}, Sizes: scheduler.Sizes{MeanUnits: 2, MaxUnits: 8},
	Classes: []scheduler.Class{{Name: "sheet-read", LatencyObjective: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond, PriorityWeight: 3, LateWeightShare: 0.15},
		{Name: "entry-write", LatencyObjective: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 2, Idempotency: scheduler.IdempotentWithKey,
			DedupScope: scheduler.ScopeShard, DedupWindow: 4 * time.Second, Writes: true}},
	Plans:   []scheduler.Plan{{Name: "plain", Rate: 100, Weight: 1, Price: 1}},
	Allowed: scheduler.Allowed{Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4}}

func load(t testing.TB, path string) *Catalog {
	t.Helper()
	all, err := contract.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if faults, _ := contract.Check(all); len(faults) > 0 {
		t.Fatal(faults)
	}
	b, faults := New(all, settings)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return b
}

// The operators' table: a description of our own, loaded as at a start, and for each request the class and the repeat rule that it gets.
func TestTableOfRequests(t *testing.T) {
	b := load(t, "../../../examples/sheets.yaml")
	json := http.Header{"Content-Type": {"application/json; charset=utf-8"}, "X-Clock-In": {"4711"}}
	for _, c := range []struct {
		call contract.Call
		want string // operation, class, repeats, key, place
	}{
		{contract.Call{Method: "GET", Path: "/sheets/bridge/7", Header: http.Header{"X-Shard": {"3"}}}, "readSheet sheet-read 0 0 0s  {2e9c4f76cd6d1c2e 3f3c7dbcbc4b4c9a 1 3 true}"},
		{contract.Call{Method: "POST", Path: "/entries/bridge/7", Header: json, Body: true}, "clockIn entry-write 1 2 4s 4711 {- - 2 -1 true}"},
		{contract.Call{Method: "POST", Path: "/entries/bridge/7", Header: http.Header{"Content-Type": {"application/xml"}}, Body: true}, " entry-write 2 0 0s  {  0 0 false}"},
		{contract.Call{Method: "POST", Path: "/payroll/bridge/close", Header: http.Header{"X-Shard": {"0"}}}, "closePayroll entry-write 2 0 0s  {- - 8 0 true}"},
		{contract.Call{Method: "PUT", Path: "/payroll/bridge/close"}, " entry-write 2 0 0s  {  0 0 false}"},
		{contract.Call{Method: "GET", Path: "/sheets/bridge"}, " entry-write 2 0 0s  {  0 0 false}"},
		{contract.Call{Method: "GET", Path: "/sheets/bridge/.."}, " entry-write 2 0 0s  {  0 0 false}"},
	} {
		e, values := b.Lookup(&c.call, nil)
		id := ""
		if e.Operation != nil {
			id = e.Operation.ID
		}
		p, err := e.Placement(&c.call, values, 9000, 8)
		if err != nil {
			t.Error(err)
		}
		if p.Volume != "" { // hashes, 16 digits each, or what they were
			if len(p.Volume) != 16 || len(p.Data) != 16 {
				t.Errorf("%+v", p)
			}
			if strings.Contains(c.want, "{- -") {
				p.Volume, p.Data = "-", "-"
			} else {
				c.want = c.want[:strings.Index(c.want, "{")] + fmt.Sprint(p)
			}
		}
		got := fmt.Sprint(id, " ", settings.Classes[e.Class].Name, " ", int(e.RetryPolicy.Idempotency), " ", int(e.RetryPolicy.Scope), " ", e.RetryPolicy.Window, " ", e.Key(&c.call, values), " ", p)
		if got != c.want {
			t.Errorf("%s %s:\n%s, want\n%s", c.call.Method, c.call.Path, got, c.want)
		}
	}
	e, values := b.Lookup(&contract.Call{Method: "GET", Path: "/sheets/bridge/7", Header: http.Header{"X-Shard": {"north"}}}, nil)
	call := contract.Call{Method: "GET", Path: "/sheets/bridge/7", Header: http.Header{"X-Shard": {"north"}}}
	if _, err := e.Placement(&call, values, 0, 8); err == nil || !strings.Contains(err.Error(), `"north" is no shard`) {
		t.Error(err)
	}
}

func TestReadings(t *testing.T) {
	b := load(t, "../../../examples/sheets.yaml")
	e, _ := b.Lookup(&contract.Call{Method: "GET", Path: "/sheets/a/b"}, nil)
	got := map[int]httpmsg.StatusMeaning{}
	for _, status := range []int{200, 404, 500, 503, 418} {
		got[status] = e.StatusMeaning(status)
	}
	want := map[int]httpmsg.StatusMeaning{200: httpmsg.FinalAnswer, 404: httpmsg.FinalAnswer, 500: httpmsg.MayHaveRun, 503: httpmsg.NeverRan, 418: httpmsg.Undescribed}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if b.Undescribed.StatusMeaning(200) != httpmsg.Undescribed {
		t.Error("what nothing describes has a meaning")
	}
}

// A description that allows what its class forbids is a fault; one that allows less is none.
func TestContradictions(t *testing.T) {
	op := func(change func(*contract.Operation)) *contract.Operation {
		o := &contract.Operation{Method: "PUT", Template: "/a", Idempotency: contract.IdempotentWithKey, Key: contract.Location{In: "header", Name: "K"}, DedupWindow: 4 * time.Second,
			DedupScope: contract.ScopeShard, Class: "entry-write"}
		change(o)
		return o
	}
	for want, o := range map[string]*contract.Operation{
		"":             op(func(*contract.Operation) {}),
		" ":            op(func(o *contract.Operation) { o.Idempotency, o.DedupWindow = contract.NonIdempotent, 0 }),
		`no class "x"`: op(func(o *contract.Operation) { o.Class = "x" }),
		`it is called safe, and its class "entry-write"`:   op(func(o *contract.Operation) { o.Idempotency = contract.Idempotent }),
		"known for 5s, and in its class":                   op(func(o *contract.Operation) { o.DedupWindow = 5 * time.Second }),
		"discarded by more nodes":                          op(func(o *contract.Operation) { o.DedupScope = contract.ScopeAll }),
		"3s, is longer than that of its class":             op(func(o *contract.Operation) { o.Deadline = 3 * time.Second }),
		`class "sheet-read" only reads, and PUT that is n`: op(func(o *contract.Operation) { o.Class = "sheet-read" }),
	} {
		_, faults := New([]*contract.Operation{o}, settings)
		if (strings.TrimSpace(want) == "") != (len(faults) == 0) || !strings.Contains(faults.Error(), strings.TrimSpace(want)) {
			t.Errorf("%q: %v", want, faults)
		}
	}
}

// Descriptions that name no class make one for each set of times and rules, and no more than are bounded.
func TestMadeClasses(t *testing.T) {
	var all []*contract.Operation
	for i := range 200 {
		all = append(all, &contract.Operation{Method: "GET", Template: fmt.Sprint("/a", i), Idempotency: contract.Idempotent, LatencyObjective: time.Second, Deadline: time.Duration(2+i%3) * time.Second})
	}
	b, faults := New(all, settings)
	if len(faults) > 0 || len(b.GeneratedClasses) != 3 || len(b.Settings(settings).Classes) != 5 || len(settings.Classes) != 2 {
		t.Errorf("%v, %d made", faults, len(b.GeneratedClasses))
	}
	if _, err := scheduler.New(b.Settings(settings), 1, nil); err != nil {
		t.Error(err)
	}
	for i, o := range all {
		o.Deadline = time.Duration(2+i) * time.Second
	}
	if _, faults := New(all, settings); len(faults) != 1 || !strings.Contains(faults[0].Message, "make 200 classes") {
		t.Error(faults)
	}
}

func TestStrictest(t *testing.T) {
	for want, classes := range [][]scheduler.Class{
		{{Idempotency: scheduler.IdempotentWithKey}},
		{{}, {Idempotency: scheduler.IdempotentWithKey}, {}},
		{{Idempotency: scheduler.IdempotentWithKey, Deadline: 1}, {}, {Idempotency: scheduler.IdempotentWithKey, Writes: true, Deadline: 2}},
		{{Idempotency: scheduler.NonIdempotent, Deadline: 3}, {Idempotency: scheduler.NonIdempotent, Deadline: 2}, {Idempotency: scheduler.IdempotentWithKey}, {Idempotency: scheduler.NonIdempotent, Deadline: 1}},
	} {
		if got := Strictest(classes); got != want {
			t.Errorf("%d of %+v", got, classes)
		}
	}
}

// world carries out what the decisions call for and answers at random.
type world struct {
	random *rand.Rand
	sent   map[string][]string // nodes by request
	ran    map[string][]int    // attempts of it that may have run, by number
	open   []scheduler.Outcome
}

func (w *world) Send(id, node string, _ time.Duration) {
	w.open = append(w.open, scheduler.Outcome{ID: id, Node: node, Attempt: len(w.sent[id]), VolumeUse: -1})
	w.sent[id] = append(w.sent[id], node)
}
func (w *world) Cancel(string, int)             {}
func (w *world) Reject(string, time.Duration)   {}
func (w *world) Fail(string)                    {}
func (w *world) Probe(string)                   {}
func (w *world) SetTimer(time.Duration, uint64) {}
func (w *world) Watch()                         {}
func (w *world) Fetch()                         {}
func (w *world) Log(string)                     {}

// No entry-write leaves twice because of a description: whatever descriptions say, and however nodes fail, a write of the platform's is repeated only
// where its class allows it, at the rack that discards it, and never where its description is stricter.
func TestNoWriteLeavesTwiceBecauseOfADescription(t *testing.T) {
	further := 0
	rapid.Check(t, func(t *rapid.T) {
		var all []*contract.Operation
		if rapid.IntRange(0, 3).Draw(t, "described") > 0 {
			o := &contract.Operation{Method: "PUT", Template: "/api/{volume}/{data}"}
			switch o.Idempotency = rapid.SampledFrom([]contract.Idempotency{contract.Idempotent, contract.IdempotentWithKey, contract.NonIdempotent}).Draw(t, "repeats"); o.Idempotency {
			case contract.IdempotentWithKey:
				o.Key = contract.Location{In: rapid.SampledFrom([]string{"header", "query"}).Draw(t, "in"), Name: "K"}
				o.DedupWindow = time.Duration(rapid.IntRange(1, 9).Draw(t, "for")) * time.Second
				o.DedupScope = rapid.SampledFrom([]contract.DedupScope{contract.ScopeAll, contract.ScopeZone, contract.ScopeShard}).Draw(t, "group")
			}
			o.Class = rapid.SampledFrom([]string{"", "entry-write", "sheet-read"}).Draw(t, "class")
			o.LatencyObjective, o.Deadline = time.Duration(rapid.IntRange(0, 2).Draw(t, "aim"))*time.Second, 2*time.Second
			all = append(all, o)
		}
		all = append(all, &contract.Operation{Method: "GET", Template: "/else", Idempotency: contract.Idempotent})
		b, faults := New(all, settings)
		if len(faults) > 0 {
			return // it does not load
		}
		e, _ := b.Lookup(&contract.Call{Method: "PUT", Path: "/api/1/2"}, nil)
		w := &world{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), sent: map[string][]string{}, ran: map[string][]int{}}
		s, err := scheduler.New(b.Settings(settings), 1, w)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Minute
		s.MembershipChanged(now, scheduler.Membership{Kind: scheduler.FullList, Nodes: []scheduler.Node{{ID: "a0"}, {ID: "a1"}, {ID: "b0", Zone: 1, Shard: 1}, {ID: "b1", Zone: 1, Shard: 1}}})
		const write = 1 // a platform's client says X-Class: entry-write
		for i := range 60 {
			now += time.Duration(w.random.IntN(40)) * time.Millisecond
			s.TimerFired(now, 0)
			s.RequestArrived(now, scheduler.Request{ID: fmt.Sprint(i), Class: write, Volume: "v", Key: fmt.Sprint(i), Units: 1, Shard: w.random.IntN(3) - 1, Hosts: 1,
				ClientTimeout: 2 * time.Second, Operation: e.Name, RetryPolicy: e.RetryPolicy})
			for len(w.open) > 0 && w.random.IntN(4) > 0 {
				o := w.open[0]
				w.open = w.open[1:]
				o.Result = scheduler.Result(w.random.IntN(int(scheduler.NotSent) + 1))
				o.Concluded = o.Result == scheduler.Served
				switch o.Result {
				case scheduler.Overloaded, scheduler.ConnectFailed, scheduler.NotSent:
				default:
					w.ran[o.ID] = append(w.ran[o.ID], o.Attempt)
				}
				s.AttemptEnded(now, o)
			}
		}
		for id, ran := range w.ran {
			if len(ran) < 2 {
				continue
			}
			further++
			if e.RetryPolicy.Idempotency == scheduler.NonIdempotent {
				t.Fatalf("%s ran %d times, and its description is %s", id, len(ran), e.Name)
			}
			for _, number := range ran {
				if w.sent[id][number][0] != w.sent[id][ran[0]][0] {
					t.Fatalf("%s left for %v: another rack knows nothing of the first", id, w.sent[id])
				}
			}
		}
	})
	if further == 0 {
		t.Error("nothing was ever repeated")
	}
}
