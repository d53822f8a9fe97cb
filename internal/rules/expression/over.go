package expression

import (
	"fmt"
	"slices"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
)

// Over is a condition over values of T, in the language of the rules: the same operators, types and faults, without loops or functions, so that its cost
// is bounded by its length.
type Over[T any] struct {
	Source string
	code   *vm.Program
}

// CompileOver compiles a condition. T is a struct whose fields are named by `expr` tags. The error is a *SourceError.
func CompileOver[T any](source string) (*Over[T], error) {
	if len(source) > MostSource {
		return nil, &SourceError{0, fmt.Sprintf("the expression has %d characters, more than %d", len(source), MostSource)}
	}
	if strings.TrimSpace(source) == "" {
		return nil, &SourceError{0, "the expression is empty"}
	}
	var none T
	code, err := expr.Compile(source, expr.Env(none), expr.AsBool(), expr.DisableAllBuiltins(), expr.MaxNodes(mostNodes))
	if err != nil {
		return nil, asSourceError(err, source)
	}
	tree, plain := code.Node(), plainness{}
	ast.Walk(&tree, &plain)
	if plain.fault != nil {
		return nil, plain.fault.within(source)
	}
	return &Over[T]{Source: source, code: code}, nil
}

// plainness finds what could cost more than its own text: lists, ranges, loops and functions.
type plainness struct{ fault *placed }

// Visit is called for each node.
func (p *plainness) Visit(at *ast.Node) {
	switch n := (*at).(type) {
	case *ast.BoolNode, *ast.IntegerNode, *ast.FloatNode, *ast.IdentifierNode, *ast.UnaryNode, *ast.ConditionalNode, *ast.ConstantNode:
		return
	case *ast.BinaryNode:
		if !slices.Contains([]string{"..", "in", "matches", "contains", "startsWith", "endsWith", "**", "^"}, n.Operator) {
			return
		}
	}
	if p.fault == nil {
		p.fault = &placed{(*at).Location(), "a condition is made of numbers, names, comparisons, arithmetic, and, or, not"}
	}
}

// Holds evaluates the condition. What fails, as a division of integers by zero, does not hold.
func (o *Over[T]) Holds(value T) bool {
	out, err := expr.Run(o.code, value)
	held, ok := out.(bool)
	return err == nil && ok && held
}
