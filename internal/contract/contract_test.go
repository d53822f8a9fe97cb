package contract

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") }

// scan finds the operation as the Router should, by looking at all of them: first those that name the call's host, then those that name none.
func scan(all []*Operation, c *Call) *Operation {
	var named, any []*Operation
	for _, o := range all {
		switch {
		case o.Host == "":
			any = append(any, o)
		case strings.EqualFold(o.Host, c.Host):
			named = append(named, o)
		}
	}
	if best := scanHost(named, c); best != nil {
		return best
	}
	return scanHost(any, c)
}

func scanHost(all []*Operation, c *Call) *Operation {
	name, path := c.Method, c.Path
	if !strings.HasPrefix(path, "/") || len(path) > mostPath {
		return nil
	}
	parts := strings.Split(path[1:], "/")
	if len(parts) > mostSegments {
		return nil
	}
	var best *Operation
	var bestSegments []segment
	for _, o := range all {
		segments, err := parseTemplate(o.Template)
		if err != nil || o.Method != name || len(segments) != len(parts) {
			continue
		}
		matches := true
		for i, s := range segments {
			text, ok := decode(parts[i])
			switch {
			case s.template:
				matches = matches && ok
			case s.text == "":
				matches = matches && parts[i] == ""
			default:
				matches = matches && ok && text == s.text
			}
		}
		for _, w := range o.When {
			value := c.Header.Get(w.Name)
			if w.In == "query" {
				query, _ := url.ParseQuery(c.Query)
				value = query.Get(w.Name)
			}
			matches = matches && value == w.Want
		}
		if c.Body && !slices.Contains(o.Types, c.Header.Get("Content-Type")) && !(o.Body && len(o.Types) == 0) {
			matches = false
		}
		if !matches {
			continue
		}
		better := best == nil || shapeOf(segments) == shapeOf(bestSegments) && len(o.When) > len(best.When)
		for i := 0; !better && i < len(segments); i++ {
			if segments[i].template != bestSegments[i].template {
				better = bestSegments[i].template
				break
			}
		}
		if better {
			best, bestSegments = o, segments
		}
	}
	return best
}

func TestRouterEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		literal := rapid.SampledFrom([]string{"a", "b", "c", "a b", "é"})
		path := func(label string, parameters bool) string {
			var out strings.Builder
			for i := range rapid.IntRange(1, 4).Draw(t, label) {
				if parameters && rapid.Bool().Draw(t, "template") {
					fmt.Fprintf(&out, "/{p%d}", i)
				} else {
					out.WriteString("/" + strings.ReplaceAll(literal.Draw(t, "literal"), " ", "%20"))
				}
			}
			return out.String()
		}
		var all []*Operation
		for range rapid.IntRange(1, 20).Draw(t, "operations") {
			o := &Operation{Method: rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method"), Template: path("segments", true)}
			o.Host = rapid.SampledFrom([]string{"", "", "a.example"}).Draw(t, "host")
			if rapid.Bool().Draw(t, "types") {
				o.Body, o.Types = true, []string{rapid.SampledFrom([]string{"a/b", "a/c"}).Draw(t, "type")}
			}
			for _, w := range []Condition{{Location{"query", "q"}, "1"}, {Location{"header", "X-Kind"}, "2"}} {
				if rapid.IntRange(0, 3).Draw(t, "when") == 0 {
					o.When = append(o.When, w)
				}
			}
			if faults, _ := Check(append(slices.Clip(all), o)); len(faults) == 0 { // those that match the same requests do not load
				all = append(all, o)
			}
		}
		r, err := NewRouter(all)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			method, asked := rapid.SampledFrom([]string{"GET", "PUT", "POST"}).Draw(t, "asked"), path("of", false)
			c := &Call{Method: method, Path: asked, Host: rapid.SampledFrom([]string{"", "A.example", "b.example"}).Draw(t, "host"), Header: http.Header{},
				Query: rapid.SampledFrom([]string{"", "q=1", "q=2"}).Draw(t, "query"), Body: rapid.Bool().Draw(t, "body")}
			c.Header.Set("X-Kind", rapid.SampledFrom([]string{"", "2"}).Draw(t, "kind"))
			c.Header.Set("Content-Type", rapid.SampledFrom([]string{"a/b", "a/c", "a/d"}).Draw(t, "type"))
			if got, _ := r.Match(c, nil); got != scan(all, c) {
				t.Fatalf("%+v: %+v, want %+v", c, got, scan(all, c))
			}
		}
	})
}

