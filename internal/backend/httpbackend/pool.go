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

	"reachpulley/internal/socketpeek"
)

const (
	// settleTime is for how long a connection rests after an answer before the next request goes over it: a second answer, which
	// a node may write some milliseconds after its first, would be taken for that request's.
	settleTime = 5 * time.Millisecond
	// babbleTime is for how long no connection to a node is kept that wrote what it was not asked for: it may take longer next time.
	babbleTime = time.Minute
)

// errBudget tells that the gateway may hold no further connection.
var errBudget = errors.New("no socket is left in the budget")

// conn is one connection to a node. Whoever got it from the pool owns it until put or discard. All that comes over it
// goes through its own reader, so that it is known to the byte whether an answer left anything behind.
type conn struct {
	net.Conn
	r         *bufio.Reader
	within    bool // an answer has begun
	node      string
	address   string
	idleSince time.Time
	quiet     chan bool // while idle: whether nothing had come when the watch over it ended
}

// pool owns every connection to the nodes and counts them against the budget. A connection is given back to the
// budget in one place, closeLocked.
type pool struct {
	dial    dialFunc
	within  time.Duration // for a connection to come up
	idleFor time.Duration // longest time that a connection is kept idle
	most    int

	mu      sync.Mutex
	count   int
	ended   bool               // nothing is kept any more
	idle    map[string][]*conn // by node; the longest idle first
	babbled map[string]time.Time
	waiting []chan bool // those for whom the budget had no room, in turn; one hears when there may be some
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newPool(dial dialFunc, within, idleFor time.Duration, most int) *pool {
	return &pool{dial: dial, within: within, idleFor: idleFor, most: most, idle: map[string][]*conn{}, babbled: map[string]time.Time{}}
}

// get gives an idle connection to the node, the one used last, or a new one. Where the budget has no room for one, it
// waits for its turn, for as long as a connection may take to come up.
func (p *pool) get(ctx context.Context, node, address string) (*conn, error) {
	patience, cancel := context.WithTimeout(ctx, p.within)
	defer cancel()
	for {
		c, settles := p.takeIdle(node)
		for ; c != nil; c, settles = p.takeIdle(node) {
			if c.rested() && c.address == address && time.Since(c.idleSince) < p.idleFor {
				return c, nil
			}
			p.discard(c)
		}
		if settles > 0 { // that is sooner than a new connection
			select {
			case <-time.After(settles):
				continue
			case <-patience.Done():
				return nil, errBudget
			}
		}
		turn := p.reserve()
		if turn == nil {
			break
		}
		select {
		case <-turn:
		case <-patience.Done():
			p.leave(turn)
			return nil, errBudget
		}
	}
	ctx, stop := context.WithTimeout(ctx, p.within) // anew: the wait is not the node's
	defer stop()
	c := &conn{node: node, address: address}
	var err error
	if c.Conn, err = p.dial(ctx, "tcp", address); err != nil {
		p.discard(c)
		return nil, err
	}
	c.r = bufio.NewReaderSize(c, mostHead)
	return c, nil
}

// takeIdle gives the connection that was used last of those that have settled, or tells when the next one will have.
func (p *pool) takeIdle(node string) (c *conn, settles time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[node]
	for i := len(idle) - 1; i >= 0; i-- {
		if settles = settleTime - time.Since(idle[i].idleSince); settles <= 0 {
			c = idle[i]
			p.idle[node] = append(idle[:i:i], idle[i+1:]...)
			return c, 0
		}
	}
	return nil, settles
}

// past is a read deadline that ends a read at once.
var past = time.Unix(1, 0)

// watch waits for what must not come over an idle connection: a second answer, noise, or its end. Then the connection
// goes at once, unless somebody has just taken it: rested tells that one.
func (p *pool) watch(c *conn) {
	_, err := c.r.Peek(1)
	quiet := errors.Is(err, os.ErrDeadlineExceeded)
	c.quiet <- quiet // it has room
	if quiet {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.babbled[c.node] = time.Now()
	}
	for i, other := range p.idle[c.node] {
		if other == c {
			p.idle[c.node] = append(p.idle[c.node][:i:i], p.idle[c.node][i+1:]...)
			p.discardLocked(c)
			return
		}
	}
}

// rested ends the watch over a connection that was idle and tells whether nothing has come over it, to this moment.
// What came would be taken for the answer to the next request.
func (c *conn) rested() bool {
	c.SetReadDeadline(past)
	quiet := <-c.quiet
	c.SetReadDeadline(time.Time{})
	return quiet && c.r.Buffered() == 0 && !socketpeek.Ready(c.Conn)
}

// reserve counts a new connection. Where the budget is used up, the connection idle for longest makes room; where
// none is idle, it gives a turn to wait for.
func (p *pool) reserve() (turn chan bool) {
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
			turn = make(chan bool, 1)
			p.waiting = append(p.waiting, turn)
			return turn
		}
		c := p.idle[oldest][0]
		p.idle[oldest] = p.idle[oldest][1:]
		p.closeLocked(c)
	}
	p.count++
	return nil
}

// next lets the first who waits look again. It is called with mu held.
func (p *pool) next() {
	if len(p.waiting) > 0 {
		p.waiting[0] <- true // it has room
		p.waiting = p.waiting[1:]
	}
}

// leave gives a turn up; one that has come in the same moment goes to the next.
func (p *pool) leave(turn chan bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiting {
		if other == turn {
			p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
			return
		}
	}
	p.next()
}

// put keeps a connection whose answer was read whole and left nothing behind.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.r.Buffered() > 0 {
		p.babbled[c.node] = time.Now()
	}
	if _, babbles := p.babbled[c.node]; p.ended || babbles {
		p.discardLocked(c)
		return
	}
	c.idleSince, c.quiet = time.Now(), make(chan bool, 1)
	p.idle[c.node] = append(p.idle[c.node], c)
	go p.watch(c)
	p.next()
}

// discard closes a connection and gives its place in the budget back.
func (p *pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

func (p *pool) discardLocked(c *conn) {
	p.closeLocked(c)
	p.next()
}

func (p *pool) closeLocked(c *conn) {
	if c.Conn != nil { // else it never came up
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
		for len(idle) > 0 && time.Since(idle[0].idleSince) >= p.idleFor {
			p.discardLocked(idle[0])
			idle = idle[1:]
		}
		if p.idle[node] = idle; len(idle) == 0 {
			delete(p.idle, node)
		}
	}
	maps.DeleteFunc(p.babbled, func(_ string, at time.Time) bool { return time.Since(at) >= babbleTime })
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
