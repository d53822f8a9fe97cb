package expression

import "github.com/expr-lang/expr/ast"

// Conjunct is one of the conditions that must all hold. Where it demands that something has one value, an index can find
// the rule by it.
type Conjunct struct {
	Text   string
	Attr   string // "method", "path" or "header NAME"; empty for anything else
	Equals string
}

// Conjuncts takes a condition apart at its "and"s.
func (p *Program) Conjuncts() []Conjunct { return conjuncts(p.tree, nil) }

func conjuncts(n ast.Node, all []Conjunct) []Conjunct {
	if b, ok := n.(*ast.BinaryNode); ok && (b.Operator == "&&" || b.Operator == "and") {
		return conjuncts(b.Right, conjuncts(b.Left, all))
	}
	c := Conjunct{Text: n.String()}
	if b, ok := n.(*ast.BinaryNode); ok && b.Operator == "==" {
		left, right := b.Left, b.Right
		if _, ok := left.(*ast.StringNode); ok {
			left, right = right, left
		}
		if value, ok := right.(*ast.StringNode); ok {
			switch l := left.(type) {
			case *ast.IdentifierNode:
				if l.Value == "method" || l.Value == "path" {
					c.Attr, c.Equals = l.Value, value.Value
				}
			case *ast.CallNode:
				callee, _ := l.Callee.(*ast.IdentifierNode)
				if len(l.Arguments) == 0 {
					break
				}
				name, ok := l.Arguments[0].(*ast.StringNode)
				// "" is what a missing header gives, which no index by values finds.
				if callee != nil && callee.Value == "headerOr" && ok && value.Value != "" {
					c.Attr, c.Equals = "header "+name.Value, value.Value
				}
			}
		}
	}
	return append(all, c)
}

// Constant gives the value of an expression that no request changes.
func (p *Program) Constant() (value any, ok bool) { return p.value, p.value != nil }
