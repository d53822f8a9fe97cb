package expression

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
)

// MaxSourceBytes bounds the length of an expression's text, and thereby the depth of its nesting.
const MaxSourceBytes = 4 << 10

// maxNodes bounds the number of nodes in the syntax tree of an expression.
const maxNodes = 500

// Scope is what an expression may use besides the request, and how it reads the request.
type Scope struct {
	Sizes         Sizes               // the largest sizes of a request, which bound costs
	Constants     map[string]any      // string, bool, int64, float64 or a list of strings
	Lets          map[string]*Program // named expressions
	LetIndex      map[string]int      // the index of each in the slice that NewEvaluator gets
	Params        map[string]int      // the number of each segment that the rule's path names
	Condition     bool                // a missing header or query parameter reads as "" instead of being a fault
	ClientKnown   bool                // the stage that identifies the client has run
	DecisionKnown bool                // class, plan and volume have been decided
}

// Program is a compiled expression.
type Program struct {
	Source        string
	Type          Type
	Cost          Amount // worst case, in estimated nanoseconds
	CostliestTerm string // the term with the highest cost, not counting the cost of its parts

	maxLength Amount // maximum length of a string value, in bytes
	code      *vm.Program
	tree      ast.Node
	constant  any // the value, if foldConstant has evaluated the expression; otherwise nil
}

// Compile checks and compiles an expression, which must have one of the wanted types. The error is a *SourceError.
func Compile(source string, scope Scope, wanted ...Type) (*Program, error) {
	if err := checkSource(source); err != nil {
		return nil, err
	}
	rewriter := &rewriter{scope: scope}
	code, err := expr.Compile(source, languageOptions(expr.MaxNodes(maxNodes), expr.Patch(rewriter))...)
	if rewriter.err != nil { // The library's error at the same place could contain a name that the rewriter wrote.
		return nil, rewriter.err.toSourceError(source)
	}
	if err != nil {
		return nil, sourceErrorOf(err, source)
	}
	program := &Program{Source: source, code: code, tree: code.Node()}
	goType := program.tree.Type()
	program.Type = typeOf(goType)
	if !slices.Contains(wanted, program.Type) {
		message := fmt.Sprintf("the expression is a %s, want %s", describeType(goType), joinTypes(wanted))
		return nil, &SourceError{Message: message}
	}
	if err := program.estimateCost(scope); err != nil {
		return nil, err.toSourceError(source)
	}
	program.foldConstant()
	return program, nil
}

// languageOptions returns the options of the library that define the language, after the given ones.
func languageOptions(more ...expr.Option) []expr.Option {
	language := append(more,
		expr.Env(environment{}),
		expr.DisableAllBuiltins(),
		expr.EnableBuiltin("any"),
		expr.EnableBuiltin("all"),
		expr.EnableBuiltin("none"),
	)
	return append(language, environmentFunctionOptions...)
}

// estimateCost computes bounds of the program's cost and of the length of its value.
func (p *Program) estimateCost(scope Scope) *locatedError {
	estimator := costEstimator{
		sizes:        scope.Sizes,
		lets:         scope.Lets,
		letIndex:     scope.LetIndex,
		localLengths: map[string]Amount{},
	}
	cost, length := estimator.estimate(p.tree)
	p.Cost = cost.Plus(Fixed(startCost))
	p.maxLength = length
	p.CostliestTerm = estimator.costliestTerm
	return estimator.err
}

// foldConstant evaluates an expression that uses no names but pureIdentifiers, and stores its value. If the evaluation
// fails, the expression is evaluated for each request, where it fails again.
func (p *Program) foldConstant() {
	detector := constantDetector{constant: true}
	ast.Walk(&p.tree, &detector)
	if !detector.constant {
		return
	}
	const noCostLimit = 1 << 30
	value, fault := NewEvaluator(nil, 0, noCostLimit).Run(p)
	if fault != nil {
		return
	}
	p.constant = value
	p.Cost = Fixed(nodeCost)
}

// Constant returns the value of an expression that was evaluated when it was compiled, because it consists only of
// constants, operators and the functions seconds and millis. Otherwise, ok is false.
func (p *Program) Constant() (value any, ok bool) { return p.constant, p.constant != nil }

// constantDetector detects whether an expression uses no names but pureIdentifiers.
type constantDetector struct{ constant bool }

// pureIdentifiers are the names that an expression may use if its value is to be computed when it is compiled: the
// functions seconds and millis, and the environment, which the rewriter passes to them and which they do not read.
// Other functions are not among them, even if their result depends only on their arguments.
var pureIdentifiers = []string{"seconds", "millis", environmentName}

// Visit implements ast.Visitor.
func (d *constantDetector) Visit(node *ast.Node) {
	identifier, ok := (*node).(*ast.IdentifierNode)
	if ok && !slices.Contains(pureIdentifiers, identifier.Value) {
		d.constant = false
	}
}

// nonFieldNames are the words of the language that are not fields of the environment.
var nonFieldNames = []string{
	"param", "default", "first", "field", "toDuration", "toTime", "date", "hour", "weekday", "seconds", "millis",
	"any", "all", "none", "true", "false", "not", "and", "or", "in", "matches",
	"contains", "startsWith", "endsWith", "let",
}

// Names returns the words of the language: functions, attributes of the request, operators and keywords.
func Names() []string {
	names := slices.Clone(nonFieldNames)
	fields := reflect.TypeFor[environment]()
	for i := range fields.NumField() {
		name := fields.Field(i).Tag.Get("expr")
		if name != "" && !slices.Contains(hiddenNames, name) {
			names = append(names, name)
		}
	}
	return names
}
