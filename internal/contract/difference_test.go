package contract

import (
	"strings"
	"testing"
	"time"
)

// withKey returns an operation with a key that nodes remember for the given window.
func withKey(in, name string, window time.Duration) *Operation {
	return &Operation{
		Method:      "PUT",
		Template:    "/a/{x}/{y}",
		Idempotency: IdempotentWithKey,
		Key:         Location{in, name},
		DedupWindow: window,
	}
}

// withoutKey returns an operation without a key.
func withoutKey(template string, idempotency Idempotency) *Operation {
	return &Operation{Method: "PUT", Template: template, Idempotency: idempotency}
}

func TestDiff(t *testing.T) {
	renamed := withKey("path", "first", time.Second)
	renamed.Template = "/a/{first}/{second}"
	sooner := withoutKey("/a", Idempotent)
	sooner.LatencyObjective = time.Second
	sooner.Deadline = time.Minute
	for name, test := range map[string]struct {
		before, after *Operation
		dangerous     bool
		want          string // a substring of the changes; empty: there must be none
	}{
		"no change": {withoutKey("/a", Idempotent), withoutKey("/a", Idempotent), false, ""},
		"safe instead of unsafe": {
			withoutKey("/a", NonIdempotent), withoutKey("/a", Idempotent), true, "it was unsafe and is safe",
		},
		"keyed instead of unsafe": {
			withoutKey("/a/{x}/{y}", NonIdempotent), withKey("query", "k", 1), true, "it was unsafe and is keyed",
		},
		"unsafe instead of safe": {
			withoutKey("/a", Idempotent), withoutKey("/a", NonIdempotent), false, "it was safe and is unsafe",
		},
		"removed": {withoutKey("/a", Idempotent), nil, false, "was removed"},
		"new":     {nil, withoutKey("/a", Idempotent), false, "is new, safe"},
		"new and safe, among the requests of an unsafe one": {
			withoutKey("/{x}", NonIdempotent), withoutKey("/a", Idempotent), true, "PUT /a is new, safe",
		},
		"new and unsafe, among the requests of a safe one": {
			withoutKey("/{x}", Idempotent), withoutKey("/a", NonIdempotent), false, "PUT /a is new, unsafe",
		},
		"another key header": {withKey("header", "K", 1), withKey("header", "L", 1), true, "its key was in header K"},
		"a key header in another case": {
			withKey("header", "Idempotency-Key", 1), withKey("header", "idempotency-key", 1), false, "",
		},
		"the key parameter is renamed": {withKey("path", "x", time.Second), renamed, false, ""},
		"the key is another parameter": {
			withKey("path", "x", 1), withKey("path", "y", 1), true, "its key was in path x",
		},
		"the key is remembered longer": {
			withKey("query", "k", time.Second), withKey("query", "k", time.Minute), true,
			"was remembered for 1s and is for 1m0s",
		},
		"the key is remembered for less time": {
			withKey("query", "k", time.Minute), withKey("query", "k", time.Second), false, "is for 1s",
		},
		"other times": {withoutKey("/a", Idempotent), sooner, false, "its latency objective (aim) was 0s and is 1s"},
	} {
		t.Run(name, func(t *testing.T) {
			text, dangerous := "", false
			for _, change := range Diff(listOf(test.before), listOf(test.after)) {
				text += change.String() + "\n"
				dangerous = dangerous || change.Dangerous
			}
			if dangerous != test.dangerous || test.want == "" && text != "" || !strings.Contains(text, test.want) {
				t.Errorf("dangerous %v, want %v; want a change with %q, got:\n%s",
					dangerous, test.dangerous, test.want, text)
			}
		})
	}
}

// listOf returns a list of one operation, or an empty list for nil.
func listOf(o *Operation) []*Operation {
	if o == nil {
		return nil
	}
	return []*Operation{o}
}
