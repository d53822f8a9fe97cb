package contract

import (
	"strings"
	"testing"
	"time"
)

func TestDiff(t *testing.T) {
	keyed := func(in, name string, known time.Duration) *Operation {
		return &Operation{Method: "PUT", Template: "/a/{x}/{y}", Idempotency: IdempotentWithKey, Key: Location{in, name}, DedupWindow: known}
	}
	plain := func(template string, r Idempotency) *Operation {
		return &Operation{Method: "PUT", Template: template, Idempotency: r}
	}
	renamed := keyed("path", "first", time.Second)
	renamed.Template = "/a/{first}/{second}"
	sooner := plain("/a", Idempotent)
	sooner.LatencyObjective, sooner.Deadline = time.Second, time.Minute
	for name, c := range map[string]struct {
		before, after *Operation
		dangerous     bool
		want          string // empty: nothing differs
	}{
		"nothing":                  {plain("/a", Idempotent), plain("/a", Idempotent), false, ""},
		"looser":                   {plain("/a", NonIdempotent), plain("/a", Idempotent), true, "it was unsafe and is safe"},
		"looser by a key":          {plain("/a/{x}/{y}", NonIdempotent), keyed("query", "k", 1), true, "it was unsafe and is keyed"},
		"stricter":                 {plain("/a", Idempotent), plain("/a", NonIdempotent), false, "it was safe and is unsafe"},
		"gone":                     {plain("/a", Idempotent), nil, false, "is gone"},
		"new":                      {nil, plain("/a", Idempotent), false, "is new, safe"},
		"new, within an old one":   {plain("/{x}", NonIdempotent), plain("/a", Idempotent), true, "PUT /a is new, safe"},
		"new, stricter within":     {plain("/{x}", Idempotent), plain("/a", NonIdempotent), false, "PUT /a is new, unsafe"},
		"another key":              {keyed("header", "K", 1), keyed("header", "L", 1), true, "its key stood in header K"},
		"a key of another case":    {keyed("header", "Idempotency-Key", 1), keyed("header", "idempotency-key", 1), false, ""},
		"a parameter is renamed":   {keyed("path", "x", time.Second), renamed, false, ""},
		"the key is another part":  {keyed("path", "x", 1), keyed("path", "y", 1), true, "its key stood in path x"},
		"the key is known longer":  {keyed("query", "k", time.Second), keyed("query", "k", time.Minute), true, "was known for 1s and is for 1m0s"},
		"the key is known shorter": {keyed("query", "k", time.Minute), keyed("query", "k", time.Second), false, "is for 1s"},
		"other times":              {plain("/a", Idempotent), sooner, false, "its aim was 0s and is 1s"},
	} {
		var before, after []*Operation
		if c.before != nil {
			before = append(before, c.before)
		}
		if c.after != nil {
			after = append(after, c.after)
		}
		found, dangerous := "", false
		for _, one := range Diff(before, after) {
			found += one.String() + "\n"
			dangerous = dangerous || one.Dangerous
		}
		if dangerous != c.dangerous || c.want == "" && found != "" || !strings.Contains(found, c.want) {
			t.Errorf("%s: %v\n%s", name, dangerous, found)
		}
	}
}
