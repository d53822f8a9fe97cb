package expression

import (
	"strings"
	"time"
)

// environment holds what a program can read and call. The names in the tags of its fields are words of the language.
// Its functions are bound once for each Evaluator, so that a request allocates no closures.
type environment struct {
	Method  string    `expr:"method"`
	Path    string    `expr:"path"`
	Host    string    `expr:"host"`
	Client  string    `expr:"client"`
	Front   string    `expr:"front"`
	Who     string    `expr:"who"`
	Class   string    `expr:"class"`
	Plan    string    `expr:"plan"`
	Volume  string    `expr:"volume"`
	Length  int       `expr:"length"`
	Arrival time.Time `expr:"arrival"`

	Self *environment `expr:"meter"` // the first argument of environmentFunctions

	Header    func(string) string         `expr:"header"`
	HeaderOr  func(string, string) string `expr:"headerOr"`
	Headers   func(string) []string       `expr:"headers"`
	Has       func(string) bool           `expr:"has"`
	Query     func(string) string         `expr:"query"`
	QueryOr   func(string, string) string `expr:"queryOr"`
	HasQuery  func(string) bool           `expr:"hasQuery"`
	Segment   func(int) string            `expr:"segment"`
	LetString func(int) string            `expr:"letString"`
	LetInt    func(int) int               `expr:"letInt"`
	LetBool   func(int) bool              `expr:"letBool"`
	Trim      func(string) string         `expr:"trim"`
	Lower     func(string) string         `expr:"lower"`
	Upper     func(string) string         `expr:"upper"`
	Glob      func(string, string) bool   `expr:"glob"`
	Hash      func(string) string         `expr:"hash"`
	HashOf2   func(a, b string) string    `expr:"hashOf2"`
	ToInt     func(string) int            `expr:"toInt"`

	facts        *Facts
	segments     [MaxSegments]string // segments of the request's path
	segmentCount int
	cost         int // cost of the request's evaluations so far, in estimated nanoseconds
	costLimit    int // the cost at which an evaluation is ended, in estimated nanoseconds
	lets         []namedExpression
	run          func(*Program) any // runs a program; if it has a fault, panics with the *Fault
	seed         uint64             // seed of the function hash
}

// namedExpression is a named expression of the file. Once it has been evaluated for a request, it holds the value or
// the fault.
type namedExpression struct {
	program   *Program
	value     any
	fault     *Fault
	evaluated bool
}

// bind sets the fields that hold functions.
func (e *environment) bind() {
	e.Self = e
	e.bindHeaderFunctions()
	e.bindTargetFunctions()
	e.bindTextFunctions()
	e.LetString = func(i int) string { return e.let(i).(string) }
	e.LetInt = func(i int) int { return e.let(i).(int) }
	e.LetBool = func(i int) bool { return e.let(i).(bool) }
}

// charge adds the cost of a call to the cost of the request. The argument length is the number of bytes for which the
// function's cost per byte is counted; it is 0 if there is no such cost. An evaluation that exceeds the cost limit ends
// with a fault, in case the estimate at load was too low.
func (e *environment) charge(function string, length int) {
	callCost := functionCosts[function]
	e.cost += callCost.base + int(callCost.perByte*float64(length))
	if e.cost > e.costLimit {
		raise(CauseCostLimit, "an evaluation within a cost of %d", e.costLimit)
	}
}

// let returns the value of the named expression with the given number, which is evaluated at most once per request.
func (e *environment) let(i int) any {
	e.charge("letString", 0)
	expression := &e.lets[i]
	if !expression.evaluated {
		e.evaluate(expression)
	}
	if expression.fault != nil {
		panic(expression.fault)
	}
	return expression.value
}

// evaluate runs a named expression and stores its value or its fault.
func (e *environment) evaluate(expression *namedExpression) {
	defer func() {
		if recovered := recover(); recovered != nil {
			expression.fault = recoveredFault(recovered)
		}
		expression.evaluated = true
	}()
	expression.value = e.run(expression.program)
}

// setFacts sets the request whose attributes programs read, and resets the cost.
func (e *environment) setFacts(f *Facts) {
	e.facts = f
	e.cost = 0
	e.Method = f.Method
	e.Path = f.Path
	e.Host = f.Host
	e.Client = f.Client
	e.Front = f.Frontend
	e.Length = f.BodyLength
	e.Arrival = f.Arrival
	e.setPath(f.Path)
}

// setPath splits the path into at most MaxSegments segments. If there would be more, the last one holds the rest.
func (e *environment) setPath(path string) {
	e.segmentCount = 0
	rest := strings.TrimPrefix(path, "/")
	for rest != "" && e.segmentCount < MaxSegments-1 {
		slash := strings.IndexByte(rest, '/')
		if slash < 0 {
			break
		}
		e.segments[e.segmentCount] = rest[:slash]
		e.segmentCount++
		rest = rest[slash+1:]
	}
	if rest != "" || path != "" && path != "/" {
		e.segments[e.segmentCount] = rest
		e.segmentCount++
	}
}

// clear drops all references to the request.
func (e *environment) clear() {
	e.facts = nil
	e.Method = ""
	e.Path = ""
	e.Host = ""
	e.Client = ""
	e.Front = ""
	e.Who = ""
	e.Class = ""
	e.Plan = ""
	e.Volume = ""
	e.Arrival = time.Time{}
	clear(e.segments[:])
	for i := range e.lets {
		e.lets[i] = namedExpression{program: e.lets[i].program}
	}
}
