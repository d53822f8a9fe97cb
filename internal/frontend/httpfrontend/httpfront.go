// Package httpfrontend is the gateway's front for clients that speak the platform's HTTP.
package httpfrontend

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/rules/engine"
	"reachpulley/scheduler"
)

// Loop decides on exchanges.
type Core interface {
	Open(*exchange.Exchange)
}

// Frontend serves clients: ReverseProxy does the HTTP, and its RoundTripper turns each request into an exchange.
type Frontend struct {
	core    Core
	set     scheduler.Settings
	classes map[string]int
	plans   map[string]int
	rules   *engine.Engine
	newID   func() string

	contracts *contracts.Registry
	plan      int // of requests of which nothing tells it; -1: such are turned away
	proxy     *httputil.ReverseProxy
	leaving   atomic.Bool
	stopped   atomic.Pointer[time.Time] // when the gateway ceased to take requests; nil: it takes them

	ready, faulty, limited atomic.Int64 // what never became a request of the core
}

// Options are what a Front is made of.
type Options struct {
	Settings scheduler.Settings
	Loop     Core
	Rules    *engine.Engine // nil: none
	NewID    func() string  // for requests that bear no id, where rules take them
	Log      *slog.Logger

	Contracts *contracts.Registry // nil: none
	Plan      string              // of described requests of which nothing tells it; empty: such are turned away
}

// New makes a Front.
func New(o Options) *Frontend {
	settings, log := o.Settings, o.Log
	f := &Frontend{core: o.Loop, set: settings, rules: o.Rules, newID: o.NewID, classes: map[string]int{}, plans: map[string]int{}}
	f.contracts, f.plan = o.Contracts, slices.IndexFunc(settings.Plans, func(p scheduler.Plan) bool { return p.Name == o.Plan })
	for i, c := range settings.Classes {
		f.classes[c.Name] = i
	}
	for i, p := range settings.Plans {
		f.plans[p.Name] = i
	}
	f.proxy = &httputil.ReverseProxy{
		Rewrite: func(pr *httputil.ProxyRequest) {
			// ReverseProxy drops a query that it cannot parse and what it takes for a proxy's headers; the
			// platform wants all of it passed on.
			pr.Out.URL.RawQuery = pr.In.URL.RawQuery
			pr.Out.Host = pr.In.Host
		},
		Transport:  (*transport)(f),
		BufferPool: &buffers{},
		ModifyResponse: func(resp *http.Response) error {
			c := clientBehind(resp.Request)
			last := c != nil && c.home.crowded(c, resp.StatusCode == http.StatusOK) || f.leaving.Load() // it may have been taken before that
			if last && (c == nil || c.rests()) {                                                        // a request that waits behind this one is owed an answer, too
				resp.Header.Set("Connection", "close")
			}
			return nil
		},
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			w.WriteHeader(http.StatusBadGateway)
		},
	}
	return f
}

// buffers lends ReverseProxy what it copies answers with; it would make 32 KB anew for each.
type buffers struct{ sync.Pool }

const bufferSize = 8 << 10

// Get lends a buffer.
func (b *buffers) Get() []byte {
	if held, ok := b.Pool.Get().(*[bufferSize]byte); ok {
		return held[:]
	}
	return make([]byte, bufferSize)
}

// Put takes a buffer back.
func (b *buffers) Put(held []byte) { b.Pool.Put((*[bufferSize]byte)(held)) }

// BeginDrain makes every answer from now on the last of its connection.
func (f *Frontend) BeginDrain() { f.leaving.Store(true) }

// ServeHTTP serves one request: it takes it whole, or says at once why not and lets go of its connection, on which
// nothing more can be told apart.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == httpmsg.ReadyPath {
		f.ready.Add(1)
		if c := clientBehind(r); c != nil && c.home.full() && c.rests() {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	status, err := f.takeable(r)
	if err == nil {
		status, err = takeBody(r)
	}
	if err != nil {
		f.faulty.Add(1)
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), status)
		return
	}
	// The request is in. From here the connection is read only to hear that the client leaves, however late.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	if c := clientBehind(r); c != nil {
		if !c.enterStage(open) {
			panic(http.ErrAbortHandler) // it was closed, so nobody may get to see the request
		}
		if stopped := f.stopped.Load(); stopped != nil && c.arrival().After(*stopped) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	f.proxy.ServeHTTP(w, r)
}

