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

func testFacts() *Facts {
	return &Facts{
		Method:   "GET",
		Path:     "/api/bridge/7",
		Query:    url.Values{"rows": {"12"}},
		Host:     "h",
		Client:   "127.0.0.1",
		Frontend: "http",
		Header: http.Header{
			"X-A":      {"one", "two"},
			"X-Spaced": {"  Padded  "},
			"X-When":   {"2026-03-29 01:30"},
			"X-List":   {"a,b,c"},
		},
		Arrival:    time.Date(2026, 3, 29, 0, 30, 0, 0, time.UTC),
		BodyLength: 5,
	}
}

// evaluate compiles an expression and runs it once. If the scope has no sizes, DefaultSizes apply.
func evaluate(source string, scope Scope, f *Facts) (any, *Fault, error) {
	if scope.Sizes == (Sizes{}) {
		scope.Sizes = DefaultSizes
	}
	program, err := Compile(source, scope, String, Bool, Int, Number, Duration)
	if err != nil {
		return nil, nil, err
	}
	evaluator := NewEvaluator(nil, 0, 1<<30)
	if fault := evaluator.Begin(f, scope.Sizes); fault != nil {
		return nil, fault, nil
	}
	value, fault := evaluator.Run(program)
	return value, fault, nil
}

// wantedValues are the values of expressions for testFacts. The value nil means that the expression does not compile.
var wantedValues = map[string]any{
	`header("x-a")`:                                 "one", // the names of headers are case-insensitive
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
	`hour(arrival, "Europe/Zagreb")`:                1, // daylight saving time begins half an hour later
	`hour(arrival, "America/New_York")`:             20,
	`date(arrival, "America/New_York")`:             "2026-03-28",
	`weekday(arrival, "UTC")`:                       0,
	`date(toTime(header("X-When"), "2006-01-02 15:04"), "UTC")`: "2026-03-29",
	// The values of hash must not change, because volumes and keys are made of them. They are XXH64 with seed 0 in 16
	// hex digits. The hash of joined texts is that of the one text that they make up.
	`hash("")`:                             "ef46db3751d8e999",
	`hash("abc")`:                          "44bc2cf5ad770999",
	`hash("a" + "b" + "c")`:                "44bc2cf5ad770999",
	`hash("a" + "bc")`:                     "44bc2cf5ad770999",
	`hash("" + "a" + "b" + "c")`:           "44bc2cf5ad770999",
	`hash("" + "" + "a" + "b" + "" + "c")`: "44bc2cf5ad770999",
	`let p = segment(1); p + p`:            "bridgebridge",
}

func TestExpressionValues(t *testing.T) {
	scope := Scope{
		Constants: map[string]any{
			"crews": []any{"one", "three"},
			"n":     int64(3),
			"on":    true,
			"x":     2.5,
			"word":  "w",
		},
		Params: map[string]int{"project": 1},
	}
	for source, want := range wantedValues {
		t.Run(source, func(t *testing.T) {
			value, fault, err := evaluate(source, scope, testFacts())
			if want == nil {
				if err == nil {
					t.Error("the expression compiles, want an error")
				}
				return
			}
			if err != nil || fault != nil {
				t.Fatalf("fault %v, error %v; want the value %v", fault, err, want)
			}
			if diff := cmp.Diff(want, value); diff != "" {
				t.Errorf("value (-want +got):\n%s", diff)
			}
		})
	}
}

// A rule file can contain these expressions. Compiling them must return an error and must not panic.
func TestHiddenNamesAndDateConstantsAreRejected(t *testing.T) {
	scope := Scope{
		Sizes:     DefaultSizes,
		Condition: true,
		Constants: map[string]any{"day": time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)},
	}
	for source, want := range map[string]string{
		`day == "x"`:                        "the constant day is of a type that no expression can use",
		`default(headerOr(), "x") == "y"`:   "unknown name headerOr",
		`default(queryOr("a"), "x") == "y"`: "unknown name queryOr",
	} {
		t.Run(source, func(t *testing.T) {
			_, err := Compile(source, scope, Bool)
			var sourceErr *SourceError
			if !errors.As(err, &sourceErr) || sourceErr.Message != want {
				t.Errorf("error %v, want %s", err, want)
			}
		})
	}
}

