package catalog

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/contract"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// A fixed seed makes every run draw the same cases.
func init() { flag.Set("rapid.seed", "1") }

// settings are an example with a class that reads and a class that writes.
var settings = scheduler.Settings{
	Siblings: 1,
	Zones:    []string{"a", "b"},
	Sizes:    scheduler.Sizes{MeanUnits: 2, MaxUnits: 8},
	Classes: []scheduler.Class{
		{
			Name:             "sheet-read",
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         1500 * time.Millisecond,
			PriorityWeight:   3,
			LateWeightShare:  0.15,
		},
		{
			Name:             "entry-write",
			LatencyObjective: 400 * time.Millisecond,
			Deadline:         2500 * time.Millisecond,
			PriorityWeight:   2,
			Idempotency:      scheduler.IdempotentWithKey,
			DedupScope:       scheduler.ScopeShard,
			DedupWindow:      4 * time.Second,
			Writes:           true,
		},
	},
	Plans: []scheduler.Plan{{Name: "plain", Rate: 100, Weight: 1, Price: 1}},
	Allowed: scheduler.Allowed{
		Cancel:        true,
		RetryAfter:    true,
		MaxRetryAfter: time.Second,
		MaxAttempts:   4,
	},
}

// loadCatalog loads and checks a description, and returns its catalog for settings.
func loadCatalog(t testing.TB, path string) *Catalog {
	t.Helper()
	operations, err := contract.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if faults, _ := contract.Check(operations); len(faults) > 0 {
		t.Fatal(faults)
	}
	c, faults := New(operations, settings)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return c
}

// formatEntry formats the operation, class, idempotency, deduplication scope and window, and key of a call.
func formatEntry(entry *Entry, call *contract.Call, values []string) string {
	id := ""
	if entry.Operation != nil {
		id = entry.Operation.ID
	}
	policy := entry.RetryPolicy
	return fmt.Sprint(id, " ", settings.Classes[entry.Class].Name, " ", int(policy.Idempotency), " ",
		int(policy.Scope), " ", policy.Window, " ", entry.Key(call, values))
}

// classifiedCall is a call with its expected entry, as formatEntry returns it, and its expected placement.
type classifiedCall struct {
	call      contract.Call
	want      string
	placement Placement // of Volume and Data, only the lengths are compared
}

// exampleCalls returns calls to the operations of examples/sheets.yaml and undescribed calls.
func exampleCalls() []classifiedCall {
	clockIn := http.Header{"Content-Type": {"application/json; charset=utf-8"}, "X-Clock-In": {"4711"}}
	xml := http.Header{"Content-Type": {"application/xml"}}
	placement := func(units float64, shard int) Placement {
		const anyID = "0123456789abcdef"
		return Placement{Volume: anyID, Data: anyID, Units: units, Shard: shard, HasShard: true}
	}
	return []classifiedCall{
		{
			contract.Call{Method: "GET", Path: "/sheets/bridge/7", Header: http.Header{"X-Shard": {"3"}}},
			"readSheet sheet-read 0 0 0s ",
			placement(1, 3),
		},
		{
			contract.Call{Method: "POST", Path: "/entries/bridge/7", Header: clockIn, HasBody: true},
			"clockIn entry-write 1 2 4s 4711",
			placement(2, -1),
		},
		{
			contract.Call{Method: "POST", Path: "/entries/bridge/7", Header: xml, HasBody: true},
			" entry-write 2 0 0s ",
			Placement{},
		},
		{
			contract.Call{Method: "POST", Path: "/payroll/bridge/close", Header: http.Header{"X-Shard": {"0"}}},
			"closePayroll entry-write 2 0 0s ",
			placement(8, 0),
		},
		{contract.Call{Method: "PUT", Path: "/payroll/bridge/close"}, " entry-write 2 0 0s ", Placement{}},
		{contract.Call{Method: "GET", Path: "/sheets/bridge"}, " entry-write 2 0 0s ", Placement{}},
		{contract.Call{Method: "GET", Path: "/sheets/bridge/.."}, " entry-write 2 0 0s ", Placement{}},
	}
}

// Each request of an example gets the class, retry policy and placement that its description states. The catalog is
// loaded as at the start of the gateway.
func TestRequestsGetTheirClassAndPlacement(t *testing.T) {
	c := loadCatalog(t, "../../../examples/sheets.yaml")
	for _, test := range exampleCalls() {
		t.Run(test.call.Method+" "+test.call.Path, func(t *testing.T) {
			entry, values := c.Lookup(&test.call, nil)
			if got := formatEntry(entry, &test.call, values); got != test.want {
				t.Errorf("entry %q, want %q", got, test.want)
			}
			got, err := entry.Placement(&test.call, values, 9000, 8)
			if err != nil {
				t.Fatal(err)
			}
			if len(got.Volume) != len(test.placement.Volume) || len(got.Data) != len(test.placement.Data) {
				t.Errorf("placement %+v, want a volume and data of the same lengths as in %+v", got, test.placement)
			}
			got.Volume, got.Data = test.placement.Volume, test.placement.Data
			if diff := cmp.Diff(test.placement, got); diff != "" {
				t.Errorf("placement (-want +got):\n%s", diff)
			}
		})
	}
	t.Run("a shard that is not a number", func(t *testing.T) {
		header := http.Header{"X-Shard": {"north"}}
		call := contract.Call{Method: "GET", Path: "/sheets/bridge/7", Header: header}
		entry, values := c.Lookup(&call, nil)
		_, err := entry.Placement(&call, values, 0, 8)
		if err == nil || !strings.Contains(err.Error(), `"north" is no shard`) {
			t.Errorf("error %v, want one that names the shard \"north\"", err)
		}
	})
}

