package rules

import (
	"fmt"
	"slices"

	"reachpulley/internal/rules/expression"
)

// unreachableReason returns the reason why a rule can never match, given the earlier rules of its stage. It returns ""
// if no such reason can be found at load.
func unreachableReason(r *Rule, earlier *ruleIndex) string {
	if r.condition != nil {
		if value, ok := r.condition.Constant(); ok && value == false {
			return "its condition is always false"
		}
	}
	if contradiction := contradictionOf(r.conjuncts); contradiction != "" {
		return contradiction
	}
	for _, i := range earlier.coveringCandidates(r) {
		other := earlier.rules[i]
		// A rule that is skipped on a fault does not cover r, because r is tried after such a fault.
		if other.SkipOnFault || !other.pathTemplate.covers(&r.pathTemplate) {
			continue
		}
		if impliedBy(other.conjuncts, r.conjuncts) {
			return fmt.Sprintf("rule %s at %s matches every request that it would", other.Name, other.Position)
		}
	}
	return ""
}

// contradictionOf describes an attribute that a condition requires to have two values. It returns "" if there is none.
func contradictionOf(conjuncts []expression.Conjunct) string {
	values := map[string]string{}
	for _, conjunct := range conjuncts {
		if conjunct.Attribute == "" {
			continue
		}
		other, known := values[conjunct.Attribute]
		if known && other != conjunct.Value {
			return fmt.Sprintf("%s can't be both %q and %q", conjunct.Attribute, other, conjunct.Value)
		}
		values[conjunct.Attribute] = conjunct.Value
	}
	return ""
}

// impliedBy reports whether each of the conditions is always true or is also among the others.
func impliedBy(conditions, others []expression.Conjunct) bool {
	for _, condition := range conditions {
		same := func(other expression.Conjunct) bool { return other.Text == condition.Text }
		if condition.Text != "true" && !slices.ContainsFunc(others, same) {
			return false
		}
	}
	return true
}
