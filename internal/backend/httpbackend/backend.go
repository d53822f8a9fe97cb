// Package httpbackend sends attempts and probes to storage nodes that speak the platform's HTTP/1.1.
//
// A Backend runs each attempt in a goroutine of its own, which takes a connection from the pool, writes one request,
// reads the response in full and returns or closes the connection. The package never resends a request on its own:
// whether an attempt is retried is the scheduler's decision. Responses are read with strict bounds on size and time,
// and a connection is reused only if it is known to the byte that nothing follows the response on it.
package httpbackend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

const (
	sweepInterval = time.Second            // between two searches for connections that were idle for too long
	probeTimeout  = 250 * time.Millisecond // for a whole probe, the connect included
)

// errNodeUnavailable means that discovery lists the node as one that accepts no new work.
var errNodeUnavailable = errors.New("not accepting new work")

// errAttemptExpired means that an attempt must not be sent any more: its client disconnected, its deadline passed, or
// the window is over in which nodes deduplicate retries.
var errAttemptExpired = errors.New("attempt may no longer begin")

// Backend is an eventloop.Backend. Each attempt is one goroutine that owns its connection from pool.get until pool.put
// or pool.discard.
type Backend struct {
	pool           *pool
	largeResponses *semaphore.Weighted // bytes of large responses that are being read
	directory      discovery.EndpointLookup
	observe        func(Observation)
	log            *slog.Logger
}

// Options configure a Backend.
type Options struct {
	Directory           discovery.EndpointLookup
	Allowed             scheduler.Allowed // for its timeouts
	MaxConnections      int               // maximum number of connections to nodes
	LargeResponseMemory int64             // bytes that large responses may occupy while they are read; one always may
	Dial                dialFunc          // nil: the network
	Observe             func(Observation) // called with each response; must not block. nil: no calls
	Log                 *slog.Logger
}

// Observation is a node's response to an attempt. Its receiver must not change any of it.
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

// New returns a Backend. Its idle connections are closed only while Run is running.
func New(options Options) *Backend {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Backend{
		pool: newPool(poolOptions{
			dial:           dial,
			connectTimeout: options.Allowed.ConnectTimeout,
			idleTimeout:    options.Allowed.IdleTimeout / 2,
			maxConnections: options.MaxConnections,
		}),
		largeResponses: semaphore.NewWeighted(max(options.LargeResponseMemory, httpmsg.MaxResponseBody)),
		directory:      options.Directory,
		observe:        options.Observe,
		log:            options.Log,
	}
}

// Run closes connections that were idle for too long until ctx ends, and then closes all idle connections.
func (b *Backend) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.pool.close()
			return
		case <-ticker.C:
			b.pool.sweep()
		}
	}
}

// Start starts an attempt and returns at once. It calls report exactly once, from another goroutine.
func (b *Backend) Start(ctx context.Context, attempt eventloop.Attempt, report func(eventloop.Report)) {
	go func() {
		result, err := b.attempt(ctx, attempt)
		if err != nil {
			b.log.Debug("attempt failed", "id", attempt.Exchange.Request.ID, "attempt", attempt.Number,
				"node", attempt.Node, "err", err)
		}
		report(result)
	}()
}

// Probe requests a node's load report and returns at once. It calls report exactly once, from another goroutine.
func (b *Backend) Probe(node string, report func(scheduler.ProbeResult)) {
	go func() {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		load, err := b.probe(ctx, node)
		report(scheduler.ProbeResult{
			Node:    node,
			Served:  err == nil,
			Latency: time.Since(began),
			Load:    load,
		})
	}()
}

// connect returns a connection to a node that accepts new work. The directory is consulted again once the connection
// is up: the node may have begun to drain during a slow dial, and what counts is when the request's first byte is sent.
func (b *Backend) connect(ctx context.Context, node string) (*conn, error) {
	endpoint := b.directory.Lookup(node)
	if !endpoint.Up {
		return nil, fmt.Errorf("node %s: %w", node, errNodeUnavailable)
	}
	c, err := b.pool.get(ctx, node, endpoint.Address)
	if err != nil {
		return nil, err
	}
	if !b.directory.Lookup(node).Up {
		b.pool.put(c)
		return nil, fmt.Errorf("node %s: %w since its connection was requested", node, errNodeUnavailable)
	}
	return c, nil
}
