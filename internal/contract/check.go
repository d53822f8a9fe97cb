package contract

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Check returns what is wrong with operations, sorted by position. Warnings point out what may not be meant; they
// forbid nothing.
func Check(operations []*Operation) (faults, warnings Faults) {
	shapes := map[string][]*Operation{}
	for _, operation := range operations {
		c := operationChecker{operation: operation}
		c.check(shapes)
		faults = append(faults, c.faults...)
		warnings = append(warnings, c.warnings...)
	}
	return faults.sorted(), warnings.sorted()
}

// operationChecker checks one operation.
type operationChecker struct {
	operation        *Operation
	segments         []pathSegment // of its path
	faults, warnings Faults
}

func (c *operationChecker) addFault(format string, args ...any) {
	fault := Fault{Position: c.operation.Position, Message: fmt.Sprintf(format, args...)}
	c.faults = append(c.faults, fault)
}

func (c *operationChecker) warn(format string, args ...any) {
	warning := Fault{Position: c.operation.Position, Message: fmt.Sprintf(format, args...)}
	c.warnings = append(c.warnings, warning)
}

// check checks the operation. It adds it to shapes, which hold the operations before it by method, host and shape of
// their path.
func (c *operationChecker) check(shapes map[string][]*Operation) {
	o := c.operation
	if o.Method != "" {
		var err error
		c.segments, err = parsePathTemplate(o.Template)
		if err != nil {
			c.addFault("%v", err)
			return
		}
		shape := o.Method + " " + o.Host + shapeOf(c.segments)
		for _, other := range shapes[shape] {
			if ambiguous(o, other) {
				c.addFault("it matches the same requests as %s at %v", other.Signature(), other.Position)
			}
		}
		shapes[shape] = append(shapes[shape], o)
	}
	c.checkIdempotency()
	c.checkPathLocations()
	for _, status := range slices.Sorted(maps.Keys(o.Statuses)) {
		c.checkStatus(status, o.Statuses[status])
	}
	if o.LatencyObjective > 0 && o.Deadline > 0 && o.Deadline < o.LatencyObjective {
		c.addFault("its deadline, %v, is shorter than its aim, %v", o.Deadline, o.LatencyObjective)
	}
	if o.Deadline > 0 && o.ExpectedDuration > o.Deadline {
		c.addFault("it takes %v, longer than its deadline, %v", o.ExpectedDuration, o.Deadline)
	}
}

// ambiguous reports whether a request can match two operations that share method, host and path, so that neither goes
// first by having more conditions.
func ambiguous(a, b *Operation) bool {
	if len(a.When) != len(b.When) {
		return false
	}
	bothTyped := len(a.RequestTypes) > 0 && len(b.RequestTypes) > 0
	inB := func(media string) bool { return slices.Contains(b.RequestTypes, media) }
	if bothTyped && !slices.ContainsFunc(a.RequestTypes, inB) {
		return false
	}
	for _, x := range a.When {
		for _, y := range b.When {
			if x.Location == y.Location && x.Want != y.Want {
				return false
			}
		}
	}
	return true
}

func (c *operationChecker) checkIdempotency() {
	o := c.operation
	switch o.Idempotency {
	case Idempotent:
		if o.Body && o.Creates {
			c.addFault("it is called safe, but takes a body and creates something (201)")
		}
		if o.Method == http.MethodPost || o.Method == http.MethodPatch {
			c.warn("it is called safe, but its method is %s", o.Method)
		}
	case IdempotentWithKey:
		if o.Key.Name == "" || o.DedupWindow <= 0 {
			c.addFault("it is called keyed, but does not say where its key is and for how long it is known")
		}
	case NonIdempotent:
		if o.Method == http.MethodGet || o.Method == http.MethodHead {
			c.warn("its method is %s, but it is not called safe: it is not retried", o.Method)
		}
	}
	if o.Idempotency != Idempotent && o.StableFor > 0 {
		c.addFault("its answers are called the same for %v, but it is not called safe", o.StableFor)
	}
	if o.Idempotency != IdempotentWithKey && o.Key.Name != "" {
		c.addFault("it has a key, but is not called keyed")
	}
}

// checkPathLocations checks that the path has each parameter by which the description locates something.
func (c *operationChecker) checkPathLocations() {
	o := c.operation
	if o.Method == "" {
		return
	}
	for _, one := range []struct {
		what string
		at   Location
	}{
		{"key", o.Key},
		{"volume", o.Volume},
		{"data", o.Data},
		{"shard", o.Shard.Location},
	} {
		parameter := pathSegment{text: one.at.Name, parameter: true}
		if one.at.In == inPath && !slices.Contains(c.segments, parameter) {
			c.addFault("its path has no {%s}, which is to hold its %s", one.at.Name, one.what)
		}
	}
}

// checkStatus checks the meaning of a status against what clients take it for: 429 and 503 tell them that a retry is
// safe.
func (c *operationChecker) checkStatus(status string, meaning Meaning) {
	invitesRetry := status == "429" || status == "503"
	includesInvitation := status == "4XX" || status == "5XX"
	success := strings.HasPrefix(status, "2")
	final := meaning == Served || meaning == Failed
	switch {
	case meaning == Rejected && success:
		c.addFault("status %s is called refused, but reports success", status)
	case invitesRetry && final:
		c.addFault("status %s is called %s, but tells clients that a retry is safe", status, meaning)
	case meaning == Failed && success:
		c.addFault("status %s is called failed, but reports success", status)
	case includesInvitation && final:
		number := map[string]string{"4XX": "429", "5XX": "503"}[status]
		if _, ok := c.operation.Statuses[number]; !ok {
			const message = "statuses %s are called %s, which includes %s, and that tells clients that a retry is safe"
			c.addFault(message, status, meaning, number)
		}
	case meaning == Rejected && status == "500":
		c.warn("status 500 is called refused, but such a call may have run")
	}
	c.warnUndescribedAnswer(status, meaning)
}

// warnUndescribedAnswer warns of a status for the client that has no described response.
func (c *operationChecker) warnUndescribedAnswer(status string, meaning Meaning) {
	number, err := strconv.Atoi(status)
	if err != nil || c.operation.Responses == nil || meaning != Served || number == http.StatusOK {
		return
	}
	if _, ok := c.operation.Responses[status]; !ok {
		c.warn("status %s is called served, but no response with it is described", status)
	}
}
