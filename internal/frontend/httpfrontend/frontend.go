package httpfrontend

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// Loop is the event loop that carries out exchanges.
type Loop interface {
	// Open passes an exchange to the loop, which finishes it once the answer is known.
	Open(*exchange.Exchange)
}

// Options configure a Frontend.
type Options struct {
	Settings scheduler.Settings
	Loop     Loop
	Rules    *engine.Engine // nil: no rules
	NewID    func() string  // returns a new ID for a request without one, if rules or contracts are in force
	Log      *slog.Logger

	Contracts   *contracts.Registry // nil: no contracts
	DefaultPlan string              // plan of requests under a contract that have no other; if empty, they are rejected
}

// Frontend answers HTTP requests through exchanges of the event loop. For HTTP/1.1 it is an http.Handler: an
// httputil.ReverseProxy removes hop-by-hop headers and writes the responses, and its transport turns each request into
// an exchange. Another frontend passes its requests to Handle, which does without the proxy.
type Frontend struct {
	loop     Loop
	settings scheduler.Settings
	rules    *engine.Engine
	newID    func() string
	log      *slog.Logger
	proxy    *httputil.ReverseProxy
	classes  map[string]int // index into settings.Classes by name
	plans    map[string]int // index into settings.Plans by name

	shortestDeadline time.Duration // of all classes

	contracts   *contracts.Registry
	defaultPlan int // index of Options.DefaultPlan in settings.Plans; -1: none

	draining     atomic.Bool               // set by BeginDrain
	outOfService atomic.Bool               // clients are sent away; see Server.LeaveService
	stoppedAt    atomic.Pointer[time.Time] // requests that arrive later get a 503; nil: the server is not stopping

	// Counters of requests that never reached the event loop. Handle does not count readiness checks, nor requests that
	// checkFramingAndMethod rejects.
	readinessChecks atomic.Int64
	invalidRequests atomic.Int64
	rateLimited     atomic.Int64
}

// New returns a Frontend with the given options.
func New(o Options) *Frontend {
	f := &Frontend{
		loop:      o.Loop,
		settings:  o.Settings,
		rules:     o.Rules,
		newID:     o.NewID,
		log:       o.Log,
		classes:   make(map[string]int, len(o.Settings.Classes)),
		plans:     make(map[string]int, len(o.Settings.Plans)),
		contracts: o.Contracts,

		shortestDeadline: shortestDeadline(o.Settings.Classes),
	}
	for i, class := range o.Settings.Classes {
		f.classes[class.Name] = i
	}
	for i, plan := range o.Settings.Plans {
		f.plans[plan.Name] = i
	}
	f.defaultPlan = slices.IndexFunc(o.Settings.Plans, func(p scheduler.Plan) bool { return p.Name == o.DefaultPlan })
	f.proxy = f.newProxy(o.Log)
	return f
}

// newProxy returns the reverse proxy whose transport is the event loop.
func (f *Frontend) newProxy(log *slog.Logger) *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Rewrite: func(pr *httputil.ProxyRequest) {
			// ReverseProxy drops query parameters that it cannot parse; nodes need the query as the client sent it.
			pr.Out.URL.RawQuery = pr.In.URL.RawQuery
			pr.Out.Host = pr.In.Host
		},
		Transport:      (*transport)(f),
		BufferPool:     &copyBuffers{},
		ModifyResponse: f.prepareResponse,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) {
			w.WriteHeader(http.StatusBadGateway)
		},
	}
}

// prepareResponse adds to a response that the proxy is about to write the length of its body, so that it needs no copy,
// and whether it is the last one on its connection.
func (f *Frontend) prepareResponse(resp *http.Response) error {
	resp.Header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	f.closeAfterLastResponse(resp)
	return nil
}

// connOf returns the connection of a request; nil if another frontend has read the request.
func connOf(r *http.Request) *clientConn {
	received := httpmsg.ReceivedOf(r.Context())
	if received == nil {
		return nil
	}
	c, _ := received.Client.(*clientConn)
	return c
}