// takeable tells whether it is certain where a request ends. The server forgets a Content-Length that stands beside a
// Transfer-Encoding, so that it cannot be seen here whether a part of the body is a request to others; and under
// HTTP/1.0 it forgets the Transfer-Encoding.
func (f *Frontend) takeable(r *http.Request) (status int, err error) {
	switch {
	case len(r.TransferEncoding) > 0:
		return http.StatusLengthRequired, errors.New("Content-Length is wanted in place of Transfer-Encoding")
	case !r.ProtoAtLeast(1, 1):
		return http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 is wanted")
	case r.ContentLength > httpmsg.MaxRequestBody:
		return http.StatusRequestEntityTooLarge, fmt.Errorf("the body is longer than %d bytes", httpmsg.MaxRequestBody)
	case f.contracts.InForce() && r.Method != http.MethodConnect && r.Method != http.MethodTrace && r.Method != http.MethodOptions:
	case r.Method != http.MethodGet && r.Method != http.MethodPut:
		return http.StatusMethodNotAllowed, errors.New("GET or PUT is wanted")
	}
	return 0, nil
}

// takeBody reads a request's body whole.
func takeBody(r *http.Request) (status int, err error) {
	if r.ContentLength <= 0 {
		r.Body = http.NoBody
		return 0, nil
	}
	body, err := io.ReadAll(r.Body)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return http.StatusRequestTimeout, errors.New("the body did not come in time")
	}
	if err != nil {
		return http.StatusBadRequest, fmt.Errorf("the body: %w", err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return 0, nil
}

// Carry answers a request that another front has read whole: by the same checks, rules and core as its own. Its body has
// been read by then, and its context ends when its client leaves.
func (f *Frontend) Carry(r *http.Request) *http.Response {
	if r.URL.Path == httpmsg.ReadyPath {
		return respond(r, http.StatusOK, nil, nil)
	}
	if status, err := f.takeable(r); err != nil {
		return fault(r, status, err)
	}
	resp, err := (*transport)(f).RoundTrip(r)
	if err != nil {
		return respond(r, http.StatusBadGateway, nil, nil)
	}
	return resp
}

// transport is the Front as the proxy's http.RoundTripper.
type transport Frontend

// errLeft tells that a client has left before its answer.
var errLeft = errors.New("the client has left")

// RoundTrip carries a request through the core.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	taken, gone := time.Now(), (<-chan struct{})(nil)
	if c := clientBehind(r); c != nil {
		taken, gone = c.arrival(), c.gone // it may have waited behind others, and its client may have left meanwhile
		select {
		case <-gone:
			return nil, errLeft
		default:
		}
	}
	header := r.Header.Clone()
	request, patience, held, err := t.take(r, header, taken)
	defer held.End() // once the request is answered, or its client has left
	if err != nil {
		resp := turnAway(r, err)
		if resp.StatusCode == http.StatusTooManyRequests {
			t.limited.Add(1)
		} else {
			t.faulty.Add(1)
		}
		return resp, nil
	}
	var body []byte
	if r.Body != nil { // it is in memory by now
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
	}
	header.Del(httpmsg.DeadlineHeader)
	payload := &httpmsg.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: header, Body: body}
	held.describe(payload, r)
	x := exchange.New(request, taken.Add(patience), payload)
	t.core.Open(x)
	select {
	case <-x.Done():
		return write(r, x.Answer()), nil
	case <-r.Context().Done():
		x.Disconnect()
		return nil, context.Cause(r.Context())
	case <-gone:
		x.Disconnect()
		return nil, errLeft
	}
}

// write words the final answer.
func write(r *http.Request, a exchange.Answer) *http.Response {
	switch a.Verdict {
	case exchange.Served:
		if reply, ok := a.Reply.(*httpmsg.Reply); ok {
			return respond(r, cmp.Or(reply.Status, http.StatusOK), reply.Header, reply.Body)
		}
	case exchange.Rejected:
		header := http.Header{}
		if a.RetryAfter > 0 {
			header.Set("Retry-After", httpmsg.FormatRetryAfter(a.RetryAfter))
		}
		return respond(r, http.StatusServiceUnavailable, header, nil)
	}
	return respond(r, http.StatusBadGateway, nil, nil)
}

// turnAway words why a request is not taken.
func turnAway(r *http.Request, err error) *http.Response {
	var refusal engine.LimitError
	var limited contracts.RateLimitedError
	after := time.Duration(0)
	switch {
	case errors.As(err, &refusal):
		after = refusal.RetryAfter
	case errors.As(err, &limited):
		after = limited.RetryAfter
	case errors.Is(err, contracts.ErrUndescribed):
		return fault(r, http.StatusNotFound, err)
	default:
		return fault(r, http.StatusBadRequest, err)
	}
	resp := fault(r, http.StatusTooManyRequests, err)
	// Rounded up: whoever comes back when told to is taken.
	resp.Header.Set("Retry-After", httpmsg.FormatRetryAfter(after.Truncate(time.Millisecond)+time.Millisecond))
	return resp
}

// fault tells a client what is wrong with its request.
func fault(r *http.Request, status int, err error) *http.Response {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	return respond(r, status, header, []byte(err.Error()+"\n"))
}

func respond(r *http.Request, status int, header http.Header, body []byte) *http.Response {
	h := http.Header{}
	if header != nil {
		h = header.Clone()
	}
	h.Del("Content-Length") // it is set anew
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: r}
}
