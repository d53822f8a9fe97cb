package shrink

import (
	"fmt"
	"slices"
	"strings"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/invariants"
)

// Property says what must happen in a replay of a case, so that shrinking the case does not lose it.
type Property struct {
	text string // the text from which it was parsed
	kind string
	id   string // ID of the request; for a violation, the name of the rule, or empty for any rule
	node string // node to which an attempt is sent; empty: any node
}

// The kinds of properties, as operators write them.
const (
	kindViolation = "breach"
	kindRejected  = "refused"
	kindFailed    = "failed"
	kindSent      = "sent"
	kindCrash     = "crash"
)

// Parse reads a property: "breach", "breach=RULE", "refused=ID", "failed=ID", "sent=ID", "sent=ID@NODE" or "crash".
func Parse(text string) (Property, error) {
	kind, id, _ := strings.Cut(text, "=")
	p := Property{text: text, kind: kind, id: id}
	switch kind {
	case kindViolation:
		if id != "" && !slices.Contains(invariants.Rules, invariants.Rule(id)) {
			return p, fmt.Errorf("unknown rule %q: the rules are %q", id, invariants.Rules)
		}
		return p, nil
	case kindCrash:
		return p, nil
	case kindRejected, kindFailed, kindSent:
		p.id, p.node, _ = strings.Cut(id, "@")
		if p.id != "" && (p.node == "" || kind == kindSent) {
			return p, nil
		}
	}
	return p, fmt.Errorf(
		"property %q is none of breach, breach=RULE, refused=ID, failed=ID, sent=ID, sent=ID@NODE, crash", text)
}

// String returns the text that was parsed.
func (p Property) String() string { return p.text }

// holds reports whether the property holds at a step, given the invariants that the step violates.
func (p Property) holds(step *capture.Step, violations []invariants.Violation) bool {
	if p.kind == kindViolation {
		return slices.ContainsFunc(violations, func(v invariants.Violation) bool {
			return p.id == "" || string(v.Rule) == p.id
		})
	}
	return slices.ContainsFunc(step.Actions, func(action capture.Record) bool {
		return action.ID == p.id && p.matches(&action)
	})
}

// matches reports whether an action is of the property's kind and, for a send, goes to the property's node.
func (p Property) matches(action *capture.Record) bool {
	switch action.Kind {
	case capture.KindReject:
		return p.kind == kindRejected
	case capture.KindFail:
		return p.kind == kindFailed
	case capture.KindSend:
		return p.kind == kindSent && (p.node == "" || p.node == action.Node)
	}
	return false
}
