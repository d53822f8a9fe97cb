// Package httpmsg defines the HTTP conventions of the platform that frontends, backends and nodes share: names of
// headers and paths, formats of header values, and the payloads of exchanges with nodes that speak HTTP.
//
// The errors of ParseDeadline and ParsePlacement become bodies of responses. Clients may match their texts, which must
// not change.
package httpmsg

import (
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Headers of requests.
const (
	IDHeader             = "X-Request-Id"
	ClassHeader          = "X-Class"
	PlanHeader           = "X-Qos-Policy"
	DeadlineHeader       = "X-Deadline"  // how long the client waits; see ParseDeadline
	PlacementHeader      = "X-Placement" // size and location of the work; see ParsePlacement
	RetryHeader          = "X-Retry"     // 1: the client has sent the request before
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Headers of responses from nodes.
const (
	NotRunHeader    = "X-Not-Run"   // 1: the node has not run the request
	VolumeUseHeader = "X-Iops-Used" // usage of the volume through all gateways, in percent of its plan's rate
	LoadHeader      = "X-Load"      // load report of the node

	// OtherUnitsHeader holds the number of units of the volume that the node served for other gateways since its last
	// response to this one.
	OtherUnitsHeader = "X-Rho"
)

// Paths of the platform.
const (
	ReadyPath     = "/ready"        // of gateways: readiness check
	LoadPath      = "/status/load"  // of nodes: load report
	EndpointsPath = "/v1/endpoints" // of discovery: endpoint list
)

// Limits of bodies in bytes.
const (
	// MaxRequestBody is the longest body of a request.
	MaxRequestBody = 64 << 10
	// MaxResponseBody is the longest body of a response. It exceeds MaxRequestBody, as some nodes send longer bodies.
	MaxResponseBody = 4 << 20
)

// Request is the request that an exchange sends to a node that speaks HTTP.
type Request struct {
	Method string
	URL    *url.URL // path and query as the client sent them
	Host   string
	Header http.Header // as sent to the node
	Body   Body

	Client   string            // address of the client; empty if the frontend does not set it
	Statuses StatusInterpreter // nil: no contract describes the request
}

// StatusInterpreter tells a backend what the status of a node's response means for the request.
type StatusInterpreter interface {
	// StatusMeaning returns the meaning of an HTTP status.
	StatusMeaning(status int) StatusMeaning
}

// StatusMeaning is what the status of a node's response means for the request.
type StatusMeaning int

// The meanings of a status.
const (
	Undescribed   StatusMeaning = iota // no contract describes the status: it means what the platform defines
	FinalResponse                      // the response is passed to the client, whatever its status
	NeverRan                           // the node rejected the request, which may be retried
	MayHaveRun                         // the request failed and may have had an effect
)

// Reply is a node's response, read completely.
type Reply struct {
	Status int // 0 means 200
	Header http.Header
	Body   []byte
}

// FormatDeadline returns a remaining time in the format of DeadlineHeader.
func FormatDeadline(left time.Duration) string {
	return strconv.FormatInt(max(0, left.Microseconds()), 10) + "u"
}

// maxDeadline is the longest time that ParseDeadline accepts. It keeps huge values from overflowing a time.Duration.
const maxDeadline = time.Hour

// ParseDeadline parses the value of DeadlineHeader: a number of milliseconds or microseconds with the unit m or u.
func ParseDeadline(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	value, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(value >= 0) || value > float64(maxDeadline/unit) {
		return 0, fmt.Errorf("%s: %q is not a time such as 480m or 480000u", DeadlineHeader, text)
	}
	return time.Duration(value * float64(unit)), nil
}

// FormatRetryAfter returns a time in the format of Retry-After: seconds with three decimals.
func FormatRetryAfter(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}

// maxHeaderNumber is the largest number that HeaderNumber accepts.
const maxHeaderNumber = 1e12

// HeaderNumber returns the number in a header, or missing if the header is absent or does not hold a number from 0 to
// maxHeaderNumber.
func HeaderNumber(h http.Header, name string, missing float64) float64 {
	value, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || math.IsNaN(value) || value < 0 || value > maxHeaderNumber {
		return missing
	}
	return value
}
