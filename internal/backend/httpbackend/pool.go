package httpbackend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"sync"
	"time"

	"reachpulley/internal/dialer"
)

const (
	// reuseDelay is the least time between a response and the next request on the same connection. Responses carry no
	// id, and a node may write a second response some milliseconds after the first, as long as it has received nothing
	// further. One that arrives within the delay is unsolicited, however far away the node is.
	reuseDelay = 50 * time.Millisecond
	// reuseBanTime is how long no connection to a node is reused after the node sent unsolicited data: the next such
	// data may arrive later than reuseDelay.
	reuseBanTime = time.Minute
)

// errNoConnection means that the socket budget was used up until the connect timeout. It is not a fault of the node.
var errNoConnection = errors.New("no connection became available in time")

// poolOptions configure a pool.
type poolOptions struct {
	dial           dialer.Func
	connectTimeout time.Duration
	idleTimeout    time.Duration // how long a connection may be idle
	maxConnections int           // the socket budget: maximum number of connections to all nodes
	log            *slog.Logger
}

// waiter is a channel that receives one notification when the socket budget may have capacity again. Its buffer holds
// one.
type waiter chan struct{}

// pool owns all connections to nodes and counts them against the socket budget. Only closeLocked returns a connection
// to the budget.
type pool struct {
	poolOptions

	mu            sync.Mutex
	connections   int                  // number of connections that are open or being dialed
	closed        bool                 // connections that are put back are closed
	idle          map[string][]*conn   // by node; the connection that has been idle for longest comes first
	unsolicitedAt map[string]time.Time // by node: when it last sent unsolicited data
	waiters       []waiter             // for capacity in the budget; the first is notified first
}

func newPool(options poolOptions) *pool {
	return &pool{
		poolOptions:   options,
		idle:          map[string][]*conn{},
		unsolicitedAt: map[string]time.Time{},
	}
}

// get returns the most recently used idle connection to a node whose reuse delay has passed, or a new one. If the
// budget is used up and no connection is idle, it waits for capacity for up to the connect timeout.
func (p *pool) get(ctx context.Context, node, address string) (*conn, error) {
	c, err := p.reuseOrReserve(ctx, node, address)
	if c != nil || err != nil {
		return c, err
	}
	return p.dialReserved(ctx, node, address)
}

// reuseOrReserve returns an idle connection, or nil once it has reserved capacity for a new one.
func (p *pool) reuseOrReserve(ctx context.Context, node, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	for {
		for c := p.takeIdle(node); c != nil; c = p.takeIdle(node) {
			if c.endIdleWatch() && c.address == address && time.Since(c.idleSince) < p.idleTimeout {
				return c, nil
			}
			p.discard(c)
		}
		capacityFreed := p.reserve()
		if capacityFreed == nil {
			return nil, nil
		}
		select {
		case <-capacityFreed:
		case <-ctx.Done():
			p.removeWaiter(capacityFreed)
			return nil, fmt.Errorf("node %q: %w", node, errNoConnection)
		}
	}
}

// dialReserved opens a connection for which capacity was reserved. The dial has the full connect timeout, as the node
// is not responsible for the wait for capacity.
func (p *pool) dialReserved(ctx context.Context, node, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	c := &conn{node: node, address: address}
	var err error
	if c.Conn, err = p.dial(ctx, "tcp", address); err != nil {
		p.discard(c)
		return nil, err
	}
	c.reader = bufio.NewReaderSize(c, maxHeadSize)
	return c, nil
}

// takeIdle removes and returns the most recently used of the idle connections to a node whose reuse delay has passed,
// or nil if there is none.
func (p *pool) takeIdle(node string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[node]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; c.reusable() {
			p.idle[node] = append(idle[:i:i], idle[i+1:]...)
			return c
		}
	}
	return nil
}

