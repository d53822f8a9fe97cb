package h2frontend

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"reachpulley/internal/admission"
	"reachpulley/internal/gracefulclose"
	"reachpulley/internal/intake"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/socketpeek"
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
	socket     *socketpeek.Reader
	input      *gracefulclose.PacedReader // reads from socket
	reader     *bufio.Reader              // reads from input
	writer     *bufio.Writer
	framer     *http2.Framer
	encoder    *hpack.Encoder  // writes to headerBlock
	ctx        context.Context // canceled when the connection ends
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // all goroutines of the connection and its streams, except the reading one
	memory     *intake.Account
	pacer      *intake.Pacer

	headerBlock bytes.Buffer

	mu   sync.Mutex // guards the fields below
	wake *sync.Cond // wakes the writing goroutine

	streams       map[uint32]*stream
	highestStream uint32    // highest stream ID that the client has used
	lastStream    uint32    // highest stream that was not ignored, which GOAWAYs name
	idleSince     time.Time // when the connection began or a stream last ended

	controlFrames   []func() error // functions that write the queued control frames, which go before responses
	controlOverflow bool           // controlFrames has grown too long, and no more frames are queued
	settingsSent    bool           // the client's preface has arrived, and the server's SETTINGS are queued
	inputError      *connError     // why the input cannot be used any more; nil: it can
	closing         bool           // no new requests are taken, and the connection ends after the last answer
	closeBy         time.Time      // when a closing connection that had streams is closed in any case; zero: never
	mayEnd          bool           // the admission controller has no streams in flight on a closing connection
	ended           bool           // the writing goroutine stops when it has nothing left that it can write
	writeCount      uint64         // number of response parts taken by the writing goroutine

	sendWindow              int64 // bytes of response bodies that may still be sent
	initialStreamSendWindow int64 // bytes, from the client's settings
	maxFrameSize            int   // bytes, from the client's settings

	receiveWindow      int  // bytes of request bodies that the client may still send
	unreturnedWindow   int  // bytes of receiveWindow that have been used and not yet been returned
	windowUpdateQueued bool // a WINDOW_UPDATE that returns unreturnedWindow is in controlFrames
	incompleteBytes    int  // bytes that have arrived of request bodies that are not complete yet

	goAwayReason      string    // set if the client is asked to leave before its preface has arrived
	goAwayAt          time.Time // when the first of the two GOAWAYs was queued; zero: none was
	ignoresNewStreams bool      // the second GOAWAY is queued, so new streams are ignored
}

func newConn(s *Server, netConn net.Conn, id admission.ConnectionID) *conn {
	c := &conn{
		server:                  s,
		netConn:                 netConn,
		id:                      id,
		client:                  netConn.RemoteAddr().String(),
		socket:                  socketpeek.NewReader(netConn),
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
	c.input = gracefulclose.NewPacedReader(c.socket)
	c.reader = bufio.NewReaderSize(c.input, 4<<10)
	c.writer = bufio.NewWriterSize(socketWriter{c}, 8<<10)
	c.framer = http2.NewFramer(c.writer, c.reader)
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	c.wake = sync.NewCond(&c.mu)
	c.memory = s.options.Resources.Memory.Open(c.evictIncomplete)
	c.pacer = s.options.Resources.Pace.NewMultiplexedPacer()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads from the connection until the connection ends, lets the writing goroutine write what is queued, and
// releases everything that belongs to the connection. The client has time to receive what was written.
func (c *conn) serve() {
	c.goroutines.Go(c.write)
	if err := c.read(); err != nil {
		c.closeForInputError(err)
	}
	c.mu.Lock()
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
	switch {
	case c.closing:
		timeout = max(timeout, time.Until(c.closeBy))
	case c.ignoresNewStreams:
		timeout = gracefulclose.PeerTimeout
	}
	c.mu.Unlock()
	gracefulclose.Close(c.netConn, timeout)
}

// streamMonitor tells whether the client of a stream still waits for the answer.
type streamMonitor struct {
	socket *socketpeek.Reader
	ctx    context.Context // ends with the stream
}

// monitor returns the monitor of a stream.
func (c *conn) monitor(st *stream) httpmsg.ClientMonitor {
	return streamMonitor{socket: c.socket, ctx: st.ctx}
}

// Disconnected implements [httpmsg.ClientMonitor].
func (m streamMonitor) Disconnected() <-chan struct{} { return m.ctx.Done() }

// Present implements [httpmsg.ClientMonitor].
func (m streamMonitor) Present() bool { return m.socket.KeepsUp(m.ctx.Done()) }

// recordViolation reports to the admission controller that the client did something that is tolerated only now and
// then.
func (c *conn) recordViolation(violation admission.Violation) {
	c.server.notifyAdmission(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.RecordViolation(now, c.id, violation)
	})
}

// checkTimeouts resets streams whose request has not arrived in time, sends the second GOAWAY when it is due, asks the
// client of an idle connection to leave, and ends a connection that has no streams left after the second GOAWAY. The
// caller holds the server's lock.
func (c *conn) checkTimeouts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, st := range c.streams {
		age := now.Sub(st.startedAt)
		switch {
		case !st.requestComplete && age >= requestTimeout && !st.responding:
			c.resetLocked(st, http2.ErrCodeCancel)
		case !st.registered && age >= c.server.options.Admission.Stall && st.responding:
			c.resetLocked(st, http2.ErrCodeEnhanceYourCalm) // the admission controller does not abort this one
		}
	}
	switch {
	case !c.goAwayAt.IsZero() && !c.ignoresNewStreams && now.Sub(c.goAwayAt) >= goAwayInterval:
		c.ignoresNewStreams = true
		lastStream := c.lastStream
		c.queueControlLocked(func() error { return c.framer.WriteGoAway(lastStream, http2.ErrCodeNo, nil) })
	case c.goAwayAt.IsZero() && len(c.streams) == 0 && now.Sub(c.idleSince) >= idleTimeout && c.settingsSent:
		c.goAwayLocked("idle")
	}
	if c.ignoresNewStreams && len(c.streams) == 0 {
		c.endLocked()
	}
	c.endIfAnsweredLocked()
}

