package shrink

import (
	"fmt"
	"slices"
	"strings"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/invariants"
)

// Property is what must still happen in a smaller capture.
type Property struct {
	text string
	kind string
	id   string // of the request; of a violation, the rule: may be empty
	node string // of an attempt that is sent; may be empty
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
			return p, fmt.Errorf("there is no rule %q; the rules are %q", id, invariants.Rules)
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
	return p, fmt.Errorf("%q is none of breach, breach=RULE, refused=ID, failed=ID, sent=ID, sent=ID@NODE, crash", text)
}

// String returns the text that was parsed.
func (p Property) String() string { return p.text }

// holds reports whether a step, with its violations of rules, has the property.
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

// matches reports whether an action is of the property's kind.
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
