package rules

import (
	"fmt"
	"slices"

	"reachpulley/internal/configfile"
	"reachpulley/internal/rules/expression"
)

// Costs in estimated nanoseconds.
const (
	requestCost   = 500 // cost of a request without any rule
	lookupCost    = 60  // cost of a lookup in one of the indexes of a stage
	candidateCost = 25  // cost of each candidate that is found, without its expressions
	limitCost     = 300 // cost of counting a request by one limit, without its expressions
)

// checkBudget estimates the worst-case cost of the set and adds a fault if it exceeds the file's budget.
func (l *loader) checkBudget() {
	set := l.set
	set.Cost = set.worstCase().WorstCase(set.Sizes.Headers)
	if set.Cost <= set.budget {
		return
	}
	fault := l.costliestExpression()
	const message = "the rules cost up to %d, more than the budget of %d (estimated nanoseconds a request); %s"
	fault.Message = fmt.Sprintf(message, set.Cost, set.budget, fault.Message)
	l.faults = append(l.faults, fault)
}

// worstCase returns the highest cost that the evaluation of one request can have.
func (s *Set) worstCase() expression.Amount {
	total := expression.Fixed(requestCost)
	for _, program := range s.lets { // Each is evaluated at most once per request.
		total = total.Plus(program.Cost)
	}
	for _, index := range s.indexes {
		total = total.Plus(index.worstAssignmentCost()).Plus(index.worstCandidateCost())
	}
	for _, limit := range s.limits {
		total = total.Plus(expression.Fixed(limitCost)).Plus(limit.key.Cost)
		if limit.condition != nil {
			total = total.Plus(limit.condition.Cost)
		}
	}
	return total
}

// hasSkippableRules reports whether a fault skips any of the rules. If so, the values of several rules may be computed
// for one request: when one of them has a fault, the next rule is tried.
func (x *ruleIndex) hasSkippableRules() bool {
	return slices.ContainsFunc(x.rules, func(r *Rule) bool { return r.SkipOnFault })
}

// worstAssignmentCost returns the highest cost that the assignments of any one rule can have, because only the
// assignments of the first matching rule are evaluated. It returns 0 if a fault can skip a rule: the assignments of
// several rules may then be evaluated, and worstCandidateCost includes their cost.
func (x *ruleIndex) worstAssignmentCost() expression.Amount {
	var highest expression.Amount
	if x.hasSkippableRules() {
		return highest
	}
	for _, r := range x.rules {
		highest = highest.Max(r.assignmentCost())
	}
	return highest
}

// worstCandidateCost returns the highest cost that finding and trying the candidates of one request can have.
func (x *ruleIndex) worstCandidateCost() expression.Amount {
	skippable := x.hasSkippableRules()
	return x.worstCase(func(r *Rule) expression.Amount {
		cost := expression.Fixed(candidateCost)
		if r.condition != nil {
			cost = cost.Plus(r.condition.Cost)
		}
		if skippable {
			cost = cost.Plus(r.assignmentCost())
		}
		return cost
	})
}

// assignmentCost returns the worst-case cost of evaluating the expressions of all values that the rule sets.
func (r *Rule) assignmentCost() expression.Amount {
	var total expression.Amount
	for _, assignment := range r.assignments {
		total = total.Plus(assignment.program.Cost)
	}
	return total
}

// costliestExpression returns a fault at the expression of the file that has the highest worst-case cost.
func (l *loader) costliestExpression() configfile.Fault {
	var fault configfile.Fault
	highest := -1
	consider := func(key string, program *expression.Program) {
		if program == nil {
			return
		}
		worst := program.Cost.WorstCase(l.set.Sizes.Headers)
		if worst <= highest {
			return
		}
		highest = worst
		term := expression.RestoreNames(program.CostliestTerm, l.set.letNames)
		fault = l.document.Fault(key, "the costliest expression costs %d, most of it in: %s", worst, term)
	}
	for i, program := range l.set.lets {
		consider(fmt.Sprintf("let[%d].is", i), program)
	}
	for i, r := range l.set.rules {
		key := fmt.Sprintf("rule[%d]", i)
		consider(key+".when", r.condition)
		for _, assignment := range r.assignments {
			consider(key+".set."+assignment.field.String(), assignment.program)
		}
	}
	for i, limit := range l.set.limits {
		consider(fmt.Sprintf("limit[%d].when", i), limit.condition)
		consider(fmt.Sprintf("limit[%d].key", i), limit.key)
	}
	return fault
}
