package contract

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is what differs between two descriptions. A dangerous one lets a gateway do more than it did, or has it look for a key where none is any more: clients and
// nodes that hold to the old description may then see an effect twice.
type Change struct {
	Dangerous bool
	Place     SourcePosition // in the new description, or in the old one for what is gone
	Text      string
}

func (c Change) String() string {
	word := "harmless"
	if c.Dangerous {
		word = "dangerous"
	}
	return fmt.Sprintf("%s: %v: %s", word, c.Place, c.Text)
}

// looseness orders what may be done with a call.
var looseness = map[Idempotency]int{NonIdempotent: 0, IdempotentWithKey: 1, Idempotent: 2}

// Diff gives what differs, operations by method and the shape of their path, in that order.
func Diff(before, after []*Operation) []Change {
	shaped := func(all []*Operation) map[string]*Operation {
		out := map[string]*Operation{}
		for _, o := range all {
			if o.Method == "" {
				out[o.Channel+" "+o.Action] = o
			} else if segments, err := parseTemplate(o.Template); err == nil {
				out[fmt.Sprint(o.Host, shapeOf(segments), " ", o.Method, o.When, o.Types)] = o
			}
		}
		return out
	}
	was, is := shaped(before), shaped(after)
	var shapes []string
	for shape := range was {
		shapes = append(shapes, shape)
	}
	for shape := range is {
		if was[shape] == nil {
			shapes = append(shapes, shape)
		}
	}
	slices.Sort(shapes)
	var out []Change
	for _, shape := range shapes {
		a, b := was[shape], is[shape]
		switch {
		case a == nil:
			out = append(out, Change{b.Idempotency != NonIdempotent && coveredBefore(before, b), b.Position, fmt.Sprintf("%s is new, %s", b.Signature(), b.Idempotency)})
		case b == nil:
			out = append(out, Change{false, a.Position, fmt.Sprintf("%s is gone: it is handled as what nobody described", a.Signature())})
		default:
			out = append(out, changes(a, b)...)
		}
	}
	return out
}

// coveredBefore tells whether requests of a new operation were those of an old one, whose rule was stricter.
func coveredBefore(before []*Operation, b *Operation) bool {
	segments, err := parseTemplate(b.Template)
	if err != nil { // as all of AsyncAPI, whose addresses are names
		return false
	}
	return slices.ContainsFunc(before, func(a *Operation) bool {
		old, err := parseTemplate(a.Template)
		if err != nil || a.Method != b.Method || a.Host != "" && b.Host != "" && a.Host != b.Host || len(old) != len(segments) || looseness[b.Idempotency] <= looseness[a.Idempotency] {
			return false
		}
		for i := range old {
			if !old[i].template && !segments[i].template && old[i].text != segments[i].text {
				return false
			}
		}
		return true
	})
}

func changes(a, b *Operation) (out []Change) {
	add := func(dangerous bool, format string, args ...any) {
		out = append(out, Change{dangerous, b.Position, b.Signature() + ": " + fmt.Sprintf(format, args...)})
	}
	if a.Idempotency != b.Idempotency {
		add(looseness[b.Idempotency] > looseness[a.Idempotency], "it was %s and is %s", a.Idempotency, b.Idempotency)
	} else if a.Idempotency == IdempotentWithKey {
		if a.Key.In != b.Key.In || !sameKey(a, b) {
			add(true, "its key stood in %v and stands in %v", a.Key, b.Key)
		}
		if a.DedupScope != b.DedupScope {
			add(width[b.DedupScope] > width[a.DedupScope], "its repeats were discarded by %s and are by %s", a.DedupScope, b.DedupScope)
		}
		if a.DedupWindow != b.DedupWindow {
			add(b.DedupWindow > a.DedupWindow, "its key was known for %v and is for %v", a.DedupWindow, b.DedupWindow)
		}
	}
	if a.LatencyObjective != b.LatencyObjective {
		add(false, "its aim was %v and is %v", a.LatencyObjective, b.LatencyObjective)
	}
	if a.Deadline != b.Deadline {
		add(false, "its deadline was %v and is %v", a.Deadline, b.Deadline)
	}
	if a.Class != b.Class {
		add(false, "its class was %q and is %q", a.Class, b.Class)
	}
	return append(out, meanings(a, b)...)
}

// width orders groups.
var width = map[DedupScope]int{ScopeShard: 0, "": 0, ScopeZone: 1, ScopeAll: 2}

// meanings gives the statuses that mean something else. What was said to have run, or may have, and now is called harmless to repeat, may run twice; so
// may what clients now hear to be a refusal.
func meanings(a, b *Operation) (out []Change) {
	statuses := slices.Collect(maps.Keys(a.Statuses))
	for status := range b.Statuses {
		if _, ok := a.Statuses[status]; !ok {
			statuses = append(statuses, status)
		}
	}
	slices.Sort(statuses)
	word := func(m Meaning) string { return cmp.Or(string(m), "not said") }
	for _, status := range statuses {
		if was, is := a.Statuses[status], b.Statuses[status]; was != is {
			out = append(out, Change{is == Rejected || was == MayHaveRun, b.Position,
				fmt.Sprintf("%s: status %s was %s and is %s", b.Signature(), status, word(was), word(is))})
		}
	}
	return out
}

// sameKey compares the names of keys: those of headers without regard to case (RFC 9110, section 5.1), those of paths by their place.
func sameKey(a, b *Operation) bool {
	switch a.Key.In {
	case "header":
		return strings.EqualFold(a.Key.Name, b.Key.Name)
	case "path":
		return placeOf(a) == placeOf(b)
	}
	return a.Key.Name == b.Key.Name
}

func placeOf(o *Operation) int { return parameterOf(o.Template, o.Key.Name) }
