package h2frontend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"reachpulley/internal/admission"
	"reachpulley/internal/gracefulclose"
)

// queueControl queues a control frame, which is a frame that is not part of a response. The writing goroutine calls
// write to write the frame.
func (c *conn) queueControl(write func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queueControlLocked(write)
}

// queueControlLocked is queueControl for a caller that holds c.mu. If a client causes control frames faster than it
// reads them, so that maxControlFrames are queued, the connection is closed, and no more of them are queued.
func (c *conn) queueControlLocked(write func() error) {
	if c.controlOverflow {
		return
	}
	if len(c.controlFrames) < maxControlFrames {
		c.controlFrames = append(c.controlFrames, write)
		c.wake.Signal()
		return
	}
	c.controlOverflow = true
	const reason = "frames that ask for frames"
	c.beginClosingLocked(reason)
	c.goroutines.Go(func() { c.closeByAdmission(reason) }) // the server's lock must be taken before the connection's
}

// responsePart is the part of a response that is written at once: its header or a piece of its body.
type responsePart struct {
	stream    *stream
	header    *http.Response // the response whose header is written, or nil if body is written
	body      []byte
	endStream bool // the stream ends with this part
}

// pendingWrite tells the writing goroutine what to do next. The goroutine writes the control frames if there are any,
// or else the part of a response if there is one, or else flushes the buffer.
type pendingWrite struct {
	controlFrames []func() error
	part          responsePart // its stream is nil if there is nothing to write
	maxFrameSize  int          // bytes
	connEnded     bool
}

// write writes frames until the connection ends, and makes the reading goroutine end too.
func (c *conn) write() {
	defer c.endReading()
	for {
		next := c.awaitWrite()
		var err error
		switch {
		case len(next.controlFrames) > 0:
			err = writeControlFrames(next.controlFrames)
		case next.part.stream != nil:
			err = c.writePart(next.part, next.maxFrameSize)
		default:
			err = c.writer.Flush()
			if next.connEnded {
				return
			}
		}
		if err != nil {
			c.netConn.Close() // the client does not receive any more
			return
		}
	}
}

// endReading makes the reading goroutine return from read.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	gracefulclose.EndReads(c.netConn)
}

// setReadDeadline sets the deadline of the reading goroutine, unless the connection has ended.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.netConn.SetReadDeadline(deadline)
	}
}

// awaitWrite waits until there is something to write or to flush, or the connection has ended. Control frames are
// written first, and then responses in the order of their urgency.
func (c *conn) awaitWrite() (next pendingWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var st *stream
	for len(c.controlFrames) == 0 {
		st = c.nextStreamLocked()
		if st != nil || c.ended || c.writer.Buffered() > 0 {
			break
		}
		c.wake.Wait()
	}
	next.controlFrames = c.controlFrames
	next.connEnded = c.ended
	next.maxFrameSize = c.maxFrameSize
	c.controlFrames = nil
	if len(next.controlFrames) == 0 && st != nil {
		next.part = c.nextPartLocked(st)
	}
	return next
}

// writeControlFrames writes control frames until one returns an error.
func writeControlFrames(frames []func() error) error {
	for _, write := range frames {
		if err := write(); err != nil {
			return err
		}
	}
	return nil
}

// nextStreamLocked returns the stream whose response is written next, or nil if none can be written. Streams are
// ordered by urgency, then by how long ago a part of their response was taken. nextStreamLocked also tells the
// admission controller which responses have to wait for a flow-control window.
func (c *conn) nextStreamLocked() (next *stream) {
	for _, st := range c.streams {
		blocked := st.unsentHeader == nil && len(st.unsentBody) > 0 && (st.sendWindow <= 0 || c.sendWindow <= 0)
		if !st.responding || blocked {
			c.setStalledLocked(st, st.responding)
			continue
		}
		if next == nil || st.goesBefore(next) {
			next = st
		}
	}
	return next
}

