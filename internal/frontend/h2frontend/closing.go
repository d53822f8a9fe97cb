package h2frontend

import (
	"cmp"
	"errors"
	"io"
	"time"

	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
	"reachpulley/internal/gracefulclose"
)

// A connection that has to be closed, because of abuse, a protocol error or a client that does not read, is closed in
// steps. First it closes: a GOAWAY names the last stream that is processed, incomplete and waiting requests are
// rejected, and nothing new is taken. Requests in flight are answered. Once they are, or when
// admission.Config.CloseTimeout has passed, the connection ends.

// connError is an error after which a connection is closed with a GOAWAY.
type connError struct {
	code        http2.ErrCode
	reason      string // sent to the client as debug data of the GOAWAY
	framingLost bool   // the start of the next frame is unknown
}

// Error returns the reason that the client is sent.
func (e *connError) Error() string { return e.reason }

// closeForInputError closes a connection whose client has violated the protocol. It returns once the requests in flight
// are answered or the client has closed the connection. If the start of the next frame is known, the client may go on
// raising windows and resetting streams; otherwise, or after a second error, its input is dropped.
func (c *conn) closeForInputError(err *connError) {
	c.mu.Lock()
	c.inputError = err
	c.mu.Unlock()
	c.closeByAdmission(err.reason)
	if !err.framingLost && c.readWhileClosing() == nil {
		return
	}
	c.setReadDeadline(time.Time{})
	io.Copy(io.Discard, c.reader)
}

// closeByAdmission tells the admission controller to close the connection.
func (c *conn) closeByAdmission(reason string) {
	c.server.notifyAdmission(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.Close(now, c.id, reason)
	})
}

// beginClosingLocked takes no more requests, resets incomplete ones and tells the client. It does nothing if the
// connection is closing already.
func (c *conn) beginClosingLocked(reason string) {
	if c.closing {
		return
	}
	c.closing = true
	c.ignoresNewStreams = true
	c.input.SlowDown()
	cause := c.inputError
	if cause == nil {
		cause = &connError{code: http2.ErrCodeEnhanceYourCalm, reason: reason}
	}
	c.server.options.Log.Warn("HTTP/2 connection is being closed",
		"client", c.client, "reason", cmp.Or(cause.reason, cause.code.String()))
	lastStream := c.lastStream
	c.controlFrames = append(c.controlFrames, func() error {
		return c.framer.WriteGoAway(lastStream, cause.code, []byte(cause.reason))
	})
	for _, st := range c.streams {
		if !st.requestComplete && !st.responding {
			c.resetLocked(st, http2.ErrCodeRefusedStream)
		}
	}
	if timeout := c.server.options.Admission.CloseTimeout; timeout > 0 && len(c.streams) > 0 {
		c.closeBy = time.Now().Add(timeout)
	}
	c.wake.Signal()
}

// endIfAnsweredLocked ends a closing connection if the admission controller allows it and no request waits for its
// response.
func (c *conn) endIfAnsweredLocked() {
	if c.mayEnd && !c.awaitsResponseLocked() {
		c.endLocked()
	}
}

// awaitsResponseLocked reports whether a complete request has no response yet.
func (c *conn) awaitsResponseLocked() bool {
	for _, st := range c.streams {
		if st.requestComplete && !st.responding {
			return true
		}
	}
	return false
}

// isClosing reports whether the connection takes no more requests and is to be closed.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readWhileClosing reads the frames on which the responses to requests in flight depend, and ignores others. It returns
// as read does.
func (c *conn) readWhileClosing() *connError {
	c.framer.ReadMetaHeaders = nil // the fields of further requests are not decoded
	c.setReadDeadline(time.Time{})
	for {
		frame, err := c.framer.ReadFrame()
		if err == nil {
			err = c.handleControlFrame(frame)
		}
		var streamError http2.StreamError
		switch {
		case err == nil:
		case errors.As(err, &streamError):
			c.resetForError(streamError.StreamID, streamError.Code)
		default:
			return connErrorFor(err)
		}
	}
}

// socketWriter writes to the socket of a connection. A client that reads nothing for writeTimeout loses its connection,
// but not while requests are in flight: until they are answered it may read again.
type socketWriter struct{ conn *conn }

// Write implements io.Writer.
func (w socketWriter) Write(p []byte) (int, error) {
	return gracefulclose.Write(w.conn.netConn, p, writeTimeout, w.conn.extendWrite)
}

// extendWrite reports whether a write goes on that has timed out. In that case the connection closes, so that further
// requests do not extend the write once more.
func (c *conn) extendWrite() bool {
	c.mu.Lock()
	extend := !c.ended && c.awaitsResponseLocked()
	c.mu.Unlock()
	if extend {
		c.closeByAdmission("nothing is read")
	}
	return extend
}
