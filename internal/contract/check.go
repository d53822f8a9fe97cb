package contract

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Check returns the contradictions within operations, sorted by position. Warnings point out what is allowed but
// probably not intended.
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
	segments         []pathSegment // parsed from the path template
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

// check adds the faults and warnings of the operation, and adds the operation to shapes. That map holds the operations
// checked so far by method, host and path template with blank parameter names, such as "GET a.example/sheets/{}".
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
				c.addFault("the operation matches the same requests as %s at %v", other.Signature(), other.Position)
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
		const message = "the deadline of %v is shorter than the latency objective (aim) of %v"
		c.addFault(message, o.Deadline, o.LatencyObjective)
	}
	if o.Deadline > 0 && o.ExpectedDuration > o.Deadline {
		const message = "the expected duration (takes) of %v is longer than the deadline of %v"
		c.addFault(message, o.ExpectedDuration, o.Deadline)
	}
}

// ambiguous reports whether a request can match both of two operations and neither takes precedence by having more
// conditions. The operations have equal methods and hosts, and path templates that differ at most in the names of their
// parameters. Only equal media types count as overlapping.
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
			if x.Location == y.Location && x.Value != y.Value {
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
		if o.HasBody && o.Creates {
			c.addFault("the operation is declared safe, but has a request body and creates something (status 201)")
		}
		if o.Method == http.MethodPost || o.Method == http.MethodPatch {
			c.warn("the operation is declared safe, but its method is %s", o.Method)
		}
	case IdempotentWithKey:
		if o.Key.Name == "" || o.DedupWindow <= 0 {
			c.addFault("the operation is declared keyed, but does not say where its key is and how long nodes remember it")
		}
	case NonIdempotent:
		if o.Method == http.MethodGet || o.Method == http.MethodHead {
			const message = "the method is %s, but the operation is not declared safe, " +
				"so it is not retried once it may have run"
			c.warn(message, o.Method)
		}
	}
	if o.Idempotency != Idempotent && o.StableFor > 0 {
		const message = "responses are declared the same for %v (same_for), but the operation is not declared safe"
		c.addFault(message, o.StableFor)
	}
	if o.Idempotency != IdempotentWithKey && o.Key.Name != "" {
		c.addFault("the operation has a key in %v, but is not declared keyed", o.Key)
	}
}

// checkPathLocations checks that the path template has each path parameter that a Location of the operation names.
func (c *operationChecker) checkPathLocations() {
	o := c.operation
	if o.Method == "" {
		return
	}
	for _, value := range []struct {
		name     string
		location Location
	}{
		{"key", o.Key},
		{"volume", o.Volume},
		{"data", o.Data},
		{"shard", o.Shard.Location},
	} {
		parameter := pathSegment{text: value.location.Name, parameter: true}
		if value.location.In == inPath && !slices.Contains(c.segments, parameter) {
			c.addFault("the path has no parameter {%s} for the %s", value.location.Name, value.name)
		}
	}
}

// checkStatus checks that the declared meaning of a status agrees with how clients interpret the status. Clients take
// 429 and 503 as a sign that a retry is safe.
func (c *operationChecker) checkStatus(status string, meaning StatusMeaning) {
	invitesRetry := status == "429" || status == "503"
	rangeInvitesRetry := status == "4XX" || status == "5XX"
	success := strings.HasPrefix(status, "2")
	final := meaning == Served || meaning == Failed
	switch {
	case meaning == Rejected && success:
		c.addFault("status %s is declared refused, but reports success", status)
	case invitesRetry && final:
		c.addFault("status %s is declared %s, but tells clients that a retry is safe", status, meaning)
	case meaning == Failed && success:
		c.addFault("status %s is declared failed, but reports success", status)
	case rangeInvitesRetry && final:
		number := map[string]string{"4XX": "429", "5XX": "503"}[status]
		if _, ok := c.operation.Statuses[number]; !ok {
			const message = "statuses %s are declared %s, but include %s, which tells clients that a retry is safe"
			c.addFault(message, status, meaning, number)
		}
	case meaning == Rejected && status == "500":
		c.warn("status 500 is declared refused, but a call with this status may have run")
	}
	c.warnUndescribedResponse(status, meaning)
}

// warnUndescribedResponse warns of a status that is declared served, if the description has responses but none with
// this status. It does not warn of status 200 or of ranges such as 2XX.
func (c *operationChecker) warnUndescribedResponse(status string, meaning StatusMeaning) {
	number, err := strconv.Atoi(status)
	if err != nil || c.operation.Responses == nil || meaning != Served || number == http.StatusOK {
		return
	}
	if _, ok := c.operation.Responses[status]; !ok {
		c.warn("status %s is declared served, but no response with it is described", status)
	}
}
