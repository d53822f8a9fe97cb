package contract

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is a difference between two versions of a description. A change is dangerous if it allows the gateway more
// retries than before or moves the key: a call may then run twice for clients and nodes that follow the old version.
type Change struct {
	Dangerous bool
	Position  SourcePosition // in the new description; in the old one for what was removed
	Text      string
}

// String returns the change as one line of text.
func (c Change) String() string {
	word := "harmless"
	if c.Dangerous {
		word = "dangerous"
	}
	return fmt.Sprintf("%s: %v: %s", word, c.Position, c.Text)
}

// permissiveness orders kinds of idempotency by how freely a call may be retried.
var permissiveness = map[Idempotency]int{
	NonIdempotent:     0,
	IdempotentWithKey: 1,
	Idempotent:        2,
}

// scopeWidth orders deduplication scopes by how many nodes they contain.
var scopeWidth = map[DedupScope]int{
	ScopeShard: 0,
	"":         0,
	ScopeZone:  1,
	ScopeAll:   2,
}

// Diff returns the changes between two versions of a description: new and removed operations, and changes of the
// idempotency, the key, the latency objective, the deadline, the class and the meanings of statuses. Operations are
// matched by host, path template without its parameter names, method, conditions and media types, or by channel and
// action. The changes are sorted in the order of these properties.
func Diff(before, after []*Operation) []Change {
	oldOperations := byIdentity(before)
	newOperations := byIdentity(after)
	identities := slices.Collect(maps.Keys(oldOperations))
	for identity := range newOperations {
		if oldOperations[identity] == nil {
			identities = append(identities, identity)
		}
	}
	slices.Sort(identities)
	var changes []Change
	for _, identity := range identities {
		a, b := oldOperations[identity], newOperations[identity]
		switch {
		case a == nil:
			changes = append(changes, Change{
				Dangerous: b.Idempotency != NonIdempotent && wasStricter(before, b),
				Position:  b.Position,
				Text:      fmt.Sprintf("%s is new, %s", b.Signature(), b.Idempotency),
			})
		case b == nil:
			changes = append(changes, Change{
				Position: a.Position,
				Text:     a.Signature() + " was removed: its requests are now handled as undescribed ones",
			})
		default:
			changes = append(changes, operationChanges(a, b)...)
		}
	}
	return changes
}

// byIdentity indexes operations by the properties that identify them in all versions of a description.
func byIdentity(operations []*Operation) map[string]*Operation {
	index := map[string]*Operation{}
	for _, o := range operations {
		if o.Method == "" {
			index[o.Channel+" "+o.Action] = o
			continue
		}
		if segments, err := parsePathTemplate(o.Template); err == nil {
			index[fmt.Sprint(o.Host, shapeOf(segments), " ", o.Method, o.When, o.RequestTypes)] = o
		}
	}
	return index
}

// wasStricter reports whether requests that match a new operation may have matched an old one that allowed fewer
// retries.
func wasStricter(before []*Operation, b *Operation) bool {
	segments, err := parsePathTemplate(b.Template)
	if err != nil { // always so for AsyncAPI, whose operations have no path
		return false
	}
	return slices.ContainsFunc(before, func(a *Operation) bool {
		old, err := parsePathTemplate(a.Template)
		if err != nil || a.Method != b.Method || permissiveness[b.Idempotency] <= permissiveness[a.Idempotency] {
			return false
		}
		hostsOverlap := a.Host == "" || b.Host == "" || a.Host == b.Host
		return hostsOverlap && overlap(old, segments)
	})
}

// overlap reports whether some path matches both templates.
func overlap(a, b []pathSegment) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !a[i].parameter && !b[i].parameter && a[i].text != b[i].text {
			return false
		}
	}
	return true
}

// operationChanges returns the changes between the versions a and b of an operation, in the properties that Diff names.
func operationChanges(a, b *Operation) []Change {
	var changes []Change
	add := func(dangerous bool, format string, args ...any) {
		text := b.Signature() + ": " + fmt.Sprintf(format, args...)
		changes = append(changes, Change{Dangerous: dangerous, Position: b.Position, Text: text})
	}
	switch {
	case a.Idempotency != b.Idempotency:
		dangerous := permissiveness[b.Idempotency] > permissiveness[a.Idempotency]
		add(dangerous, "it was %s and is %s", a.Idempotency, b.Idempotency)
	case a.Idempotency == IdempotentWithKey:
		if !sameKey(a, b) {
			add(true, "its key was in %v and is in %v", a.Key, b.Key)
		}
		if a.DedupScope != b.DedupScope {
			dangerous := scopeWidth[b.DedupScope] > scopeWidth[a.DedupScope]
			add(dangerous, "the scope (group) of its key was %s and is %s", a.DedupScope, b.DedupScope)
		}
		if a.DedupWindow != b.DedupWindow {
			dangerous := b.DedupWindow > a.DedupWindow
			add(dangerous, "its key was remembered for %v and is for %v", a.DedupWindow, b.DedupWindow)
		}
	}
	if a.LatencyObjective != b.LatencyObjective {
		add(false, "its latency objective (aim) was %v and is %v", a.LatencyObjective, b.LatencyObjective)
	}
	if a.Deadline != b.Deadline {
		add(false, "its deadline was %v and is %v", a.Deadline, b.Deadline)
	}
	if a.Class != b.Class {
		add(false, "its class was %q and is %q", a.Class, b.Class)
	}
	return append(changes, statusChanges(a, b)...)
}

// statusChanges returns the statuses whose meaning changed. A change is dangerous if a status no longer means that the
// call may have run, or if it now means a rejection: a call that has run may then be retried and run twice.
func statusChanges(a, b *Operation) []Change {
	statuses := slices.Collect(maps.Keys(a.Statuses))
	for status := range b.Statuses {
		if _, ok := a.Statuses[status]; !ok {
			statuses = append(statuses, status)
		}
	}
	slices.Sort(statuses)
	word := func(m StatusMeaning) string { return cmp.Or(string(m), "unspecified") }
	var changes []Change
	for _, status := range statuses {
		was, is := a.Statuses[status], b.Statuses[status]
		if was == is {
			continue
		}
		changes = append(changes, Change{
			Dangerous: is == Rejected || was == MayHaveRun,
			Position:  b.Position,
			Text:      fmt.Sprintf("%s: status %s was %s and is %s", b.Signature(), status, word(was), word(is)),
		})
	}
	return changes
}

// sameKey reports whether both versions have the key at the same location. Header names are compared without regard to
// case (RFC 9110, section 5.1), path parameters by their index instead of their name.
func sameKey(a, b *Operation) bool {
	if a.Key.In != b.Key.In {
		return false
	}
	switch a.Key.In {
	case inHeader:
		return strings.EqualFold(a.Key.Name, b.Key.Name)
	case inPath:
		return parameterIndex(a.Template, a.Key.Name) == parameterIndex(b.Template, b.Key.Name)
	}
	return a.Key.Name == b.Key.Name
}
