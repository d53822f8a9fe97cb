// Package expression is the language of the rules: typed expressions over a request, compiled once, whose worst cost
// is known before the first request comes. Parsing, types and evaluation are the library expr-lang/expr; what a rule may
// say, what it costs at most and what goes wrong in which words is decided here. It knows no file and does no I/O.
package expression

import (
	"errors"
	"fmt"
	"path"
	"reflect"
	"regexp/syntax"
	"slices"
	"strings"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"
)

// MostSource bounds an expression's text, and with it the depth to which it nests.
const MostSource = 4 << 10

const mostNodes = 500

// Type is the type of an expression's value.
type Type string

// The types of values.
const (
	String   Type = "string"
	Bool     Type = "bool"
	Int      Type = "int"
	Number   Type = "number"
	Duration Type = "duration"
)

// Scope is what an expression may use beyond the request.
type Scope struct {
	Sizes     Sizes
	Constants map[string]any      // string, bool, int, float64 or a list of strings
	Lets      map[string]*Program // named expressions
	LetIndex  map[string]int
	Params    map[string]int // names of segments, by the rule's path
	Condition bool           // a header that is missing is "" here, and no fault
	Client    bool           // the asker is known by now
	Decided   bool           // class, plan and volume are known by now
}

// Program is a compiled expression.
type Program struct {
	Source        string
	Type          Type
	Cost          Amount // at worst, in reckoned nanoseconds
	MostExpensive string // the term that costs most by itself
	size          Amount // bytes of a string value at most
	code          *vm.Program
	tree          ast.Node
	value         any // where it is the same for every request
}

// SourceError is a fault of an expression's text.
type SourceError struct {
	Offset  int // bytes from the begin of the text
	Message string
}

// Error gives the message; the offset is for whoever knows the file.
func (e *SourceError) Error() string { return e.Message }

// Compile checks an expression and compiles it. It must give one of the types that are wanted.
func Compile(source string, scope Scope, want ...Type) (*Program, error) {
	if len(source) > MostSource {
		return nil, &SourceError{0, fmt.Sprintf("the expression has %d characters, more than %d", len(source), MostSource)}
	}
	if strings.TrimSpace(source) == "" {
		return nil, &SourceError{0, "the expression is empty"}
	}
	p := &patch{scope: scope}
	code, err := expr.Compile(source, options(expr.MaxNodes(mostNodes), expr.Patch(p))...)
	if p.fault != nil { // what the library says of the same place would be about a name that no file holds
		return nil, p.fault.within(source)
	}
	if err != nil {
		return nil, asSourceError(err, source)
	}
	program := &Program{Source: source, code: code, tree: code.Node()}
	t := program.tree.Type()
	if program.Type = typeOf(t); !slices.Contains(want, program.Type) {
		return nil, &SourceError{0, fmt.Sprintf("it gives a %s, want %s", named(t), wanted(want))}
	}
	m := meter{sizes: scope.Sizes, lets: scope.Lets, index: scope.LetIndex, locals: map[string]Amount{}}
	program.Cost, program.size = m.of(program.tree)
	program.Cost = program.Cost.Plus(Fixed(runCost))
	program.MostExpensive = m.dearest
	if m.fault != nil {
		return nil, m.fault.within(source)
	}
	program.fold()
	return program, nil
}

// fold evaluates what no request changes, once and for all.
func (p *Program) fold() {
	pure := pureness{is: true}
	ast.Walk(&p.tree, &pure)
	if !pure.is {
		return
	}
	e := NewEvaluator(nil, 0, 1<<30)
	if value, fault := e.Run(p); fault == nil {
		p.value, p.Cost = value, Fixed(node)
	}
}

// pureness finds out whether an expression depends on nothing but itself.
type pureness struct{ is bool }

// Visit is called for each node.
func (p *pureness) Visit(at *ast.Node) {
	if n, ok := (*at).(*ast.IdentifierNode); ok && !slices.Contains([]string{"seconds", "millis", "meter"}, n.Value) {
		p.is = false
	}
}

// options are what the language is made of.
func options(more ...expr.Option) []expr.Option {
	return append(append(more, expr.Env(environment{}), expr.DisableAllBuiltins(),
		expr.EnableBuiltin("any"), expr.EnableBuiltin("all"), expr.EnableBuiltin("none")), functions...)
}

// placed is a fault at a place of the library's, which counts characters.
type placed struct {
	at      file.Location
	message string
}

func (p *placed) within(source string) *SourceError {
	return &SourceError{byteAt(source, p.at.From), p.message}
}

