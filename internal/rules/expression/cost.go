package expression

import (
	"reflect"
	"regexp/syntax"

	"github.com/expr-lang/expr/ast"
)

// Worst-case costs in estimated nanoseconds.
const (
	startCost           = 250  // cost of starting an evaluation
	nodeCost            = 30   // cost of any operator, constant or variable
	compareCostPerByte  = 0.1  // cost of comparing texts, per byte of the shorter one
	containsCostPerByte = 1.0  // cost of the operator contains, per byte of the text searched
	lookupCostPerByte   = 0.1  // cost of a lookup in a list of constants, per byte of the text looked up
	joinCostPerByte     = 0.35 // cost of joining texts, per byte of the result, which is allocated
	matchCostPerStep    = 5    // cost of a regular expression, per byte of the text and instruction of the pattern
	globCostPerBytePair = 3    // cost of glob, per byte of the text and byte of the pattern
	caseCostPerByte     = 4    // cost of lower and upper, per byte of the text
)

// Assumptions about regular expressions.
const (
	matchOverheadBytes         = 8    // matching an empty text costs as much as matching so many bytes
	unknownPatternInstructions = 1000 // assumed for a pattern that is not a literal text or can't be compiled
)

// Lengths of values in bytes.
const (
	numberLength    = 20 // length of any value that is not a text
	hashLength      = 16
	shortNameLength = 64 // length of short texts in the request, such as the method or a class
)

// caseGrowth is the factor by which lower and upper can lengthen a text, as some letters take more bytes in the other
// case.
const caseGrowth = 2

// maxFunctionArguments is the highest number of arguments that a function takes.
const maxFunctionArguments = 4

// costEstimator computes bounds of the cost of an expression and of the length of its value. Both follow from the
// declared sizes, because the only loops are those over the values of one header.
//
// In its methods, cost is in estimated nanoseconds, and length is the length of the value in bytes.
type costEstimator struct {
	sizes         Sizes
	lets          map[string]*Program
	letIndex      map[string]int
	localLengths  map[string]Amount // lengths of the values that the expression names by let
	elementLength Amount            // length of the elements over which the current any, all or none loops
	err           *locatedError     // the first error; nil: there is none

	highestTermCost int
	costliestTerm   string
}

// fail records an error at a node unless there is one already.
func (c *costEstimator) fail(n ast.Node, format string, args ...any) (cost, length Amount) {
	if c.err == nil {
		c.err = newLocatedError(n, format, args...)
	}
	return Amount{}, Amount{}
}

// recordTerm records the term of a node if it is the costliest one so far. The cost, which recordTerm returns, is that
// of the node without its children.
func (c *costEstimator) recordTerm(n ast.Node, cost Amount) Amount {
	worst := cost.WorstCase(c.sizes.Headers)
	if worst > c.highestTermCost {
		c.highestTermCost = worst
		c.costliestTerm = n.String()
	}
	return cost
}

// estimate returns the worst-case cost of a node and the length of its value.
func (c *costEstimator) estimate(n ast.Node) (cost, length Amount) {
	switch n := n.(type) {
	case *ast.NilNode, *ast.BoolNode, *ast.IntegerNode, *ast.FloatNode:
		return Fixed(nodeCost), Fixed(numberLength)
	case *ast.StringNode:
		return Fixed(nodeCost), Fixed(float64(len(n.Value)))
	case *ast.ConstantNode:
		return Fixed(nodeCost), constantLength(n.Value)
	case *ast.IdentifierNode:
		return Fixed(nodeCost), c.variableLength(n.Value)
	case *ast.PointerNode:
		return Fixed(nodeCost), c.elementLength
	case *ast.UnaryNode:
		cost, length = c.estimate(n.Node)
		return cost.Plus(Fixed(nodeCost)), length
	case *ast.ConditionalNode:
		return c.estimateConditional(n)
	case *ast.VariableDeclaratorNode:
		return c.estimateDeclaration(n)
	case *ast.PredicateNode:
		return c.estimate(n.Node)
	case *ast.BuiltinNode:
		return c.estimateLoop(n)
	case *ast.ArrayNode:
		return c.estimateArray(n)
	case *ast.BinaryNode:
		return c.estimateBinary(n)
	case *ast.CallNode:
		return c.estimateCall(n)
	case *ast.MemberNode, *ast.ChainNode:
		return c.fail(n, "values have no members; use a function instead")
	case *ast.SliceNode:
		return c.fail(n, "values can't be sliced; use first(TEXT, N) or field(TEXT, SEPARATOR, I) instead")
	}
	return c.fail(n, "%s is not part of the language", n)
}

