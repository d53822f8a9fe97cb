package rules

import (
	"time"

	"reachpulley/internal/rules/expression"
)

// Result is what the rules set for a request.
type Result struct {
	Has         [fieldCount]bool  // whether a rule set the field
	SetBy       [fieldCount]*Rule // the rule that set the field
	Client      string
	Class       int // index in the settings' classes
	Plan        int // index in the settings' plans
	Deadline    time.Duration
	Units       float64
	Volume      string
	Key         string
	Shard       int
	Hosts       int
	Idempotency string
	Faults      []RuleFault // faults for which rules were skipped
	Cost        int         // counted cost, in estimated nanoseconds; 0 unless the caller stored it here
}

// RuleFault reports that a rule or limit could not be evaluated for a request. If the request exceeds the declared
// sizes, no rule is evaluated: the name of the rule is then "any", and Field is "the request".
type RuleFault struct {
	Rule  *Rule
	Field string // the field whose value is at fault; "when" for the condition, "key" for the key of a limit
	Fault *expression.Fault
}

// Error tells the client which rule requires what. The key "refused" of tests in rule files matches parts of this text,
// so its wording is stable.
func (f RuleFault) Error() string {
	return "rule " + f.Rule.Name + ": " + f.Field + ": wants " + f.Fault.Requirement
}

// Unwrap returns the fault of the expression, of its value or of the request.
func (f RuleFault) Unwrap() error { return f.Fault }

// overridesHeader reports whether the rule that set a field overrides the platform's header for that field.
func (r *Result) overridesHeader(f Field) bool { return r.Has[f] && r.SetBy[f].OverridesHeaders }

// Applies reports whether the request gets the value that the rules set for a field. The argument headerGiven is true
// if the request has a platform header for the field: the header then takes precedence, unless the rule overrides it.
func (r *Result) Applies(f Field, headerGiven bool) bool {
	return r.Has[f] && (!headerGiven || r.overridesHeader(f))
}

// set stores the value that checkValue returned for a field, and the rule that set it.
func (r *Result) set(f Field, value any, by *Rule) {
	r.Has[f] = true
	r.SetBy[f] = by
	switch f {
	case Client:
		r.Client = value.(string)
	case Class:
		r.Class = value.(int)
	case Plan:
		r.Plan = value.(int)
	case Deadline:
		r.Deadline = value.(time.Duration)
	case Units:
		r.Units = value.(float64)
	case Volume:
		r.Volume = value.(string)
	case Key:
		r.Key = value.(string)
	case Shard:
		r.Shard = value.(int)
	case Hosts:
		r.Hosts = value.(int)
	case Idempotency:
		r.Idempotency = value.(string)
	}
}
