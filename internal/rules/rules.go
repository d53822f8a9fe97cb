// Package rules derives from a request what the scheduler needs to know and the request does not say: class, plan,
// volume, key, units, shard and deadline. Operators write the rules in a file; Load checks all of them.
//
// A Set holds the compiled rules of one file. Set.Begin starts the evaluation of a request, which goes through three
// stages. In each stage, only the first rule that matches applies; an index finds the rules that may match. After the
// stages, Evaluation.Claims determines which rate limits count the request.
//
// The package does no I/O except reading the rule file, and it does not read the clock.
package rules

import (
	"sync"

	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// Stage is a step of the evaluation. Stages run in the order of their constants. In each, only the first rule that
// matches applies.
type Stage int

// The stages, in the order in which they run, with what their rules set.
const (
	Normalise Stage = iota // who the client is
	Classify               // class, plan, deadline, units
	Keying                 // volume, key, shard, hosts, idempotency key
	stageCount
)

var stageNames = [stageCount]string{"normalise", "classify", "key"}

// String returns the name of the stage in rule files.
func (s Stage) String() string { return stageNames[s] }

// Field is an attribute of a request that rules set.
type Field int

// The fields, in the order of the stages that set them.
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

// Rule is one rule of a rule file.
type Rule struct {
	Name             string
	Stage            Stage
	Path             string // the text of its path template; empty for any path
	OverridesHeaders bool   // whether the values that it sets override the platform's headers
	SkipOnFault      bool   // whether a fault skips the rule; otherwise a fault rejects the request
	Position         string // FILE:LINE

	condition    *expression.Program // nil: always true
	conjuncts    []expression.Conjunct
	assignments  []assignment
	pathTemplate pathTemplate
}

// assignment is a field that a rule sets and the expression that gives its value.
type assignment struct {
	field   Field
	program *expression.Program
}

// limitRule determines which requests a limit counts, and by which key.
type limitRule struct {
	Rule       // only its name, condition, position and SkipOnFault are used
	definition ratelimit.Definition
	key        *expression.Program
}

// Set holds the compiled rules of a file. A Set never changes, so that a request can be evaluated by one Set from its
// beginning to its end while another Set replaces it for later requests.
type Set struct {
	Hash         string           // XXH64 of the file's text, in hex digits
	Path         string           // path of the rule file
	Sizes        expression.Sizes // the largest sizes of a request that the rules evaluate
	Cost         int              // worst case for one request, in estimated nanoseconds
	TestRequests []TestRequest    // the requests of the file's own tests

	tests    []testEntry // one for each of TestRequests
	rules    []*Rule
	indexes  [stageCount]*ruleIndex
	limits   []*limitRule
	lets     []*expression.Program
	letNames []string
	seed     uint64 // seed of the function hash
	budget   int    // the highest Cost that the file allows, in estimated nanoseconds
	settings scheduler.Settings
	classes  map[string]int // index in settings.Classes, by name
	plans    map[string]int // index in settings.Plans, by name

	evaluators sync.Pool // holds values of type *pooledEvaluator
}

// Len returns the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Limits returns the definitions of the limits. The field Limit of a claim is an index of this slice.
func (s *Set) Limits() []ratelimit.Definition {
	definitions := make([]ratelimit.Definition, len(s.limits))
	for i, limit := range s.limits {
		definitions[i] = limit.definition
	}
	return definitions
}
