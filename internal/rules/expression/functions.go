package expression

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/textproto"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"
	_ "time/tzdata" // zones by name, wherever the program runs

	"github.com/cespare/xxhash/v2"
	"github.com/expr-lang/expr"
)

// price is the worst cost of a function in reckoned nanoseconds: a base, and a share for each byte of its first argument.
type price struct {
	base    int
	perByte float64
}

var prices = map[string]price{
	"header": {120, 0}, "headerOr": {120, 0}, "headers": {120, 0}, "has": {120, 0},
	"query": {80, 0}, "queryOr": {80, 0}, "hasQuery": {80, 0}, "segment": {50, 0},
	"letString": {80, 0}, "letInt": {80, 0}, "letBool": {80, 0},
	"first": {60, 0}, "field": {400, 0.3}, "trim": {80, 0.5}, "lower": {100, letterCost}, "upper": {100, letterCost},
	"glob": {400, 0}, // and by the length of the pattern
	"hash": {250, 0.12}, "hashOf2": {300, 0.12}, "hashOf3": {400, 0.12}, "hashOf4": {450, 0.12},
	"toInt": {120, 0}, "toDuration": {200, 0}, "toTime": {800, 0},
	"date": {400, 0}, "hour": {300, 0}, "weekday": {300, 0}, "seconds": {40, 0}, "millis": {40, 0},
}

// mostRead bounds what is parsed as a number, a time or a duration.
const mostRead = 64

// Zones by name; the names are constants of a file, so their number is bounded by it.
var zones sync.Map

// zone finds a time zone.
func zone(name string) (*time.Location, error) {
	if held, ok := zones.Load(name); ok {
		return held.(*time.Location), nil
	}
	at, err := time.LoadLocation(name)
	if err != nil || name == "" || name == "Local" {
		return nil, fmt.Errorf("%q is not a time zone such as Europe/Zagreb", name)
	}
	zones.Store(name, at)
	return at, nil
}

// spend counts cost while evaluating: the second fence behind the worst cost that is reckoned at load.
func (e *environment) spend(name string, size int) {
	p := prices[name]
	if e.spent += p.base + int(p.perByte*float64(size)); e.spent > e.fence {
		panic(&Fault{TooDear, fmt.Sprintf("an evaluation within a cost of %d", e.fence)})
	}
}

func missing(format string, args ...any) {
	panic(&Fault{Missing, fmt.Sprintf(format, args...)})
}

// bind makes the functions of an environment.
func (e *environment) bind() {
	e.Meter = e
	get := func(name string) (string, bool) {
		if v := e.facts.Header[name]; len(v) > 0 { // names are made canonical at load
			return v[0], true
		}
		return "", false
	}
	e.Header = func(name string) string {
		e.spend("header", 0)
		v, ok := get(name)
		if !ok {
			missing("the header %s", name)
		}
		return v
	}
	e.HeaderOr = func(name, other string) string {
		e.spend("headerOr", 0)
		if v, ok := get(name); ok {
			return v
		}
		return other
	}
	e.Headers = func(name string) []string {
		e.spend("headers", 0)
		values := e.facts.Header[name]
		return values[:min(len(values), MostValues)]
	}
	e.Has = func(name string) bool { e.spend("has", 0); _, ok := get(name); return ok }
	e.Query = func(name string) string {
		e.spend("query", 0)
		if !e.facts.Query.Has(name) {
			missing("%s in the query", name)
		}
		return e.facts.Query.Get(name)
	}
	e.QueryOr = func(name, other string) string {
		e.spend("queryOr", 0)
		if e.facts.Query.Has(name) {
			return e.facts.Query.Get(name)
		}
		return other
	}
	e.HasQuery = func(name string) bool { e.spend("hasQuery", 0); return e.facts.Query.Has(name) }
	e.Segment = func(i int) string {
		e.spend("segment", 0)
		if i < 0 || i >= e.count {
			missing("segment %d of the path", i)
		}
		return e.segments[i]
	}
	e.LetString = func(i int) string { return e.let(i).(string) }
	e.LetInt = func(i int) int { return e.let(i).(int) }
	e.LetBool = func(i int) bool { return e.let(i).(bool) }
	e.Trim = func(s string) string { e.spend("trim", len(s)); return strings.TrimSpace(s) }
	e.Lower = func(s string) string { e.spend("lower", len(s)); return strings.ToLower(s) }
	e.Upper = func(s string) string { e.spend("upper", len(s)); return strings.ToUpper(s) }
	e.Glob = func(s, pattern string) bool {
		e.spend("glob", 0)
		ok, _ := path.Match(pattern, s) // the pattern was tried at load
		return ok
	}
	e.Hash = func(s string) string { return e.hash(s) }
	e.HashOf2 = func(a, b string) string { return e.hash(a, b) }
	e.ToInt = func(s string) int {
		e.spend("toInt", 0)
		n, err := strconv.Atoi(read(s))
		if err != nil {
			panic(&Fault{Unread, fmt.Sprintf("a whole number in place of %.64q", s)})
		}
		return n
	}
}

