package expression

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
)

// MaxSourceBytes bounds the text of an expression and, with it, the depth of its nesting.
const MaxSourceBytes = 4 << 10

// maxNodes bounds the syntax tree of an expression.
const maxNodes = 500

// Scope is what an expression may use beyond the request.
type Scope struct {
	Sizes         Sizes
	Constants     map[string]any      // string, bool, int64, float64 or a list of strings
	Lets          map[string]*Program // named expressions
	LetIndex      map[string]int      // the number of each named expression, as passed to NewEvaluator
	Params        map[string]int      // the segments that the rule's path names
	Condition     bool                // a missing header reads as "" instead of being a fault
	ClientKnown   bool                // the stage that identifies the client has run
	DecisionKnown bool                // class, plan and volume have been decided
}

// Program is a compiled expression.
type Program struct {
	Source        string
	Type          Type
	Cost          Amount // worst case, in estimated nanoseconds
	CostliestTerm string // the term with the highest cost of its own

	maxLength Amount // of a string value, in bytes
	code      *vm.Program
	tree      ast.Node
	constant  any // the value, if it is the same for every request
}

// Compile checks an expression and compiles it. The expression must have one of the wanted types. The error is a
// *SourceError.
func Compile(source string, scope Scope, wanted ...Type) (*Program, error) {
	if err := checkSource(source); err != nil {
		return nil, err
	}
	rewriter := &rewriter{scope: scope}
	code, err := expr.Compile(source, languageOptions(expr.MaxNodes(maxNodes), expr.Patch(rewriter))...)
	if rewriter.err != nil { // The library would report the same place under a name that no file contains.
		return nil, rewriter.err.in(source)
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
		return nil, err.in(source)
	}
	program.foldConstant()
	return program, nil
}

// languageOptions are the library's options that define the language.
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

// estimateCost bounds what the program costs and how long its value is.
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

// foldConstant evaluates an expression that does not depend on the request, once and for all.
func (p *Program) foldConstant() {
	detector := constantDetector{constant: true}
	ast.Walk(&p.tree, &detector)
	if !detector.constant {
		return
	}
	const unlimited = 1 << 30
	value, fault := NewEvaluator(nil, 0, unlimited).Run(p)
	if fault != nil {
		return
	}
	p.constant = value
	p.Cost = Fixed(nodeCost)
}

// Constant returns the value of an expression that is the same for every request.
func (p *Program) Constant() (value any, ok bool) { return p.constant, p.constant != nil }

// constantDetector finds out whether an expression depends on nothing but itself.
type constantDetector struct{ constant bool }

// pureIdentifiers are the identifiers that a constant expression may use. environmentName is an argument of the
// functions beside it, which do not read the request.
var pureIdentifiers = []string{"seconds", "millis", environmentName}

// Visit implements ast.Visitor.
func (d *constantDetector) Visit(node *ast.Node) {
	identifier, ok := (*node).(*ast.IdentifierNode)
	if ok && !slices.Contains(pureIdentifiers, identifier.Value) {
		d.constant = false
	}
}

// operatorNames are the words of the language that are not fields of the environment.
var operatorNames = []string{
	"param", "default", "first", "field", "toDuration", "toTime", "date", "hour", "weekday", "seconds", "millis",
	"any", "all", "none", "true", "false", "not", "and", "or", "in", "matches",
	"contains", "startsWith", "endsWith", "let",
}

// Names returns the words of the language.
func Names() []string {
	names := slices.Clone(operatorNames)
	fields := reflect.TypeFor[environment]()
	for i := range fields.NumField() {
		name := fields.Field(i).Tag.Get("expr")
		if name != "" && !slices.Contains(hiddenNames, name) {
			names = append(names, name)
		}
	}
	return names
}