// closeAfterLastResponse marks a response as the last one on its connection when the gateway drains or is out of
// service, or when too many connections are in use to keep this one alive, unless a further request already waits on
// the connection.
func (f *Frontend) closeAfterLastResponse(resp *http.Response) {
	c := connOf(resp.Request)
	leaving := f.draining.Load() || f.outOfService.Load()
	last := c != nil && c.tracker.recordResponse(c, resp.StatusCode == http.StatusOK) || leaving
	// A pipelined request that waits behind this one must still be answered.
	if last && (c == nil || !c.hasUnreadInput()) {
		resp.Header.Set("Connection", "close")
	}
}

const copyBufferSize = 8 << 10 // bytes

// copyBuffers recycles the buffers with which ReverseProxy copies responses. Without it, ReverseProxy allocates 32 KiB
// for each response.
type copyBuffers struct{ pool sync.Pool }

// Get returns a buffer.
func (b *copyBuffers) Get() []byte {
	if buffer, ok := b.pool.Get().(*[copyBufferSize]byte); ok {
		return buffer[:]
	}
	return make([]byte, copyBufferSize)
}

// Put recycles a buffer.
func (b *copyBuffers) Put(buffer []byte) { b.pool.Put((*[copyBufferSize]byte)(buffer)) }

// BeginDrain makes each further response that the proxy writes the last one on its connection, unless a further request
// already waits there. Readiness checks are answered as before, and so are requests that come through Handle.
func (f *Frontend) BeginDrain() { f.draining.Store(true) }

// ServeHTTP serves one request, which a Server has read completely. A request that comes from elsewhere is checked and
// read here.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == httpmsg.ReadyPath {
		f.serveReadiness(w, r)
		return
	}
	if httpmsg.ReceivedOf(r.Context()) == nil {
		invalid := f.checkFramingAndMethod(r, true)
		var received *httpmsg.Received
		if invalid == nil {
			received, invalid = receive(r)
		}
		if invalid != nil {
			f.invalidRequests.Add(1)
			w.Header().Set("Connection", "close")
			http.Error(w, invalid.Error(), invalid.status)
			return
		}
		r = r.WithContext(httpmsg.WithReceived(r.Context(), received))
	}
	if f.cameAfterStop(r) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.proxy.ServeHTTP(w, r)
}

// cameAfterStop reports whether a request arrived on a connection after the server had begun to stop.
func (f *Frontend) cameAfterStop(r *http.Request) bool {
	stoppedAt := f.stoppedAt.Load()
	return stoppedAt != nil && connOf(r) != nil && httpmsg.ReceivedOf(r.Context()).Arrival.After(*stoppedAt)
}

// checkHead rejects a request by its head, before its body is read. A body that is read with it has a bounded length.
func (f *Frontend) checkHead(r *http.Request, hasLength bool) *statusError {
	if r.URL.Path == httpmsg.ReadyPath && r.ContentLength <= httpmsg.MaxRequestBody && !hasLength {
		return nil
	}
	return f.checkFramingAndMethod(r, hasLength)
}

// serveReadiness answers a readiness check. It closes the connection afterwards if too many connections are open and no
// further request waits on this one.
func (f *Frontend) serveReadiness(w http.ResponseWriter, r *http.Request) {
	f.readinessChecks.Add(1)
	if c := connOf(r); c != nil && c.tracker.saturated() && !c.hasUnreadInput() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(f.readinessStatus())
}

