package expression

import (
	"net/http"
	"net/url"
	"strings"
	"time"
)

// MaxSegments is how many segments of a path are told apart; what comes after stays with the last.
const MaxSegments = 32

// MostValues is how many values of one header an expression sees.
const MostValues = 16

// MaxNameBytes bounds the method, the host and the name of who asks.
const MaxNameBytes = 1024

// Sizes bound what an expression may be given, in bytes. The worst cost is reckoned from them, so whoever evaluates
// refuses what is larger.
type Sizes struct {
	Headers int `toml:"headers"` // names and values of all headers together
	Path    int `toml:"path"`
	Query   int `toml:"query"`
}

// DefaultSizes hold where a file declares none.
var DefaultSizes = Sizes{Headers: 64 << 10, Path: 4 << 10, Query: 4 << 10}

// Facts are what a rule sees of a request. They must not change while it is evaluated.
type Facts struct {
	Method  string
	Path    string
	Encoded string // the path as it came; only who looks for operations needs it
	Query   url.Values
	Host    string
	Header  http.Header
	Head    int // bytes of all headers, where the front bounds them; 0: they are counted
	Length  int // of the body
	Client  string
	Front   string
	Arrival time.Time // given, never read, so that a replay is exact
}

// Within tells whether facts keep to the sizes.
func (s Sizes) Within(f *Facts) bool {
	total := f.Head
	if total == 0 || total > s.Headers {
		total = 0
		for name, values := range f.Header {
			for _, v := range values {
				total += len(name) + len(v)
			}
		}
	}
	query := 0
	for name, values := range f.Query {
		for _, v := range values {
			query += len(name) + len(v) + 2
		}
	}
	return total <= s.Headers && len(f.Path) <= s.Path && query <= s.Query
}

// environment is what a program runs in. Its functions are bound once, so that a request costs no closures.
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

	Meter *environment `expr:"meter"` // itself, for the functions of metered

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

	facts    *Facts
	segments [MaxSegments]string
	count    int
	spent    int
	fence    int
	lets     []let
	run      func(*Program) any
	seed     uint64
}

// let is a named expression and, once it was evaluated for a request, its value.
type let struct {
	program *Program
	value   any
	fault   *Fault
	known   bool
}

// Fault is why an expression has no value for a request. It is no error of the file.
type Fault struct {
	Cause Cause
	Wants string // what was wanted, in words for the client
}

// Cause sorts faults, to count them.
type Cause string

// The causes of faults.
const (
	Missing Cause = "missing"  // a header, a part of the query or of the path is not there
	Unread  Cause = "unread"   // a text is not the number, time or duration that was wanted
	TooDear Cause = "too-dear" // the fence of the cost was met
	TooLong Cause = "too-long" // the request is larger than the sizes that were declared
	Broken  Cause = "broken"   // the evaluation failed in another way
)

// Error gives the fault in words.
func (f *Fault) Error() string { return f.Wants }

// tooLong is the fault of a request that is larger than declared.
var tooLong = &Fault{TooLong, "headers, path and query within the sizes that the rules declare"}

func (e *environment) setPath(path string) {
	e.count = 0
	rest := strings.TrimPrefix(path, "/")
	for rest != "" && e.count < MaxSegments-1 {
		at := strings.IndexByte(rest, '/')
		if at < 0 {
			break
		}
		e.segments[e.count] = rest[:at]
		e.count++
		rest = rest[at+1:]
	}
	if rest != "" || path != "" && path != "/" {
		e.segments[e.count] = rest
		e.count++
	}
}
