package expression

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func facts() *Facts {
	return &Facts{Method: "GET", Path: "/api/bridge/7", Query: url.Values{"rows": {"12"}}, Host: "h", Client: "127.0.0.1", Front: "http",
		Header:  http.Header{"X-A": {"one", "two"}, "X-Spaced": {"  Padded  "}, "X-When": {"2026-03-29 01:30"}, "X-List": {"a,b,c"}},
		Arrival: time.Date(2026, 3, 29, 0, 30, 0, 0, time.UTC), Length: 5}
}

// value compiles and evaluates.
func value(source string, scope Scope, f *Facts) (any, *Fault, error) {
	if scope.Sizes == (Sizes{}) {
		scope.Sizes = DefaultSizes
	}
	p, err := Compile(source, scope, String, Bool, Int, Number, Duration)
	if err != nil {
		return nil, nil, err
	}
	e := NewEvaluator(nil, 0, 1<<30)
	if fault := e.Begin(f, scope.Sizes); fault != nil {
		return nil, fault, nil
	}
	v, fault := e.Run(p)
	return v, fault, nil
}

func TestValues(t *testing.T) {
	scope := Scope{Constants: map[string]any{"crews": []any{"one", "three"}, "n": int64(3), "on": true, "x": 2.5, "word": "w"},
		Params: map[string]int{"project": 1}}
	for source, want := range map[string]any{
		`header("x-a")`:                                 "one", // names of headers have no case
		`len`:                                           nil,
		`has("X-A") && !has("X-B")`:                     true,
		`default(header("X-B"), "none")`:                "none",
		`default(query("rows"), "0")`:                   "12",
		`any(headers("X-A"), # == "two")`:               true,
		`all(headers("X-None"), false)`:                 true,
		`header("X-A") in crews`:                        true,
		`header("X-A") not in ["two"]`:                  true,
		`param("project")`:                              "bridge",
		`segment(2)`:                                    "7",
		`first(path, 4)`:                                "/api",
		`field(header("X-List"), ",", 2)`:               "c",
		`lower(trim(header("X-Spaced")))`:               "padded",
		`glob(path, "/api/*/7")`:                        true,
		`path matches "^/api/[a-z]+/[0-9]$"`:            true,
		`path startsWith "/api" and path endsWith "/7"`: true,
		`path contains "bridge"`:                        true,
		`toInt(query("rows")) + n`:                      15,
		`n > 2 ? "many" : "few"`:                        "many",
		`x * 2`:                                         5.0,
		`word + "!"`:                                    "w!",
		`toDuration("250ms")`:                           250 * time.Millisecond,
		`millis(length)`:                                5 * time.Millisecond,
		`date(arrival, "Europe/Zagreb")`:                "2026-03-29",
		`hour(arrival, "Europe/Zagreb")`:                1, // the clock is put forward half an hour later
		`hour(arrival, "America/New_York")`:             20,
		`date(arrival, "America/New_York")`:             "2026-03-28",
		`weekday(arrival, "UTC")`:                       0,
		`date(toTime(header("X-When"), "2006-01-02 15:04"), "UTC")`: "2026-03-29",
		// Keys are part of a file's contract: XXH64, seed 0, 16 hex digits, and joined parts as if they were one text.
		`hash("")`:                             "ef46db3751d8e999",
		`hash("abc")`:                          "44bc2cf5ad770999",
		`hash("a" + "b" + "c")`:                "44bc2cf5ad770999",
		`hash("a" + "bc")`:                     "44bc2cf5ad770999",
		`hash("" + "a" + "b" + "c")`:           "44bc2cf5ad770999",
		`hash("" + "" + "a" + "b" + "" + "c")`: "44bc2cf5ad770999",
		`let p = segment(1); p + p`:            "bridgebridge",
	} {
		v, fault, err := value(source, scope, facts())
		if want == nil {
			if err == nil {
				t.Errorf("%s is taken", source)
			}
			continue
		}
		if err != nil || fault != nil {
			t.Errorf("%s: %v, %v", source, fault, err)
		} else if diff := cmp.Diff(want, v); diff != "" {
			t.Errorf("%s: %s", source, diff)
		}
	}
}

