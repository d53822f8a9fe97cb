package expression

import (
	"encoding/binary"
	"encoding/hex"
	"net/textproto"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/expr-lang/expr"
)

// functionCost is the worst-case cost of calling a function, in estimated nanoseconds: base, and perByte for each byte
// of its first argument or, for the functions that hash, of all arguments.
type functionCost struct {
	base    int
	perByte float64
}

// functionCosts holds the costs of the functions that programs call, by the names that the rewriter writes.
var functionCosts = map[string]functionCost{
	"header":     {base: 120},
	"headerOr":   {base: 120},
	"headers":    {base: 120},
	"has":        {base: 120},
	"query":      {base: 80},
	"queryOr":    {base: 80},
	"hasQuery":   {base: 80},
	"segment":    {base: 50},
	"letString":  {base: 80},
	"letInt":     {base: 80},
	"letBool":    {base: 80},
	"first":      {base: 60},
	"field":      {base: 400, perByte: 0.3},
	"trim":       {base: 80, perByte: 0.5},
	"lower":      {base: 100, perByte: caseCostPerByte},
	"upper":      {base: 100, perByte: caseCostPerByte},
	"glob":       {base: 400}, // and globCostPerBytePair, which the costEstimator adds
	"hash":       {base: 250, perByte: 0.12},
	"hashOf2":    {base: 300, perByte: 0.12},
	"hashOf3":    {base: 400, perByte: 0.12},
	"hashOf4":    {base: 450, perByte: 0.12},
	"toInt":      {base: 120},
	"toDuration": {base: 200},
	"toTime":     {base: 800},
	"date":       {base: 400},
	"hour":       {base: 300},
	"weekday":    {base: 300},
	"seconds":    {base: 40},
	"millis":     {base: 40},
}

// maxParsedBytes bounds the length of a text that is parsed as a number, a time or a duration.
const maxParsedBytes = 64

// bindHeaderFunctions sets the functions that read headers.
func (e *environment) bindHeaderFunctions() {
	firstValue := func(name string) (string, bool) {
		if values := e.facts.Header[name]; len(values) > 0 { // The rewriter has made the name canonical.
			return values[0], true
		}
		return "", false
	}
	e.Header = func(name string) string {
		e.charge("header", 0)
		value, ok := firstValue(name)
		if !ok {
			raise(CauseMissing, "the header %s", name)
		}
		return value
	}
	e.HeaderOr = func(name, fallback string) string {
		e.charge("headerOr", 0)
		if value, ok := firstValue(name); ok {
			return value
		}
		return fallback
	}
	e.Headers = func(name string) []string {
		e.charge("headers", 0)
		values := e.facts.Header[name]
		return values[:min(len(values), MaxHeaderValues)]
	}
	e.Has = func(name string) bool {
		e.charge("has", 0)
		_, ok := firstValue(name)
		return ok
	}
}

// bindTargetFunctions sets the functions that read the query and the path.
func (e *environment) bindTargetFunctions() {
	e.Query = func(name string) string {
		e.charge("query", 0)
		if !e.facts.Query.Has(name) {
			raise(CauseMissing, "%s in the query", name)
		}
		return e.facts.Query.Get(name)
	}
	e.QueryOr = func(name, fallback string) string {
		e.charge("queryOr", 0)
		if e.facts.Query.Has(name) {
			return e.facts.Query.Get(name)
		}
		return fallback
	}
	e.HasQuery = func(name string) bool {
		e.charge("hasQuery", 0)
		return e.facts.Query.Has(name)
	}
	e.Segment = func(i int) string {
		e.charge("segment", 0)
		if i < 0 || i >= e.segmentCount {
			raise(CauseMissing, "segment %d of the path", i)
		}
		return e.segments[i]
	}
}