// A path that is another one to somebody behind the gateway reaches no operation, and one that is only written otherwise reaches its own.
func TestHostilePaths(t *testing.T) {
	all := []*Operation{{Method: "GET", Template: "/sheets/{id}"}, {Method: "GET", Template: "/sheets/open"}, {Method: "GET", Template: "/admin"},
		{Method: "GET", Template: "/sheets/{id}/entries/{entry}"}, {Method: "GET", Template: "/"}, {Method: "GET", Template: "/lists/"}}
	r, err := NewRouter(all)
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/sheets/7": "/sheets/{id} [7]", "/sheets/open": "/sheets/open []", "/sheets/%6Fpen": "/sheets/open []", "/": "/ []",
		"/lists/": "/lists/ []", "/lists": "", "/sheets/a%20b": "/sheets/{id} [a b]", "/sheets/1/entries/2": "/sheets/{id}/entries/{entry} [1 2]",
		"/sheets/..": "", "/sheets/%2e%2e": "", "/sheets/%2E": "", "/sheets/%252e%252e": "/sheets/{id} [%2e%2e]", "/sheets/a%2Fb": "", "/sheets/a%5cb": "", "/sheets//": "",
		"//admin": "", "/sheets/../admin": "", "/admin/": "", "/sheets/%00": "", "/sheets/%zz": "", "/sheets/%": "", "": "", "sheets/7": "", "/sheets/": "",
		"/" + strings.Repeat("a/", 40_000): "", "/sheets/" + strings.Repeat("x", 9000): ""} {
		got := ""
		if o, values := r.Match(&Call{Method: "GET", Path: path}, nil); o != nil {
			got = fmt.Sprint(o.Template, " ", values)
		}
		if got != want {
			t.Errorf("%.60s: %q, want %q", path, got, want)
		}
	}
	if o, _ := r.Match(&Call{Method: "POST", Path: "/admin"}, nil); o != nil {
		t.Error("another method")
	}
}

func TestLoad(t *testing.T) {
	all, err := Load("testdata/sheets.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var words []string
	for _, o := range all {
		words = append(words, fmt.Sprintf("%s %s %s %s %s %v %v %v", o.ID, o.Method, o.Template, o.Idempotency, o.Key.Name, o.DedupWindow, o.LatencyObjective, o.Deadline))
		if o.Position.Line == 0 {
			t.Errorf("%s: no line", o.ID)
		}
	}
	want := []string{"pay POST /payroll unsafe  0s 0s 0s", "openSheets GET /sheets/open unsafe  0s 0s 0s", "readSheet GET /sheets/{id} safe  0s 80ms 500ms",
		"writeSheet PUT /sheets/{id} keyed Idempotency-Key 4s 100ms 840ms"}
	if diff := cmp.Diff(want, words); diff != "" {
		t.Error(diff)
	}
	faults, suspicions := Check(all)
	if len(faults) > 0 || len(suspicions) != 1 || !strings.Contains(suspicions[0].Message, "nothing calls it safe") {
		t.Error(faults, suspicions)
	}
}

// OpenAPI 3.1: types in a list, numeric exclusive bounds, webhooks, which are nobody's calls here.
func TestLoadLater(t *testing.T) {
	all, err := Load("testdata/later.yaml")
	if err != nil || len(all) != 1 || all[0].Idempotency != Idempotent || all[0].Position.Line != 5 {
		t.Errorf("%v %v", all, err)
	}
}

const asyncTwo = `asyncapi: 2.6.0
channels:
  clock/in:
    x-contract: {repeats: keyed, key: {in: header, name: id, for: 1m}}
    publish: {operationId: take}
    subscribe:
      operationId: confirm
      x-contract: {repeats: safe, deadline: 1s}
`

const asyncThree = `{"asyncapi": "3.0.0", "channels": {"a/b": {"address": "clock/{room}"}, "later": {}},
 "operations": {"take": {"action": "receive", "channel": {"$ref": "#/channels/a~1b"}, "x-contract": {"repeats": "safe"}},
  "tell": {"action": "send", "channel": {"$ref": "#/channels/later"}}}}`

func TestAsyncAPI(t *testing.T) {
	words := func(content string) (string, error) {
		path := filepath.Join(t.TempDir(), "a.yaml")
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		all, err := Load(path)
		var out []string
		for _, o := range all {
			out = append(out, fmt.Sprintf("%d %s %s %s %s %v", o.Position.Line, o.ID, o.Signature(), o.Idempotency, o.Key.Name, o.Deadline))
		}
		if faults, _ := Check(all); len(faults) > 0 {
			t.Error(faults)
		}
		if _, err := NewRouter(all); err != nil {
			t.Error(err)
		}
		return strings.Join(out, "; "), err
	}
	for content, want := range map[string]string{
		asyncTwo:   "5 take receive clock/in keyed id 0s; 7 confirm send clock/in safe  1s",
		asyncThree: "2 take receive clock/{room} safe  0s; 3 tell send later unsafe  0s",
	} {
		if got, err := words(content); err != nil || got != want {
			t.Errorf("%v: %s", err, got)
		}
	}
	for content, want := range map[string]string{
		strings.Replace(asyncThree, `"3.0.0"`, `"4.0.0"`, 1):        `a.yaml:1: /asyncapi: AsyncAPI of version "4.0.0" is not read`,
		strings.Replace(asyncThree, "a~1b", "c", 1):                 `/operations/take/channel: "#/channels/c" is no channel`,
		strings.Replace(asyncThree, `"send"`, `"shout"`, 1):         `/operations/tell/action: "shout" is neither`,
		strings.Replace(asyncTwo, "repeats: safe", "repeats: x", 1): `/channels/clock~1in/subscribe/x-contract/repeats: value must be`,
		strings.Replace(asyncTwo, "deadline: 1s", "dead: 1s", 1):    "dead",
		"asyncapi: 2.6.0\nchannels: {}\n":                           "no operation is described",
	} {
		if _, err := words(content); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	ours, err := Load("../../api/asyncapi.yaml", "../../api/openapi.yaml")
	if err != nil || len(ours) < 4 {
		t.Errorf("%d operations, %v", len(ours), err)
	}
}

// What is wrong is told all at once, with its place.
func TestFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/sheets.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for change, want := range map[[2]string]string{
		{"repeats: safe, aim", "repeats: sometimes, aim"}:                           `/paths/~1sheets~1{id}/get/x-contract/repeats: value must be one of 'safe'`,
		{"aim: 80ms", "aim: soon"}:                                                  `/x-contract/aim: 'soon' does not match pattern`,
		{"aim: 80ms", "wish: 80ms"}:                                                 "wish",
		{"aim: 80ms, deadline: 500ms", "aim: 800ms, deadline: 500ms"}:               "its deadline, 500ms, is shorter than its aim, 800ms",
		{"key: {in: header, name: Idempotency-Key, for: 4s}, ", ""}:                 "does not say where its key stands",
		{"in: header, name: Idempotency-Key", "in: cookie, name: x"}:                `/x-contract/key/in: value must be one of 'header'`,
		{"in: header, name: Idempotency-Key", "in: path, name: x"}:                  "its path has no {x}",
		{"operationId: pay", "operationId: pay\n      x-contract: {repeats: safe}"}: "says that it creates",
		{"openapi: 3.0.3", "openapi: nonsense: x"}:                                  "mapping values are not allowed",
		{"/sheets/open:", "/sheets/{x}{y}:"}:                                        "",
	} {
		path := filepath.Join(t.TempDir(), "d.yaml")
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), change[0], change[1], 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		all, err := Load(path)
		if err == nil {
			if faults, _ := Check(all); len(faults) > 0 {
				err = faults
			}
		}
		var faults Faults
		if !errors.As(err, &faults) || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), path) {
			t.Errorf("%q: %v, want %s", change[1], err, want)
		}
	}
	same := []*Operation{{Method: "GET", Template: "/a/{x}", Idempotency: Idempotent}, {Method: "GET", Template: "/a/{y}", Idempotency: Idempotent}, {Method: "GET", Template: "/{z}/b", Idempotency: Idempotent}}
	if faults, _ := Check(same); len(faults) != 1 || !strings.Contains(faults[0].Message, "matches the same requests as GET /a/{x}") {
		t.Error(faults)
	}
	if _, err := Load("testdata/none.yaml"); err == nil {
		t.Error("a file that is not there")
	}
}