// readinessStatus returns the status of the answer to a readiness check.
func (f *Frontend) readinessStatus() int {
	if f.outOfService.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// Handle returns the response to a request that another frontend has read completely, with the body in memory. The
// request passes the same checks and rules as in ServeHTTP. The context of the request must end when its client
// disconnects.
func (f *Frontend) Handle(r *http.Request) *http.Response {
	if r.URL.Path == httpmsg.ReadyPath {
		return newResponse(r, f.readinessStatus(), nil, nil)
	}
	if invalid := f.checkFramingAndMethod(r, true); invalid != nil {
		return errorResponse(r, invalid.status, invalid)
	}
	resp, err := f.roundTrip(r)
	if err != nil {
		return newResponse(r, http.StatusBadGateway, nil, nil)
	}
	return resp
}

// errClientDisconnected reports that the client disconnected before its request was answered.
var errClientDisconnected = errors.New("client disconnected")

// transport makes the Frontend the http.RoundTripper of its proxy.
type transport Frontend

// RoundTrip passes a request to the event loop and returns the response.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return (*Frontend)(t).roundTrip(r)
}

// roundTrip opens an exchange for a request and waits for its answer or for the client to disconnect. If the request is
// not admitted, roundTrip returns the rejection without an exchange.
func (f *Frontend) roundTrip(r *http.Request) (*http.Response, error) {
	received, invalid := receive(r)
	if invalid != nil {
		return errorResponse(r, invalid.status, invalid), nil
	}
	arrival := received.Arrival
	var disconnected <-chan struct{}
	if received.Client != nil {
		// A pipelined request may have waited behind others, and its client may have disconnected in the meantime.
		disconnected = received.Client.Disconnected()
		select {
		case <-disconnected:
			return nil, errClientDisconnected
		default:
		}
	}
	header := r.Header.Clone()
	admitted, err := f.admit(r, header, arrival)
	defer admitted.release() // once the request is answered or its client has disconnected
	if err != nil {
		return f.reject(r, err), nil
	}
	header.Del(httpmsg.DeadlineHeader)
	header.Del("Expect") // net/http has asked the client for the body
	payload := &httpmsg.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: header, Body: received.Body}
	admitted.addContract(payload, r)
	x := exchange.New(admitted.request, arrival.Add(admitted.clientTimeout), payload)
	if received.Client != nil {
		x.Present = received.Client.Present
	}
	f.loop.Open(x)
	select {
	case <-x.Done():
		return answerResponse(r, x.Answer()), nil
	case <-r.Context().Done():
		x.Disconnect()
		return nil, context.Cause(r.Context())
	case <-disconnected:
		x.Disconnect()
		return nil, errClientDisconnected
	}
}

// ClientID identifies the client of a request: by the name that the rules give it, otherwise by its address without the
// port.
func (f *Frontend) ClientID(r *http.Request) string {
	if f.rules != nil && f.rules.InForce() {
		if client := f.rules.Client(ruleFacts(r, time.Now())); client != "" {
			return client
		}
	}
	return clientAddress(r)
}

// checkFramingAndMethod rejects a request whose end is ambiguous, whose body is too long or whose method is not
// accepted, and any request in HTTP/1.0.
//
// A Transfer-Encoding beside a Content-Length makes the end ambiguous: another server might take a part of the body for
// a second request. As net/http drops the Content-Length then, hasLength is true unless there is none for certain. In HTTP/1.0,
// net/http ignores the Transfer-Encoding instead, so the check cannot see whether there is one.
func (f *Frontend) checkFramingAndMethod(r *http.Request, hasLength bool) *statusError {
	switch {
	case len(r.TransferEncoding) > 0 && hasLength:
		return newStatusError(http.StatusLengthRequired, "Content-Length is wanted in place of Transfer-Encoding")
	case !r.ProtoAtLeast(1, 1):
		return newStatusError(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted")
	case r.ContentLength > httpmsg.MaxRequestBody:
		return &statusError{status: http.StatusRequestEntityTooLarge, err: errBodyTooLarge}
	case !f.allowsMethod(r.Method):
		return newStatusError(http.StatusMethodNotAllowed, "GET or PUT is wanted")
	}
	return nil
}

// allowsMethod reports whether requests with a method are accepted. Contracts may describe operations with any method
// of an HTTP API; without contracts, clients read with GET and write with PUT.
func (f *Frontend) allowsMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodPut:
		return true
	case http.MethodConnect, http.MethodTrace, http.MethodOptions:
		return false
	}
	return f.contracts.InForce()
}
