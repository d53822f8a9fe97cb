// Package iscsiinitiator carries attempts to storage nodes that speak iSCSI: it is an initiator after RFC 7143 with
// one session a node, on which many commands are out at a time.
package iscsiinitiator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

const sweepTime = time.Second

// Initiator is a eventloop.Backend. It owns the sessions; each gives its connection back where its run ends.
type Initiator struct {
	directory discovery.EndpointLookup
	dial      dialFunc
	within    time.Duration
	idleFor   time.Duration
	initiator string
	target    string
	isid      uint32
	most      int
	log       *slog.Logger

	mu       sync.Mutex
	sessions map[string]*session // by node; those on which commands may start
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are what a Back needs.
type Options struct {
	Directory discovery.EndpointLookup
	Allowed   scheduler.Allowed // with its times
	Initiator string            // its name
	Target    string            // the name of the nodes' target
	Sockets   int               // sessions that it may hold
	Dial      dialFunc
	Log       *slog.Logger
}

// New makes a Back. Run must be called for it to drop idle sessions.
func New(o Options) *Initiator {
	b := &Initiator{directory: o.Directory, dial: o.Dial, within: o.Allowed.ConnectTimeout, idleFor: o.Allowed.IdleTimeout / 2,
		initiator: o.Initiator, target: o.Target, isid: rand.Uint32(), most: o.Sockets, log: o.Log,
		sessions: map[string]*session{}}
	if b.dial == nil {
		b.dial = (&net.Dialer{}).DialContext
	}
	return b
}

// Run drops idle sessions until ctx ends, and then all.
func (b *Initiator) Run(ctx context.Context) {
	tick := time.NewTicker(sweepTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			b.sweep(0)
			return
		case <-tick.C:
			b.sweep(b.idleFor)
		}
	}
}

// sweep ends the sessions that have had nothing out for so long.
func (b *Initiator) sweep(idleFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for node, s := range b.sessions {
		select {
		case <-s.up:
		default:
			continue // still in its login, which ends by itself
		}
		s.mu.Lock()
		idle := len(s.calls) == 0 && time.Since(s.idleSince) >= idleFor
		s.retired = s.retired || idle
		s.mu.Unlock()
		if idle {
			delete(b.sessions, node)
			if s.err == nil {
				s.hangUp()
			}
		}
	}
}

// drop forgets a session on which no command may start.
func (b *Initiator) drop(s *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sessions[s.node] == s {
		delete(b.sessions, s.node)
	}
}

var errBudget = errors.New("no socket is left in the budget")

// session gives the session with a node once it is up; the first to ask opens it.
func (b *Initiator) session(ctx context.Context, node string) (*session, error) {
	place := b.directory.Lookup(node)
	if !place.Up {
		return nil, errDrains
	}
	b.mu.Lock()
	s := b.sessions[node]
	if s == nil || s.address != place.Address {
		if len(b.sessions) >= b.most {
			b.mu.Unlock()
			return nil, errBudget
		}
		s = newSession(b, node, place.Address)
		b.sessions[node] = s
		go s.run()
	}
	b.mu.Unlock()
	select {
	case <-s.up:
		return s, s.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Start begins an attempt.
func (b *Initiator) Start(ctx context.Context, a eventloop.Attempt, report func(eventloop.Report)) {
	go func() { report(b.attempt(ctx, a)) }()
}

func (b *Initiator) attempt(ctx context.Context, a eventloop.Attempt) eventloop.Report {
	command, ok := a.Exchange.Payload.(*iscsi.Command)
	if !ok {
		return b.unsent(ctx, a, fmt.Errorf("payload %T is not for a node that speaks iSCSI", a.Exchange.Payload))
	}
	s, err := b.session(ctx, a.Node)
	if err != nil {
		return b.unsent(ctx, a, err)
	}
	if !a.MayBegin(time.Now()) {
		return eventloop.Report{Result: scheduler.NotSent, VolumeUse: -1}
	}
	c := &call{command: command, done: make(chan eventloop.Report, 1)}
	tag, err := s.start(ctx, c)
	if err != nil {
		return b.unsent(ctx, a, err)
	}
	select {
	case r := <-c.done:
		return r
	case <-ctx.Done():
	}
	if !s.abort(tag) { // its end has come in the same moment
		return <-c.done
	}
	return eventloop.Report{Result: eventloop.ResultAfterCancel(ctx, scheduler.Canceled), VolumeUse: -1}
}

// unsent reports on an attempt of which nothing went out.
func (b *Initiator) unsent(ctx context.Context, a eventloop.Attempt, err error) eventloop.Report {
	b.log.Debug("attempt", "id", a.Exchange.Request.ID, "n", a.Number, "node", a.Node, "err", err)
	result := scheduler.ConnectFailed
	if errors.Is(err, errWindow) || errors.Is(err, errBudget) { // the node is well
		result = scheduler.Overloaded
	}
	return eventloop.Report{Result: eventloop.ResultAfterCancel(ctx, result), VolumeUse: -1}
}

// Probe tells nothing: the subset has no load reports.
func (b *Initiator) Probe(node string, report func(scheduler.ProbeResult)) {
	report(scheduler.ProbeResult{Node: node})
}
