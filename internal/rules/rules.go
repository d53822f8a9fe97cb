// Package rules gives requests that do not say it themselves what the decisions need to know: class, plan, volume, key,
// units, shard, deadline. Operators write the rules; all of them are checked when they load. It does no I/O but for
// reading the file, and has no clock.
package rules

import (
	"time"

	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// Stage is a step of the evaluation. Stages run in their order, and in each the first rule that matches wins. After
// them the limits are looked at, all of them.
type Stage int

// The stages, in their order.
const (
	Normalise Stage = iota // who asks
	Classify               // class, plan, deadline, units
	Keying                 // volume, key, shard, hosts, idempotency key
	stages
)

var stageNames = [stages]string{"normalise", "classify", "key"}

func (s Stage) String() string { return stageNames[s] }

// Field is something that a rule sets.
type Field int

// The fields.
const (
	Client Field = iota
	Class
	Plan
	Deadline
	Units
	Volume
	Key
	Shard
	Hosts
	Idempotency
	fields
)

// field tells of a Field: its name in files, the stage that sets it and the types that it takes.
type field struct {
	name  string
	stage Stage
	types []expression.Type
}

var (
	texts   = []expression.Type{expression.String}
	wholes  = []expression.Type{expression.Int}
	numbers = []expression.Type{expression.Int, expression.Number}
	spans   = []expression.Type{expression.Duration}
)

var fieldTable = [fields]field{
	Client: {"who", Normalise, texts}, Class: {"class", Classify, texts}, Plan: {"plan", Classify, texts},
	Deadline: {"deadline", Classify, spans}, Units: {"units", Classify, numbers}, Volume: {"volume", Keying, texts},
	Key: {"key", Keying, texts}, Shard: {"shard", Keying, wholes}, Hosts: {"hosts", Keying, wholes},
	Idempotency: {"idempotency", Keying, texts},
}

func (f Field) String() string { return fieldTable[f].name }

// Rule is one rule of a file.
type Rule struct {
	Name  string
	Stage Stage
	Path  string // its template; empty for any
	Wins  bool   // what it sets goes before the platform's headers
	Skip  bool   // a fault makes it not apply; otherwise the request is refused
	Place string // FILE:LINE

	when     *expression.Program   // nil: always
	needs    []expression.Conjunct // of when
	sets     []setting
	template template
}

// limitRule says which requests a limit counts, and by which key.
type limitRule struct {
	Rule // its condition and place
	def  ratelimit.Definition
	key  *expression.Program
}

type setting struct {
	field   Field
	program *expression.Program
}

// Set is a file's rules, compiled. It never changes, so that a request keeps the set that it began with.
type Set struct {
	Hash  string // of the file's text
	Path  string
	Sizes expression.Sizes
	Cost  int // at worst, in reckoned nanoseconds

	Cases []Case // of its own tests

	tests    []testEntry
	rules    []*Rule
	tables   [stages]*table
	limits   []*limitRule
	lets     []*expression.Program
	letNames []string
	seed     uint64
	budget   int
	settings scheduler.Settings
	classes  map[string]int
	plans    map[string]int
	pool     pool
}

// Len is the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Limits are the definitions of the limits, in the order by which asks number them.
func (s *Set) Limits() []ratelimit.Definition {
	defs := make([]ratelimit.Definition, len(s.limits))
	for i, l := range s.limits {
		defs[i] = l.def
	}
	return defs
}

// Result is what the rules give for a request.
type Result struct {
	Has         [fields]bool
	By          [fields]*Rule // the rule that set a field
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
	Cost        int         // counted, where somebody asked
}

// RuleFault is why a rule did not apply.
type RuleFault struct {
	Rule  *Rule
	Field string // whose value was wanted; "when" for the condition
	Fault *expression.Fault
}

// Error tells a client which rule wanted what.
func (f RuleFault) Error() string {
	return "rule " + f.Rule.Name + ": " + f.Field + ": wants " + f.Fault.Wants
}

// wins tells whether what the rules give for a field goes before the platform's header.
func (r *Result) wins(f Field) bool { return r.Has[f] && r.By[f].Wins }

// Use tells whether the rules' value of a field holds, by whether the platform's header gives one.
func (r *Result) Use(f Field, given bool) bool { return r.Has[f] && (!given || r.wins(f)) }