// bindTextFunctions sets the functions that transform, match or parse texts.
func (e *environment) bindTextFunctions() {
	e.Trim = func(text string) string {
		e.charge("trim", len(text))
		return strings.TrimSpace(text)
	}
	e.Lower = func(text string) string {
		e.charge("lower", len(text))
		return strings.ToLower(text)
	}
	e.Upper = func(text string) string {
		e.charge("upper", len(text))
		return strings.ToUpper(text)
	}
	e.Glob = func(text, pattern string) bool {
		e.charge("glob", 0)
		ok, _ := path.Match(pattern, text) // The rewriter has checked the pattern.
		return ok
	}
	e.Hash = func(text string) string { return e.hash(text) }
	e.HashOf2 = func(a, b string) string { return e.hash(a, b) }
	e.ToInt = func(text string) int {
		e.charge("toInt", 0)
		n, err := strconv.Atoi(boundedText(text))
		if err != nil {
			raise(CauseUnparsable, "a whole number in place of %.64q", text)
		}
		return n
	}
}

// hash returns XXH64 over the parts, as if they were joined, in 16 hex digits.
func (e *environment) hash(parts ...string) string {
	digest := xxhash.NewWithSeed(e.seed)
	length := 0
	for _, part := range parts {
		digest.WriteString(part)
		length += len(part)
	}
	e.charge("hash", length)
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], digest.Sum64())
	return hex.EncodeToString(sum[:])
}

// boundedText returns the text unchanged if it is short enough to be parsed. Otherwise it raises a fault.
func boundedText(text string) string {
	if len(text) > maxParsedBytes {
		raise(CauseUnparsable, "no more than %d characters in place of %.64q", maxParsedBytes, text)
	}
	return text
}

// canonicalHeader returns the name of a header in the form in which http.Header stores it.
func canonicalHeader(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }

// environmentFunction is a function that gets the environment as its first argument.
type environmentFunction struct {
	call      func(e *environment, args []any) any // args are the arguments in the rule file
	signature any                                  // a pointer to the function type, with the environment
}

// environmentFunctions are functions that the library, because of their signatures, would call by reflection if they
// were fields of the environment. Such a call takes a microsecond and several allocations. The library calls functions
// without reflection if they are declared by expr.Function; the rewriter then passes the environment as their first
// argument.
var environmentFunctions = map[string]environmentFunction{
	"first":      {callFirst, new(func(*environment, string, int) string)},
	"field":      {callField, new(func(*environment, string, string, int) string)},
	"hashOf3":    {callHash, new(func(e *environment, a, b, c string) string)},
	"hashOf4":    {callHash, new(func(e *environment, a, b, c, d string) string)},
	"toDuration": {callToDuration, new(func(*environment, string) time.Duration)},
	"toTime":     {callToTime, new(func(*environment, string, string) time.Time)},
	"date":       {callDate, new(func(*environment, time.Time, string) string)},
	"hour":       {callHour, new(func(*environment, time.Time, string) int)},
	"weekday":    {callWeekday, new(func(*environment, time.Time, string) int)},
	"seconds":    {callSeconds, new(func(*environment, int) time.Duration)},
	"millis":     {callMillis, new(func(*environment, int) time.Duration)},
}

// environmentFunctionOptions declare the environmentFunctions to the library.
var environmentFunctionOptions = func() []expr.Option {
	var options []expr.Option
	for name, function := range environmentFunctions {
		call := func(args ...any) (any, error) {
			return function.call(args[0].(*environment), args[1:]), nil
		}
		options = append(options, expr.Function(name, call, function.signature))
	}
	return options
}()

func callFirst(e *environment, args []any) any {
	e.charge("first", 0)
	text, length := args[0].(string), args[1].(int)
	return text[:max(0, min(length, len(text)))]
}

func callField(e *environment, args []any) any {
	text, separator, number := args[0].(string), args[1].(string), args[2].(int)
	e.charge("field", len(text))
	for ; number > 0; number-- {
		_, after, ok := strings.Cut(text, separator)
		if !ok {
			raise(CauseMissing, "%d more parts of what is split at %q", number, separator)
		}
		text = after
	}
	field, _, _ := strings.Cut(text, separator)
	return field
}

func callHash(e *environment, args []any) any {
	var parts [maxHashParts]string
	for i, arg := range args {
		parts[i] = arg.(string)
	}
	return e.hash(parts[:len(args)]...)
}
