package contract

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Idempotency says whether a call may run more than once. Its values are those of the key repeats.
type Idempotency string

// The kinds of Idempotency. A call of which a description says nothing is NonIdempotent, whatever HTTP says about its
// method.
const (
	Idempotent        Idempotency = "safe"
	IdempotentWithKey Idempotency = "keyed"
	NonIdempotent     Idempotency = "unsafe"
)

// DedupScope is the set of nodes that discard a retry by its key. Its values are those of the key group.
type DedupScope string

// The kinds of DedupScope.
const (
	ScopeAll   DedupScope = "all"
	ScopeZone  DedupScope = "room"
	ScopeShard DedupScope = "rack" // the nodes that hold the same data
)

// Meaning is what a status means for the sender of the call.
type Meaning string

// The kinds of Meaning; empty if nothing is said of a status.
const (
	Served     Meaning = "served"       // an answer for the client
	Rejected   Meaning = "refused"      // the call did not run, and a retry is safe
	MayHaveRun Meaning = "may-have-run" // it is unknown whether the call ran
	Failed     Meaning = "failed"       // an answer for the client that no retry changes
)

// Operation is an operation of a description.
type Operation struct {
	ID       string
	Host     string // named by the address of its server; empty: any
	Method   string // empty in AsyncAPI, which has Action and Channel instead
	Template string // of the path, as "/sheets/{id}"
	When     []Condition
	Action   string // send or receive, from the view of the described application
	Channel  string // its address

	Idempotency Idempotency
	Key         Location // of IdempotentWithKey
	DedupWindow time.Duration
	DedupScope  DedupScope
	DedupHeader string // a header that marks the answer to a discarded retry; empty: nothing marks it

	Class            string        // of the settings; empty: not specified
	LatencyObjective time.Duration // 0: not specified; the same holds for the following fields
	Deadline         time.Duration
	PriorityWeight   float64
	ExpectedDuration time.Duration
	Units            float64
	UnitBytes        int
	StableFor        time.Duration // how long answers to the same idempotent call stay the same without a write
	Volume           Location
	Data             Location
	Shard            Shard
	Statuses         map[string]Meaning // by number, or by kind as 4XX

	Body         bool // it has a request body
	Creates      bool // it describes status 201
	RequestTypes []string
	Responses    map[string]*Response // by number, by kind as 4XX, or "default"; nil: none are described
	Position     SourcePosition
}

// Location is a place in a call: a header, a parameter of the query or of the path.
type Location struct {
	In   string `mapstructure:"in"` // header, query or path; empty: not specified
	Name string `mapstructure:"name"`
}

// The places of a Location.
const (
	inHeader = "header"
	inQuery  = "query"
	inPath   = "path"
)

// String returns the place and the name.
func (l Location) String() string { return l.In + " " + l.Name }

// Shard is what a description says of the shard that holds the data.
type Shard struct {
	Any      bool // the call makes a new object, which any shard can hold
	Fixed    bool // the shard is Number
	Number   int
	Location Location
}

// Condition is the value that a call must have at a place to belong to an operation.
type Condition struct {
	Location
	Want string
}

// Signature identifies the operation by how it is called. It stays the same over all versions of the description.
func (o *Operation) Signature() string {
	if o.Method == "" {
		return o.Action + " " + o.Channel
	}
	var signature strings.Builder
	signature.WriteString(o.Method + " " + o.Host + o.Template)
	for _, condition := range o.When {
		fmt.Fprintf(&signature, " %s=%s", condition.Name, condition.Want)
	}
	return signature.String()
}

// statusKind returns the kind of a status, such as 4XX.
func statusKind(status int) string { return strconv.Itoa(status/100) + "XX" }

// Meaning returns what the description says of a status.
func (o *Operation) Meaning(status int) Meaning {
	if len(o.Statuses) == 0 {
		return ""
	}
	if meaning, ok := o.Statuses[strconv.Itoa(status)]; ok {
		return meaning
	}
	return o.Statuses[statusKind(status)]
}

// Response returns the described response with a status; nil if there is none. The status counts as described if no
// response is described at all, or if the description gives the status a meaning.
func (o *Operation) Response(status int) (response *Response, described bool) {
	if o.Responses == nil {
		return nil, true
	}
	for _, key := range [...]string{strconv.Itoa(status), statusKind(status), defaultResponse} {
		if response := o.Responses[key]; response != nil {
			return response, true
		}
	}
	return nil, o.Meaning(status) != ""
}
