package expression

import (
	"fmt"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
)

// Term is a part of an expression with its value for the current request.
type Term struct {
	Text      string `json:"text"`
	Value     string `json:"value"`
	Cost      int    `json:"cost"`  // counted by this evaluation, in estimated nanoseconds
	WorstCase int    `json:"worst"` // in estimated nanoseconds, with headers of the default size; 0 for a part
}

// maxTermValueBytes is the length to which Terms shortens values.
const maxTermValueBytes = 80

// Terms evaluates an expression, and each of its calls, operators and conditional expressions that can be evaluated on
// its own. The first Term is the whole expression. The argument lets holds the names of the named expressions in the
// order of their numbers. As Terms compiles every part again, it is meant only for explanations.
func (e *Evaluator) Terms(p *Program, lets []string) []Term {
	collector := &termCollector{}
	ast.Walk(&p.tree, collector)
	terms := []Term{e.term(p, lets)}
	seen := map[string]bool{terms[0].Text: true}
	// The last node is left out: it is the whole expression or, if that is a loop or begins with let, one of its parts.
	for i := len(collector.nodes) - 2; i >= 0; i-- {
		source := collector.nodes[i].String()
		code, err := expr.Compile(source, languageOptions()...)
		if err != nil {
			continue // The part can't stand alone, for instance because it uses the # of a loop around it.
		}
		term := e.term(&Program{Source: source, code: code, tree: code.Node()}, lets)
		term.WorstCase = 0
		if !seen[term.Text] {
			seen[term.Text] = true
			terms = append(terms, term)
		}
	}
	return terms
}

// term evaluates one program. Afterwards, the cost counted for the request is what it was before.
func (e *Evaluator) term(p *Program, lets []string) Term {
	before := e.env.cost
	value, fault := e.Run(p)
	term := Term{
		Text:      RestoreNames(p.tree.String(), lets),
		Cost:      e.env.cost - before,
		WorstCase: p.Cost.WorstCase(DefaultSizes.Headers),
	}
	e.env.cost = before
	if fault != nil {
		term.Value = "no value: wants " + fault.Requirement
		return term
	}
	term.Value = fmt.Sprintf("%#v", value)
	if len(term.Value) > maxTermValueBytes {
		term.Value = term.Value[:maxTermValueBytes] + "…"
	}
	return term
}

// rewrittenNames replaces names that the rewriter wrote by those in the rule file.
var rewrittenNames = strings.NewReplacer(
	`headerOr(`, `header(`,
	`queryOr(`, `query(`,
	`, "")`, `)`,
	"("+environmentName+", ", "(",
	"hashOf2(", "hash(",
	"hashOf3(", "hash(",
	"hashOf4(", "hash(",
)

// RestoreNames replaces the names that the rewriter wrote by those in the rule file. The argument lets holds the names
// of the named expressions in the order of their numbers.
func RestoreNames(text string, lets []string) string {
	for i, name := range lets {
		for _, getter := range [...]string{"letString", "letInt", "letBool"} {
			text = strings.ReplaceAll(text, fmt.Sprintf("%s(%d)", getter, i), name)
		}
	}
	return rewrittenNames.Replace(text)
}

// termCollector collects calls, operators and conditional expressions, children before their parents.
type termCollector struct{ nodes []ast.Node }

// Visit implements ast.Visitor.
func (c *termCollector) Visit(node *ast.Node) {
	switch (*node).(type) {
	case *ast.CallNode, *ast.BinaryNode, *ast.ConditionalNode, *ast.UnaryNode:
		c.nodes = append(c.nodes, *node)
	}
}
