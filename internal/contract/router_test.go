package contract

import (
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes every run draw the same cases.
func init() { flag.Set("rapid.seed", "1") }

// scan is the reference for the Router: it compares the call with every operation, first with those that name its host,
// then with those that name none.
func scan(operations []*Operation, c *Call) *Operation {
	var withHost, withoutHost []*Operation
	for _, o := range operations {
		switch {
		case o.Host == "":
			withoutHost = append(withoutHost, o)
		case strings.EqualFold(o.Host, c.Host):
			withHost = append(withHost, o)
		}
	}
	if best := scanHost(withHost, c); best != nil {
		return best
	}
	return scanHost(withoutHost, c)
}

// scanHost returns the operation with the highest precedence that matches a call.
func scanHost(operations []*Operation, c *Call) *Operation {
	if !strings.HasPrefix(c.Path, "/") || len(c.Path) > maxPathBytes {
		return nil
	}
	parts := strings.Split(c.Path[1:], "/")
	if len(parts) > maxPathSegments {
		return nil
	}
	var best *Operation
	var bestSegments []pathSegment
	for _, o := range operations {
		segments, err := parsePathTemplate(o.Template)
		if err != nil || o.Method != c.Method || !scanSegments(segments, parts) || !scanConditions(o, c) {
			continue
		}
		if best == nil || takesPrecedence(o, segments, best, bestSegments) {
			best, bestSegments = o, segments
		}
	}
	return best
}

// scanSegments reports whether the segments of a path match the segments of a template.
func scanSegments(segments []pathSegment, parts []string) bool {
	if len(segments) != len(parts) {
		return false
	}
	for i, segment := range segments {
		text, ok := decodeSegment(parts[i])
		matches := ok && text == segment.text
		switch {
		case segment.parameter:
			matches = ok
		case segment.text == "":
			matches = parts[i] == ""
		}
		if !matches {
			return false
		}
	}
	return true
}

// scanConditions reports whether a call meets the conditions of an operation and has a body that it describes.
func scanConditions(o *Operation, c *Call) bool {
	for _, condition := range o.When {
		value := c.Header.Get(condition.Name)
		if condition.In == "query" {
			query, _ := url.ParseQuery(c.Query)
			value = query.Get(condition.Name)
		}
		if value != condition.Value {
			return false
		}
	}
	if !c.HasBody {
		return true
	}
	return slices.Contains(o.RequestTypes, c.Header.Get("Content-Type")) || o.HasBody && len(o.RequestTypes) == 0
}

// takesPrecedence reports whether a takes precedence over b: by more conditions on templates of the same shape, or by a
// literal in the first segment where only one has a parameter.
func takesPrecedence(a *Operation, aSegments []pathSegment, b *Operation, bSegments []pathSegment) bool {
	if shapeOf(aSegments) == shapeOf(bSegments) {
		return len(a.When) > len(b.When)
	}
	for i := range aSegments {
		if aSegments[i].parameter != bSegments[i].parameter {
			return bSegments[i].parameter
		}
	}
	return false
}

var drawnLiterals = rapid.SampledFrom([]string{"a", "b", "c", "a b", "é"})

// drawPath draws a path of 1 to 4 segments. If parameters is true, each segment may be a parameter such as {p0}.
func drawPath(t *rapid.T, label string, parameters bool) string {
	var path strings.Builder
	for i := range rapid.IntRange(1, 4).Draw(t, label) {
		if parameters && rapid.Bool().Draw(t, "template") {
			fmt.Fprintf(&path, "/{p%d}", i)
		} else {
			path.WriteString("/" + strings.ReplaceAll(drawnLiterals.Draw(t, "literal"), " ", "%20"))
		}
	}
	return path.String()
}

func drawOperation(t *rapid.T) *Operation {
	o := &Operation{
		Method:   rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method"),
		Template: drawPath(t, "segments", true),
	}
	o.Host = rapid.SampledFrom([]string{"", "", "a.example"}).Draw(t, "host")
	if rapid.Bool().Draw(t, "types") {
		o.HasBody = true
		o.RequestTypes = []string{rapid.SampledFrom([]string{"a/b", "a/c"}).Draw(t, "type")}
	}
	for _, condition := range []Condition{
		{Location{"query", "q"}, "1"},
		{Location{"header", "X-Kind"}, "2"},
	} {
		if rapid.IntRange(0, 3).Draw(t, "when") == 0 {
			o.When = append(o.When, condition)
		}
	}
	return o
}

func drawCall(t *rapid.T) *Call {
	c := &Call{
		Method:  rapid.SampledFrom([]string{"GET", "PUT", "POST"}).Draw(t, "asked"),
		Path:    drawPath(t, "of", false),
		Host:    rapid.SampledFrom([]string{"", "A.example", "b.example"}).Draw(t, "host"),
		Header:  http.Header{},
		Query:   rapid.SampledFrom([]string{"", "q=1", "q=2"}).Draw(t, "query"),
		HasBody: rapid.Bool().Draw(t, "body"),
	}
	c.Header.Set("X-Kind", rapid.SampledFrom([]string{"", "2"}).Draw(t, "kind"))
	c.Header.Set("Content-Type", rapid.SampledFrom([]string{"a/b", "a/c", "a/d"}).Draw(t, "type"))
	return c
}

// The Router finds the operation that a linear scan of all operations finds.
func TestRouterEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var operations []*Operation
		for range rapid.IntRange(1, 20).Draw(t, "operations") {
			o := drawOperation(t)
			// Leave out operations that match the same requests as others: they are faults.
			if faults, _ := Check(append(slices.Clip(operations), o)); len(faults) == 0 {
				operations = append(operations, o)
			}
		}
		r, err := NewRouter(operations)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			c := drawCall(t)
			if got, _ := r.Match(c, nil); got != scan(operations, c) {
				t.Fatalf("call %+v matches %+v, want %+v", c, got, scan(operations, c))
			}
		}
	})
}

