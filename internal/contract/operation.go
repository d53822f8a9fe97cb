// Package contract holds what descriptions say of operations: which calls may be repeated, which carry a key, how soon each is wanted. It
// does no I/O but to read files that it is given.
package contract

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
)

// Idempotency tells whether a call may run more than once.
type Idempotency string

// The kinds of Repeats. Where a description says nothing, a call is Unsafe, whatever HTTP means by its method.
const (
	Idempotent        Idempotency = "safe"
	IdempotentWithKey Idempotency = "keyed"
	NonIdempotent     Idempotency = "unsafe"
)

// DedupScope is the nodes that discard a repeat by its key.
type DedupScope string

// The kinds of Group.
const (
	ScopeAll   DedupScope = "all"
	ScopeZone  DedupScope = "room"
	ScopeShard DedupScope = "rack" // those that hold the same data
)

// Meaning is what a status means for whoever sent the call.
type Meaning string

// The kinds of Meaning; empty where nothing is said of a status.
const (
	Served     Meaning = "served"       // an answer for the client
	Rejected   Meaning = "refused"      // it never ran, and repeating it is harmless
	MayHaveRun Meaning = "may-have-run" // nobody knows
	Failed     Meaning = "failed"       // an answer for the client that no repeat changes
)

// Operation is a call that a description tells of.
type Operation struct {
	ID       string
	Host     string // that its server's address names; empty: any
	Method   string // empty for AsyncAPI, which has Action and Channel instead
	Template string // of the path, as "/sheets/{id}"
	When     []Condition
	Action   string // send or receive, as seen by the application that is described
	Channel  string // its address

	Idempotency Idempotency
	Key         Location // for Keyed: where the key stands
	DedupWindow time.Duration
	DedupScope  DedupScope
	DedupHeader string // a header of the answer to a repeat that was discarded; empty: nothing tells

	Class            string        // of the settings; empty: not said
	LatencyObjective time.Duration // 0: not said, and so are the others
	Deadline         time.Duration
	PriorityWeight   float64
	ExpectedDuration time.Duration
	Units            float64
	UnitBytes        int
	StableFor        time.Duration // for which answers to the same safe call are the same, if nothing was written
	Volume           Location
	Data             Location
	Shard            Shard
	Statuses         map[string]Meaning // by number, or by kind as 4XX

	Body      bool // it takes one
	Creates   bool // it says 201
	Types     []string
	Responses map[string]*Response // by number, by kind as 4XX, or "default"; nil: none are described
	Position  SourcePosition
}

// Response is what a description says of a status.
type Response struct {
	Types map[string]*openapi3.Schema // by media type; a nil schema says nothing; no type at all: no body
	Later bool                        // the schemas are those of OpenAPI 3.1
}

// DropSchemas forgets the schemas of all answers, which take most of the memory of a large description.
func DropSchemas(all []*Operation) {
	for _, o := range all {
		for _, r := range o.Responses {
			for media := range r.Types {
				r.Types[media] = nil
			}
		}
	}
}

// Type finds what is said of a media type, as it stands in a Content-Type: exactly, by its kind, or as any.
func (r *Response) Type(text string) (schema *openapi3.Schema, described bool) {
	kind := mediaType(text)
	family, _, _ := strings.Cut(kind, "/")
	for _, one := range [...]string{kind, family + "/*", "*/*"} {
		if schema, described = r.Types[one]; described {
			return schema, true
		}
	}
	return nil, false
}

// Check holds a body against the schema that is said for its media type. It gives nil where nothing is said of it, or where it is no JSON by its type.
func (r *Response) Check(contentType string, body []byte) error {
	schema, _ := r.Type(contentType)
	if kind := mediaType(contentType); schema == nil || kind != "application/json" && !strings.HasSuffix(kind, "+json") {
		return nil
	}
	var value any
	if err := json.Unmarshal(body, &value); err != nil {
		return fmt.Errorf("no JSON: %w", err)
	}
	version := openapi3.DisableSchemaErrorDetails()
	if r.Later {
		version = openapi3.EnableJSONSchema2020()
	}
	return schema.VisitJSON(value, openapi3.VisitAsResponse(), openapi3.FailFast(), version)
}

// Location is a place in a call: a header, a parameter of the query or of the path.
type Location struct {
	In   string `mapstructure:"in"` // header, query or path; empty: not said
	Name string `mapstructure:"name"`
}

func (w Location) String() string { return w.In + " " + w.Name }

// Shard is what a description says of the shard that holds the data.
type Shard struct {
	Any      bool // a new object: any shard will do
	Fixed    bool // it is Number
	Number   int
	Location Location
}

// Condition is what must stand at a place for a call to be of an operation.
type Condition struct {
	Location
	Want string
}

// Signature words what the operation is called by. It stays the same over all versions of its description.
func (o *Operation) Signature() string {
	if o.Method == "" {
		return o.Action + " " + o.Channel
	}
	var out strings.Builder
	out.WriteString(o.Method + " " + o.Host + o.Template)
	for _, c := range o.When {
		fmt.Fprintf(&out, " %s=%s", c.Name, c.Want)
	}
	return out.String()
}

// Meaning is what the description says of a status.
func (o *Operation) Meaning(status int) Meaning {
	if m, ok := o.Statuses[strconv.Itoa(status)]; ok || len(o.Statuses) == 0 {
		return m
	}
	return o.Statuses[strconv.Itoa(status/100)+"XX"]
}

// Response is what the description says of a status; nil where it has no such one, though it has others.
func (o *Operation) Response(status int) (r *Response, described bool) {
	if o.Responses == nil {
		return nil, true
	}
	for _, key := range [...]string{strconv.Itoa(status), strconv.Itoa(status/100) + "XX", "default"} {
		if r := o.Responses[key]; r != nil {
			return r, true
		}
	}
	return nil, o.Meaning(status) != ""
}

// SourcePosition is where a description says something.
type SourcePosition struct {
	File    string
	Line    int    // 0: not known
	Pointer string // RFC 6901
}

func (p SourcePosition) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Pointer)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Pointer)
}

// Fault is something wrong with a description.
type Fault struct {
	Position SourcePosition
	Message  string
}

// Error words it as FILE:LINE: POINTER: MESSAGE.
func (f Fault) Error() string { return f.Position.String() + ": " + f.Message }

// Faults are all that is wrong.
type Faults []Fault

// Error gives a line for each.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// sorted puts faults into the order of their places.
func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		if c := strings.Compare(a.Position.File, b.Position.File); c != 0 {
			return c
		}
		if c := a.Position.Line - b.Position.Line; c != 0 {
			return c
		}
		return strings.Compare(a.Position.Pointer, b.Position.Pointer)
	})
	return f
}
