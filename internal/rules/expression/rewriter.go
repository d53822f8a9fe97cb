package expression

import (
	"fmt"
	"path"
	"regexp/syntax"
	"slices"

	"github.com/expr-lang/expr/ast"
)

// environmentName is the name by which the environment refers to itself, so that the rewriter can pass it to the
// environmentFunctions.
const environmentName = "meter"

// hiddenNames are names of the environment that no rule file may use: the rewriter writes them in place of others.
var hiddenNames = []string{
	"headerOr", "queryOr",
	"letString", "letInt", "letBool",
	"hashOf2", "hashOf3", "hashOf4",
	environmentName, "$env",
}

// rewriter replaces the names and functions of the language that the environment does not provide in the same form, and
// checks what the library does not check when it compiles, such as patterns and time zones.
type rewriter struct {
	scope Scope
	err   *locatedError // the first error; nil: there is none
}

// fail records an error at a node unless there is one already.
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

// replace replaces a node by another, which gets the location of the first in the source.
func replace(node *ast.Node, by ast.Node) {
	by.SetLocation((*node).Location())
	*node = by
}

// callOf returns the syntax tree of a function call.
func callOf(function string, arguments ...ast.Node) *ast.CallNode {
	return &ast.CallNode{Callee: &ast.IdentifierNode{Value: function}, Arguments: arguments}
}

// rewriteIdentifier replaces the names of named expressions and constants. It rejects hidden names, and names whose
// values are not known yet when the expression is evaluated.
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

// passEnvironment inserts the environment as the first argument of a call of one of the environmentFunctions. It reads
// the callee again, because rewriteCall may have replaced it.
func (r *rewriter) passEnvironment(n *ast.CallNode) {
	callee, ok := n.Callee.(*ast.IdentifierNode)
	if !ok || environmentFunctions[callee.Value].call == nil {
		return
	}
	environment := &ast.IdentifierNode{Value: environmentName}
	n.Arguments = append([]ast.Node{environment}, n.Arguments...)
}

// checkPattern checks that the right operand of the operator matches is a valid regular expression.
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

// constantArguments are the positions, counted from 0, of the arguments that must be constants, so that they can be
// checked at load.
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

// rewriteCall checks the constant arguments of a call and replaces calls of functions that the environment does not
// provide in the same form. The library reports calls with too few or too many arguments.
func (r *rewriter) rewriteCall(node *ast.Node, n *ast.CallNode, function string) {
	for _, i := range constantArguments[function] {
		if i < len(n.Arguments) && !isConstant(n.Arguments[i]) {
			r.fail(n.Arguments[i], "%s requires a constant as argument %d", function, i+1)
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

// isConstant reports whether a node is a literal text or a literal whole number.
func isConstant(n ast.Node) bool {
	switch n.(type) {
	case *ast.StringNode, *ast.IntegerNode:
		return true
	}
	return false
}

// textArgument returns the argument at position i, counted from 0, if it is a constant text; otherwise "".
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

// rewriteHeader replaces the name of a header by its canonical form. In a condition, a missing header reads as "".
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

// addFallback replaces a call with one argument by a call of the given function, which returns the fallback if the
// request does not have what the call reads.
func (r *rewriter) addFallback(n *ast.CallNode, function string, fallback ast.Node) {
	if len(n.Arguments) != 1 {
		return
	}
	n.Callee = &ast.IdentifierNode{Value: function}
	n.Arguments = append(n.Arguments, fallback)
}

// rewriteDefault replaces default(header(NAME), VALUE) by headerOr(NAME, VALUE), and likewise for query.
func (r *rewriter) rewriteDefault(node *ast.Node, n *ast.CallNode) {
	inner, function := innerCall(n)
	switch {
	case function == "header" || function == "query":
		r.addFallback(inner, function+"Or", n.Arguments[1])
		*node = inner
	case (function == "headerOr" || function == "queryOr") && len(inner.Arguments) == 2:
		inner.Arguments[1] = n.Arguments[1] // In a condition, the call already has the fallback "".
		*node = inner
	default:
		r.fail(n, "default requires header(NAME) or query(NAME) and a constant")
	}
}

// innerCall returns the call that is the first argument of a call with two, and the name of its function. It returns
// nil if there is none.
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

// rewriteParam replaces param(NAME) by segment(NUMBER).
func (r *rewriter) rewriteParam(node *ast.Node, n *ast.CallNode) {
	name := textArgument(n, 0)
	i, ok := r.scope.Params[name]
	if !ok {
		r.fail(n, "the rule's path has no segment {%s}", name)
		return
	}
	replace(node, callOf("segment", &ast.IntegerNode{Value: i}))
}

// maxHashParts is the highest number of texts that the functions hashOf2, hashOf3 and hashOf4 take.
const maxHashParts = 4

// splitHash replaces the hash of joined texts by a function that takes the texts as separate arguments and hashes them
// one after another, because joining 64 KiB costs more than hashing them.
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

// joinedParts appends the operands of a chain of + to parts.
func joinedParts(n ast.Node, parts []ast.Node) []ast.Node {
	if join, ok := n.(*ast.BinaryNode); ok && join.Operator == "+" {
		return joinedParts(join.Right, joinedParts(join.Left, parts))
	}
	return append(parts, n)
}

// checkField checks the separator and the number of a call of field.
func (r *rewriter) checkField(n *ast.CallNode) {
	if len(n.Arguments) != 3 {
		return
	}
	number, ok := n.Arguments[2].(*ast.IntegerNode)
	if textArgument(n, 1) == "" || !ok || number.Value < 0 {
		r.fail(n, "field requires a non-empty separator and the number of a part, counted from 0")
	}
}
