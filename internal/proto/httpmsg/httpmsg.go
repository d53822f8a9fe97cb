// Package httpmsg is the vocabulary of the platform's HTTP that its client side and its server side share:
// what one puts into an exchange as the payload and the other takes out of it.
package httpmsg

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// The names of the platform's headers and paths.
const (
	IDHeader        = "X-Request-Id"
	ClassHeader     = "X-Class"
	PlanHeader      = "X-Qos-Policy"
	DeadlineHeader  = "X-Deadline"
	PlacementHeader = "X-Placement"
	RetryHeader     = "X-Retry"
	NotRunHeader    = "X-Not-Run"
	UsedHeader      = "X-Iops-Used"
	OthersHeader    = "X-Rho"
	LoadHeader      = "X-Load"
	KeyHeader       = "Idempotency-Key"

	ReadyPath     = "/ready"
	LoadPath      = "/status/load"
	EndpointsPath = "/v1/endpoints"
)

const (
	MaxRequestBody  = 64 << 10 // bytes of a request's body
	MaxResponseBody = 4 << 20  // bytes of an answer's; some nodes send more than the 64 KiB that a request may have
)

// Request is the payload of an exchange whose node speaks HTTP.
type Request struct {
	Method string
	URL    *url.URL // path and query as they came
	Host   string
	Header http.Header // what is passed on
	Body   []byte

	Client   string            // who asks, as far as the front knows
	Statuses StatusInterpreter // nil: nothing describes the call
}

// StatusInterpreter tells a back what a node's answers to a call mean.
type StatusInterpreter interface {
	StatusMeaning(status int) StatusMeaning
}

// StatusMeaning is what an answer means.
type StatusMeaning int

// The kinds of Reading.
const (
	Undescribed StatusMeaning = iota // as the platform has it
	FinalAnswer                      // the client's answer, whatever its status
	NeverRan                         // turned away, and harmless to repeat
	MayHaveRun                       // an error, and nobody knows
)

// Reply is a node's answer, read whole.
type Reply struct {
	Status int // 0: 200
	Header http.Header
	Body   []byte
}

// FormatDeadline writes a time that is left for the X-Deadline header.
func FormatDeadline(left time.Duration) string {
	return strconv.FormatInt(max(0, left.Microseconds()), 10) + "u"
}

// mostDeadline keeps a nonsense figure from overflowing a time.
const mostDeadline = time.Hour

// ParseDeadline reads an X-Deadline header: a number and a unit, m or u.
func ParseDeadline(text string) (time.Duration, error) {
	unit := time.Millisecond
	figure, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		figure, ok = strings.CutSuffix(text, "u")
	}
	x, err := strconv.ParseFloat(figure, 64)
	if !ok || err != nil || !(x >= 0) || x > float64(mostDeadline/unit) {
		return 0, fmt.Errorf("%s: %q is not a time such as 480m or 480000u", DeadlineHeader, text)
	}
	return time.Duration(x * float64(unit)), nil
}

// FormatRetryAfter writes a pause in decimal seconds.
func FormatRetryAfter(pause time.Duration) string {
	return strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)
}

// HeaderNumber reads a header that holds a number; absent stands for what is not there or is none.
func HeaderNumber(h http.Header, name string, absent float64) float64 {
	x, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || x != x || x < 0 || x > 1e12 {
		return absent
	}
	return x
}

// ParsePlacement reads an X-Placement header: units=2,shard=5,hosts=3.
func ParsePlacement(text string) (units float64, shard, hosts int, err error) {
	left := map[string]*float64{"units": new(float64), "shard": new(float64), "hosts": new(float64)}
	figures := [...]*float64{left["units"], left["shard"], left["hosts"]}
	for _, pair := range strings.Split(text, ",") {
		name, figure, _ := strings.Cut(strings.TrimSpace(pair), "=")
		into := left[name]
		if into == nil {
			continue // a later version may tell more
		}
		delete(left, name)
		if *into, err = strconv.ParseFloat(figure, 64); err != nil || !(*into >= -1 && *into <= 1e6) {
			return 0, 0, 0, fmt.Errorf("%s: %s %q is not a usable number", PlacementHeader, name, figure)
		}
	}
	for _, name := range [...]string{"units", "shard", "hosts"} {
		if left[name] != nil {
			return 0, 0, 0, fmt.Errorf("%s: %s is missing", PlacementHeader, name)
		}
	}
	units, shard, hosts = *figures[0], int(*figures[1]), int(*figures[2])
	if units <= 0 || hosts < 1 || float64(shard) != *figures[1] {
		return 0, 0, 0, fmt.Errorf("%s: %q makes no sense", PlacementHeader, text)
	}
	return units, shard, hosts, nil
}
