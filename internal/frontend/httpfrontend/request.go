package httpfrontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"reachpulley/internal/contract"
	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/engine"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// frontendName is the name of this frontend in rules.
const frontendName = "http"

// uniqueHeaders are the headers by which requests are scheduled. A request that repeats one is rejected, since it would
// be ambiguous which value applies.
var uniqueHeaders = [...]string{
	httpmsg.IDHeader,
	httpmsg.ClassHeader,
	httpmsg.PlanHeader,
	httpmsg.DeadlineHeader,
	httpmsg.PlacementHeader,
	httpmsg.IdempotencyKeyHeader,
}

// errBodyTooLarge is the reason why a request is rejected whose body is too long.
var errBodyTooLarge = fmt.Errorf("the body is longer than %d bytes", httpmsg.MaxRequestBody)

// receive returns what is known of a request. One that has not come through a Server of this package, nor through
// another frontend, is read here.
func receive(r *http.Request) (*httpmsg.Received, *statusError) {
	if received := httpmsg.ReceivedOf(r.Context()); received != nil {
		return received, nil
	}
	received := &httpmsg.Received{}
	if r.Body != nil && r.ContentLength != 0 {
		content, err := io.ReadAll(io.LimitReader(r.Body, httpmsg.MaxRequestBody+1))
		if err != nil {
			return nil, &statusError{status: http.StatusBadRequest, err: fmt.Errorf("the body: %w", err)}
		}
		if len(content) > httpmsg.MaxRequestBody {
			return nil, &statusError{status: http.StatusRequestEntityTooLarge, err: errBodyTooLarge}
		}
		received.Body = httpmsg.BodyOf(content)
	}
	received.Arrival = time.Now()
	return received, nil
}

// admission is the result of Frontend.admit: the facts of a request, and the limits of rules and contracts that count
// it until it is released.
type admission struct {
	request       scheduler.Request
	clientTimeout time.Duration // how long the client waits for the answer

	limits   *engine.Request  // nil: no rules are in force
	contract *contracts.Match // nil: no contracts are in force
}

// release releases the limits that count the request. It is called once, when the request is answered or its client has
// disconnected, also for a request that was not admitted.
func (a *admission) release() {
	a.limits.Release()
	a.contract.Release()
}

// addContract adds the operation's contract and the client's address to a request to a node. The backend interprets the
// status of the node's response by the contract.
func (a *admission) addContract(to *httpmsg.Request, r *http.Request) {
	if a.contract == nil {
		return
	}
	to.Statuses = a.contract.Entry
	to.Client = clientAddress(r)
}

// admit determines the facts by which a request is scheduled and acquires the limits that count it. It adds the facts
// from rules and contracts to header, which goes to the node. The admission must be released even if there is an error.
//
// The text of the error becomes the body of the response. Clients may match it, so it must not change.
func (f *Frontend) admit(r *http.Request, header http.Header, arrival time.Time) (admitted admission, err error) {
	for _, name := range uniqueHeaders {
		if len(r.Header[name]) > 1 {
			return admitted, fmt.Errorf("%s: is there more than once", name)
		}
	}
	b := requestBuilder{frontend: f, http: r, header: header, rules: &noRules, fromPlatform: true}
	if f.contracts.InForce() {
		admitted.contract, err = f.contracts.Begin(contractCall(r))
		if err != nil {
			return admitted, err
		}
		b.contract = admitted.contract
	}
	if f.rules != nil && f.rules.InForce() {
		var result rules.Result
		admitted.limits, result, err = f.rules.Begin(ruleFacts(r, arrival))
		if err != nil {
			return admitted, err
		}
		b.rules = &result
	}
	if admitted.limits != nil || admitted.contract != nil {
		b.fromPlatform = hasPlatformHeaders(r.Header)
	}
	admitted.clientTimeout, err = b.build(&admitted.request)
	if err == nil && admitted.limits != nil {
		request := &admitted.request
		class, plan := f.settings.Classes[request.Class].Name, f.settings.Plans[request.Plan].Name
		err = admitted.limits.AcquireLimits(class, plan, request.Volume)
	}
	return admitted, err
}

// contractCall returns the part of a request by which contracts find its operation.
func contractCall(r *http.Request) contract.Call {
	return contract.Call{
		Method:  r.Method,
		Host:    r.Host,
		Path:    r.URL.EscapedPath(),
		Query:   r.URL.RawQuery,
		Header:  r.Header,
		HasBody: r.ContentLength > 0,
	}
}

// ruleFacts returns the facts of a request that rules evaluate.
func ruleFacts(r *http.Request, arrival time.Time) *expression.Facts {
	return &expression.Facts{
		Method:     r.Method,
		Path:       r.URL.Path,
		Query:      r.URL.Query(),
		Host:       r.Host,
		Header:     r.Header,
		BodyLength: bodyLength(r),
		Client:     clientAddress(r),
		Frontend:   frontendName,
		Arrival:    arrival,
	}
}

// bodyLength returns the length of the body in bytes; 0 if there is none.
func bodyLength(r *http.Request) int { return int(max(0, r.ContentLength)) }

// clientAddress returns the address of the client without its port.
func clientAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// hasPlatformHeaders reports whether a request has the platform's header for the ID, class, plan or placement. Such a
// request gets no default class or plan, so that no client can raise its priority by leaving out a header.
func hasPlatformHeaders(h http.Header) bool {
	for _, name := range [...]string{
		httpmsg.IDHeader,
		httpmsg.ClassHeader,
		httpmsg.PlanHeader,
		httpmsg.PlacementHeader,
	} {
		if h.Get(name) != "" {
			return true
		}
	}
	return false
}
