package expression

import (
	"fmt"
	"reflect"
	"regexp/syntax"

	"github.com/expr-lang/expr/ast"
)

// meter reckons what an expression costs at worst and how long its value can be. Both follow from the sizes that are
// declared, as there are no loops but those over the values of one header.
type meter struct {
	sizes   Sizes
	lets    map[string]*Program
	index   map[string]int
	locals  map[string]Amount // lengths of the names that the expression itself gives
	list    Amount            // length of the values that any, all and none go through
	fault   *placed
	most    int
	dearest string
}

// Worst costs in reckoned nanoseconds, measured by BenchmarkPrices64K and rounded up.
const (
	runCost     = 250  // of starting an expression
	node        = 30   // any operator, constant or variable
	figureSize  = 20   // characters of a number
	compareCost = 0.1  // a byte: equality
	searchCost  = 1.0  // a byte: contains
	mapCost     = 0.1  // a byte: a look-up among constants
	joinCost    = 0.35 // a byte of a joined text, which is allocated
	stepCost    = 5    // a byte and an instruction of a regular expression
	globCost    = 3    // a byte and a byte of a pattern
	letterCost  = 4    // a byte that lower or upper changes
)

var noAmount Amount

func (m *meter) fail(n ast.Node, format string, args ...any) (cost, size Amount) {
	if m.fault == nil {
		m.fault = &placed{n.Location(), fmt.Sprintf(format, args...)}
	}
	return noAmount, noAmount
}

// own notes a term and what it costs without its parts.
func (m *meter) own(n ast.Node, cost Amount) Amount {
	if worst := cost.Worst(m.sizes.Headers); worst > m.most {
		m.most, m.dearest = worst, n.String()
	}
	return cost
}

// of gives the worst cost of a node and the length of its value.
func (m *meter) of(n ast.Node) (cost, size Amount) {
	switch n := n.(type) {
	case *ast.NilNode, *ast.BoolNode, *ast.IntegerNode, *ast.FloatNode:
		return Fixed(node), Fixed(figureSize)
	case *ast.StringNode:
		return Fixed(node), Fixed(float64(len(n.Value)))
	case *ast.ConstantNode:
		return Fixed(node), constantSize(n.Value)
	case *ast.IdentifierNode:
		return Fixed(node), m.variable(n.Value)
	case *ast.PointerNode:
		return Fixed(node), m.list
	case *ast.UnaryNode:
		cost, size = m.of(n.Node)
		return cost.Plus(Fixed(node)), size
	case *ast.ConditionalNode:
		c, _ := m.of(n.Cond)
		a, sa := m.of(n.Exp1)
		b, sb := m.of(n.Exp2)
		return c.Plus(a.Max(b)).Plus(Fixed(node)), sa.Max(sb)
	case *ast.VariableDeclaratorNode:
		value, held := m.of(n.Value)
		m.locals[n.Name] = held
		cost, size = m.of(n.Expr)
		return value.Plus(cost).Plus(Fixed(2 * node)), size
	case *ast.PredicateNode:
		return m.of(n.Node)
	case *ast.BuiltinNode: // any, all, none: over the values of one header
		list, size := m.of(n.Arguments[0])
		m.list = size
		body, _ := m.of(n.Arguments[1])
		return list.Plus(m.own(n, body.Plus(Fixed(4*node)).times(MostValues))), Fixed(figureSize)
	case *ast.ArrayNode:
		for _, one := range n.Nodes {
			c, s := m.of(one)
			cost, size = cost.Plus(c).Plus(Fixed(node)), size.Max(s)
		}
		return cost, size
	case *ast.BinaryNode:
		return m.binary(n)
	case *ast.CallNode:
		return m.call(n)
	case *ast.MemberNode, *ast.ChainNode:
		return m.fail(n, "parts of values can't be named; use a function")
	case *ast.SliceNode:
		return m.fail(n, "use first(TEXT, N) or field(TEXT, SEPARATOR, I)")
	}
	return m.fail(n, "%s is no part of the language", n)
}

func constantSize(value any) Amount {
	if v := reflect.ValueOf(value); v.Kind() == reflect.String {
		return Fixed(float64(v.Len()))
	}
	return Fixed(figureSize)
}