// metered are functions of signatures that the library would call by reflection, which takes a microsecond and several
// allocations. They are called with the environment as their first argument, which no file writes.
var metered = map[string]struct {
	call func(e *environment, args []any) any
	is   any // the signature
}{
	"first": {func(e *environment, args []any) any {
		e.spend("first", 0)
		s, n := args[0].(string), args[1].(int)
		return s[:max(0, min(n, len(s)))]
	}, new(func(*environment, string, int) string)},
	"field": {func(e *environment, args []any) any {
		s, separator, i := args[0].(string), args[1].(string), args[2].(int)
		e.spend("field", len(s))
		for ; i > 0; i-- {
			_, after, ok := strings.Cut(s, separator)
			if !ok {
				missing("%d more parts of what is split at %q", i, separator)
			}
			s = after
		}
		s, _, _ = strings.Cut(s, separator)
		return s
	}, new(func(*environment, string, string, int) string)},
	"hashOf3": {func(e *environment, args []any) any {
		return e.hash(args[0].(string), args[1].(string), args[2].(string))
	}, new(func(e *environment, a, b, c string) string)},
	"hashOf4": {func(e *environment, args []any) any {
		return e.hash(args[0].(string), args[1].(string), args[2].(string), args[3].(string))
	}, new(func(e *environment, a, b, c, d string) string)},
	"toDuration": {func(e *environment, args []any) any {
		e.spend("toDuration", 0)
		d, err := time.ParseDuration(read(args[0].(string)))
		if err != nil || d < 0 {
			panic(&Fault{Unread, fmt.Sprintf("a duration such as 250ms in place of %.64q", args[0])})
		}
		return d
	}, new(func(*environment, string) time.Duration)},
	"toTime": {func(e *environment, args []any) any {
		e.spend("toTime", 0)
		t, err := time.Parse(args[1].(string), read(args[0].(string)))
		if err != nil {
			panic(&Fault{Unread, fmt.Sprintf("a time such as %s in place of %.64q", args[1], args[0])})
		}
		return t
	}, new(func(*environment, string, string) time.Time)},
	"date": {func(e *environment, args []any) any {
		e.spend("date", 0)
		return within(args).Format(time.DateOnly)
	}, new(func(*environment, time.Time, string) string)},
	"hour": {func(e *environment, args []any) any {
		e.spend("hour", 0)
		return within(args).Hour()
	}, new(func(*environment, time.Time, string) int)},
	"weekday": {func(e *environment, args []any) any {
		e.spend("weekday", 0)
		return int(within(args).Weekday())
	}, new(func(*environment, time.Time, string) int)},
	"seconds": {func(_ *environment, args []any) any { return times(args[0].(int), time.Second) }, new(func(*environment, int) time.Duration)},
	"millis":  {func(_ *environment, args []any) any { return times(args[0].(int), time.Millisecond) }, new(func(*environment, int) time.Duration)},
}

// functions are the options by which the library knows what is metered.
var functions = func() (all []expr.Option) {
	for name, f := range metered {
		all = append(all, expr.Function(name, func(args ...any) (any, error) {
			return f.call(args[0].(*environment), args[1:]), nil
		}, f.is))
	}
	return all
}()

func times(n int, unit time.Duration) time.Duration {
	if n < 0 || n > int(24*time.Hour/unit) {
		panic(&Fault{Unread, fmt.Sprintf("from 0 to a day in place of %d × %v", n, unit)})
	}
	return time.Duration(n) * unit
}

// within gives the time of args[0] in the zone of args[1], which was found at load.
func within(args []any) time.Time {
	at, err := zone(args[1].(string))
	if err != nil {
		panic(&Fault{Broken, err.Error()})
	}
	return args[0].(time.Time).In(at)
}

// read bounds what a parser gets.
func read(s string) string {
	if len(s) > mostRead {
		panic(&Fault{Unread, fmt.Sprintf("no more than %d characters in place of %.64q", mostRead, s)})
	}
	return s
}

// hash gives the 16 hex digits of XXH64 over the parts as if they were joined.
func (e *environment) hash(parts ...string) string {
	d := xxhash.NewWithSeed(e.seed)
	size := 0
	for _, part := range parts {
		d.WriteString(part)
		size += len(part)
	}
	e.spend("hash", size)
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], d.Sum64())
	return hex.EncodeToString(sum[:])
}

// let evaluates a named expression once a request.
func (e *environment) let(i int) any {
	e.spend("letString", 0)
	l := &e.lets[i]
	if !l.known {
		func() {
			defer func() {
				if r := recover(); r != nil {
					l.fault = asFault(r)
				}
				l.known = true
			}()
			l.value = e.run(l.program)
		}()
	}
	if l.fault != nil {
		panic(l.fault)
	}
	return l.value
}

func asFault(r any) *Fault {
	if f, ok := r.(*Fault); ok {
		return f
	}
	return &Fault{Broken, fmt.Sprint(r)}
}

// canonical makes the name of a header what http.Header holds it under.
func canonical(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }
