// Package invariants checks that a capture keeps the invariants of the scheduler, each of which has a Rule as its name.
// It shares no code with the scheduler's decisions. It follows the recorded events and actions with a state of its own,
// and reports each event and action that violates an invariant.
package invariants

import (
	"fmt"
	"time"
)

// Rule is the name of an invariant. Operators use it on the command line (replay --shrink --keep breach=RULE), so it
// does not change.
type Rule string

// The invariants.
const (
	RuleOneAnswer   Rule = "one answer"  // each request gets one answer, in time
	RuleDraining    Rule = "drain"       // nothing is sent to a node that is known to be draining or removed
	RuleRetries     Rule = "repeat"      // a request that may have run is retried only as class and description allow
	RuleKeyOrder    Rule = "order"       // requests of an ordered key run one at a time, in the order of their arrival
	RuleVolumeLimit Rule = "limit"       // a volume's requests stay within this host's share of the volume's limit
	RuleSlowStart   Rule = "cold start"  // a node that has just started gets no more units than slow start allows
	RuleRetryBudget Rule = "budget"      // retries stay within their budget
	RuleKnownNames  Rule = "known names" // nothing is sent for an unknown request or to an unknown node
)

// Rules lists the names of all invariants.
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

// Violation describes an event at which a capture violates an invariant.
type Violation struct {
	Rule  Rule
	Event uint64        // number of the event since the Recorder's start, from 0
	At    time.Duration // time of the event
	ID    string        // ID of the request; empty: the violation is about no request
	Node  string        // ID of the node; empty: the violation is about no node
	Text  string        // what is wrong, for operators
}

// String describes the violation with its time and event.
func (v Violation) String() string {
	return fmt.Sprintf("%v event %d, %s: %s (request %q, node %q)", v.At, v.Event, v.Rule, v.Text, v.ID, v.Node)
}
