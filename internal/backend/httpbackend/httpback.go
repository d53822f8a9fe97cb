// Package httpbackend carries attempts and probes to storage nodes that speak the platform's HTTP.
package httpbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/sync/semaphore"

	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

const (
	sweepTime = time.Second
	probeTime = 250 * time.Millisecond
)

// Backend is a eventloop.Backend. Each attempt is one goroutine that owns its connection from the pool's get to its put
// or discard.
type Backend struct {
	pool      *pool
	room      *semaphore.Weighted // bytes of long answers that are being read
	directory discovery.EndpointLookup
	observe   func(Observation)
	log       *slog.Logger
}

// Options are what a Back needs.
type Options struct {
	Directory discovery.EndpointLookup
	Allowed   scheduler.Allowed // with its times
	Sockets   int               // connections to nodes that it may hold
	Memory    int64             // bytes that long answers may take while they are read; one may always
	Dial      dialFunc          // nil: the network
	Observe   func(Observation) // is told of each answer; it must not block. nil: nobody is
	Log       *slog.Logger
}

// New makes a Back. Run must be called for it to drop idle connections.
func New(o Options) *Backend {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return &Backend{directory: o.Directory, log: o.Log, observe: o.Observe,
		room: semaphore.NewWeighted(max(o.Memory, httpmsg.MaxResponseBody)),
		pool: newPool(o.Dial, o.Allowed.ConnectTimeout, o.Allowed.IdleTimeout/2, o.Sockets)}
}

// Run drops connections that are idle for long until ctx ends, and then all that are idle.
func (b *Backend) Run(ctx context.Context) {
	tick := time.NewTicker(sweepTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			b.pool.end()
			return
		case <-tick.C:
			b.pool.sweep()
		}
	}
}

// Start begins an attempt.
func (b *Backend) Start(ctx context.Context, a eventloop.Attempt, report func(eventloop.Report)) {
	go func() {
		r, err := b.attempt(ctx, a)
		if err != nil {
			b.log.Debug("attempt", "id", a.Exchange.Request.ID, "n", a.Number, "node", a.Node, "err", err)
		}
		report(r)
	}()
}

func (b *Backend) attempt(ctx context.Context, a eventloop.Attempt) (eventloop.Report, error) {
	unrun := eventloop.Report{Result: scheduler.ConnectFailed, VolumeUse: -1}
	payload, ok := a.Exchange.Payload.(*httpmsg.Request)
	if !ok {
		return unrun, fmt.Errorf("payload %T is not for a node that speaks HTTP", a.Exchange.Payload)
	}
	c, err := b.connect(ctx, a.Node)
	if err != nil {
		if errors.Is(err, errBudget) || ctx.Err() != nil { // that tells nothing of the node
			unrun.Result = scheduler.NotSent
		}
		return unrun, err
	}
	began := time.Now()
	if !a.MayBegin(began) {
		b.pool.put(c)
		unrun.Result = scheduler.NotSent
		return unrun, errors.New("it may not begin any more")
	}
	header := payload.Header.Clone()
	header.Set(httpmsg.DeadlineHeader, httpmsg.FormatDeadline(a.Deadline.Sub(began)))
	target := *payload.URL
	target.Scheme, target.Host = "http", c.address
	req := &http.Request{Method: payload.Method, URL: &target, Host: payload.Host, Header: header, Body: http.NoBody,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if len(payload.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(payload.Body)), int64(len(payload.Body))
	}
	resp, body, written, err := b.roundTrip(ctx, c, req)
	if err != nil {
		// The last byte decides: before it the node cannot have begun, after it nobody knows.
		result := scheduler.ConnectionReset
		if !written {
			result = scheduler.ConnectFailed
		}
		return eventloop.Report{Result: eventloop.ResultAfterCancel(ctx, result), VolumeUse: -1}, err
	}
	r := answer(resp, body, payload.Statuses)
	r.ServiceTime = time.Since(began)
	if b.observe != nil {
		b.observe(Observation{Exchange: a.Exchange, Request: payload, Node: a.Node, Number: a.Number, Result: r.Result, Status: resp.StatusCode,
			Header: resp.Header, Body: body, Duration: r.ServiceTime})
	}
	return r, nil
}

