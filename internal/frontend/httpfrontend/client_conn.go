package httpfrontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"reachpulley/internal/socketpeek"
)

// lingerTimeout bounds the time in stateLingering, in which the client can still receive what has been sent.
const lingerTimeout = time.Second

// clientConn is a client's connection as http.Server sees it: reads come from its read-ahead, writes go to the
// socket.
type clientConn struct {
	net.Conn
	input   *readAhead
	tracker *connTracker

	// The fields below are guarded by tracker.mu.

	state      connState
	stateSince time.Time
	served     bool // the last response, apart from those to readiness checks, had status 200
}

func newClientConn(t *connTracker, conn net.Conn) *clientConn {
	return &clientConn{Conn: conn, input: newReadAhead(conn, t.readAhead), tracker: t, stateSince: time.Now()}
}

// readInput runs the read-ahead until the connection ends. A connection that lingers is then closed.
func (c *clientConn) readInput() {
	c.input.run()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.state == stateLingering {
		c.tracker.releaseLocked(c)
	}
}

// setStateLocked changes the state of a connection that is not closing.
func (c *clientConn) setStateLocked(state connState) {
	c.state = state
	c.stateSince = time.Now()
}

// enterState changes the state. It returns false if the connection is closing; the caller must then not serve a
// request. While the server drains or sends clients away, a connection that becomes idle starts to close.
func (c *clientConn) enterState(state connState) bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.state.closing() {
		return false
	}
	c.setStateLocked(state)
	if state == stateIdle && (c.tracker.draining || c.tracker.closesIdle) && !c.hasUnreadInput() {
		c.lingerLocked()
	}
	return true
}

// lingerLocked closes the sending side of the connection and lets the read-ahead discard input until the client closes
// its side, too. Closing both sides at once would reset the connection if there is unread input, and the client could
// lose a response that is still in transit.
func (c *clientConn) lingerLocked() {
	if c.state.closing() {
		return
	}
	c.setStateLocked(stateLingering)
	c.input.discard()
	select {
	case <-c.input.ended:
		c.tracker.releaseLocked(c)
		return
	default:
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) // ends readInput if the client does not
	if c.CloseWrite() != nil {
		c.tracker.releaseLocked(c)
	}
}

// hasUnreadInput reports whether anything has been received that http.Server has not read: bytes or, on the socket, the
// end of the connection.
func (c *clientConn) hasUnreadInput() bool { return c.input.hasUnread() || socketpeek.Ready(c.Conn) }

// Read reads from the read-ahead. The first bytes of a request change the state to stateReading.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.input.Read(p)
	if n > 0 {
		c.tracker.mu.Lock()
		defer c.tracker.mu.Unlock()
		if c.state == stateNew || c.state == stateIdle {
			c.setStateLocked(stateReading)
		}
	}
	return n, err
}

// SetReadDeadline bounds how long Read waits. The read-ahead itself has no deadline.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.input.SetReadDeadline(t) }

// SetDeadline bounds reads and writes.
func (c *clientConn) SetDeadline(t time.Time) error {
	return errors.Join(c.input.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

// Close ends the connection once the client has had time to receive what was sent.
func (c *clientConn) Close() error {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.lingerLocked()
	return nil
}

// CloseWrite ends sending. http.Server calls it so that a client can still read why its request was rejected.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// connContextKey is the context key of a request's *clientConn.
type connContextKey struct{}

// withConn adds a connection to the context of its requests. It is the ConnContext of http.Server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// connOf returns the connection of a request; nil if another frontend has read the request.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connContextKey{}).(*clientConn)
	return c
}
