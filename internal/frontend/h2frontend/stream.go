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

// stream is a request and its response. It stays in the stream table of its connection until its response is written or
// it is reset. In both cases removeLocked removes it.
type stream struct {
	id        uint32
	startedAt time.Time // when its HEADERS arrived

	// The following fields hold the request. The connection's reading goroutine owns them until requestComplete is
	// set.

	request       *http.Request
	ctx           context.Context    // the context of the request
	cancel        context.CancelFunc // cancels ctx
	contentLength int                // bytes, or -1 if the client does not state it
	body          httpmsg.Body

	// The connection's lock guards the fields below.

	requestComplete bool
	reserved        int         // bytes of memory
	incompleteBytes int         // bytes of the body that are counted in conn.incompleteBytes
	registered      bool        // the admission controller knows the stream and has to be notified of its end
	started         bool        // the admission controller has started the stream
	waitTimer       *time.Timer // ends the wait for admission; nil: the stream does not wait, or without a bound
	urgency         int         // from 0, the most urgent, to 7 (RFC 9218)

	responding   bool           // the response is known, and its parts may be written
	unsentHeader *http.Response // the response, or nil once its header is written
	unsentBody   []byte         // the part of the response's body that is not written yet
	sendWindow   int64          // bytes of the response's body that may still be sent
	lastWritten  uint64         // conn.writeCount when a part of the response was last written
	stalled      bool           // the response waits for the client to raise a flow-control window
}

// streamOpening is what becomes of a stream that a client opens.
type streamOpening int

const (
	streamAdded    streamOpening = iota
	streamIgnored                // the last GOAWAY has told the client that later streams are not processed
	streamRejected               // the client has as many streams as it may have
)

// stopWaitTimer ends the bound on the wait for admission.
func (st *stream) stopWaitTimer() {
	if st.waitTimer != nil {
		st.waitTimer.Stop()
		st.waitTimer = nil
	}
}

// addStream adds a new stream to the connection's table, unless it is ignored or rejected. A GOAWAY names the highest
// stream that is processed, so the table gets a stream in the same step in which it becomes the highest one.
func (c *conn) addStream(st *stream) streamOpening {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestStream = st.id
	if c.ignoresNewStreams {
		return streamIgnored
	}
	c.lastStream = st.id
	if len(c.streams) >= c.server.options.Admission.MaxStreams {
		return streamRejected
	}
	st.ctx, st.cancel = context.WithCancel(c.ctx)
	st.sendWindow = c.initialStreamSendWindow
	c.streams[st.id] = st
	return streamAdded
}

// dropStream removes a stream whose request is malformed.
func (c *conn) dropStream(st *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(st)
}

// setUrgency sets the urgency of a stream.
func (c *conn) setUrgency(st *stream, urgency int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st.urgency = urgency
}

// handleRequest lets the Handler answer a stream's request. It passes on the response if the admission controller
// reserves memory for the body. Otherwise the request has failed, and the client is told so by a response without a
// body: the request may have run, so nothing may suggest that it can be repeated.
func (c *conn) handleRequest(st *stream) {
	resp := c.server.options.Handler.Handle(st.request)
	body, _ := io.ReadAll(resp.Body) // the body is in memory, so reading it cannot fail
	c.payFor(resp.StatusCode)
	if st.request.Context().Err() != nil {
		return // the stream was reset or its connection has ended, so nobody waits for the response
	}
	var err error
	c.server.notifyAdmission(func(a *admission.Controller, now time.Duration) (actions []admission.Action) {
		actions, err = a.Reserve(now, c.id, admission.StreamID(st.id), len(body))
		return actions
	})
	if err != nil {
		c.server.options.Log.Warn("no memory left for HTTP/2 response", "client", c.client, "bytes", len(body))
		resp, body = &http.Response{StatusCode: http.StatusBadGateway, Header: http.Header{}}, nil
	}
	c.respond(st, resp, body)
}

// respond passes a stream's response to the writing goroutine. It does nothing if the stream has ended or already has a
// response.
func (c *conn) respond(st *stream, resp *http.Response, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.respondLocked(st, resp, body)
}

