package expression

import (
	"fmt"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
)

// Term is a part of an expression with the value that it has for the request at hand.
type Term struct {
	Text  string `json:"text"`
	Value string `json:"value"`
	Cost  int    `json:"cost"`  // counted
	Worst int    `json:"worst"` // reckoned at load, for the whole expression
}

const mostValue = 80 // characters of a value that are shown

// Terms evaluates an expression and each of its parts that is more than a name or a constant, the whole first. It is
// for explanations: every part is compiled anew.
func (e *Evaluator) Terms(p *Program, lets []string) []Term {
	c := &collector{}
	ast.Walk(&p.tree, c)
	terms := []Term{e.term(p, lets)}
	seen := map[string]bool{terms[0].Text: true}
	for i := len(c.parts) - 2; i >= 0; i-- {
		code, err := expr.Compile(c.parts[i].String(), options()...)
		if err != nil {
			continue // a part that only makes sense within the whole
		}
		t := e.term(&Program{Source: c.parts[i].String(), code: code, tree: code.Node()}, lets)
		if t.Worst = 0; !seen[t.Text] {
			seen[t.Text] = true
			terms = append(terms, t)
		}
	}
	return terms
}

func (e *Evaluator) term(p *Program, lets []string) Term {
	before := e.env.spent
	value, fault := e.Run(p)
	t := Term{Text: Readable(p.tree.String(), lets), Cost: e.env.spent - before, Worst: p.Cost.Worst(DefaultSizes.Headers)}
	e.env.spent = before // an explanation must not come near the fence
	if fault != nil {
		t.Value = "no value: wants " + fault.Wants
		return t
	}
	if t.Value = fmt.Sprintf("%#v", value); len(t.Value) > mostValue {
		t.Value = t.Value[:mostValue] + "…"
	}
	return t
}

// Readable writes the names of the file in place of what they were turned into.
func Readable(text string, lets []string) string {
	for i, name := range lets {
		for _, f := range [...]string{"letString", "letInt", "letBool"} {
			text = strings.ReplaceAll(text, fmt.Sprintf("%s(%d)", f, i), name)
		}
	}
	return strings.NewReplacer(`headerOr(`, `header(`, `queryOr(`, `query(`, `, "")`, `)`, "(meter, ", "(", "hashOf2(", "hash(", "hashOf3(", "hash(", "hashOf4(", "hash(").Replace(text)
}

// collector gathers calls, comparisons and choices, children before parents.
type collector struct{ parts []ast.Node }

// Visit is called for each node.
func (c *collector) Visit(at *ast.Node) {
	switch (*at).(type) {
	case *ast.CallNode, *ast.BinaryNode, *ast.ConditionalNode, *ast.UnaryNode:
		c.parts = append(c.parts, *at)
	}
}