// watch waits for anything to arrive on an idle connection: unsolicited data or the connection's end. It then closes
// the connection at once. If the connection was taken in the same moment, the taker learns of it from conn.endIdleWatch
// instead.
func (p *pool) watch(c *conn) {
	_, err := c.reader.Peek(1)
	silent := errors.Is(err, os.ErrDeadlineExceeded)
	c.idleWatch <- silent // does not block: the channel has room for the only value
	if silent {
		return
	}
	if err == nil {
		p.banReuse(c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle[c.node] {
		if other == c {
			p.idle[c.node] = append(p.idle[c.node][:i:i], p.idle[c.node][i+1:]...)
			p.discardLocked(c)
			return
		}
	}
}

// banReuse bans the reuse of connections to a node that has sent unsolicited data on one of them.
func (p *pool) banReuse(c *conn) {
	p.log.Warn("unsolicited data from node", "node", c.node, "after_response", time.Since(c.lastResponse).String())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsolicitedAt[c.node] = time.Now()
}

// reserve counts a new connection against the budget and returns nil. If the budget is used up, it closes the
// connection that has been idle for longest. If none is idle, it reserves nothing and returns a waiter for capacity.
func (p *pool) reserve() waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections >= p.maxConnections {
		node, found := p.oldestIdleLocked()
		if !found {
			capacityFreed := make(waiter, 1)
			p.waiters = append(p.waiters, capacityFreed)
			return capacityFreed
		}
		c := p.idle[node][0]
		p.idle[node] = p.idle[node][1:]
		p.closeLocked(c)
	}
	p.connections++
	return nil
}

// oldestIdleLocked returns the node with the connection that has been idle for longest.
func (p *pool) oldestIdleLocked() (node string, found bool) {
	for candidate, idle := range p.idle {
		if len(idle) > 0 && (!found || idle[0].idleSince.Before(p.idle[node][0].idleSince)) {
			node = candidate
			found = true
		}
	}
	return node, found
}

// notifyWaiterLocked notifies the first waiter, which then tries to reserve capacity again.
func (p *pool) notifyWaiterLocked() {
	if len(p.waiters) > 0 {
		p.waiters[0] <- struct{}{} // does not block: a waiter is notified only once
		p.waiters = p.waiters[1:]
	}
}

// removeWaiter ends a wait for capacity. If the waiter has been notified in the same moment, the next one is notified
// instead.
func (p *pool) removeWaiter(w waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			return
		}
	}
	p.notifyWaiterLocked()
}

// put returns a connection to the pool. Its last response must have been read in full, unless no request was sent on
// it. The connection is closed instead if data followed the response, if connections to the node may not be reused at
// present (see reuseBanTime), or if the pool is closed.
func (p *pool) put(c *conn) {
	if c.reader.Buffered() > 0 {
		p.banReuse(c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, banned := p.unsolicitedAt[c.node]; p.closed || banned {
		p.discardLocked(c)
		return
	}
	c.idleSince = time.Now()
	c.idleWatch = make(chan bool, 1)
	p.idle[c.node] = append(p.idle[c.node], c)
	go p.watch(c)
	p.notifyWaiterLocked()
}

// discard closes a connection and returns its place in the budget.
func (p *pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

func (p *pool) discardLocked(c *conn) {
	p.closeLocked(c)
	p.notifyWaiterLocked()
}

func (p *pool) closeLocked(c *conn) {
	if c.Conn != nil { // nil after a failed dial
		c.Close()
	}
	p.connections--
}

// sweep closes connections that were idle for too long, well before the nodes would close them: a request that is sent
// while the node closes the connection would end as a connection reset. It also ends the bans on reuse that are over.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for node, idle := range p.idle {
		for len(idle) > 0 && time.Since(idle[0].idleSince) >= p.idleTimeout {
			p.discardLocked(idle[0])
			idle = idle[1:]
		}
		p.idle[node] = idle
		if len(idle) == 0 {
			delete(p.idle, node)
		}
	}
	maps.DeleteFunc(p.unsolicitedAt, func(_ string, at time.Time) bool { return time.Since(at) >= reuseBanTime })
}

// close closes all idle connections now, and each other connection when it is put back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, idle := range p.idle {
		for _, c := range idle {
			p.discardLocked(c)
		}
	}
	clear(p.idle)
}
