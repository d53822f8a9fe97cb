package httpfrontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"reachpulley/internal/socketpeek"
)

const (
	idleLeast   = 2 * time.Second        // a connection without an open request may be closed after this
	askingLeast = 500 * time.Millisecond // under pressure a request must be in within this
	lingerTime  = time.Second            // between the end of what is sent and the close, for the client to take it all
)

// clients is the listener from which http.Server takes its connections. It owns them and keeps their number within
// a budget: each is given back in release. It never stops accepting, or a crowd that says nothing would shut
// everybody out; under pressure it closes what is missed least. It alone orders closes and requests: a connection is
// closed before its next request is begun, or after that is answered.
type clients struct {
	net.Listener
	most       int // connections at a time
	mostSilent int // of them that have said nothing yet

	mu       sync.Mutex
	draining bool          // the gateway stops: what rests is closed
	empty    chan struct{} // closed once the last connection has gone while draining
	conns    map[*client]bool
	accepted int64
	noRoom   int64 // of them closed at once
	madeRoom int64 // closed for others
}

// stage is how far a connection is with a request.
type stage int

const (
	silent  stage = iota // nothing has come over it yet
	asking               // a part of a request has
	open                 // a request is being served
	idle                 // its last request is answered
	leaving              // nothing more is sent over it; what still comes is dropped
	closed
)

// client is a connection of a client.
type client struct {
	net.Conn
	*ahead
	home *clients

	// Under home's lock.
	stage  stage
	since  time.Time
	served bool // its last request was answered by a node
}

func newClients(l net.Listener, most int) *clients {
	return &clients{Listener: l, most: most, mostSilent: max(1, most/4), conns: map[*client]bool{}, empty: make(chan struct{})}
}

// Accept gives the next connection for which there is room or can be made.
func (l *clients) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &client{Conn: conn, ahead: newAhead(conn), home: l, since: time.Now()}
		if l.enter(c) {
			go func() {
				c.ahead.run()
				c.heardEnd()
			}()
			return c, nil
		}
		conn.Close()
	}
}

// enter counts a connection; another may have to make room for it.
func (l *clients) enter(c *client) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted++
	quiet := 0
	for other := range l.conns {
		if other.stage == silent {
			quiet++
		}
	}
	if quiet >= l.mostSilent {
		l.end(l.longest(silent, 0))
	}
	if len(l.conns) >= l.most && !l.end(l.longest(leaving, 0)) && !l.end(l.longestUnserved()) && !l.end(l.longest(idle, idleLeast)) && !l.end(l.longest(asking, askingLeast)) &&
		!l.end(l.longest(silent, 0)) {
		l.noRoom++
		return false
	}
	l.conns[c] = true
	return true
}

// crowded tells whether so many connections are in use, or were just now, that c should not be kept for a next request:
// there is a limit, too, to those that clients hold, and while they hold idle ones new clients cannot ask. Only those
// that were served count: bad clients must not cost others their connections.
func (l *clients) crowded(c *client, served bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.served = served
	used := 0
	for c := range l.conns {
		if c.served && (c.stage != idle || time.Since(c.since) < idleLeast) {
			used++
		}
	}
	return used > l.most/3
}

// full tells whether so many connections are there that one which only asked for readiness should not be kept.
func (l *clients) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) > l.most/3
}

// longest is the connection that has been at a stage for longest, and for so long at least; nil where there is none.
// One whose next request waits unread is neither silent nor idle: it has only not been looked at yet.
func (l *clients) longest(s stage, least time.Duration) *client {
	return l.first(s, least, func(*client) bool { return true })
}

// longestUnserved is the idle connection, for longest, whose last request no node served: a health check, a faulty request or one that was
// turned away. It guards against a crowd that asks once and stays: such connections filled all there was within half a second, and until
// they had been idle for long enough nobody else could ask.
func (l *clients) longestUnserved() *client {
	return l.first(idle, 0, func(c *client) bool { return !c.served })
}

func (l *clients) first(s stage, least time.Duration, which func(*client) bool) *client {
	var first *client
	latest := time.Now().Add(-least)
	for c := range l.conns {
		if c.stage == s && which(c) && !c.since.After(latest) && (first == nil || c.since.Before(first.since)) &&
			(s == asking || s == leaving || c.rests()) {
			first = c
		}
	}
	return first
}

// end closes a connection at once, from outside its goroutine, which sees a read fail; enterStage tells one that has read a
// request in the same instant. It tells whether there was one.
func (l *clients) end(c *client) bool {
	if c == nil {
		return false
	}
	l.madeRoom++
	c.drop()
	l.release(c)
	return true
}

// release gives a connection back. It is called with mu held.
func (l *clients) release(c *client) {
	if c.stage == closed {
		return
	}
	c.stage = closed
	delete(l.conns, c)
	c.Conn.Close()
	l.look()
}

// look tells Drain when the last connection has gone. It is called with mu held.
func (l *clients) look() {
	if l.draining && len(l.conns) == 0 {
		select {
		case <-l.empty:
		default:
			close(l.empty)
		}
	}
}

// drain closes what rests, now and from now on, and lets the rest be answered; empty is closed when all have gone.
func (l *clients) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.conns {
		if (c.stage == idle || c.stage == silent) && c.rests() {
			c.leave()
		}
	}
	l.look()
}

// rests tells whether nothing has come that was not looked at.
func (c *client) rests() bool { return !c.waiting() && !socketpeek.Ready(c.Conn) }

// leave ends what is sent, and has what still comes read and dropped until the client ends it, too: a close over unread
// bytes would reset the connection, and an answer that is still on its way would be lost. It is called with home's lock.
func (c *client) leave() {
	if c.stage >= leaving {
		return
	}
	c.stage, c.since = leaving, time.Now()
	c.drop()
	select {
	case <-c.gone:
		c.home.release(c)
		return
	default:
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // the end of run, if the client does not end it sooner
	if c.CloseWrite() != nil {
		c.home.release(c)
	}
}

// heardEnd is called once nothing more will come.
func (c *client) heardEnd() {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	if c.stage == leaving {
		c.home.release(c)
	}
}

// enterStage notes how far a connection is. It tells whether it is there still.
func (c *client) enterStage(s stage) bool {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	if c.stage >= leaving {
		return false
	}
	c.stage, c.since = s, time.Now()
	if s == idle && c.home.draining && c.rests() {
		c.leave()
	}
	return true
}

// Read notes the first bytes of a request.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.ahead.Read(p)
	if n > 0 {
		c.home.mu.Lock()
		defer c.home.mu.Unlock()
		if c.stage == silent || c.stage == idle {
			c.stage, c.since = asking, time.Now()
		}
	}
	return n, err
}

// SetReadDeadline bounds the wait of Read.
func (c *client) SetReadDeadline(t time.Time) error { return c.ahead.SetReadDeadline(t) }

// SetDeadline bounds reads and writes.
func (c *client) SetDeadline(t time.Time) error {
	return errors.Join(c.ahead.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

// Close ends the connection once the client has taken what was sent.
func (c *client) Close() error {
	c.home.mu.Lock()
	defer c.home.mu.Unlock()
	c.leave()
	return nil
}

// CloseWrite ends what is sent; http.Server does so to let a client read why it is turned away.
func (c *client) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

type clientKey struct{}

// keep lets handlers find the connection of their request.
func keep(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, conn)
}

// clientBehind is the connection of a request; nil where another front has read it.
func clientBehind(r *http.Request) *client {
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c
}
