// Package invariants checks a capture against the rules of its deployment. It shares no code with the scheduler's
// decisions: it follows the recorded events and actions in a model of its own, and reports what no rule allows.
package invariants

import (
	"fmt"
	"time"
)

// Rule is the name of a rule. Operators use it on the command line (replay --shrink --keep breach=RULE), so it does not
// change.
type Rule string

// The rules.
const (
	RuleOneAnswer   Rule = "one answer"  // each request gets one answer, in time
	RuleDraining    Rule = "drain"       // nothing is sent to a node that is known to be draining or removed
	RuleRetries     Rule = "repeat"      // what may have run is retried as its class allows
	RuleKeyOrder    Rule = "order"       // requests of an ordered key run one at a time, in the order of their arrival
	RuleVolumeLimit Rule = "limit"       // a volume's requests stay within this host's share of its limit
	RuleSlowStart   Rule = "cold start"  // a node that has just started gets no more than it can take
	RuleRetryBudget Rule = "budget"      // retries stay within their budget
	RuleKnownNames  Rule = "known names" // nothing is sent for an unknown request or to an unknown node
)

// Rules lists all rules.
var Rules = []Rule{
	RuleOneAnswer,
	RuleDraining,
	RuleRetries,
	RuleKeyOrder,
	RuleVolumeLimit,
	RuleSlowStart,
	RuleRetryBudget,
	RuleKnownNames,
}

// Violation is a place at which a capture violates a rule.
type Violation struct {
	Rule  Rule
	Event uint64 // number of the event since the Recorder's start
	At    time.Duration
	ID    string // of the request; may be empty
	Node  string // may be empty
	Text  string
}

// String describes the violation with its place.
func (v Violation) String() string {
	return fmt.Sprintf("%v event %d, %s: %s (request %q, node %q)", v.At, v.Event, v.Rule, v.Text, v.ID, v.Node)
}