// respondLocked is respond for a caller that holds c.mu.
func (c *conn) respondLocked(st *stream, resp *http.Response, body []byte) {
	if c.streams[st.id] != st || st.responding {
		return
	}
	resp.ContentLength = int64(len(body))
	st.responding = true
	st.unsentHeader = resp
	st.unsentBody = body
	c.wake.Signal()
}

// respondError answers a request with an error status and a reason as text. The admission controller does not get to
// know the request.
func (c *conn) respondError(st *stream, status int, reason string) {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	c.respond(st, &http.Response{StatusCode: status, Header: header}, []byte(reason+"\n"))
}

// respondBodyTooLong answers a request whose body is too long, by its content-length or by the bytes that have arrived.
func (c *conn) respondBodyTooLong(st *stream) {
	limit := strconv.Itoa(httpmsg.MaxRequestBody)
	c.respondError(st, http.StatusRequestEntityTooLarge, "the body is longer than "+limit+" bytes")
}

// respondNoMemory rejects a request for which there is no memory. Nothing has run for it.
func (c *conn) respondNoMemory(st *stream) {
	c.respond(st, &http.Response{StatusCode: http.StatusServiceUnavailable, Header: c.retryAfterHeader()}, nil)
}

// retryAfterHeader returns the header of a rejection.
func (c *conn) retryAfterHeader() http.Header {
	header := http.Header{}
	if retryAfter := c.server.options.RetryAfter; retryAfter > 0 {
		header.Set("Retry-After", httpmsg.FormatRetryAfter(retryAfter))
	}
	return header
}

// rejectExpiredLocked answers a request that has waited for admission for too long. The admission controller does not
// know its stream any more.
func (c *conn) rejectExpiredLocked(st *stream) {
	st.registered = false
	c.respondLocked(st, &http.Response{StatusCode: http.StatusServiceUnavailable, Header: c.retryAfterHeader()}, nil)
}

// handleRSTStream removes the stream that the client has reset. Its response is no longer wanted.
func (c *conn) handleRSTStream(id uint32) error {
	c.mu.Lock()
	st := c.streams[id]
	if st == nil {
		idle := id > c.highestStream
		c.mu.Unlock()
		if idle {
			return &connError{code: http2.ErrCodeProtocol, reason: "RST_STREAM on an idle stream"}
		}
		return nil
	}
	c.removeLocked(st)
	c.mu.Unlock()
	c.reportEnd(st, true)
	return nil
}

// resetForError resets a stream because of an error made by the client. The stream need not be open.
func (c *conn) resetForError(id uint32, code http2.ErrCode) {
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

// resetLocked removes a stream and queues an RST_STREAM. The caller calls reportEnd, unless the admission controller
// has asked for the reset, or does not know the stream because the request is incomplete.
func (c *conn) resetLocked(st *stream, code http2.ErrCode) {
	c.removeLocked(st)
	write := func() error { return c.framer.WriteRSTStream(st.id, code) }
	if c.closing { // the client must learn the end of each stream; there are no new ones, so these frames are few
		c.controlFrames = append(c.controlFrames, write)
		c.wake.Signal()
		return
	}
	c.queueControlLocked(write)
}

// removeLocked removes a stream from the connection's table and cancels the context of its request. It does nothing if
// the stream has been removed before.
func (c *conn) removeLocked(st *stream) {
	if c.streams[st.id] != st {
		return
	}
	delete(c.streams, st.id)
	st.stopWaitTimer()
	if !st.requestComplete {
		c.incompleteBytes -= st.incompleteBytes
		c.returnWindowLocked()
	}
	c.memory.Release(st.reserved)
	st.reserved = 0
	c.noteArrivingLocked()
	st.cancel()
	c.idleSince = time.Now()
}

// reportEnd notifies the admission controller that a stream has ended, either by a reset or because its response is
// written. It does nothing for a stream that is not registered, which the controller does not know.
func (c *conn) reportEnd(st *stream, reset bool) {
	if !st.registered {
		return
	}
	c.server.notifyAdmission(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.End(now, c.id, admission.StreamID(st.id), reset)
	})
}
