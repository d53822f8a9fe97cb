package h2frontend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
	"reachpulley/internal/proto/httpmsg"
)

// stream is one request and its response. It is in its connection's table until its response is written or it is
// reset; removeLocked removes it in both cases.
type stream struct {
	id        uint32
	startedAt time.Time // when its HEADERS arrived

	// The request. The connection's reading goroutine owns these fields until requestComplete.

	request       *http.Request
	cancel        context.CancelFunc // ends the request's context: its client has disconnected
	contentLength int                // -1: not stated
	body          []byte

	// The fields below are guarded by the connection's lock.

	requestComplete bool
	incompleteBytes int  // bytes of body that count in conn.incompleteBytes
	registered      bool // admission knows the stream
	urgency         int  // RFC 9218: 0 is most urgent

	responding  bool           // the response is known
	header      *http.Response // the response until its header is written
	unsent      []byte         // of the response's body
	sendWindow  int64
	lastWritten uint64 // conn.writeCount when a part of the response was last written
	stalled     bool   // the response waits for the client to raise a window
}

// addStream adds a new stream to the table.
func (c *conn) addStream(st *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st.sendWindow = c.initialStreamSendWindow
	c.streams[st.id] = st
}

// handleRequest has the Handler answer a stream's request.
func (c *conn) handleRequest(st *stream) {
	resp := c.server.options.Handler.Handle(st.request)
	body, _ := io.ReadAll(resp.Body) // already in memory
	if st.request.Context().Err() != nil {
		return // the stream was reset, and removed then
	}
	var err error
	c.server.decide(func(a *admission.Controller, now time.Duration) (actions []admission.Action) {
		actions, err = a.Reserve(now, c.id, admission.StreamID(st.id), len(body))
		return actions
	})
	if err != nil { // there is no memory in which the response could wait for the client
		c.mu.Lock()
		if c.streams[st.id] == st {
			c.resetLocked(st, http2.ErrCodeEnhanceYourCalm)
		}
		c.mu.Unlock()
		c.reportEnd(st, false)
		return
	}
	c.respond(st, resp, body)
}

// respond passes a stream's response to the writing goroutine.
func (c *conn) respond(st *stream, resp *http.Response, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.id] != st || st.responding {
		return
	}
	resp.ContentLength = int64(len(body))
	st.responding = true
	st.header = resp
	st.unsent = body
	c.wake.Signal()
}

// respondError answers a request that is not passed to admission.
func (c *conn) respondError(st *stream, status int, reason string) {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	c.respond(st, &http.Response{StatusCode: status, Header: header}, []byte(reason+"\n"))
}

// respondBodyTooLong answers a request whose body is, or will be, too long.
func (c *conn) respondBodyTooLong(st *stream) {
	limit := strconv.Itoa(httpmsg.MaxRequestBody)
	c.respondError(st, http.StatusRequestEntityTooLarge, "the body is longer than "+limit+" bytes")
}

// rejectRequest answers a request whose field section cannot be used.
func (c *conn) rejectRequest(id uint32, status int, reason string) {
	st := &stream{id: id, startedAt: time.Now(), cancel: func() {}}
	c.addStream(st)
	c.respondError(st, status, reason)
}

// resetByClient handles RST_STREAM: the client does not want the response any more.
func (c *conn) resetByClient(id uint32) error {
	c.mu.Lock()
	st := c.streams[id]
	if st == nil {
		idle := id > c.highestStream
		c.mu.Unlock()
		if idle {
			return &connError{http2.ErrCodeProtocol, "RST_STREAM on an idle stream"}
		}
		return nil
	}
	c.removeLocked(st)
	c.mu.Unlock()
	c.reportEnd(st, true)
	return nil
}

// resetByServer resets a stream for an error that the client has made.
func (c *conn) resetByServer(id uint32, code http2.ErrCode) {
	c.mu.Lock()
	st := c.streams[id]
	if st == nil {
		c.highestStream = max(c.highestStream, id)
		c.queueControlLocked(func() error { return c.framer.WriteRSTStream(id, code) })
		c.mu.Unlock()
		c.recordViolation(admission.StreamReset)
		return
	}
	c.resetLocked(st, code)
	c.mu.Unlock()
	c.reportEnd(st, true)
}

// resetLocked removes a stream and sends RST_STREAM. The caller reports the end to admission, unless admission has
// caused it.
func (c *conn) resetLocked(st *stream, code http2.ErrCode) {
	c.removeLocked(st)
	c.queueControlLocked(func() error { return c.framer.WriteRSTStream(st.id, code) })
}

// removeLocked removes a stream from the table and ends its request.
func (c *conn) removeLocked(st *stream) {
	if c.streams[st.id] != st {
		return
	}
	delete(c.streams, st.id)
	if !st.requestComplete {
		c.incompleteBytes -= st.incompleteBytes
		c.returnWindowLocked()
	}
	st.cancel()
	c.idleSince = time.Now()
}

// reportEnd notifies admission that a stream has ended, by a reset or by its response.
func (c *conn) reportEnd(st *stream, reset bool) {
	if !st.registered {
		return
	}
	c.server.decide(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.End(now, c.id, admission.StreamID(st.id), reset)
	})
}
