package expression

import (
	"fmt"
	"path"
	"regexp/syntax"
	"slices"

	"github.com/expr-lang/expr/ast"
)

// environmentName is the name of the environment itself, which functions of environmentFunctions get as their first
// argument.
const environmentName = "meter"

// hiddenNames are names of the environment that no file may use: the rewriter puts them in place of others.
var hiddenNames = []string{
	"headerOr", "queryOr",
	"letString", "letInt", "letBool",
	"hashOf2", "hashOf3", "hashOf4",
	environmentName, "$env",
}

// rewriter replaces names of a rule file by what the environment provides, and rejects what must be checked at load.
type rewriter struct {
	scope Scope
	err   *locatedError // the first one
}

func (r *rewriter) fail(node ast.Node, format string, args ...any) {
	if r.err == nil {
		r.err = newLocatedError(node, format, args...)
	}
}

// Visit implements ast.Visitor. Children are visited before their parents.
func (r *rewriter) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.IdentifierNode:
		r.rewriteIdentifier(node, n)
	case *ast.CallNode:
		callee, ok := n.Callee.(*ast.IdentifierNode)
		if !ok {
			return
		}
		r.rewriteCall(node, n, callee.Value)
		r.passEnvironment(n)
	case *ast.BinaryNode:
		r.checkPattern(n)
	}
}

// replace puts a node in the place of another, at the same location of the source.
func replace(node *ast.Node, by ast.Node) {
	by.SetLocation((*node).Location())
	*node = by
}

func callOf(function string, arguments ...ast.Node) *ast.CallNode {
	return &ast.CallNode{Callee: &ast.IdentifierNode{Value: function}, Arguments: arguments}
}

// rewriteIdentifier replaces named expressions and constants, and rejects names that are not known yet.
func (r *rewriter) rewriteIdentifier(node *ast.Node, n *ast.IdentifierNode) {
	if program := r.scope.Lets[n.Value]; program != nil {
		getters := map[Type]string{String: "letString", Int: "letInt", Bool: "letBool"}
		number := &ast.IntegerNode{Value: r.scope.LetIndex[n.Value]}
		replace(node, callOf(getters[program.Type], number))
		return
	}
	if value, ok := r.scope.Constants[n.Value]; ok {
		literal := literalOf(value)
		if literal == nil {
			r.fail(n, "the constant %s is of a type that no expression can use", n.Value)
			return
		}
		replace(node, literal)
		return
	}
	switch {
	case slices.Contains(hiddenNames, n.Value):
		r.fail(n, unknownNamePrefix+"%s", n.Value)
	case n.Value == "who" && !r.scope.ClientKnown:
		r.fail(n, "who is not known before the stage normalise has ended")
	case slices.Contains([]string{"class", "plan", "volume"}, n.Value) && !r.scope.DecisionKnown:
		r.fail(n, "%s is available only in limits", n.Value)
	}
}

// literalOf returns the syntax tree of a constant of a rule file; nil if its type is not supported.
func literalOf(value any) ast.Node {
	switch v := value.(type) {
	case string:
		return &ast.StringNode{Value: v}
	case bool:
		return &ast.BoolNode{Value: v}
	case int64:
		return &ast.IntegerNode{Value: int(v)}
	case float64:
		return &ast.FloatNode{Value: v}
	case []any:
		list := &ast.ArrayNode{}
		for _, element := range v {
			text, _ := element.(string)
			list.Nodes = append(list.Nodes, &ast.StringNode{Value: text})
		}
		return list
	}
	return nil
}

// passEnvironment makes the environment the first argument of a function that needs it. The callee is read again, as
// rewriteCall may have replaced it.
func (r *rewriter) passEnvironment(n *ast.CallNode) {
	callee, ok := n.Callee.(*ast.IdentifierNode)
	if !ok || environmentFunctions[callee.Value].call == nil {
		return
	}
	environment := &ast.IdentifierNode{Value: environmentName}
	n.Arguments = append([]ast.Node{environment}, n.Arguments...)
}

// checkPattern checks the regular expression of the operator matches.
func (r *rewriter) checkPattern(n *ast.BinaryNode) {
	if n.Operator != "matches" {
		return
	}
	pattern, ok := n.Right.(*ast.StringNode)
	if !ok {
		r.fail(n, "matches requires a constant pattern")
		return
	}
	if _, err := syntax.Parse(pattern.Value, syntax.Perl); err != nil {
		r.fail(n.Right, "%v", err)
	}
}

// constantArguments are the positions at which a function requires a constant, so that it can be checked at load.
var constantArguments = map[string][]int{
	"header":   {0},
	"headers":  {0},
	"has":      {0},
	"query":    {0},
	"hasQuery": {0},
	"segment":  {0},
	"param":    {0},
	"first":    {1},
	"field":    {1, 2},
	"glob":     {1},
	"toTime":   {1},
	"date":     {1},
	"hour":     {1},
	"weekday":  {1},
	"default":  {1},
}

