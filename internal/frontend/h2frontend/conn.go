package h2frontend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"reachpulley/internal/admission"
	"reachpulley/internal/proto/httpmsg"
)

const (
	streamReceiveWindow = httpmsg.MaxRequestBody  // for each stream: a body of allowed size never waits for the window
	connReceiveWindow   = 4 * streamReceiveWindow // for the bodies of all streams that are arriving at once

	initialConnWindow   = 64<<10 - 1 // RFC 9113, section 6.9.2
	maxWindow           = 1<<31 - 1  // RFC 9113, section 6.9.1
	defaultMaxFrameSize = 16 << 10   // RFC 9113, section 6.5.2
	headerTableSize     = 4 << 10    // RFC 9113, section 6.5.2

	maxControlFrames = 512 // queued frames other than responses
)

// conn is a client's connection. Its reading goroutine, serve, owns the reading side of the framer; its writing
// goroutine, write, owns the writing side and the encoder.
type conn struct {
	server  *Server
	netConn net.Conn
	id      admission.ConnectionID
	client  string // address without the port
	reader  *bufio.Reader
	writer  *bufio.Writer
	framer  *http2.Framer
	encoder *hpack.Encoder  // writes to headerBlock
	ctx     context.Context // ends with the connection
	cancel  context.CancelFunc
	wait    sync.WaitGroup // the writing goroutine, and those of streams

	headerBlock bytes.Buffer

	mu   sync.Mutex // guards the fields below
	wake *sync.Cond // wakes the writing goroutine

	streams       map[uint32]*stream
	highestStream uint32 // highest ID that the client has used
	idleSince     time.Time

	controlFrames   []func() error // to be written before responses
	controlOverflow bool           // controlFrames grew too long; no more are queued
	settingsSent    bool           // the client's preface has arrived
	ended           bool           // the writing goroutine stops when it has written everything
	writeCount      uint64         // counts parts of responses

	sendWindow              int64 // for the bodies of responses
	initialStreamSendWindow int64 // from the client's settings
	maxFrameSize            int   // from the client's settings

	receiveWindow      int  // bytes of bodies that the client may still send
	unreturnedWindow   int  // bytes of receiveWindow that have been used and not yet been returned
	windowUpdateQueued bool // a WINDOW_UPDATE that returns unreturnedWindow is in controlFrames
	incompleteBytes    int  // bytes of bodies that have not arrived completely

	goAwayAt   time.Time // when the first GOAWAY was queued; zero: not yet
	rejectsNew bool      // the second GOAWAY is queued: new streams are ignored
}

func newConn(s *Server, netConn net.Conn, id admission.ConnectionID) *conn {
	c := &conn{
		server:                  s,
		netConn:                 netConn,
		id:                      id,
		client:                  netConn.RemoteAddr().String(),
		reader:                  bufio.NewReaderSize(netConn, 4<<10),
		writer:                  bufio.NewWriterSize(netConn, 8<<10),
		streams:                 map[uint32]*stream{},
		idleSince:               time.Now(),
		sendWindow:              initialConnWindow,
		initialStreamSendWindow: initialConnWindow,
		maxFrameSize:            defaultMaxFrameSize,
		receiveWindow:           connReceiveWindow,
	}
	if host, _, err := net.SplitHostPort(c.client); err == nil {
		c.client = host
	}
	c.framer = http2.NewFramer(c.writer, c.reader)
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	c.wake = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads from the connection until it ends, and releases everything that belongs to it.
func (c *conn) serve() {
	c.wait.Go(c.write)
	code, reason := c.read()
	c.mu.Lock()
	if code != http2.ErrCodeNo {
		lastStream := c.highestStream
		c.controlFrames = append(c.controlFrames, func() error {
			return c.framer.WriteGoAway(lastStream, code, []byte(reason))
		})
	}
	c.ended = true
	c.wake.Broadcast()
	c.mu.Unlock()
	c.cancel() // the client of every stream has disconnected
	c.wait.Wait()
	c.netConn.Close()
	c.server.removeConn(c)
}

// connError ends a connection with a GOAWAY.
type connError struct {
	code   http2.ErrCode
	reason string // debug data of the GOAWAY
}

// Error returns the reason.
func (e *connError) Error() string { return e.reason }

// errConnClosed is returned by a control frame after which the writing goroutine closes the connection.
var errConnClosed = errors.New("connection closed by the server")

// recordViolation reports a violation by the client to admission.
func (c *conn) recordViolation(violation admission.Violation) {
	c.server.decide(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.RecordViolation(now, c.id, violation)
	})
}

// checkTimeouts resets streams whose request does not arrive, and ends connections that are idle or have left. It is
// called with the server's lock.
func (c *conn) checkTimeouts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, st := range c.streams {
		if !st.requestComplete && now.Sub(st.startedAt) >= requestTimeout && !st.responding {
			c.resetLocked(st, http2.ErrCodeCancel)
		}
	}
	switch {
	case !c.goAwayAt.IsZero() && !c.rejectsNew && now.Sub(c.goAwayAt) >= goAwayInterval:
		c.rejectsNew = true
		lastStream := c.highestStream
		c.queueControlLocked(func() error { return c.framer.WriteGoAway(lastStream, http2.ErrCodeNo, nil) })
	case len(c.streams) == 0 && now.Sub(c.idleSince) >= idleTimeout:
		c.netConn.Close()
	}
	if c.rejectsNew && len(c.streams) == 0 {
		c.ended = true // the writing goroutine writes what is queued and closes the connection
		c.wake.Broadcast()
	}
}

// apply carries out an action of the admission controller. It is called with the server's lock.
func (c *conn) apply(action admission.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.streams[uint32(action.Stream)]
	if !c.settingsSent && st == nil { // no frames can be sent before the client's preface
		if action.Kind == admission.GoAway || action.Kind == admission.CloseConnection {
			c.netConn.Close()
		}
		return
	}
	switch action.Kind {
	case admission.StartStream:
		if st != nil && !c.ended { // nobody waits for the responses of a connection that has ended
			c.wait.Go(func() { c.handleRequest(st) })
		}
	case admission.RejectStream:
		if st != nil {
			c.resetLocked(st, http2.ErrCodeRefusedStream)
		}
	case admission.AbortStream:
		if st != nil {
			c.resetLocked(st, http2.ErrCodeEnhanceYourCalm)
		}
	case admission.LimitStreams:
		limit := http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(action.Count)}
		c.queueControlLocked(func() error { return c.framer.WriteSettings(limit) })
	case admission.GoAway:
		c.goAwayAt = time.Now()
		c.queueControlLocked(func() error {
			return c.framer.WriteGoAway(maxWindow, http2.ErrCodeNo, []byte(action.Reason))
		})
	case admission.CloseConnection:
		c.controlFrames = append(c.controlFrames, c.closingGoAwayLocked(action.Reason))
		c.wake.Signal()
	}
}

// closingGoAwayLocked returns a control frame that says why the connection is closed, and closes it.
func (c *conn) closingGoAwayLocked(reason string) func() error {
	lastStream := c.highestStream
	return func() error {
		err := c.framer.WriteGoAway(lastStream, http2.ErrCodeEnhanceYourCalm, []byte(reason))
		return errors.Join(err, errConnClosed)
	}
}