// goAwayLocked queues the first of the two GOAWAYs by which a client is asked to leave.
func (c *conn) goAwayLocked(reason string) {
	if !c.goAwayAt.IsZero() || c.closing {
		return
	}
	c.goAwayAt = time.Now()
	c.queueControlLocked(func() error {
		return c.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, []byte(reason))
	})
}

// endLocked makes the writing goroutine write what is queued and end the connection.
func (c *conn) endLocked() {
	c.ended = true
	c.wake.Broadcast()
}

// apply carries out an action of the admission controller. The caller holds the server's lock.
func (c *conn) apply(action admission.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.streams[uint32(action.Stream)]
	if !c.settingsSent && st == nil { // no frames may be sent before the client's preface has arrived
		c.applyBeforePrefaceLocked(action)
		return
	}
	switch action.Kind {
	case admission.StartStream:
		if st != nil && !c.ended { // a connection that has ended needs no responses
			st.started = true
			st.stopWaitTimer()
			c.goroutines.Go(func() { c.handleRequest(st) })
		}
	case admission.RejectStream:
		if st != nil {
			c.resetLocked(st, http2.ErrCodeRefusedStream)
		}
	case admission.ExpireStream:
		if st != nil {
			c.rejectExpiredLocked(st)
		}
	case admission.AbortStream:
		if st != nil {
			c.resetLocked(st, http2.ErrCodeEnhanceYourCalm)
		}
	case admission.LimitStreams:
		limit := http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(action.Count)}
		c.queueControlLocked(func() error { return c.framer.WriteSettings(limit) })
	case admission.GoAway:
		c.goAwayLocked(action.Reason)
	case admission.DrainConnection:
		c.beginClosingLocked(action.Reason)
	case admission.CloseConnection:
		c.beginClosingLocked(action.Reason)
		c.mayEnd = true
		c.endIfAnsweredLocked()
	case admission.DropConnection:
		c.server.options.Log.Warn("HTTP/2 connection closed with requests in flight",
			"client", c.client, "reason", action.Reason)
		c.netConn.Close()
	}
}

// applyBeforePrefaceLocked carries out an action on a connection whose preface has not arrived. A client that is asked
// to leave may have sent its preface and a request just now, so it has goAwayInterval until the preface must be there.
func (c *conn) applyBeforePrefaceLocked(action admission.Action) {
	switch action.Kind {
	case admission.GoAway:
		c.goAwayReason = action.Reason
		c.netConn.SetReadDeadline(time.Now().Add(goAwayInterval))
	case admission.CloseConnection, admission.DropConnection:
		c.netConn.Close()
	}
}