// The meanings of statuses in a description become those that the backend uses.
func TestStatusMeanings(t *testing.T) {
	c := loadCatalog(t, "../../../examples/sheets.yaml")
	entry, _ := c.Lookup(&contract.Call{Method: "GET", Path: "/sheets/a/b"}, nil)
	want := map[int]httpmsg.StatusMeaning{
		200: httpmsg.FinalResponse,
		404: httpmsg.FinalResponse,
		500: httpmsg.MayHaveRun,
		503: httpmsg.NeverRan,
		418: httpmsg.Undescribed,
	}
	got := map[int]httpmsg.StatusMeaning{}
	for status := range want {
		got[status] = entry.StatusMeaning(status)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status meanings (-want +got):\n%s", diff)
	}
	if got := c.Undescribed.StatusMeaning(200); got != httpmsg.Undescribed {
		t.Errorf("status 200 of an undescribed call has the meaning %v, want %v", got, httpmsg.Undescribed)
	}
}

// A description that allows more than its class is a fault. One that allows less is not.
func TestContradictions(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*contract.Operation)
		want   string // a substring of the faults; empty: there must be none
	}{
		"no contradiction": {func(*contract.Operation) {}, ""},
		"the description allows less": {func(o *contract.Operation) {
			o.Idempotency = contract.NonIdempotent
			o.DedupWindow = 0
		}, ""},
		"an unknown class": {func(o *contract.Operation) { o.Class = "x" }, `no class "x"`},
		"safe in a class that is keyed": {
			func(o *contract.Operation) { o.Idempotency = contract.Idempotent },
			`the operation is declared safe, but its class "entry-write" is keyed`,
		},
		"a longer window": {
			func(o *contract.Operation) { o.DedupWindow = 5 * time.Second },
			`the window (for) of the key, 5s, is longer than that of its class "entry-write"`,
		},
		"a wider scope": {
			func(o *contract.Operation) { o.DedupScope = contract.ScopeAll },
			"the scope (group) of the key, all, has more nodes than its class",
		},
		"a longer deadline": {
			func(o *contract.Operation) { o.Deadline = 3 * time.Second },
			"the deadline of 3s is longer than that of its class",
		},
		"a write in a class that only reads": {
			func(o *contract.Operation) { o.Class = "sheet-read" },
			`class "sheet-read" only reads, but a PUT that is not declared safe writes`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			operation := &contract.Operation{
				Method:      "PUT",
				Template:    "/a",
				Idempotency: contract.IdempotentWithKey,
				Key:         contract.Location{In: "header", Name: "K"},
				DedupWindow: 4 * time.Second,
				DedupScope:  contract.ScopeShard,
				Class:       "entry-write",
			}
			test.change(operation)
			_, faults := New([]*contract.Operation{operation}, settings)
			if (test.want == "") != (len(faults) == 0) || !strings.Contains(faults.Error(), test.want) {
				t.Errorf("faults %v, want %q", faults, test.want)
			}
		})
	}
}

// Operations that name no class share one generated class for each combination of times and retry policy. More than
// maxGeneratedClasses are a fault.
func TestGeneratedClasses(t *testing.T) {
	var operations []*contract.Operation
	for i := range 200 {
		operations = append(operations, &contract.Operation{
			Method:           "GET",
			Template:         fmt.Sprint("/a", i),
			Idempotency:      contract.Idempotent,
			LatencyObjective: time.Second,
			Deadline:         time.Duration(2+i%3) * time.Second,
		})
	}
	c, faults := New(operations, settings)
	if len(faults) > 0 || len(c.GeneratedClasses) != 3 {
		t.Errorf("faults %v, %d generated classes, want 3", faults, len(c.GeneratedClasses))
	}
	if len(c.WithGeneratedClasses(settings).Classes) != 5 || len(settings.Classes) != 2 {
		const message = "%d classes with the generated ones, %d in the settings themselves; want 5 and 2"
		t.Errorf(message, len(c.WithGeneratedClasses(settings).Classes), len(settings.Classes))
	}
	if _, err := scheduler.New(c.WithGeneratedClasses(settings), 1, nil); err != nil {
		t.Errorf("making a scheduler with the generated classes: error %v, want none", err)
	}
	for i, operation := range operations {
		operation.Deadline = time.Duration(2+i) * time.Second
	}
	_, faults = New(operations, settings)
	if len(faults) != 1 || !strings.Contains(faults[0].Message, "generate 200 classes") {
		t.Errorf("faults %v, want one about 200 classes", faults)
	}
}

// The strictest class allows the fewest retries, then writes, then has the shortest deadline.
func TestStrictestClass(t *testing.T) {
	withKey := scheduler.Class{Idempotency: scheduler.IdempotentWithKey}
	for want, classes := range [][]scheduler.Class{
		{withKey},
		{{}, withKey, {}},
		{
			{Idempotency: scheduler.IdempotentWithKey, Deadline: 1},
			{},
			{Idempotency: scheduler.IdempotentWithKey, Writes: true, Deadline: 2},
		},
		{
			{Idempotency: scheduler.NonIdempotent, Deadline: 3},
			{Idempotency: scheduler.NonIdempotent, Deadline: 2},
			withKey,
			{Idempotency: scheduler.NonIdempotent, Deadline: 1},
		},
	} {
		t.Run(fmt.Sprint(len(classes), " classes"), func(t *testing.T) {
			if got := strictestClass(classes); got != want {
				t.Errorf("class %d, want %d of %+v", got, want, classes)
			}
		})
	}
}