// connect gives a connection to a node that takes new work. The phase is looked up again once the connection is
// up: a slow dial may outlast the notice of a drain, and a send counts from its first byte.
func (b *Backend) connect(ctx context.Context, node string) (*conn, error) {
	place := b.directory.Lookup(node)
	if !place.Up {
		return nil, fmt.Errorf("node %s takes no new work", node)
	}
	c, err := b.pool.get(ctx, node, place.Address)
	if err != nil {
		return nil, err
	}
	if !b.directory.Lookup(node).Up {
		b.pool.put(c)
		return nil, fmt.Errorf("node %s drains since its connection was asked for", node)
	}
	return c, nil
}

// roundTrip sends a request and reads the answer whole. It gives the connection back; when ctx ends first the
// connection is closed, which tells the node. Written tells whether the request's last byte went out.
func (b *Backend) roundTrip(ctx context.Context, c *conn, req *http.Request) (
	resp *http.Response, body []byte, written bool, err error) {
	release := context.AfterFunc(ctx, func() { c.Close() })
	var text bytes.Buffer
	if err = req.Write(&text); err == nil {
		_, err = c.Write(text.Bytes())
		written = err == nil
	}
	if written {
		resp, body, err = c.readAnswer(ctx, req, b.room)
	}
	if !release() || err != nil || resp.Close {
		b.pool.discard(c)
	} else {
		b.pool.put(c)
	}
	return resp, body, written, err
}

// Observation is what a node answered to an attempt. Nothing of it may be changed.
type Observation struct {
	Exchange *exchange.Exchange
	Request  *httpmsg.Request
	Node     string
	Number   int // of the attempt
	Result   scheduler.Result
	Status   int
	Header   http.Header
	Body     []byte
	Duration time.Duration
}

// answer reads what a node said, as its description has it.
func answer(resp *http.Response, body []byte, described httpmsg.StatusInterpreter) eventloop.Report {
	r := eventloop.Report{
		Result: scheduler.Errored, VolumeUse: httpmsg.HeaderNumber(resp.Header, httpmsg.UsedHeader, -100) / 100,
		OtherUnits: httpmsg.HeaderNumber(resp.Header, httpmsg.OthersHeader, 0),
		Load:       parseLoad([]byte(resp.Header.Get(httpmsg.LoadHeader))),
	}
	reading := httpmsg.Undescribed
	if described != nil {
		reading = described.StatusMeaning(resp.StatusCode)
	}
	switch reading {
	case httpmsg.FinalAnswer:
		r.Result, r.Reply = scheduler.Served, &httpmsg.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}
		return r
	case httpmsg.NeverRan:
		r.Result = scheduler.Overloaded
		return r
	case httpmsg.MayHaveRun:
		return r
	}
	switch resp.StatusCode {
	case http.StatusOK:
		r.Result, r.Reply = scheduler.Served, &httpmsg.Reply{Header: resp.Header, Body: body}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(httpmsg.NotRunHeader) == "1" { // without it the work may have begun
			r.Result = scheduler.Overloaded
		}
	}
	return r
}

// Probe asks a node for its load.
func (b *Backend) Probe(node string, report func(scheduler.ProbeResult)) {
	go func() {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), probeTime)
		defer cancel()
		load, err := b.probe(ctx, node)
		report(scheduler.ProbeResult{Node: node, Served: err == nil, Latency: time.Since(began), Load: load})
	}()
}

func (b *Backend) probe(ctx context.Context, node string) (*scheduler.Load, error) {
	c, err := b.connect(ctx, node)
	if err != nil {
		return nil, err
	}
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: c.address, Path: httpmsg.LoadPath},
		Header: http.Header{}, Body: http.NoBody, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	resp, body, _, err := b.roundTrip(ctx, c, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("probe of node %s: status %d", node, resp.StatusCode)
	}
	return parseLoad(body), nil
}

// parseLoad reads a load report; nil where there is none that can be read, and below zero what it does not tell.
func parseLoad(text []byte) *scheduler.Load {
	report := struct {
		InFlight *float64 `json:"inflight"`
		Queue    *float64 `json:"queue"`
		Util     *float64 `json:"util"`
	}{}
	if len(text) == 0 || json.Unmarshal(text, &report) != nil {
		return nil
	}
	l := &scheduler.Load{InFlight: -1, Queued: -1, Busy: -1}
	for into, x := range map[*float64]*float64{&l.InFlight: report.InFlight, &l.Queued: report.Queue, &l.Busy: report.Util} {
		switch {
		case x == nil:
		case !(*x >= 0 && *x <= mostFigure):
			return nil // what is nonsense in part is not to be trusted in the rest
		default:
			*into = *x
		}
	}
	return l
}

// mostFigure is the most that a figure of a load report may be.
const mostFigure = 1e9