func TestFaultsNameWhatIsRequired(t *testing.T) {
	tooLong := fmt.Sprintf("no more than 64 characters in place of %.64q", strings.Repeat("/api/bridge/7", 5))
	divided := "a value: runtime error: integer divide by zero (1:3)\n | 5 % (length - 5)\n | ..^"
	for source, want := range map[string]Fault{
		`header("X-B")`:                           {CauseMissing, "the header X-B"},
		`query("q")`:                              {CauseMissing, "q in the query"},
		`segment(9)`:                              {CauseMissing, "segment 9 of the path"},
		`field(header("X-A"), ",", 3)`:            {CauseMissing, `3 more parts of what is split at ","`},
		`toInt(header("X-A"))`:                    {CauseUnparsable, `a whole number in place of "one"`},
		`toDuration("-1s")`:                       {CauseUnparsable, `a duration such as 250ms in place of "-1s"`},
		`seconds(100000 + length)`:                {CauseUnparsable, "from 0 to a day in place of 100005 × 1s"},
		`5 % (length - 5)`:                        {CauseFailed, divided},
		`toInt(path + path + path + path + path)`: {CauseUnparsable, tooLong},
	} {
		t.Run(source, func(t *testing.T) {
			_, fault, err := evaluate(source, Scope{}, testFacts())
			if err != nil || fault == nil {
				t.Fatalf("fault %v, error %v; want the fault %+v", fault, err, want)
			}
			if diff := cmp.Diff(want, *fault); diff != "" {
				t.Errorf("fault (-want +got):\n%s", diff)
			}
		})
	}
	t.Run("cost limit", func(t *testing.T) {
		program, err := Compile(`header("X-A")`, Scope{Sizes: DefaultSizes}, String)
		if err != nil {
			t.Fatal(err)
		}
		evaluator := NewEvaluator(nil, 0, 100)
		evaluator.Begin(testFacts(), DefaultSizes)
		if _, fault := evaluator.Run(program); fault == nil || fault.Cause != CauseCostLimit {
			t.Errorf("fault %v, want one with the cause %s", fault, CauseCostLimit)
		}
	})
}

// In a condition, a missing header or query parameter is not a fault. A fault would keep the rules after it from being
// tried.
func TestMissingValuesAreEmptyInConditions(t *testing.T) {
	for source, want := range map[string]bool{
		`header("X-B") == ""`:  true,
		`header("X-B") == "v"`: false,
		`query("q") == ""`:     true,
	} {
		t.Run(source, func(t *testing.T) {
			value, fault, err := evaluate(source, Scope{Condition: true}, testFacts())
			if err != nil || fault != nil || value != want {
				t.Errorf("value %v, fault %v, error %v; want the value %v", value, fault, err, want)
			}
		})
	}
}

// Two headers can't both fill the head of a request. So an expression that reads both costs little more, at worst, than
// one that reads a single header.
func TestHeadersShareTheirSizeLimit(t *testing.T) {
	worstCase := func(source string) int {
		program, err := Compile(source, Scope{Sizes: DefaultSizes}, String, Bool)
		if err != nil {
			t.Fatal(err)
		}
		return program.Cost.WorstCase(DefaultSizes.Headers)
	}
	one := worstCase(`hash(header("A"))`)
	both := worstCase(`hash(header("A") + header("B"))`)
	if both > one+one/4 {
		t.Errorf("worst case for one header: %d, for two: %d; want at most a quarter more", one, both)
	}
	if twice := worstCase(`hash(header("A") + header("A"))`); twice < one*7/4 {
		t.Errorf("worst case for one header: %d, for the same one twice: %d; want at least 7/4", one, twice)
	}
}

// For any expression and any request, either the expression is rejected at load with a position within its text, or it
// has a value or a fault and costs no more than was estimated.
func FuzzExpression(f *testing.F) {
	for _, seed := range []string{
		`header("X-A") == "one"`,
		`hash(path + "/" + date(arrival, "Europe/Zagreb"))`,
		`toInt(query("rows")) > 5 ? 1 : 2`,
		`any(headers("X-A"), # matches "^a+$")`,
		`let x = lower(path); x + x`,
		`first(field(header("X-A"), ",", 2), 5) in ["a"]`,
		"((((",
		`"\x00" + path`,
		`1 / 0`,
		`seconds(-1)`,
		`param("project")`,
		`default(header("X"), path)`,
	} {
		f.Add(seed, "one", "/api/a/1", 5)
	}
	sizes := Sizes{Headers: 4096, Path: 1024, Query: 1024}
	scope := Scope{
		Sizes:     sizes,
		Params:    map[string]int{"project": 1},
		Constants: map[string]any{"c": []any{"a"}},
	}
	f.Fuzz(func(t *testing.T, source, header, path string, length int) {
		program, err := Compile(source, scope, String, Bool, Int, Number, Duration)
		if err != nil {
			var sourceErr *SourceError
			if !errors.As(err, &sourceErr) || sourceErr.Offset < 0 || sourceErr.Offset > len(source) ||
				sourceErr.Message == "" {
				t.Fatalf("want a SourceError with a message and a position in the text: %#v", err)
			}
			return
		}
		evaluator := NewEvaluator(nil, 1, 1<<40)
		facts := &Facts{Method: "GET", Path: path, Header: http.Header{"X-A": {header}}, BodyLength: length}
		if evaluator.Begin(facts, sizes) != nil {
			return
		}
		evaluator.Run(program)
		if worst := program.Cost.WorstCase(sizes.Headers); evaluator.Cost() > worst {
			t.Errorf("%s costs %d, estimated at most %d", source, evaluator.Cost(), worst)
		}
	})
}
