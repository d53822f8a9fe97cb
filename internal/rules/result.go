package rules

import (
	"time"

	"reachpulley/internal/rules/expression"
)

// Result is what the rules set for a request.
type Result struct {
	Has         [fieldCount]bool
	By          [fieldCount]*Rule // the rule that set the field
	Client      string
	Class       int
	Plan        int
	Deadline    time.Duration
	Units       float64
	Volume      string
	Key         string
	Shard       int
	Hosts       int
	Idempotency string
	Faults      []RuleFault // of rules that were skipped
	Cost        int         // as counted; only if the caller asked for it
}

// RuleFault is the reason why a rule did not apply.
type RuleFault struct {
	Rule  *Rule
	Field string // the field that had no value; "when" for the condition
	Fault *expression.Fault
}

// Error tells the client which rule requires what.
func (f RuleFault) Error() string {
	return "rule " + f.Rule.Name + ": " + f.Field + ": wants " + f.Fault.Requirement
}

// Unwrap returns the fault of the expression.
func (f RuleFault) Unwrap() error { return f.Fault }

// wins reports whether the value of a field overrides the platform's header.
func (r *Result) wins(f Field) bool { return r.Has[f] && r.By[f].OverridesHeaders }

// Overrides reports whether the value that the rules set for a field applies. The argument given says whether the
// request has a platform header for the field.
func (r *Result) Overrides(f Field, given bool) bool { return r.Has[f] && (!given || r.wins(f)) }

// set stores the value of a field, which checkValue has returned.
func (r *Result) set(f Field, value any, by *Rule) {
	r.Has[f] = true
	r.By[f] = by
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