// goesBefore reports whether a stream's response is written before that of another stream.
func (st *stream) goesBefore(other *stream) bool {
	if st.urgency != other.urgency {
		return st.urgency < other.urgency
	}
	if st.lastWritten != other.lastWritten {
		return st.lastWritten < other.lastWritten
	}
	return st.id < other.id
}

// setStalledLocked records whether a response waits for a flow-control window, and notifies the admission controller of
// a change. The notification needs a goroutine of its own, since the server's lock must be taken before the
// connection's.
func (c *conn) setStalledLocked(st *stream, stalled bool) {
	if st.stalled == stalled || !st.registered {
		return
	}
	st.stalled = stalled
	c.goroutines.Go(func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.server.controller.Progress(c.server.now(), c.id, admission.StreamID(st.id), !stalled)
	})
}

// nextPartLocked takes the next part from a response. Parts of the body, but not the header, use up the send windows.
func (c *conn) nextPartLocked(st *stream) responsePart {
	c.writeCount++
	st.lastWritten = c.writeCount
	if header := st.unsentHeader; header != nil {
		st.unsentHeader = nil
		return responsePart{stream: st, header: header, endStream: len(st.unsentBody) == 0}
	}
	c.setStalledLocked(st, false)
	size := min(int64(len(st.unsentBody)), int64(c.maxFrameSize), st.sendWindow, c.sendWindow)
	body := st.unsentBody[:size]
	st.unsentBody = st.unsentBody[size:]
	st.sendWindow -= size
	c.sendWindow -= size
	return responsePart{stream: st, body: body, endStream: len(st.unsentBody) == 0}
}

// writePart writes a part of a response. It removes the stream after the last part.
func (c *conn) writePart(part responsePart, maxFrameSize int) error {
	st := part.stream
	var err error
	if part.header != nil {
		err = c.writeHeader(st.id, part.header, part.endStream, maxFrameSize)
	} else {
		err = c.framer.WriteData(st.id, part.endStream, part.body)
	}
	if err != nil || !part.endStream {
		return err
	}
	c.mu.Lock()
	requestComplete := st.requestComplete
	c.mu.Unlock()
	if !requestComplete { // tell the client to stop sending the request (RFC 9113, section 8.1)
		err = c.framer.WriteRSTStream(st.id, http2.ErrCodeNo)
	}
	c.mu.Lock()
	c.removeLocked(st)
	c.mu.Unlock()
	c.reportEnd(st, false)
	return err
}

// writeHeader writes the field section of a response, in as many frames as it needs.
func (c *conn) writeHeader(id uint32, resp *http.Response, endStream bool, maxFrameSize int) error {
	block := c.encodeHeader(resp)
	first := block[:min(len(block), maxFrameSize)]
	block = block[len(first):]
	err := c.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      id,
		BlockFragment: first,
		EndStream:     endStream,
		EndHeaders:    len(block) == 0,
	})
	for err == nil && len(block) > 0 {
		fragment := block[:min(len(block), maxFrameSize)]
		block = block[len(fragment):]
		err = c.framer.WriteContinuation(id, len(block) == 0, fragment)
	}
	return err
}

// encodeHeader returns the encoded field section of a response. The bytes are valid until the next call.
func (c *conn) encodeHeader(resp *http.Response) []byte {
	c.headerBlock.Reset()
	c.encodeField(":status", strconv.Itoa(resp.StatusCode))
	c.encodeField("content-length", strconv.FormatInt(resp.ContentLength, 10))
	for name, values := range resp.Header {
		if hopByHopFields[name] || name == "Content-Length" {
			continue
		}
		for _, value := range values {
			c.encodeField(strings.ToLower(name), value)
		}
	}
	return c.headerBlock.Bytes()
}

// encodeField appends a field to headerBlock.
func (c *conn) encodeField(name, value string) {
	c.encoder.WriteField(hpack.HeaderField{Name: name, Value: value})
}