// rewriteCall checks the constant arguments of a call and replaces calls that only files know. Arguments that are
// missing or too many are left to the library, which reports them.
func (r *rewriter) rewriteCall(node *ast.Node, n *ast.CallNode, function string) {
	for _, i := range constantArguments[function] {
		if i < len(n.Arguments) && !isConstant(n.Arguments[i]) {
			r.fail(n.Arguments[i], "%s requires a constant here", function)
			return
		}
	}
	switch function {
	case "header", "headers", "has":
		r.rewriteHeader(n, function)
	case "query":
		if r.scope.Condition {
			r.addFallback(n, "queryOr", &ast.StringNode{})
		}
	case "default":
		r.rewriteDefault(node, n)
	case "param":
		r.rewriteParam(node, n)
	case "date", "hour", "weekday":
		if _, err := loadZone(textArgument(n, 1)); err != nil {
			r.fail(n, "%v", err)
		}
	case "hash":
		splitHash(n)
	case "glob":
		pattern := textArgument(n, 1)
		if _, err := path.Match(pattern, ""); err != nil {
			r.fail(n, "%q: %v", pattern, err)
		}
	case "field":
		r.checkField(n)
	}
}

func isConstant(n ast.Node) bool {
	switch n.(type) {
	case *ast.StringNode, *ast.IntegerNode:
		return true
	}
	return false
}

// textArgument returns an argument that is a constant text; empty if it is missing or something else.
func textArgument(n *ast.CallNode, i int) string {
	if i >= len(n.Arguments) {
		return ""
	}
	text, ok := n.Arguments[i].(*ast.StringNode)
	if !ok {
		return ""
	}
	return text.Value
}

// rewriteHeader makes the header's name canonical. In a condition, a missing header reads as "".
func (r *rewriter) rewriteHeader(n *ast.CallNode, function string) {
	if len(n.Arguments) != 1 {
		return
	}
	if name, ok := n.Arguments[0].(*ast.StringNode); ok {
		name.Value = canonicalHeader(name.Value)
	}
	if function == "header" && r.scope.Condition {
		r.addFallback(n, "headerOr", &ast.StringNode{})
	}
}

// addFallback turns a call with one argument into one that returns another value where the first is missing.
func (r *rewriter) addFallback(n *ast.CallNode, function string, fallback ast.Node) {
	if len(n.Arguments) != 1 {
		return
	}
	n.Callee = &ast.IdentifierNode{Value: function}
	n.Arguments = append(n.Arguments, fallback)
}

// rewriteDefault turns default(header(NAME), VALUE) into headerOr(NAME, VALUE), and the same for query.
func (r *rewriter) rewriteDefault(node *ast.Node, n *ast.CallNode) {
	inner, function := innerCall(n)
	switch {
	case function == "header" || function == "query":
		r.addFallback(inner, function+"Or", n.Arguments[1])
		*node = inner
	case (function == "headerOr" || function == "queryOr") && len(inner.Arguments) == 2:
		inner.Arguments[1] = n.Arguments[1] // A condition has given it the fallback "" already.
		*node = inner
	default:
		r.fail(n, "default requires header(NAME) or query(NAME) and a constant")
	}
}

// innerCall returns the call that is the first of two arguments, and the name of its function; nil if there is none.
func innerCall(n *ast.CallNode) (inner *ast.CallNode, function string) {
	if len(n.Arguments) != 2 {
		return nil, ""
	}
	inner, ok := n.Arguments[0].(*ast.CallNode)
	if !ok {
		return nil, ""
	}
	callee, ok := inner.Callee.(*ast.IdentifierNode)
	if !ok {
		return nil, ""
	}
	return inner, callee.Value
}

// rewriteParam turns the name of a segment into its number.
func (r *rewriter) rewriteParam(node *ast.Node, n *ast.CallNode) {
	name := textArgument(n, 0)
	i, ok := r.scope.Params[name]
	if !ok {
		r.fail(n, "the rule's path has no segment {%s}", name)
		return
	}
	replace(node, callOf("segment", &ast.IntegerNode{Value: i}))
}

// maxHashParts is the number of texts that the functions behind hash take at most.
const maxHashParts = 4

// splitHash has the parts of a joined text hashed one after another: joining 64 KiB costs more than hashing them.
func splitHash(n *ast.CallNode) {
	if len(n.Arguments) != 1 {
		return
	}
	parts := joinedParts(n.Arguments[0], nil)
	if len(parts) < 2 || len(parts) > maxHashParts {
		return
	}
	n.Callee = &ast.IdentifierNode{Value: fmt.Sprintf("hashOf%d", len(parts))}
	n.Arguments = parts
}

// joinedParts adds the operands of a chain of + to parts.
func joinedParts(n ast.Node, parts []ast.Node) []ast.Node {
	if join, ok := n.(*ast.BinaryNode); ok && join.Operator == "+" {
		return joinedParts(join.Right, joinedParts(join.Left, parts))
	}
	return append(parts, n)
}

func (r *rewriter) checkField(n *ast.CallNode) {
	if len(n.Arguments) != 3 {
		return
	}
	number, ok := n.Arguments[2].(*ast.IntegerNode)
	if textArgument(n, 1) == "" || !ok || number.Value < 0 {
		r.fail(n, "field requires a text, a separator and the number of a part, counted from 0")
	}
}
