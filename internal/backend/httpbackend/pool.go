package httpbackend

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// reuseDelay is the time after a response until the next request is sent on the same connection. A node may write a
	// second response some milliseconds after its first, which would be taken for that of the next request.
	reuseDelay = 5 * time.Millisecond
	// reuseBanTime is the time for which no connection to a node is reused after the node sent unsolicited data: the
	// next such data may arrive later than reuseDelay.
	reuseBanTime = time.Minute
)

// errSocketBudget means that the gateway holds as many connections to nodes as it may.
var errSocketBudget = errors.New("no socket left in the budget")

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// poolOptions configure a pool.
type poolOptions struct {
	dial           dialFunc
	connectTimeout time.Duration
	idleTimeout    time.Duration // maximum age of an idle connection
	maxConnections int           // the socket budget
}

// waiter is notified once when the socket budget may have capacity again. It holds one notification.
type waiter chan struct{}

// pool owns every connection to the nodes and counts them against the socket budget. closeLocked is the only place that
// returns a connection to the budget.
type pool struct {
	poolOptions

	mu            sync.Mutex
	connections   int                  // all that exist or are being dialed
	closed        bool                 // nothing is put back any more
	idle          map[string][]*conn   // by node; the one that was idle for longest comes first
	unsolicitedAt map[string]time.Time // by node: when it last sent unsolicited data
	waiters       []waiter             // for capacity in the budget, first come first served
}

func newPool(options poolOptions) *pool {
	return &pool{
		poolOptions:   options,
		idle:          map[string][]*conn{},
		unsolicitedAt: map[string]time.Time{},
	}
}

// get returns the most recently used idle connection to a node, or a new one. If the budget has no capacity for a new
// one, it waits for capacity for as long as a connect may take.
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
		c, reusableIn := p.takeIdle(node)
		for ; c != nil; c, reusableIn = p.takeIdle(node) {
			if c.endIdleWatch() && c.address == address && time.Since(c.idleSince) < p.idleTimeout {
				return c, nil
			}
			p.discard(c)
		}
		if reusableIn > 0 { // sooner than a new connection would be up
			select {
			case <-time.After(reusableIn):
				continue
			case <-ctx.Done():
				return nil, errSocketBudget
			}
		}
		capacity := p.reserve()
		if capacity == nil {
			return nil, nil
		}
		select {
		case <-capacity:
		case <-ctx.Done():
			p.abandon(capacity)
			return nil, errSocketBudget
		}
	}
}

// dialReserved opens a connection for which capacity was reserved. It has the full connect timeout: the wait for
// capacity was not the node's fault.
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

// takeIdle removes and returns the most recently used connection to a node whose reuse delay has passed. If there is
// none, it returns the time until the next one may be reused, or 0 if nothing is idle.
func (p *pool) takeIdle(node string) (c *conn, reusableIn time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[node]
	for i := len(idle) - 1; i >= 0; i-- {
		if reusableIn = reuseDelay - time.Since(idle[i].idleSince); reusableIn <= 0 {
			c = idle[i]
			p.idle[node] = append(idle[:i:i], idle[i+1:]...)
			return c, 0
		}
	}
	return nil, reusableIn
}

// watch waits for what must not arrive on an idle connection: a second response, noise, or the connection's end. It
// then closes the connection at once, unless somebody has just taken it, who learns of it from conn.endIdleWatch.
func (p *pool) watch(c *conn) {
	_, err := c.reader.Peek(1)
	silent := errors.Is(err, os.ErrDeadlineExceeded)
	c.idleWatch <- silent // never blocks
	if silent {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.unsolicitedAt[c.node] = time.Now()
	}
	for i, other := range p.idle[c.node] {
		if other == c {
			p.idle[c.node] = append(p.idle[c.node][:i:i], p.idle[c.node][i+1:]...)
			p.discardLocked(c)
			return
		}
	}
}

// reserve counts a new connection against the budget. If the budget is used up, it closes the connection that was idle
// for longest; if none is idle, it reserves nothing and returns a waiter for capacity.
func (p *pool) reserve() waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections >= p.maxConnections {
		node, found := p.oldestIdleLocked()
		if !found {
			capacity := make(waiter, 1)
			p.waiters = append(p.waiters, capacity)
			return capacity
		}
		c := p.idle[node][0]
		p.idle[node] = p.idle[node][1:]
		p.closeLocked(c)
	}
	p.connections++
	return nil
}

// oldestIdleLocked returns the node with the connection that was idle for longest.
func (p *pool) oldestIdleLocked() (node string, found bool) {
	for candidate, idle := range p.idle {
		if len(idle) > 0 && (!found || idle[0].idleSince.Before(p.idle[node][0].idleSince)) {
			node = candidate
			found = true
		}
	}
	return node, found
}

// notifyWaiterLocked has the first waiter look for capacity again.
func (p *pool) notifyWaiterLocked() {
	if len(p.waiters) > 0 {
		p.waiters[0] <- struct{}{} // never blocks
		p.waiters = p.waiters[1:]
	}
}

// abandon ends a wait for capacity. A waiter that was notified in the same moment passes the notification on.
func (p *pool) abandon(capacity waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == capacity {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			return
		}
	}
	p.notifyWaiterLocked()
}

// put returns a connection to the pool whose last response was read in full, or on which no request was sent. The
// connection is closed if something follows the response.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.reader.Buffered() > 0 {
		p.unsolicitedAt[c.node] = time.Now()
	}
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

// discard closes a connection and returns it to the budget.
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
	if c.Conn != nil { // else the dial failed
		c.Close()
	}
	p.connections--
}

// sweep closes connections that were idle for too long, well before the nodes would: a request that crosses the node's
// close on the network would end as a connection reset. It also ends reuse bans whose time has passed.
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

// close closes the idle connections, and from now on every connection that is put back.
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