// many are operations as a large description has them.
func many(n int) (all []*Operation) {
	for i := range n {
		all = append(all, &Operation{Method: "GET", Template: fmt.Sprintf("/area%d/things/{id}/part%d", i%97, i)})
	}
	return all
}

func TestNoAllocation(t *testing.T) {
	r, err := NewRouter(many(1000))
	if err != nil {
		t.Fatal(err)
	}
	values := make([]string, 0, r.most)
	call := Call{Method: "GET", Path: "/area5/things/12345/part102"}
	if n := testing.AllocsPerRun(100, func() {
		if o, _ := r.Match(&call, values); o == nil {
			t.Fatal("no match")
		}
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func FuzzMatch(f *testing.F) {
	all := append(many(50), &Operation{Method: "GET", Template: "/{a}/{b}"}, &Operation{Method: "GET", Template: "/"})
	r, err := NewRouter(all)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{"/", "/area5/things/1/part5", "/a/%2e", "//", "/a/b/"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, path string) {
		got, values := r.Match(&Call{Method: "GET", Path: path}, nil)
		if want := scan(all, &Call{Method: "GET", Path: path}); got != want {
			t.Fatalf("%q: %v, want %v", path, got, want)
		}
		if slices.ContainsFunc(values, func(v string) bool { return v == "" || v == ".." || strings.ContainsAny(v, "/\\\x00") }) {
			t.Fatalf("%q: %q", path, values)
		}
	})
}

func BenchmarkRouter(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		all := many(n)
		r, err := NewRouter(all)
		if err != nil {
			b.Fatal(err)
		}
		path := strings.Replace(all[n-1].Template, "{id}", "12345", 1)
		b.Run(fmt.Sprint("tree of ", n), func(b *testing.B) {
			b.ReportAllocs()
			values := make([]string, 0, r.most)
			for b.Loop() {
				r.Match(&Call{Method: "GET", Path: path}, values)
			}
		})
		b.Run(fmt.Sprint("scan of ", n), func(b *testing.B) {
			for b.Loop() {
				scan(all, &Call{Method: "GET", Path: path})
			}
		})
	}
}
