// Package httpfront is the gateway's front for clients that speak the platform's HTTP.
package httpfront

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync/atomic"
	"time"

	"reachpulley/decide"
	"reachpulley/internal/exchange"
	"reachpulley/internal/httpmsg"
)

// bodyGrace is how long after a client's own deadline its request may still come in.
const bodyGrace = time.Second

// Core decides on exchanges.
type Core interface {
	Open(*exchange.Exchange)
}

// Front serves clients: ReverseProxy does the HTTP, and its RoundTripper turns each request into an exchange.
type Front struct {
	core    Core
	classes map[string]int
	plans   map[string]int
	proxy   *httputil.ReverseProxy
	leaving atomic.Bool
}

// New makes a Front.
func New(settings decide.Settings, core Core, log *slog.Logger) *Front {
	f := &Front{core: core, classes: map[string]int{}, plans: map[string]int{}}
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
		Transport: (*transport)(f),
		ModifyResponse: func(resp *http.Response) error {
			if f.leaving.Load() { // it may have been taken before that
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

// Retire makes every answer from now on the last of its connection.
func (f *Front) Retire() { f.leaving.Store(true) }

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == httpmsg.ReadyPath {
		w.WriteHeader(http.StatusOK)
		return
	}
	if patience, err := httpmsg.ParseDeadline(r.Header.Get(httpmsg.DeadlineHeader)); err == nil {
		// A client that never sends the rest of its body may not hold a connection for longer than it would wait.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(patience + bodyGrace))
	}
	f.proxy.ServeHTTP(w, r)
}

// transport is the Front as the proxy's http.RoundTripper.
type transport Front

// RoundTrip carries a request through the core.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	taken := time.Now()
	request, patience, err := t.facts(r)
	if err != nil {
		return fault(r, http.StatusBadRequest, err), nil
	}
	body, err := readBody(r)
	if errors.Is(err, errTooLong) {
		return fault(r, http.StatusRequestEntityTooLarge, err), nil
	}
	if err != nil {
		return fault(r, http.StatusBadRequest, err), nil
	}
	header := r.Header.Clone()
	header.Del(httpmsg.DeadlineHeader)
	x := exchange.New(request, taken.Add(patience),
		&httpmsg.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: header, Body: body})
	t.core.Open(x)
	select {
	case <-x.Done():
		return write(r, x.Answer()), nil
	case <-r.Context().Done():
		x.Leave()
		return nil, context.Cause(r.Context())
	}
}

// facts reads what the decisions need to know of a request.
func (t *transport) facts(r *http.Request) (q decide.Request, patience time.Duration, err error) {
	if q.ID = r.Header.Get(httpmsg.IDHeader); q.ID == "" {
		return q, 0, fmt.Errorf("%s is missing", httpmsg.IDHeader)
	}
	var ok bool
	if q.Class, ok = t.classes[r.Header.Get(httpmsg.ClassHeader)]; !ok {
		return q, 0, fmt.Errorf("%s: unknown class %q", httpmsg.ClassHeader, r.Header.Get(httpmsg.ClassHeader))
	}
	if q.Plan, ok = t.plans[r.Header.Get(httpmsg.PlanHeader)]; !ok {
		return q, 0, fmt.Errorf("%s: unknown plan %q", httpmsg.PlanHeader, r.Header.Get(httpmsg.PlanHeader))
	}
	if q.Volume, q.Key, ok = splitPath(r.URL.Path); !ok {
		return q, 0, errors.New("path: want a volume and a piece of data, 16 hex digits each")
	}
	if patience, err = httpmsg.ParseDeadline(r.Header.Get(httpmsg.DeadlineHeader)); err != nil {
		return q, 0, err
	}
	q.Units, q.Shard, q.Hosts, err = httpmsg.ParsePlacement(r.Header.Get(httpmsg.PlacementHeader))
	return q, patience, err
}

// splitPath takes the volume and the piece of data from the end of a path.
func splitPath(path string) (volume, key string, ok bool) {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return "", "", false
	}
	volume, key = parts[len(parts)-2], parts[len(parts)-1]
	return volume, key, isID(volume) && isID(key)
}

func isID(text string) bool {
	return len(text) == 16 && strings.Trim(text, "0123456789abcdefABCDEF") == ""
}

var errTooLong = fmt.Errorf("the body is longer than %d bytes", httpmsg.MostBody)

func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > httpmsg.MostBody {
		return nil, errTooLong
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, httpmsg.MostBody+1))
	if err == nil && len(body) > httpmsg.MostBody {
		err = errTooLong
	}
	return body, err
}

// write words the final answer.
func write(r *http.Request, a exchange.Answer) *http.Response {
	switch a.Verdict {
	case exchange.Served:
		if reply, ok := a.Reply.(*httpmsg.Reply); ok {
			return respond(r, http.StatusOK, reply.Header, reply.Body)
		}
	case exchange.Refused:
		header := http.Header{}
		if a.RetryAfter > 0 {
			header.Set("Retry-After", httpmsg.FormatRetryAfter(a.RetryAfter))
		}
		return respond(r, http.StatusServiceUnavailable, header, nil)
	}
	return respond(r, http.StatusBadGateway, nil, nil)
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