func (m *meter) variable(name string) Amount {
	if size, ok := m.locals[name]; ok {
		return size
	}
	switch name {
	case "path":
		return Fixed(float64(m.sizes.Path))
	case "host", "who":
		return Fixed(MaxNameBytes)
	}
	return Fixed(64)
}

func (m *meter) binary(n *ast.BinaryNode) (cost, size Amount) {
	a, sa := m.of(n.Left)
	b, sb := m.of(n.Right)
	own, size := Fixed(node), Fixed(figureSize)
	switch n.Operator {
	case "==", "!=", "<", "<=", ">", ">=":
		own = own.Plus(shorter(sa, sb, m.sizes.Headers).times(compareCost))
	case "startsWith", "endsWith":
		own = own.Plus(sb.times(compareCost))
	case "contains":
		own = own.Plus(sa.times(searchCost))
	case "in", "not in":
		own = own.Plus(sa.times(mapCost))
		if list, ok := n.Right.(*ast.ArrayNode); ok {
			each := shorter(sa, sb, m.sizes.Headers).times(compareCost).Plus(Fixed(node))
			own = own.Plus(each.times(float64(len(list.Nodes))))
		}
	case "matches":
		own = own.Plus(sa.Plus(Fixed(8)).times(float64(stepCost * instructions(n.Right))))
	case "+":
		if t := n.Type(); t != nil && t.Kind() == reflect.String {
			size = sa.Plus(sb)
			own = own.Plus(Fixed(2 * node)).Plus(size.times(joinCost))
		}
	case "..", "|", "??", "**", "^":
		return m.fail(n, "%s is no part of the language", n.Operator)
	}
	return a.Plus(b).Plus(m.own(n, own)), size
}

// instructions is how long a pattern's program is: a regular expression takes its text's length times that, at worst.
func instructions(n ast.Node) int {
	const unknown = 1000
	pattern, ok := n.(*ast.StringNode)
	if !ok {
		return unknown
	}
	parsed, err := syntax.Parse(pattern.Value, syntax.Perl)
	if err != nil {
		return unknown
	}
	program, err := syntax.Compile(parsed.Simplify())
	if err != nil {
		return unknown
	}
	return len(program.Inst)
}

func (m *meter) call(n *ast.CallNode) (cost, size Amount) {
	callee, ok := n.Callee.(*ast.IdentifierNode)
	if !ok {
		return m.fail(n, "%s is no function", n.Callee)
	}
	p, ok := prices[callee.Value]
	if !ok {
		return m.fail(n, "%s is no function", n.Callee)
	}
	arguments := n.Arguments
	if metered[callee.Value].call != nil {
		arguments = arguments[1:]
	}
	sizes := make([]Amount, 4) // as many as a function may have, so that none needs to be looked for
	for i, argument := range arguments {
		var c Amount
		c, sizes[i] = m.of(argument)
		cost = cost.Plus(c)
	}
	own := Fixed(float64(p.base)).Plus(sizes[0].times(p.perByte))
	size = Fixed(figureSize)
	switch callee.Value {
	case "header", "headerOr", "headers":
		name, _ := arguments[0].(*ast.StringNode)
		size = ofHeader(name.Value).Max(sizes[1])
	case "query", "queryOr":
		size = Fixed(float64(m.sizes.Query)).Max(sizes[1])
	case "segment":
		size = Fixed(float64(m.sizes.Path))
	case "field", "trim":
		size = sizes[0]
	case "lower", "upper":
		size = sizes[0].times(2) // some letters grow
	case "first":
		if most, ok := arguments[1].(*ast.IntegerNode); ok {
			size = shorter(sizes[0], Fixed(float64(max(0, most.Value))), m.sizes.Headers)
		}
	case "glob":
		own = own.Plus(sizes[0].times(globCost * (1 + sizes[1].fixed)))
	case "hash", "hashOf2", "hashOf3", "hashOf4":
		for _, more := range sizes[1:] {
			own = own.Plus(more.times(p.perByte))
		}
		size = Fixed(16)
	case "letString":
		for name, i := range m.index {
			if at, ok := arguments[0].(*ast.IntegerNode); ok && at.Value == i {
				size = m.lets[name].size
			}
		}
	}
	return cost.Plus(m.own(n, own)), size
}
