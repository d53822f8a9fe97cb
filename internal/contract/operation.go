package contract

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Idempotency states whether a call may run more than once. Its values are those of the property repeats of x-contract.
type Idempotency string

// The kinds of Idempotency. A call is NonIdempotent unless its description states otherwise, whatever HTTP says about
// its method.
const (
	Idempotent        Idempotency = "safe"   // it may run any number of times
	IdempotentWithKey Idempotency = "keyed"  // nodes discard repeats with the same key
	NonIdempotent     Idempotency = "unsafe" // it must not run twice
)

// DedupScope is the set of nodes that recognize the key of a retry and discard it. Its values are those of the property
// group of x-contract.
type DedupScope string

// The kinds of DedupScope.
const (
	ScopeAll   DedupScope = "all"  // all nodes
	ScopeZone  DedupScope = "room" // the nodes in the zone of the first attempt
	ScopeShard DedupScope = "rack" // the nodes that hold the same data
)

// StatusMeaning is what a status means for the sender of the call.
type StatusMeaning string

// The kinds of StatusMeaning. The value is empty if the description gives the status no meaning.
const (
	Served     StatusMeaning = "served"       // a final response for the client
	Rejected   StatusMeaning = "refused"      // the call did not run, and a retry is safe
	MayHaveRun StatusMeaning = "may-have-run" // it is unknown whether the call ran
	Failed     StatusMeaning = "failed"       // a final error for the client, which no retry changes
)

// Operation is an operation that a description defines, with the properties that x-contract adds to it.
type Operation struct {
	ID       string
	Host     string      // from the URL of its server, in lower case; empty: any host
	Method   string      // empty in AsyncAPI, which has Action and Channel instead
	Template string      // path template, such as "/sheets/{id}"
	When     []Condition // further conditions on the call, besides method and path
	Action   string      // send or receive, from the point of view of the described application
	Channel  string      // address of the channel

	Idempotency Idempotency
	Key         Location      // where the key is, if the operation is IdempotentWithKey
	DedupWindow time.Duration // how long a retry with the same key is discarded
	DedupScope  DedupScope
	DedupHeader string // response header that marks a discarded retry; empty: nothing marks it

	Class            string        // name of a class in the settings; empty: not specified
	LatencyObjective time.Duration // 0: not specified; the same holds for the following fields
	Deadline         time.Duration
	PriorityWeight   float64
	ExpectedDuration time.Duration // the longest time that a node takes for a call
	Units            float64       // size of a call
	UnitBytes        int           // bytes of the body that count as one unit, in place of Units
	StableFor        time.Duration // how long responses to the same idempotent call stay the same without a write
	Volume           Location      // where the name of the volume is
	Data             Location      // where the name is that the data key is derived from
	Shard            Shard
	Statuses         map[string]StatusMeaning // meanings by status number or by range, such as 4XX

	HasBody      bool                 // the operation has a request body
	Creates      bool                 // the operation describes status 201
	RequestTypes []string             // media types and ranges of the request body
	Responses    map[string]*Response // by status number, by range such as 4XX, or "default"; nil: none are described
	Position     SourcePosition
}

// Location is where a value is in a call: in a header, a query parameter or a path parameter.
type Location struct {
	In   string `mapstructure:"in"` // header, query or path; empty: not specified
	Name string `mapstructure:"name"`
}

// The values of Location.In.
const (
	inHeader = "header"
	inQuery  = "query"
	inPath   = "path"
)

// String returns In and Name, separated by a space.
func (l Location) String() string { return l.In + " " + l.Name }

// Shard specifies which shard holds the data of a call. The zero value means that the description does not specify it.
type Shard struct {
	Any      bool     // the call creates a new object, which any shard can hold
	Fixed    bool     // the shard is always Number
	Number   int      // used if Fixed
	Location Location // where the call states the number of the shard
}

// Condition is a value that a call must have at a location to match an operation.
type Condition struct {
	Location
	Value string
}

// Signature identifies the operation by how it is called. It is the same in all versions of the description.
func (o *Operation) Signature() string {
	if o.Method == "" {
		return o.Action + " " + o.Channel
	}
	var signature strings.Builder
	signature.WriteString(o.Method + " " + o.Host + o.Template)
	for _, condition := range o.When {
		fmt.Fprintf(&signature, " %s=%s", condition.Name, condition.Value)
	}
	return signature.String()
}

// statusRange returns the range of a status, such as 4XX for 404.
func statusRange(status int) string { return strconv.Itoa(status/100) + "XX" }

// StatusMeaning returns the meaning of a status, given for the status itself or for its range. It is empty if the
// description gives none.
func (o *Operation) StatusMeaning(status int) StatusMeaning {
	if len(o.Statuses) == 0 {
		return ""
	}
	if meaning, ok := o.Statuses[strconv.Itoa(status)]; ok {
		return meaning
	}
	return o.Statuses[statusRange(status)]
}

// Response returns the description of the response with a status; nil if there is none. Even then, the status
// counts as described if the operation describes no responses at all or gives the status a meaning.
func (o *Operation) Response(status int) (response *Response, described bool) {
	if o.Responses == nil {
		return nil, true
	}
	for _, key := range [...]string{strconv.Itoa(status), statusRange(status), defaultResponse} {
		if response := o.Responses[key]; response != nil {
			return response, true
		}
	}
	return nil, o.StatusMeaning(status) != ""
}
