// Package httpbackend sends attempts and probes to storage nodes that speak the platform's HTTP/1.1.
//
// A Backend runs each attempt in a goroutine of its own, which takes a connection from the pool, writes one request,
// reads the response in full, and then returns the connection to the pool or closes it. The package never resends a
// request on its own, as only the scheduler decides on retries. Responses are read with strict bounds on size and time,
// and a connection is reused only if not a single byte followed the last response on it.
package httpbackend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"reachpulley/internal/dialer"
	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

const (
	sweepInterval = time.Second            // between two sweeps of the pool for connections that were idle for too long
	probeTimeout  = 250 * time.Millisecond // for a whole probe, including the connect
)

// errNodeUnavailable means that discovery does not list the node as up.
var errNodeUnavailable = errors.New("not up according to discovery")

// errAttemptExpired means that an attempt must not be sent any more: its client disconnected, its deadline passed, or
// the time is over within which nodes deduplicate retries.
var errAttemptExpired = errors.New("attempt expired before its request was sent")

// errClientAbsent means that an attempt must not be sent: its client has disconnected, or may have done so behind input
// that is not read yet.
var errClientAbsent = errors.New("client is not certain to wait for the answer")

// Backend implements [eventloop.Backend]. The goroutine of an attempt owns its connection from pool.get until pool.put
// or pool.discard.
type Backend struct {
	pool      *pool
	content   contentMemory
	directory discovery.EndpointLookup
	observe   func(Observation) // nil: responses are not observed
	log       *slog.Logger
}

// Options configure a Backend.
type Options struct {
	Directory           discovery.EndpointLookup
	Allowed             scheduler.Allowed // only ConnectTimeout is used, and half of IdleTimeout
	MaxConnections      int               // maximum number of connections to nodes
	LargeResponseMemory int64             // in bytes, for large responses in use; at least one always fits
	// MediumResponseMemory is the same for responses from smallContent to mediumContent bytes.
	MediumResponseMemory int64
	Dial                 dialer.Func       // nil: the real network
	Observe              func(Observation) // called with each response; must not block. nil: no calls
	Log                  *slog.Logger
}

// Observation is a node's response to an attempt. The receiver must not modify anything that it refers to.
type Observation struct {
	Exchange *exchange.Exchange
	Request  *httpmsg.Request
	Node     string
	Number   int // number of the attempt within its request; the first is 0
	Result   scheduler.Result
	Status   int
	Header   http.Header
	Body     []byte
	Duration time.Duration // from before the request was sent until the response was read
}

// New returns a Backend. The caller also runs its Run method, which closes connections that were idle for too long.
func New(options Options) *Backend {
	return &Backend{
		pool: newPool(poolOptions{
			dial:           dialer.Retry(options.Dial),
			connectTimeout: options.Allowed.ConnectTimeout,
			idleTimeout:    options.Allowed.IdleTimeout / 2,
			maxConnections: options.MaxConnections,
			log:            options.Log,
		}),
		content: contentMemory{
			medium: newResponseMemory(max(options.MediumResponseMemory, mediumContent)),
			large:  newResponseMemory(max(options.LargeResponseMemory, httpmsg.MaxResponseBody)),
		},
		directory: options.Directory,
		observe:   options.Observe,
		log:       options.Log,
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

// connect returns a connection to a node that accepts new work. It looks the node up again once the connection is
// established: the node may have begun to drain during a slow dial, and it must not receive a request that begins after
// that.
func (b *Backend) connect(ctx context.Context, node string) (*conn, error) {
	endpoint := b.directory.Lookup(node)
	if !endpoint.Up {
		return nil, fmt.Errorf("node %q: %w", node, errNodeUnavailable)
	}
	c, err := b.pool.get(ctx, node, endpoint.Address)
	if err != nil {
		return nil, err
	}
	if !b.directory.Lookup(node).Up {
		b.pool.put(c)
		return nil, fmt.Errorf("node %q: %w by the time a connection was available", node, errNodeUnavailable)
	}
	return c, nil
}
