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
	"reachpulley/internal/gracefulclose"
	"reachpulley/internal/proto/httpmsg"
)

const (
	// streamReceiveWindow is the receive window of each stream, in bytes. A body of the maximum size fits into it, so
	// no body waits for a WINDOW_UPDATE of its stream.
	streamReceiveWindow = httpmsg.MaxRequestBody
	// connReceiveWindow is the receive window of a connection, in bytes, for the bodies of all its streams.
	connReceiveWindow = 4 * streamReceiveWindow

	initialWindow       = 64<<10 - 1 // bytes; of streams and connections (RFC 9113, section 6.9.2)
	maxWindow           = 1<<31 - 1  // bytes (RFC 9113, section 6.9.1)
	maxStreamID         = 1<<31 - 1  // RFC 9113, section 5.1.1
	defaultMaxFrameSize = 16 << 10   // bytes (RFC 9113, section 6.5.2)
	headerTableSize     = 4 << 10    // bytes (RFC 9113, section 6.5.2)

	maxControlFrames = 512 // maximum number of queued frames that are not part of a response
)

// conn is a client's connection. Its reading goroutine runs serve and owns the reading side of the framer. Its writing
// goroutine runs write and owns the writing side of the framer and the encoder.
type conn struct {
	server     *Server
	netConn    net.Conn
	id         admission.ConnectionID
	client     string // the client's address without the port
	reader     *bufio.Reader
	writer     *bufio.Writer
	framer     *http2.Framer
	encoder    *hpack.Encoder  // writes to headerBlock
	ctx        context.Context // canceled when the connection ends
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // all goroutines of the connection and its streams, except the reading one

	headerBlock bytes.Buffer

	mu   sync.Mutex // guards the fields below
	wake *sync.Cond // wakes the writing goroutine

	streams       map[uint32]*stream
	highestStream uint32    // highest stream ID that the client has used
	idleSince     time.Time // when the connection began or a stream last ended

	controlFrames   []func() error // functions that write the queued control frames, which go before responses
	controlOverflow bool           // controlFrames has grown too long, and no more frames are queued
	settingsSent    bool           // the client's preface has arrived, and the server's SETTINGS are queued
	ended           bool           // the writing goroutine stops when it has nothing left that it can write
	writeCount      uint64         // number of response parts taken by the writing goroutine

	sendWindow              int64 // bytes of response bodies that may still be sent
	initialStreamSendWindow int64 // bytes, from the client's settings
	maxFrameSize            int   // bytes, from the client's settings

	receiveWindow      int  // bytes of request bodies that the client may still send
	unreturnedWindow   int  // bytes of receiveWindow that have been used and not yet been returned
	windowUpdateQueued bool // a WINDOW_UPDATE that returns unreturnedWindow is in controlFrames
	incompleteBytes    int  // bytes that have arrived of request bodies that are not complete yet

	goAwayAt          time.Time // when the first of the two GOAWAYs was queued; zero: none was
	ignoresNewStreams bool      // the second GOAWAY is queued, so new streams are ignored
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
		sendWindow:              initialWindow,
		initialStreamSendWindow: initialWindow,
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

// serve reads from the connection until the connection ends or has to be closed, lets the writing goroutine write what
// is queued, and releases everything that belongs to the connection. The client has time to receive what was written.
func (c *conn) serve() {
	c.goroutines.Go(c.write)
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
	c.cancel() // cancels the requests of all streams, as their connection has ended
	c.goroutines.Wait()
	c.closeGracefully()
	c.server.removeConn(c)
}

// closeGracefully closes the connection once the client has received what was written. A client that was asked to leave
// has more time for that.
func (c *conn) closeGracefully() {
	c.mu.Lock()
	timeout := gracefulclose.ShortPeerTimeout
	if c.ignoresNewStreams {
		timeout = gracefulclose.PeerTimeout
	}
	c.mu.Unlock()
	gracefulclose.Close(c.netConn, timeout)
}

// connError is an error that ends a connection with a GOAWAY.
type connError struct {
	code   http2.ErrCode
	reason string // sent to the client as debug data of the GOAWAY
}

// Error returns the reason that the client is sent.
func (e *connError) Error() string { return e.reason }

// errConnClosed is returned by the function that writes a control frame if the writing goroutine has to close the
// connection after that frame.
var errConnClosed = errors.New("connection closed by the server")

// recordViolation reports to the admission controller that the client did something that is tolerated only now and
// then.
func (c *conn) recordViolation(violation admission.Violation) {
	c.server.notifyAdmission(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.RecordViolation(now, c.id, violation)
	})
}

// checkTimeouts resets streams whose request has not arrived in time, sends the second GOAWAY when it is due, and ends
// a connection that is idle or that has no streams left after the second GOAWAY. The caller holds the server's lock.
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
	case !c.goAwayAt.IsZero() && !c.ignoresNewStreams && now.Sub(c.goAwayAt) >= goAwayInterval:
		c.ignoresNewStreams = true
		lastStream := c.highestStream
		c.queueControlLocked(func() error { return c.framer.WriteGoAway(lastStream, http2.ErrCodeNo, nil) })
	case len(c.streams) == 0 && now.Sub(c.idleSince) >= idleTimeout:
		c.netConn.Close()
	}
	if c.ignoresNewStreams && len(c.streams) == 0 {
		c.ended = true // the writing goroutine writes the queued frames and ends the connection
		c.wake.Broadcast()
	}
}

// apply carries out an action of the admission controller. The caller holds the server's lock.
func (c *conn) apply(action admission.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.streams[uint32(action.Stream)]
	if !c.settingsSent && st == nil { // no frames may be sent before the client's preface has arrived
		if action.Kind == admission.GoAway || action.Kind == admission.CloseConnection {
			c.netConn.Close()
		}
		return
	}
	switch action.Kind {
	case admission.StartStream:
		if st != nil && !c.ended { // a connection that has ended needs no responses
			c.goroutines.Go(func() { c.handleRequest(st) })
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
			return c.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, []byte(action.Reason))
		})
	case admission.CloseConnection:
		c.controlFrames = append(c.controlFrames, c.closingGoAwayLocked(action.Reason))
		c.wake.Signal()
	}
}

// closingGoAwayLocked returns a function for controlFrames that writes a GOAWAY with the reason why the connection is
// closed. The function's error makes the writing goroutine close the connection afterwards.
func (c *conn) closingGoAwayLocked(reason string) func() error {
	lastStream := c.highestStream
	return func() error {
		err := c.framer.WriteGoAway(lastStream, http2.ErrCodeEnhanceYourCalm, []byte(reason))
		return errors.Join(err, errConnClosed)
	}
}