func TestFaultsTellWhatWasWanted(t *testing.T) {
	for source, want := range map[string]Fault{
		`header("X-B")`:                           {Missing, "the header X-B"},
		`query("q")`:                              {Missing, "q in the query"},
		`segment(9)`:                              {Missing, "segment 9 of the path"},
		`field(header("X-A"), ",", 3)`:            {Missing, `3 more parts of what is split at ","`},
		`toInt(header("X-A"))`:                    {Unread, `a whole number in place of "one"`},
		`toDuration("-1s")`:                       {Unread, `a duration such as 250ms in place of "-1s"`},
		`seconds(100000 + length)`:                {Unread, "from 0 to a day in place of 100005 × 1s"},
		`5 % (length - 5)`:                        {Broken, "a value: runtime error: integer divide by zero (1:3)\n | 5 % (length - 5)\n | ..^"},
		`toInt(path + path + path + path + path)`: {Unread, fmt.Sprintf("no more than 64 characters in place of %.64q", strings.Repeat("/api/bridge/7", 5))},
	} {
		_, fault, err := value(source, Scope{}, facts())
		if err != nil || fault == nil {
			t.Errorf("%s: %v, %v", source, fault, err)
		} else if diff := cmp.Diff(want, *fault); diff != "" {
			t.Errorf("%s: %s", source, diff)
		}
	}
	p, err := Compile(`header("X-A")`, Scope{Sizes: DefaultSizes}, String)
	if err != nil {
		t.Fatal(err)
	}
	e := NewEvaluator(nil, 0, 100)
	e.Begin(facts(), DefaultSizes)
	if _, fault := e.Run(p); fault == nil || fault.Cause != TooDear {
		t.Errorf("the fence is not met: %v", fault)
	}
}

// In a condition, a header that is not there is empty, so that it does not stop the rules after it.
func TestConditions(t *testing.T) {
	for source, want := range map[string]bool{`header("X-B") == ""`: true, `header("X-B") == "v"`: false, `query("q") == ""`: true} {
		if v, fault, err := value(source, Scope{Condition: true}, facts()); err != nil || fault != nil || v != want {
			t.Errorf("%s: %v, %v, %v", source, v, fault, err)
		}
	}
}

// Two headers can't both fill the head: what depends on either costs no more than the dearer one at its longest.
func TestHeadersShareTheirBound(t *testing.T) {
	cost := func(source string) int {
		p, err := Compile(source, Scope{Sizes: DefaultSizes}, String, Bool)
		if err != nil {
			t.Fatal(err)
		}
		return p.Cost.Worst(DefaultSizes.Headers)
	}
	one, both := cost(`hash(header("A"))`), cost(`hash(header("A") + header("B"))`)
	if both > one+one/4 {
		t.Errorf("one header: %d, two: %d", one, both)
	}
	if twice := cost(`hash(header("A") + header("A"))`); twice < one*7/4 {
		t.Errorf("one header: %d, the same twice: %d", one, twice)
	}
}

// Whatever an expression says and whatever a request bears: it is refused at load with a place within its text, or it
// gives a value or a fault, and costs no more than was reckoned.
func FuzzExpression(f *testing.F) {
	for _, seed := range []string{`header("X-A") == "one"`, `hash(path + "/" + date(arrival, "Europe/Zagreb"))`, `toInt(query("rows")) > 5 ? 1 : 2`,
		`any(headers("X-A"), # matches "^a+$")`, `let x = lower(path); x + x`, `first(field(header("X-A"), ",", 2), 5) in ["a"]`,
		"((((", `"\x00" + path`, `1 / 0`, `seconds(-1)`, `param("project")`, `default(header("X"), path)`} {
		f.Add(seed, "one", "/api/a/1", 5)
	}
	sizes := Sizes{Headers: 4096, Path: 1024, Query: 1024}
	scope := Scope{Sizes: sizes, Params: map[string]int{"project": 1}, Constants: map[string]any{"c": []any{"a"}}}
	f.Fuzz(func(t *testing.T, source, header, path string, length int) {
		p, err := Compile(source, scope, String, Bool, Int, Number, Duration)
		if err != nil {
			var at *SourceError
			if !errors.As(err, &at) || at.Offset < 0 || at.Offset > len(source) || at.Message == "" {
				t.Fatalf("%#v", err)
			}
			return
		}
		e := NewEvaluator(nil, 1, 1<<40)
		if e.Begin(&Facts{Method: "GET", Path: path, Header: http.Header{"X-A": {header}}, Length: length}, sizes) != nil {
			return
		}
		e.Run(p)
		if worst := p.Cost.Worst(sizes.Headers); e.Spent() > worst {
			t.Errorf("%s costs %d, at worst %d", source, e.Spent(), worst)
		}
	})
}