// constantLength returns the length of a constant.
func constantLength(value any) Amount {
	if v := reflect.ValueOf(value); v.Kind() == reflect.String {
		return Fixed(float64(v.Len()))
	}
	return Fixed(numberLength)
}

// variableLength returns the length of a variable of the request or of the expression.
func (c *costEstimator) variableLength(name string) Amount {
	if length, ok := c.localLengths[name]; ok {
		return length
	}
	switch name {
	case "path":
		return Fixed(float64(c.sizes.Path))
	case "host", "who":
		return Fixed(MaxNameBytes)
	}
	return Fixed(shortNameLength)
}

func (c *costEstimator) estimateConditional(n *ast.ConditionalNode) (cost, length Amount) {
	condition, _ := c.estimate(n.Cond)
	thenCost, thenLength := c.estimate(n.Exp1)
	elseCost, elseLength := c.estimate(n.Exp2)
	cost = condition.Plus(thenCost.Max(elseCost)).Plus(Fixed(nodeCost))
	return cost, thenLength.Max(elseLength)
}

func (c *costEstimator) estimateDeclaration(n *ast.VariableDeclaratorNode) (cost, length Amount) {
	valueCost, valueLength := c.estimate(n.Value)
	c.localLengths[n.Name] = valueLength
	bodyCost, bodyLength := c.estimate(n.Expr)
	return valueCost.Plus(bodyCost).Plus(Fixed(2 * nodeCost)), bodyLength
}

// estimateLoop estimates any, all and none, which loop over the values of one header.
func (c *costEstimator) estimateLoop(n *ast.BuiltinNode) (cost, length Amount) {
	const iterationCost = 4 * nodeCost
	listCost, elementLength := c.estimate(n.Arguments[0])
	c.elementLength = elementLength
	bodyCost, _ := c.estimate(n.Arguments[1])
	loopCost := bodyCost.Plus(Fixed(iterationCost)).times(MaxHeaderValues)
	return listCost.Plus(c.recordTerm(n, loopCost)), Fixed(numberLength)
}

func (c *costEstimator) estimateArray(n *ast.ArrayNode) (cost, length Amount) {
	for _, element := range n.Nodes {
		elementCost, elementLength := c.estimate(element)
		cost = cost.Plus(elementCost).Plus(Fixed(nodeCost))
		length = length.Max(elementLength)
	}
	return cost, length
}

func (c *costEstimator) estimateBinary(n *ast.BinaryNode) (cost, length Amount) {
	leftCost, left := c.estimate(n.Left)
	rightCost, right := c.estimate(n.Right)
	own := Fixed(nodeCost)
	length = Fixed(numberLength)
	switch n.Operator {
	case "==", "!=", "<", "<=", ">", ">=":
		own = own.Plus(c.compareCost(left, right))
	case "startsWith", "endsWith":
		own = own.Plus(right.times(compareCostPerByte))
	case "contains":
		own = own.Plus(left.times(containsCostPerByte))
	case "in", "not in":
		own = own.Plus(left.times(lookupCostPerByte))
		if list, ok := n.Right.(*ast.ArrayNode); ok {
			elementCost := c.compareCost(left, right).Plus(Fixed(nodeCost))
			own = own.Plus(elementCost.times(float64(len(list.Nodes))))
		}
	case "matches":
		steps := left.Plus(Fixed(matchOverheadBytes))
		own = own.Plus(steps.times(float64(matchCostPerStep * patternInstructions(n.Right))))
	case "+":
		if t := n.Type(); t != nil && t.Kind() == reflect.String {
			length = left.Plus(right)
			own = own.Plus(Fixed(2 * nodeCost)).Plus(length.times(joinCostPerByte))
		}
	case "..", "|", "??", "**", "^":
		return c.fail(n, "%s is not part of the language", n.Operator)
	}
	return leftCost.Plus(rightCost).Plus(c.recordTerm(n, own)), length
}

