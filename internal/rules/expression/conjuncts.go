package expression

import "github.com/expr-lang/expr/ast"

// Conjunct is one of the operands of "and" that make up a condition. If it requires an attribute of the request to have
// one value, an index can find the rule by that value.
type Conjunct struct {
	Text      string
	Attribute string // "method", "path" or "header NAME"; empty for any other condition
	Value     string
}

// Conjuncts returns the parts of a condition that "and" operators join, all of which must hold.
func (p *Program) Conjuncts() []Conjunct { return appendConjuncts(nil, p.tree) }

// appendConjuncts appends the conjuncts of a node to all.
func appendConjuncts(all []Conjunct, n ast.Node) []Conjunct {
	if and, ok := n.(*ast.BinaryNode); ok && (and.Operator == "&&" || and.Operator == "and") {
		return appendConjuncts(appendConjuncts(all, and.Left), and.Right)
	}
	attribute, value := requiredValue(n)
	return append(all, Conjunct{Text: n.String(), Attribute: attribute, Value: value})
}

// requiredValue returns the attribute of the request that a node requires to have one value, and the value. It returns
// two empty texts if the node is no such comparison.
func requiredValue(n ast.Node) (attribute, value string) {
	comparison, ok := n.(*ast.BinaryNode)
	if !ok || comparison.Operator != "==" {
		return "", ""
	}
	operand, literal := comparison.Left, comparison.Right
	if _, reversed := operand.(*ast.StringNode); reversed {
		operand, literal = literal, operand
	}
	text, ok := literal.(*ast.StringNode)
	if !ok {
		return "", ""
	}
	switch operand := operand.(type) {
	case *ast.IdentifierNode:
		if operand.Value == "method" || operand.Value == "path" {
			return operand.Value, text.Value
		}
	case *ast.CallNode:
		// A comparison with "" also holds for a missing header, which an index by values can't find.
		if name, ok := headerName(operand); ok && text.Value != "" {
			return "header " + name, text.Value
		}
	}
	return "", ""
}

// headerName returns the name of the header that a call of headerOr reads.
func headerName(call *ast.CallNode) (name string, ok bool) {
	callee, ok := call.Callee.(*ast.IdentifierNode)
	if !ok || callee.Value != "headerOr" || len(call.Arguments) == 0 {
		return "", false
	}
	argument, ok := call.Arguments[0].(*ast.StringNode)
	if !ok {
		return "", false
	}
	return argument.Value, true
}
