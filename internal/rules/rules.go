// Package rules derives from a request what the scheduler needs to know and the request does not say: class, plan,
// volume, key, units, shard and deadline. Operators write the rules in a file; Load checks all of them.
//
// A Set holds the compiled rules of one file. Set.Begin starts the evaluation of a request, which goes through three
// stages. In each stage the first rule that matches wins; an index finds the rules that may match. After the stages,
// Evaluation.Claims determines which rate limits count the request.
//
// The package does no I/O but for reading the file, and has no clock.
package rules

import (
	"sync"

	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// Stage is a step of the evaluation. Stages run in their order, and in each the first rule that matches wins.
type Stage int

// The stages, in their order.
const (
	Normalise Stage = iota // identifies the client
	Classify               // class, plan, deadline, units
	Keying                 // volume, key, shard, hosts, idempotency key
	stageCount
)

var stageNames = [stageCount]string{"normalise", "classify", "key"}

// String returns the name of the stage in rule files.
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
	fieldCount
)

// fieldInfo describes a Field: its name in files, the stage that sets it and the types of its values.
type fieldInfo struct {
	name  string
	stage Stage
	types []expression.Type
}

var fieldInfos = [fieldCount]fieldInfo{
	Client:      {"who", Normalise, []expression.Type{expression.String}},
	Class:       {"class", Classify, []expression.Type{expression.String}},
	Plan:        {"plan", Classify, []expression.Type{expression.String}},
	Deadline:    {"deadline", Classify, []expression.Type{expression.Duration}},
	Units:       {"units", Classify, []expression.Type{expression.Int, expression.Number}},
	Volume:      {"volume", Keying, []expression.Type{expression.String}},
	Key:         {"key", Keying, []expression.Type{expression.String}},
	Shard:       {"shard", Keying, []expression.Type{expression.Int}},
	Hosts:       {"hosts", Keying, []expression.Type{expression.Int}},
	Idempotency: {"idempotency", Keying, []expression.Type{expression.String}},
}

// String returns the name of the field in rule files.
func (f Field) String() string { return fieldInfos[f].name }

// Rule is one rule of a file.
type Rule struct {
	Name             string
	Stage            Stage
	Path             string // its path template; empty for any path
	OverridesHeaders bool   // what it sets overrides the platform's headers
	SkipOnFault      bool   // a fault makes it not apply; otherwise the request is rejected
	Position         string // FILE:LINE

	condition    *expression.Program // nil: always true
	conjuncts    []expression.Conjunct
	assignments  []assignment
	pathTemplate pathTemplate
}

// assignment is a field that a rule sets, and its value.
type assignment struct {
	field   Field
	program *expression.Program
}

// limitRule determines which requests a limit counts, and by which key.
type limitRule struct {
	Rule       // its condition and position
	definition ratelimit.Definition
	key        *expression.Program
}

// Set is the compiled rules of a file. It never changes, so a request keeps the set that it began with.
type Set struct {
	Hash  string // of the file's text
	Path  string
	Sizes expression.Sizes
	Cost  int    // worst case, in estimated nanoseconds
	Cases []Case // the requests of the file's own tests

	tests    []testEntry // one for each of Cases
	rules    []*Rule
	indexes  [stageCount]*ruleIndex
	limits   []*limitRule
	lets     []*expression.Program
	letNames []string
	seed     uint64
	budget   int
	settings scheduler.Settings
	classes  map[string]int
	plans    map[string]int

	evaluators sync.Pool // of *pooledEvaluator
}

// Len returns the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Limits returns the definitions of the limits, in the order by which claims number them.
func (s *Set) Limits() []ratelimit.Definition {
	definitions := make([]ratelimit.Definition, len(s.limits))
	for i, limit := range s.limits {
		definitions[i] = limit.definition
	}
	return definitions
}
