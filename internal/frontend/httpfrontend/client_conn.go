package httpfrontend

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reachpulley/internal/intake"
	"reachpulley/internal/socketpeek"
)

// unknownInputAge is the age of input that nobody has asked the kernel for.
const unknownInputAge = -1

// lingerTimeout bounds the time in stateLingering, in which the client can still receive what has been sent.
const lingerTimeout = time.Second

// clientConn is a client's connection. One goroutine reads from it as long as it is open (input.go). While there are
// requests to answer, another goroutine answers them in the order of their arrival (answer.go).
type clientConn struct {
	net.Conn
	frontend *Frontend
	tracker  *connTracker
	memory   *intake.Account
	pacer    *intake.Pacer
	input    *socketpeek.Reader
	ended    chan struct{} // closed when no more input will come: the client closed the connection, or it broke
	decoding atomic.Bool   // the reading goroutine decodes what it has read
	paused   atomic.Bool   // the reading goroutine pauses, as the connection has used up its processor time

	// The reading goroutine owns the fields below.

	decoder         *requestDecoder
	skipping        *boundaryScanner // finds the ends of requests that are rejected unread; nil: they are decoded
	memoryWaitSince time.Time        // since when the decoder has waited for memory; zero: it does not
	pause           time.Duration    // before the next read
	pausedFrom      time.Time        // when the pause before the last read began; zero: there was none
	inputAge        time.Duration    // how old the input was that was read last, or unknownInputAge

	// tracker.mu guards the fields below.

	state      connState
	stateSince time.Time
	served     bool // the last response, apart from those to readiness checks, had status 200

	mu        sync.Mutex // guards the fields below; locked after tracker.mu
	queue     []*incoming
	answering bool // a goroutine answers the queue
	arriving  arrivingPart
	arrivedAt time.Time // when the part that is arriving began
	continues bool      // the client waits for an interim response before it sends the body
	inputOver bool      // no further requests are read, as the last one is in the queue
	unread    bool      // the last one was rejected before all of it was read
	closed    bool      // no further requests are answered either
	evicted   bool      // the request that is arriving has to make room for others
}

// arrivingPart is the part of a request that a connection waits for.
type arrivingPart int

const (
	arrivingNothing arrivingPart = iota // no part of a request has arrived, and at least one has been answered
	arrivingFirst                       // nothing has arrived on the connection at all
	arrivingHead
	arrivingBody
)

func newClientConn(
	f *Frontend, t *connTracker, conn net.Conn, resources *intake.Resources, maxHead int,
) *clientConn {
	now := time.Now()
	c := &clientConn{
		Conn:       conn,
		frontend:   f,
		tracker:    t,
		pacer:      resources.Pace.NewPacer(),
		input:      socketpeek.NewReader(conn),
		ended:      make(chan struct{}),
		stateSince: now,
		arriving:   arrivingFirst,
		arrivedAt:  now,
	}
	c.memory = resources.Memory.Open(c.evictRequest)
	c.decoder = newRequestDecoder(c.memory, maxHead, f.checkHead)
	c.decoder.waits = c.isAnswering
	return c
}

// isAnswering reports whether a request is being answered.
func (c *clientConn) isAnswering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answering
}

// setStateLocked changes the state of a connection that is not closing.
func (c *clientConn) setStateLocked(state connState) {
	c.state = state
	c.stateSince = time.Now()
}

// beginRequest changes the state when a part of a request has arrived. It returns false if the connection is closing.
func (c *clientConn) beginRequest() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.state.closing() {
		return false
	}
	if c.state == stateNew || c.state == stateIdle {
		c.setStateLocked(stateReading)
	}
	c.decoding.Store(true)
	c.input.Handled()
	return true
}

// lingerUnlessInputLocked is lingerLocked for a connection that is new or idle, unless input of it waits or is being
// read. A request that was read has to be answered.
func (c *clientConn) lingerUnlessInputLocked() {
	if c.state.closing() || c.hasRequests() || !c.input.ShutdownUnlessInput(syscall.SHUT_WR) {
		return
	}
	c.lingerLocked()
}

// hasRequests reports whether a request waits or is arriving.
func (c *clientConn) hasRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 || c.arriving == arrivingHead || c.arriving == arrivingBody
}

// lingerLocked closes the sending side of the connection and lets the reading goroutine discard input until the client
// closes its side, too. Closing both sides at once would reset the connection if there is unread input, and the client
// could lose a response that is still in transit.
func (c *clientConn) lingerLocked() {
	if c.state.closing() {
		return
	}
	c.setStateLocked(stateLingering)
	c.discard()
	select {
	case <-c.ended:
		c.tracker.releaseLocked(c)
		return
	default:
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) // ends the reading goroutine if the client does not
	err := c.CloseWrite()
	if errors.Is(err, errors.ErrUnsupported) && c.hasUnreadRemainder() {
		return // the client may be sending the rest, and could not read the response if it met a closed connection
	}
	if err != nil {
		c.tracker.releaseLocked(c)
	}
}

// hasUnreadRemainder reports whether the last request was rejected before all of it was read.
func (c *clientConn) hasUnreadRemainder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unread
}

// discard drops all input, queued and future. The request that is being answered remains.
func (c *clientConn) discard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, in := range c.queue {
		c.memory.Release(in.held)
	}
	c.queue = nil
}

// hasUnreadInput reports whether anything has been received that is not answered yet, apart from the request that is
// being answered: bytes or, on the socket, the end of the connection.
func (c *clientConn) hasUnreadInput() bool { return c.hasRequests() || c.input.HasInput() }

// Close ends the connection once the client has had time to receive what was sent.
func (c *clientConn) Close() error {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.lingerLocked()
	return nil
}

// CloseWrite ends sending, so that a client can still read what was sent.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Disconnected returns a channel that is closed once the client has disconnected.
func (c *clientConn) Disconnected() <-chan struct{} { return c.ended }

// Present reports whether the client has not disconnected, as far as all that it has sent is read.
func (c *clientConn) Present() bool { return c.input.Drained(c.ended) }
