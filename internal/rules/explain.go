package rules

import (
	"fmt"

	"reachpulley/internal/rules/expression"
)

// Explanation records the evaluation of one request: the rules and limits that were tried, the values that the rules
// set, and the keys by which limits count the request.
type Explanation struct {
	Tried     []TriedRule       `json:"tried"`
	Assigned  map[string]string `json:"gives,omitempty"`   // by field: the value, and the rule in parentheses
	Rejected  string            `json:"refused,omitempty"` // the error, if the request must be rejected
	Limits    map[string]string `json:"limits,omitempty"`  // by limit: the key by which it counts the request
	Cost      int               `json:"cost"`              // counted cost of the request, in estimated nanoseconds
	WorstCase int               `json:"worst"`             // highest cost of any request, in estimated nanoseconds
}

// TriedRule records how a rule or limit was evaluated.
type TriedRule struct {
	Rule     string            `json:"rule"`
	Stage    string            `json:"stage"` // limitStage for a limit
	Position string            `json:"place"`
	Matched  bool              `json:"matched"`
	Fault    string            `json:"fault,omitempty"`
	Terms    []expression.Term `json:"terms,omitempty"`
}

// Explain evaluates a request as Begin, Apply and Claims do, and records each step.
func (s *Set) Explain(f *expression.Facts) Explanation {
	explanation := Explanation{
		WorstCase: s.Cost,
		Assigned:  map[string]string{},
		Limits:    map[string]string{},
	}
	var evaluation *Evaluation
	trace := func(stage string, r *Rule, matched bool, fault *RuleFault) {
		tried := TriedRule{Rule: r.Name, Stage: stage, Position: r.Position, Matched: matched}
		if fault != nil {
			tried.Fault = fault.Error()
		}
		for _, program := range r.programs() {
			tried.Terms = append(tried.Terms, evaluation.evaluator.Terms(program, s.letNames)...)
		}
		explanation.Tried = append(explanation.Tried, tried)
	}
	evaluation = s.begin(f, indexCandidates, trace)
	result, err := evaluation.Apply()
	for field := range fieldCount {
		if result.Has[field] {
			explanation.Assigned[field.String()] = s.Value(&result, field) + " (" + result.SetBy[field].Name + ")"
		}
	}
	if err == nil {
		err = s.explainLimits(evaluation, &result, explanation.Limits)
	}
	if err != nil {
		explanation.Rejected = err.Error()
	}
	explanation.Cost = evaluation.End()
	return explanation
}

// programs returns the expressions of the rule: its condition, if there is one, and the values that it sets.
func (r *Rule) programs() []*expression.Program {
	var programs []*expression.Program
	if r.condition != nil {
		programs = append(programs, r.condition)
	}
	for _, assignment := range r.assignments {
		programs = append(programs, assignment.program)
	}
	return programs
}

// explainLimits stores in keys, by the name of the limit, the key of each limit that counts the request.
func (s *Set) explainLimits(evaluation *Evaluation, result *Result, keys map[string]string) error {
	var class, plan string
	if result.Has[Class] {
		class = s.settings.Classes[result.Class].Name
	}
	if result.Has[Plan] {
		plan = s.settings.Plans[result.Plan].Name
	}
	claims, _, err := evaluation.Claims(class, plan, result.Volume, nil)
	if err != nil {
		return err
	}
	for _, claim := range claims {
		keys[s.limits[claim.Limit].Name] = claim.Key
	}
	return nil
}

// Value formats the value of a field for people. It returns "-" if no rule set the field.
func (s *Set) Value(r *Result, f Field) string {
	if !r.Has[f] {
		return "-"
	}
	switch f {
	case Client:
		return r.Client
	case Class:
		return s.settings.Classes[r.Class].Name
	case Plan:
		return s.settings.Plans[r.Plan].Name
	case Deadline:
		return r.Deadline.String()
	case Units:
		return fmt.Sprint(r.Units)
	case Volume:
		return r.Volume
	case Key:
		return r.Key
	case Shard:
		return fmt.Sprint(r.Shard)
	case Hosts:
		return fmt.Sprint(r.Hosts)
	case Idempotency:
		return r.Idempotency
	}
	return "-"
}
