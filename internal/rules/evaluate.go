package rules

import (
	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules/expression"
)

// pooledEvaluator is what the evaluation of one request needs and the next one can reuse.
type pooledEvaluator struct {
	*expression.Evaluator
	candidates []int // backing array for the result of indexCandidates
}

func (s *Set) acquireEvaluator() *pooledEvaluator {
	if pooled, ok := s.evaluators.Get().(*pooledEvaluator); ok {
		return pooled
	}
	return &pooledEvaluator{Evaluator: expression.NewEvaluator(s.lets, s.seed, s.costLimit())}
}

// costLimit returns the cost at which the evaluation of a request is stopped, in estimated nanoseconds. It lies above
// the worst case of the set, so that it is reached only if the estimate was too low.
func (s *Set) costLimit() int { return 2*s.Cost + 1000 }

// Evaluation evaluates the rules for one request. The caller must call End exactly once, which returns the evaluator to
// its pool; the Evaluation can't be used afterwards.
type Evaluation struct {
	set            *Set
	facts          *expression.Facts
	evaluator      *pooledEvaluator
	findCandidates candidateFinder
	trace          traceFunc         // nil: no trace
	fault          *expression.Fault // set if the request exceeds the declared sizes; otherwise nil
}

// traceFunc is called for each rule and limit that was tried.
type traceFunc func(stage string, r *Rule, matched bool, fault *RuleFault)

// candidateFinder returns the numbers of the rules that may match, in the order of the file.
type candidateFinder func(index *ruleIndex, f *expression.Facts, evaluator *pooledEvaluator) []int

// indexCandidates is the candidateFinder that uses the index.
func indexCandidates(index *ruleIndex, f *expression.Facts, evaluator *pooledEvaluator) []int {
	evaluator.candidates = index.candidates(f, evaluator.Segments(), evaluator.candidates[:0])
	return evaluator.candidates
}

// Begin starts the evaluation of a request. The facts must not change until End.
func (s *Set) Begin(f *expression.Facts) *Evaluation { return s.begin(f, indexCandidates, nil) }

func (s *Set) begin(f *expression.Facts, find candidateFinder, trace traceFunc) *Evaluation {
	evaluator := s.acquireEvaluator()
	return &Evaluation{
		set:            s,
		facts:          f,
		evaluator:      evaluator,
		findCandidates: find,
		trace:          trace,
		fault:          evaluator.Begin(f, s.Sizes),
	}
}

// End returns the evaluator to the pool and returns the cost of the evaluation, in estimated nanoseconds.
func (e *Evaluation) End() (cost int) {
	cost = e.evaluator.Cost()
	e.evaluator.Clear()
	e.set.evaluators.Put(e.evaluator)
	e.evaluator = nil
	return cost
}

// Apply runs all stages. If it returns an error, which is a RuleFault, the request must be rejected.
func (e *Evaluation) Apply() (Result, error) { return e.runStages(stageCount) }

// Normalise runs only the first stage. It identifies the client for frontends that know all other fields. Its error
// means the same as the error of Apply.
func (e *Evaluation) Normalise() (Result, error) { return e.runStages(Normalise + 1) }

// runStages runs the stages that come before end.
func (e *Evaluation) runStages(end Stage) (result Result, err error) {
	if e.fault != nil {
		return result, RuleFault{Rule: &Rule{Name: "any"}, Field: "the request", Fault: e.fault}
	}
	for stage, index := range e.set.indexes[:end] {
		if err := e.runStage(index, &result); err != nil {
			return result, err
		}
		if Stage(stage) == Normalise {
			e.evaluator.SetClient(result.Client)
		}
	}
	return result, nil
}

// runStage applies the first rule of a stage that matches.
func (e *Evaluation) runStage(index *ruleIndex, result *Result) error {
	for _, i := range e.findCandidates(index, e.facts, e.evaluator) {
		r := index.rules[i]
		matched, fault := e.applyRule(r, result)
		if e.trace != nil {
			e.trace(r.Stage.String(), r, matched, fault)
		}
		if fault != nil && !r.SkipOnFault {
			return *fault
		}
		if fault != nil {
			result.Faults = append(result.Faults, *fault)
		}
		if matched {
			break
		}
	}
	return nil
}

// applyRule applies a rule if it matches. It sets either all of the rule's fields or, on a fault, none.
func (e *Evaluation) applyRule(r *Rule, result *Result) (matched bool, fault *RuleFault) {
	if !r.pathTemplate.matches(e.evaluator.Segments()) {
		return false, nil
	}
	holds, fault := e.conditionHolds(r)
	if fault != nil || !holds {
		return false, fault
	}
	var values [fieldCount]any
	for _, assignment := range r.assignments {
		value, fault := e.evaluator.Run(assignment.program)
		if fault == nil {
			value, fault = e.set.checkValue(assignment.field, value)
		}
		if fault != nil {
			return false, &RuleFault{Rule: r, Field: assignment.field.String(), Fault: fault}
		}
		values[assignment.field] = value
	}
	for _, assignment := range r.assignments {
		result.set(assignment.field, values[assignment.field], r)
	}
	return true, nil
}

// conditionHolds evaluates the condition of a rule or limit. A rule without a condition always holds.
func (e *Evaluation) conditionHolds(r *Rule) (bool, *RuleFault) {
	if r.condition == nil {
		return true, nil
	}
	holds, fault := e.evaluator.Run(r.condition)
	if fault != nil {
		return false, &RuleFault{Rule: r, Field: "when", Fault: fault}
	}
	return holds.(bool), nil
}

// limitStage is the name under which traces list the evaluation of limits, in place of a stage of rules.
const limitStage = "limit"

// Claims appends to claims the limits that count a request of the given class, plan and volume, with their keys. It
// also returns the faults for which limits were skipped. If it returns an error, which is a RuleFault, the request must
// be rejected.
func (e *Evaluation) Claims(
	class, plan, volume string, claims []ratelimit.Claim,
) ([]ratelimit.Claim, []RuleFault, error) {
	var faults []RuleFault
	e.evaluator.SetDecision(class, plan, volume)
	for i, limit := range e.set.limits {
		key, holds, fault := e.limitKey(limit)
		if e.trace != nil {
			e.trace(limitStage, &limit.Rule, holds, fault)
		}
		switch {
		case fault != nil && !limit.SkipOnFault:
			return nil, faults, *fault
		case fault != nil:
			faults = append(faults, *fault)
		case holds:
			claims = append(claims, ratelimit.Claim{Limit: i, Key: key})
		}
	}
	return claims, faults, nil
}

// limitKey returns the key by which a limit counts the request, and whether the limit counts the request at all.
func (e *Evaluation) limitKey(limit *limitRule) (key string, holds bool, fault *RuleFault) {
	holds, fault = e.conditionHolds(&limit.Rule)
	if fault != nil || !holds {
		return "", false, fault
	}
	value, keyFault := e.evaluator.Run(limit.key)
	if keyFault != nil {
		return "", false, &RuleFault{Rule: &limit.Rule, Field: "key", Fault: keyFault}
	}
	return value.(string), true, nil
}