// compareCost returns the cost of comparing two texts, which ends at the end of the shorter one.
func (c *costEstimator) compareCost(a, b Amount) Amount {
	return smaller(a, b, c.sizes.Headers).times(compareCostPerByte)
}

// patternInstructions returns the number of instructions of a regular expression. At worst, matching takes that many
// steps for each byte of the text.
func patternInstructions(n ast.Node) int {
	pattern, ok := n.(*ast.StringNode)
	if !ok {
		return unknownPatternInstructions
	}
	parsed, err := syntax.Parse(pattern.Value, syntax.Perl)
	if err != nil {
		return unknownPatternInstructions
	}
	program, err := syntax.Compile(parsed.Simplify())
	if err != nil {
		return unknownPatternInstructions
	}
	return len(program.Inst)
}

func (c *costEstimator) estimateCall(n *ast.CallNode) (cost, length Amount) {
	callee, ok := n.Callee.(*ast.IdentifierNode)
	if !ok {
		return c.fail(n, "%s is not a function", n.Callee)
	}
	function := callee.Value
	callCost, ok := functionCosts[function]
	if !ok {
		return c.fail(n, "%s is not a function", n.Callee)
	}
	arguments := n.Arguments
	if environmentFunctions[function].call != nil {
		arguments = arguments[1:] // all arguments but the environment
	}
	lengths := make([]Amount, maxFunctionArguments) // 0 for arguments that the call does not have
	for i, argument := range arguments {
		var argumentCost Amount
		argumentCost, lengths[i] = c.estimate(argument)
		cost = cost.Plus(argumentCost)
	}
	own := Fixed(float64(callCost.base)).Plus(lengths[0].times(callCost.perByte))
	switch function {
	case "glob":
		own = own.Plus(lengths[0].times(globCostPerBytePair * (1 + lengths[1].fixed)))
	case "hash", "hashOf2", "hashOf3", "hashOf4":
		for _, argumentLength := range lengths[1:] {
			own = own.Plus(argumentLength.times(callCost.perByte))
		}
	}
	return cost.Plus(c.recordTerm(n, own)), c.resultLength(function, arguments, lengths)
}

// resultLength returns the length of the value that a function returns, given the lengths of its arguments.
func (c *costEstimator) resultLength(function string, arguments []ast.Node, lengths []Amount) Amount {
	switch function {
	case "header", "headerOr", "headers":
		name, _ := arguments[0].(*ast.StringNode)
		return lengthOfHeader(name.Value).Max(lengths[1])
	case "query", "queryOr":
		return Fixed(float64(c.sizes.Query)).Max(lengths[1])
	case "segment":
		return Fixed(float64(c.sizes.Path))
	case "field", "trim":
		return lengths[0]
	case "lower", "upper":
		return lengths[0].times(caseGrowth)
	case "first":
		if limit, ok := arguments[1].(*ast.IntegerNode); ok {
			return smaller(lengths[0], Fixed(float64(max(0, limit.Value))), c.sizes.Headers)
		}
	case "hash", "hashOf2", "hashOf3", "hashOf4":
		return Fixed(hashLength)
	case "letString":
		if number, ok := arguments[0].(*ast.IntegerNode); ok {
			return c.letLength(number.Value)
		}
	}
	return Fixed(numberLength)
}

// letLength returns the length of the value of the named expression with the given number.
func (c *costEstimator) letLength(number int) Amount {
	for name, i := range c.letIndex {
		if i == number {
			return c.lets[name].maxLength
		}
	}
	return Fixed(numberLength)
}
