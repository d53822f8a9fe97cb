// Package iscsiinitiator sends attempts to storage nodes that speak iSCSI. It is an initiator as defined in RFC 7143,
// with one session per node and one connection per session, on which many commands may be outstanding at once.
//
// An Initiator owns the sessions, and the goroutine that runs a session owns its connection. A command that was sent is
// a task in its session's table. The goroutine that removes the task from the table reports how it ended, so that each
// attempt is reported exactly once.
package iscsiinitiator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"reachpulley/internal/dialer"
	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

// sweepInterval is the time between two sweeps for sessions that were idle for too long.
const sweepInterval = time.Second

// Reasons why a command is not sent.
var (
	errNodeUnavailable = errors.New("not up according to discovery")
	errSessionLimit    = errors.New("session limit reached")
	errSessionEnding   = errors.New("session is ending")
	errWindowFull      = errors.New("command window is full")
)

// Initiator implements [eventloop.Backend]. It owns the sessions, each of which closes its own connection when it ends.
type Initiator struct {
	directory      discovery.EndpointLookup
	dial           dialer.Func
	connectTimeout time.Duration
	idleTimeout    time.Duration // how long a session may have no outstanding command
	name           string        // the iSCSI name of the initiator
	targetName     string        // the iSCSI name of the nodes' target
	isid           uint32        // the random part of the initiator session ID (ISID)
	maxSessions    int
	log            *slog.Logger

	mu       sync.Mutex
	sessions map[string]*session // by node; only those on which commands may start
}

// Options configure an Initiator.
type Options struct {
	Directory   discovery.EndpointLookup
	Allowed     scheduler.Allowed // only ConnectTimeout is used, and half of IdleTimeout
	Initiator   string            // the iSCSI name of the initiator
	Target      string            // the iSCSI name of the nodes' target
	MaxSessions int               // maximum number of sessions
	Dial        dialer.Func       // nil: the real network
	Log         *slog.Logger
}

// New returns an Initiator. The caller also runs its Run method, which closes sessions that were idle for too long.
func New(options Options) *Initiator {
	return &Initiator{
		directory:      options.Directory,
		dial:           dialer.Retry(options.Dial),
		connectTimeout: options.Allowed.ConnectTimeout,
		idleTimeout:    options.Allowed.IdleTimeout / 2,
		name:           options.Initiator,
		targetName:     options.Target,
		isid:           rand.Uint32(),
		maxSessions:    options.MaxSessions,
		log:            options.Log,
		sessions:       map[string]*session{},
	}
}

// Run closes sessions that were idle for too long until ctx ends, and then closes all idle sessions.
func (i *Initiator) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			i.sweep(0)
			return
		case <-ticker.C:
			i.sweep(i.idleTimeout)
		}
	}
}

// Start starts an attempt and returns at once. It calls report exactly once, from another goroutine.
func (i *Initiator) Start(ctx context.Context, attempt eventloop.Attempt, report func(eventloop.Report)) {
	go func() { report(i.attempt(ctx, attempt)) }()
}

// Probe reports at once that the node did not respond: the subset of iSCSI that is in use has no load reports.
func (i *Initiator) Probe(node string, report func(scheduler.ProbeResult)) {
	report(scheduler.ProbeResult{Node: node})
}

// attempt sends an attempt's command and reports how it ended.
func (i *Initiator) attempt(ctx context.Context, attempt eventloop.Attempt) eventloop.Report {
	command, ok := attempt.Exchange.Payload.(*iscsi.Command)
	if !ok {
		err := fmt.Errorf("payload of type %T cannot be sent to an iSCSI node", attempt.Exchange.Payload)
		return i.reportUnsent(ctx, attempt, err)
	}
	s, err := i.session(ctx, attempt.Node)
	if err != nil {
		return i.reportUnsent(ctx, attempt, err)
	}
	if !attempt.Exchange.ClientPresent() || !attempt.MayBegin(time.Now()) {
		return failure(scheduler.NotSent)
	}
	t := &task{command: command, done: make(chan eventloop.Report, 1)}
	tag, err := s.start(ctx, t)
	if err != nil {
		return i.reportUnsent(ctx, attempt, err)
	}
	select {
	case report := <-t.done:
		return report
	case <-ctx.Done():
	}
	return s.abort(ctx, t, tag)
}

// reportUnsent logs why nothing of an attempt was sent and returns the report on the attempt.
func (i *Initiator) reportUnsent(ctx context.Context, attempt eventloop.Attempt, err error) eventloop.Report {
	i.log.Debug("attempt failed", "id", attempt.Exchange.Request.ID, "attempt", attempt.Number,
		"node", attempt.Node, "err", err)
	result := scheduler.ConnectFailed
	if errors.Is(err, errWindowFull) || errors.Is(err, errSessionLimit) { // not a fault of the node
		result = scheduler.Overloaded
	}
	if errors.Is(err, dialer.ErrNoResources) {
		result = scheduler.NotSent
	}
	return failure(eventloop.ResultAfterCancel(ctx, result))
}

// failure returns the report on an attempt that was not served.
func failure(result scheduler.Result) eventloop.Report {
	return eventloop.Report{Result: result, VolumeUse: -1}
}

// session returns the session with a node once its login has succeeded. If there is none with the node's current
// address, it opens one.
func (i *Initiator) session(ctx context.Context, node string) (*session, error) {
	endpoint := i.directory.Lookup(node)
	if !endpoint.Up {
		return nil, fmt.Errorf("node %q: %w", node, errNodeUnavailable)
	}
	i.mu.Lock()
	s := i.sessions[node]
	if s == nil || s.address != endpoint.Address {
		if len(i.sessions) >= i.maxSessions {
			i.mu.Unlock()
			return nil, fmt.Errorf("node %q: %w: %d sessions are open", node, errSessionLimit, i.maxSessions)
		}
		s = newSession(i, node, endpoint.Address)
		i.sessions[node] = s
		go s.run()
	}
	i.mu.Unlock()
	select {
	case <-s.opened:
		return s, s.openErr
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sweep closes the sessions that have had no outstanding command for idleTimeout.
func (i *Initiator) sweep(idleTimeout time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for node, s := range i.sessions {
		select {
		case <-s.opened:
		default:
			continue // the session is still being opened, which has timeouts of its own
		}
		if s.endIfIdle(idleTimeout) {
			delete(i.sessions, node)
			if s.openErr == nil {
				s.closeConn()
			}
		}
	}
}

// removeSession removes a session on which no command may start any more.
func (i *Initiator) removeSession(s *session) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.sessions[s.node] == s {
		delete(i.sessions, s.node)
	}
}
