package expression

import (
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
)

// Predicate is a condition over values of T in the language of the rules: with the same operators, types and faults,
// but without loops and functions, so that the length of its text bounds its cost.
type Predicate[T any] struct {
	Source string
	code   *vm.Program
}

// CompilePredicate compiles a condition. T is a struct whose fields are named by `expr` tags. The error is a
// *SourceError.
func CompilePredicate[T any](source string) (*Predicate[T], error) {
	if err := checkSource(source); err != nil {
		return nil, err
	}
	var zero T
	options := []expr.Option{
		expr.Env(zero),
		expr.AsBool(),
		expr.DisableAllBuiltins(),
		expr.MaxNodes(maxNodes),
	}
	code, err := expr.Compile(source, options...)
	if err != nil {
		return nil, sourceErrorOf(err, source)
	}
	tree := code.Node()
	checker := simpleConditionChecker{}
	ast.Walk(&tree, &checker)
	if checker.err != nil {
		return nil, checker.err.in(source)
	}
	return &Predicate[T]{Source: source, code: code}, nil
}

// Holds evaluates the condition. A condition that fails, for instance by a division by zero, does not hold.
func (o *Predicate[T]) Holds(value T) bool {
	result, err := expr.Run(o.code, value)
	holds, ok := result.(bool)
	return err == nil && ok && holds
}

// simpleConditionChecker finds what could cost more than its own text: lists, ranges, loops and functions.
type simpleConditionChecker struct{ err *locatedError }

// costlyOperators are the operators whose cost depends on their operands.
var costlyOperators = []string{"..", "in", "matches", "contains", "startsWith", "endsWith", "**", "^"}

// Visit implements ast.Visitor.
func (c *simpleConditionChecker) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.BoolNode, *ast.IntegerNode, *ast.FloatNode, *ast.ConstantNode:
		return
	case *ast.IdentifierNode, *ast.UnaryNode, *ast.ConditionalNode:
		return
	case *ast.BinaryNode:
		if !slices.Contains(costlyOperators, n.Operator) {
			return
		}
	}
	if c.err == nil {
		const message = "a condition is made of numbers, names, comparisons, arithmetic, and, or, not"
		c.err = newLocatedError(*node, message)
	}
}
