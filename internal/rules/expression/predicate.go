package expression

import (
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
)

// Predicate is a condition over values of T in a subset of the language of the rules. It may not contain loops,
// functions or operators whose cost depends on their operands, so that the length of its text bounds its cost.
type Predicate[T any] struct {
	Source string
	code   *vm.Program
}

// CompilePredicate compiles a condition. T is a struct whose `expr` tags give the names that the condition may use. The
// error is a *SourceError.
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
		return nil, checker.err.toSourceError(source)
	}
	return &Predicate[T]{Source: source, code: code}, nil
}

// Holds evaluates the condition. A condition that fails, for instance by a division by zero, does not hold.
func (p *Predicate[T]) Holds(value T) bool {
	result, err := expr.Run(p.code, value)
	holds, ok := result.(bool)
	return err == nil && ok && holds
}

// simpleConditionChecker finds parts of a condition whose cost is not bounded by the length of their text: lists,
// ranges, loops, functions and costlyOperators. It also rejects literal texts.
type simpleConditionChecker struct {
	err *locatedError // error about the first such part; nil: there is none
}

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
		const message = "a condition may contain only numbers, names, comparisons, arithmetic, and, or and not"
		c.err = newLocatedError(*node, message)
	}
}