func byteAt(source string, runes int) int {
	for i := range source {
		if runes <= 0 {
			return i
		}
		runes--
	}
	return len(source)
}

func asSourceError(err error, source string) error {
	var at *file.Error
	if errors.As(err, &at) {
		return &SourceError{byteAt(source, at.From), at.Message}
	}
	return &SourceError{0, err.Error()}
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

func typeOf(t reflect.Type) Type {
	switch {
	case t == nil:
		return ""
	case t == durationType:
		return Duration
	case t.Kind() == reflect.String:
		return String
	case t.Kind() == reflect.Bool:
		return Bool
	case t.Kind() == reflect.Int:
		return Int
	case t.Kind() == reflect.Float64:
		return Number
	}
	return ""
}

func named(t reflect.Type) string {
	switch is := typeOf(t); {
	case is != "":
		return string(is)
	case t == timeType:
		return "time"
	case t == nil:
		return "value of no type"
	case t.Kind() == reflect.Slice:
		return "list"
	}
	return t.String()
}

func wanted(want []Type) string {
	words := make([]string, len(want))
	for i, t := range want {
		words[i] = string(t)
	}
	return strings.Join(words, " or ")
}

// patch turns names of a file into what the environment knows, and refuses what could not be checked at load.
type patch struct {
	scope Scope
	fault *placed
}

func (p *patch) fail(n ast.Node, format string, args ...any) {
	if p.fault == nil {
		p.fault = &placed{n.Location(), fmt.Sprintf(format, args...)}
	}
}

// Visit is called for each node, children first.
func (p *patch) Visit(at *ast.Node) {
	switch n := (*at).(type) {
	case *ast.IdentifierNode:
		p.identifier(at, n)
	case *ast.CallNode:
		if callee, ok := n.Callee.(*ast.IdentifierNode); ok {
			p.call(at, n, callee.Value)
			// hash may have become a function that is metered.
			if callee, ok := n.Callee.(*ast.IdentifierNode); ok && metered[callee.Value].call != nil {
				n.Arguments = append([]ast.Node{&ast.IdentifierNode{Value: "meter"}}, n.Arguments...)
			}
		}
	case *ast.BinaryNode:
		if n.Operator == "matches" {
			pattern, ok := n.Right.(*ast.StringNode)
			if !ok {
				p.fail(n, "matches wants a constant pattern")
			} else if _, err := syntax.Parse(pattern.Value, syntax.Perl); err != nil {
				p.fail(n.Right, "%v", err)
			}
		}
	}
}

// hidden are names of the environment that no file may use: they stand for what a file calls otherwise.
var hidden = []string{"headerOr", "queryOr", "letString", "letInt", "letBool", "hashOf2", "hashOf3", "hashOf4", "meter", "$env"}

func (p *patch) identifier(at *ast.Node, n *ast.IdentifierNode) {
	if program := p.scope.Lets[n.Value]; program != nil {
		name := map[Type]string{String: "letString", Int: "letInt", Bool: "letBool"}[program.Type]
		swap(at, &ast.CallNode{Callee: &ast.IdentifierNode{Value: name}, Arguments: []ast.Node{&ast.IntegerNode{Value: p.scope.LetIndex[n.Value]}}})
		return
	}
	if value, ok := p.scope.Constants[n.Value]; ok {
		var constant ast.Node
		switch v := value.(type) {
		case string:
			constant = &ast.StringNode{Value: v}
		case bool:
			constant = &ast.BoolNode{Value: v}
		case int64:
			constant = &ast.IntegerNode{Value: int(v)}
		case float64:
			constant = &ast.FloatNode{Value: v}
		case []any:
			list := &ast.ArrayNode{}
			for _, one := range v {
				text, _ := one.(string)
				list.Nodes = append(list.Nodes, &ast.StringNode{Value: text})
			}
			constant = list
		}
		swap(at, constant)
		return
	}
	switch {
	case slices.Contains(hidden, n.Value):
		p.fail(n, "unknown name %s", n.Value)
	case n.Value == "who" && !p.scope.Client:
		p.fail(n, "who asks is not known before the stage normalise has ended")
	case slices.Contains([]string{"class", "plan", "volume"}, n.Value) && !p.scope.Decided:
		p.fail(n, "%s is known to limits alone", n.Value)
	}
}

// swap puts a node where another was, at the same place of the source.
func swap(at *ast.Node, n ast.Node) {
	n.SetLocation((*at).Location())
	*at = n
}

// constantArguments are the positions at which a function wants a constant, so that it can be checked at load.
var constantArguments = map[string][]int{
	"header": {0}, "headers": {0}, "has": {0}, "query": {0}, "hasQuery": {0}, "segment": {0}, "param": {0},
	"first": {1}, "field": {1, 2}, "glob": {1}, "toTime": {1}, "date": {1}, "hour": {1}, "weekday": {1}, "default": {1},
}

func (p *patch) call(at *ast.Node, n *ast.CallNode, name string) {
	for _, i := range constantArguments[name] {
		if i < len(n.Arguments) && !constant(n.Arguments[i]) {
			p.fail(n.Arguments[i], "%s wants a constant here", name)
			return
		}
	}
	text := func(i int) string {
		if i < len(n.Arguments) {
			if s, ok := n.Arguments[i].(*ast.StringNode); ok {
				return s.Value
			}
		}
		return ""
	}
	switch name {
	case "header", "headers", "has":
		if len(n.Arguments) != 1 {
			return // the library says so
		}
		if s, ok := n.Arguments[0].(*ast.StringNode); ok {
			s.Value = canonical(s.Value)
		}
		if name == "header" && p.scope.Condition {
			p.orElse(n, "headerOr", &ast.StringNode{})
		}
	case "query":
		if p.scope.Condition {
			p.orElse(n, "queryOr", &ast.StringNode{})
		}
	case "default":
		p.otherwise(at, n)
	case "param":
		i, ok := p.scope.Params[text(0)]
		if !ok {
			p.fail(n, "the rule's path has no segment {%s}", text(0))
			return
		}
		swap(at, &ast.CallNode{Callee: &ast.IdentifierNode{Value: "segment"}, Arguments: []ast.Node{&ast.IntegerNode{Value: i}}})
	case "date", "hour", "weekday":
		if _, err := zone(text(1)); err != nil {
			p.fail(n, "%v", err)
		}
	case "hash":
		// The parts of a joined text are hashed one after another: joining 64 KiB costs more than hashing them.
		if len(n.Arguments) == 1 {
			if parts := joined(n.Arguments[0], nil); len(parts) >= 2 && len(parts) <= 4 {
				n.Callee, n.Arguments = &ast.IdentifierNode{Value: fmt.Sprintf("hashOf%d", len(parts))}, parts
			}
		}
	case "glob":
		if _, err := path.Match(text(1), ""); err != nil {
			p.fail(n, "%q: %v", text(1), err)
		}
	case "field":
		if len(n.Arguments) != 3 {
			return
		}
		if i, ok := n.Arguments[2].(*ast.IntegerNode); text(1) == "" || !ok || i.Value < 0 {
			p.fail(n, "field wants a text, a separator and the number of a part, from 0")
		}
	}
}

// joined takes a text apart where it is joined.
func joined(n ast.Node, parts []ast.Node) []ast.Node {
	if b, ok := n.(*ast.BinaryNode); ok && b.Operator == "+" {
		return joined(b.Right, joined(b.Left, parts))
	}
	return append(parts, n)
}

func constant(n ast.Node) bool {
	switch n.(type) {
	case *ast.StringNode, *ast.IntegerNode:
		return true
	}
	return false
}

// orElse makes a call one that gives another value where the first is missing.
func (p *patch) orElse(n *ast.CallNode, name string, other ast.Node) {
	if len(n.Arguments) == 1 {
		n.Callee = &ast.IdentifierNode{Value: name}
		n.Arguments = append(n.Arguments, other)
	}
}

// otherwise turns default(header(N), V) into the header or V.
func (p *patch) otherwise(at *ast.Node, n *ast.CallNode) {
	if len(n.Arguments) == 2 {
		if inner, ok := n.Arguments[0].(*ast.CallNode); ok {
			if callee, ok := inner.Callee.(*ast.IdentifierNode); ok {
				switch callee.Value {
				case "header", "query":
					p.orElse(inner, callee.Value+"Or", n.Arguments[1])
					*at = inner
					return
				case "headerOr", "queryOr":
					inner.Arguments[1] = n.Arguments[1]
					*at = inner
					return
				}
			}
		}
	}
	p.fail(n, "default wants header(NAME) or query(NAME) and a constant")
}

// Names are the words of the language.
func Names() []string {
	names := []string{"param", "default", "first", "field", "toDuration", "toTime", "date", "hour", "weekday", "seconds", "millis",
		"any", "all", "none", "true", "false", "not", "and", "or", "in", "matches",
		"contains", "startsWith", "endsWith", "let"}
	t := reflect.TypeFor[environment]()
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("expr"); name != "" && !slices.Contains(hidden, name) {
			names = append(names, name)
		}
	}
	return names
}