// A path that software behind the gateway might resolve to another one matches no operation. A path that is merely
// encoded differently matches its operation.
func TestHostilePaths(t *testing.T) {
	var operations []*Operation
	for _, template := range []string{
		"/sheets/{id}", "/sheets/open", "/admin", "/sheets/{id}/entries/{entry}", "/", "/lists/",
	} {
		operations = append(operations, &Operation{Method: "GET", Template: template})
	}
	r, err := NewRouter(operations)
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		"/sheets/7":                            "/sheets/{id} [7]",
		"/sheets/open":                         "/sheets/open []",
		"/sheets/%6Fpen":                       "/sheets/open []",
		"/":                                    "/ []",
		"/lists/":                              "/lists/ []",
		"/lists":                               "",
		"/sheets/a%20b":                        "/sheets/{id} [a b]",
		"/sheets/1/entries/2":                  "/sheets/{id}/entries/{entry} [1 2]",
		"/sheets/..":                           "",
		"/sheets/%2e%2e":                       "",
		"/sheets/%2E":                          "",
		"/sheets/%252e%252e":                   "/sheets/{id} [%2e%2e]",
		"/sheets/a%2Fb":                        "",
		"/sheets/a%5cb":                        "",
		"/sheets//":                            "",
		"//admin":                              "",
		"/sheets/../admin":                     "",
		"/admin/":                              "",
		"/sheets/%00":                          "",
		"/sheets/%zz":                          "",
		"/sheets/%":                            "",
		"":                                     "",
		"sheets/7":                             "",
		"/sheets/":                             "",
		"/" + strings.Repeat("a/", 40_000):     "",
		"/sheets/" + strings.Repeat("x", 9000): "",
	} {
		t.Run(fmt.Sprintf("%.60q", path), func(t *testing.T) {
			got := ""
			if o, values := r.Match(&Call{Method: "GET", Path: path}, nil); o != nil {
				got = fmt.Sprint(o.Template, " ", values)
			}
			if got != want {
				t.Errorf("path %.60q matches %q, want %q", path, got, want)
			}
		})
	}
	t.Run("another method", func(t *testing.T) {
		if o, _ := r.Match(&Call{Method: "POST", Path: "/admin"}, nil); o != nil {
			t.Errorf("POST /admin matches %s, want no operation", o.Signature())
		}
	})
}

// manyOperations returns n operations, as a large description has them.
func manyOperations(n int) []*Operation {
	var operations []*Operation
	for i := range n {
		template := fmt.Sprintf("/area%d/things/{id}/part%d", i%97, i)
		operations = append(operations, &Operation{Method: "GET", Template: template})
	}
	return operations
}

func TestMatchDoesNotAllocate(t *testing.T) {
	r, err := NewRouter(manyOperations(1000))
	if err != nil {
		t.Fatal(err)
	}
	values := make([]string, 0, 1) // Each path has one parameter.
	call := Call{Method: "GET", Path: "/area5/things/12345/part102"}
	allocations := testing.AllocsPerRun(100, func() {
		if o, _ := r.Match(&call, values); o == nil {
			t.Fatalf("path %s matches no operation, want one", call.Path)
		}
	})
	if allocations > 0 {
		t.Errorf("%v allocations per match, want none", allocations)
	}
}

// For any path, the Router finds the same operation as a scan, and no parameter has an unsafe value.
func FuzzMatch(f *testing.F) {
	operations := append(manyOperations(50),
		&Operation{Method: "GET", Template: "/{a}/{b}"},
		&Operation{Method: "GET", Template: "/"},
	)
	r, err := NewRouter(operations)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{"/", "/area5/things/1/part5", "/a/%2e", "//", "/a/b/"} {
		f.Add(seed)
	}
	isUnsafe := func(value string) bool {
		return value == "" || value == ".." || strings.ContainsAny(value, "/\\\x00")
	}
	f.Fuzz(func(t *testing.T, path string) {
		call := &Call{Method: "GET", Path: path}
		got, values := r.Match(call, nil)
		if want := scan(operations, call); got != want {
			t.Fatalf("path %q matches %v, want %v", path, got, want)
		}
		if slices.ContainsFunc(values, isUnsafe) {
			t.Fatalf("path %q has an unsafe value among its parameters %q", path, values)
		}
	})
}

// BenchmarkRouter compares the Router with a scan of all operations.
func BenchmarkRouter(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		operations := manyOperations(n)
		r, err := NewRouter(operations)
		if err != nil {
			b.Fatal(err)
		}
		path := strings.Replace(operations[n-1].Template, "{id}", "12345", 1)
		b.Run(fmt.Sprint("tree of ", n), func(b *testing.B) {
			b.ReportAllocs()
			values := make([]string, 0, 1) // Each path has one parameter.
			for b.Loop() {
				r.Match(&Call{Method: "GET", Path: path}, values)
			}
		})
		b.Run(fmt.Sprint("scan of ", n), func(b *testing.B) {
			for b.Loop() {
				scan(operations, &Call{Method: "GET", Path: path})
			}
		})
	}
}
