package httpback

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// errBudget tells that the gateway may hold no further connection.
var errBudget = errors.New("no socket is left in the budget")

// conn is one connection to a node. Whoever got it from the pool owns it until put or discard.
type conn struct {
	*http.ClientConn
	wire      *wireConn
	node      string
	address   string
	idleSince time.Time
}

// wireConn remembers whether all that was written to a connection went out.
type wireConn struct {
	net.Conn
	broken atomic.Bool
}

func (w *wireConn) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	if err != nil {
		w.broken.Store(true)
	}
	return n, err
}

type wireKey struct{}

// pool owns every connection to the nodes and counts them against the budget. A connection is given back to the
// budget in one place, discardLocked.
type pool struct {
	transport *http.Transport
	within    time.Duration // for a connection to come up
	idleFor   time.Duration // longest time that a connection is kept idle
	most      int

	mu    sync.Mutex
	count int
	ended bool               // nothing is kept any more
	idle  map[string][]*conn // by node; the longest idle first
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newPool(dial dialFunc, within, idleFor time.Duration, most int) *pool {
	p := &pool{within: within, idleFor: idleFor, most: most, idle: map[string][]*conn{}}
	p.transport = &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			w := &wireConn{Conn: c}
			*ctx.Value(wireKey{}).(**wireConn) = w
			return w, nil
		},
	}
	return p
}

// get gives an idle connection to the node, the one used last, or a new one.
func (p *pool) get(ctx context.Context, node, address string) (*conn, error) {
	if c := p.takeIdle(node, address); c != nil {
		return c, nil
	}
	if !p.reserve() {
		return nil, errBudget
	}
	ctx, cancel := context.WithTimeout(ctx, p.within)
	defer cancel()
	c := &conn{node: node, address: address}
	cc, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, &c.wire), "http", address)
	if err != nil {
		p.discard(c)
		return nil, err
	}
	c.ClientConn = cc
	return c, nil
}

func (p *pool) takeIdle(node, address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle[node]) > 0 {
		last := len(p.idle[node]) - 1
		c := p.idle[node][last]
		p.idle[node] = p.idle[node][:last]
		if c.address == address && c.Err() == nil && time.Since(c.idleSince) < p.idleFor {
			return c
		}
		p.discardLocked(c)
	}
	return nil
}

// reserve counts a new connection. Where the budget is used up, the connection idle for longest makes room.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count >= p.most {
		oldest := ""
		for node, idle := range p.idle {
			if len(idle) > 0 && (oldest == "" || idle[0].idleSince.Before(p.idle[oldest][0].idleSince)) {
				oldest = node
			}
		}
		if oldest == "" {
			return false
		}
		c := p.idle[oldest][0]
		p.idle[oldest] = p.idle[oldest][1:]
		p.discardLocked(c)
	}
	p.count++
	return true
}

// put keeps a connection whose answer was read whole.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || c.Err() != nil {
		p.discardLocked(c)
		return
	}
	c.idleSince = time.Now()
	p.idle[c.node] = append(p.idle[c.node], c)
}

// discard closes a connection and gives its place in the budget back.
func (p *pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

func (p *pool) discardLocked(c *conn) {
	if c.ClientConn != nil { // else it never came up
		c.Close()
	}
	p.count--
}

// sweep closes what has been idle for too long, well before the node would: a request that crosses the node's
// close would end as a reset.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for node, idle := range p.idle {
		for len(idle) > 0 && (time.Since(idle[0].idleSince) >= p.idleFor || idle[0].Err() != nil) {
			p.discardLocked(idle[0])
			idle = idle[1:]
		}
		if p.idle[node] = idle; len(idle) == 0 {
			delete(p.idle, node)
		}
	}
}

// end closes what is idle and keeps nothing from now on.
func (p *pool) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, idle := range p.idle {
		for _, c := range idle {
			p.discardLocked(c)
		}
	}
	clear(p.idle)
}
