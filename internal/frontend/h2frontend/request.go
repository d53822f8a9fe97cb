package h2frontend

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
	"reachpulley/internal/intake"
	"reachpulley/internal/proto/httpmsg"
)

// hopByHopFields are the connection-specific fields, which HTTP/2 forbids (RFC 9113, section 8.2.2).
var hopByHopFields = map[string]bool{
	"Connection":        true,
	"Proxy-Connection":  true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// handleHeaders processes a field section: that of a new request, or the trailers of an open one.
func (c *conn) handleHeaders(frame *http2.MetaHeadersFrame) error {
	if frame.Truncated {
		c.recordViolation(admission.OversizedHeader)
	}
	id := frame.StreamID
	c.mu.Lock()
	st, highest := c.streams[id], c.highestStream
	c.mu.Unlock()
	switch {
	case id%2 == 0:
		return &connError{code: http2.ErrCodeProtocol, reason: "a client's stream has an odd number"}
	case st != nil && !st.requestComplete:
		return c.handleTrailers(st, frame)
	case id <= highest:
		return &connError{code: http2.ErrCodeStreamClosed, reason: "HEADERS on a stream that has ended"}
	}
	return c.openStream(frame)
}

// handleTrailers completes the request that the trailers end (RFC 9113, section 8.1). It ignores their fields. A
// request that is answered already, because its field section or its body is too long, must not be passed on.
func (c *conn) handleTrailers(st *stream, frame *http2.MetaHeadersFrame) error {
	c.mu.Lock()
	responding := st.responding
	c.mu.Unlock()
	if responding {
		return nil
	}
	if !frame.StreamEnded() || len(frame.PseudoFields()) > 0 {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	}
	return c.completeRequest(st)
}

// openStream opens a stream for a new request. It ignores the request once the second GOAWAY is queued, and rejects it
// if the client already has as many streams as it may have, or if the field section is too long or malformed.
func (c *conn) openStream(frame *http2.MetaHeadersFrame) error {
	c.pacer.Spend(intake.ParseCost)
	id := frame.StreamID
	st := &stream{id: id, startedAt: time.Now()}
	switch c.addStream(st) {
	case streamIgnored:
		c.recordViolation(admission.RejectedStream)
		return nil
	case streamRejected:
		c.recordViolation(admission.RejectedStream)
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeRefusedStream}
	}
	if !c.reserveFor(st, requestSize(frame)) {
		c.dropStream(st)
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeRefusedStream}
	}
	if frame.Truncated {
		limit := strconv.Itoa(c.server.options.MaxHeaderBytes)
		reason := "the field section is longer than " + limit + " bytes"
		c.respondError(st, http.StatusRequestHeaderFieldsTooLarge, reason)
		return nil
	}
	request, contentLength, err := c.buildRequest(frame)
	if err != nil {
		c.dropStream(st)
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol, Cause: err}
	}
	c.setUrgency(st, parseUrgency(request.Header.Get("Priority")))
	st.contentLength = contentLength
	st.request = request
	if contentLength > httpmsg.MaxRequestBody {
		c.respondBodyTooLong(st)
		return nil
	}
	if frame.StreamEnded() {
		return c.completeRequest(st)
	}
	return nil
}

// malformedError says what is wrong with a request (RFC 9113, section 8.1.1). It is not sent to the client, which gets
// only a reset of the stream.
type malformedError string

// Error describes the malformed request.
func (e malformedError) Error() string { return "malformed request: " + string(e) }

// buildRequest converts a field section to a request. It makes the checks that the framer does not make (RFC 9113,
// sections 8.2 and 8.3). The content length is -1 if the client does not state one.
func (c *conn) buildRequest(frame *http2.MetaHeadersFrame) (r *http.Request, contentLength int, err error) {
	pseudo := map[string]string{}
	for _, field := range frame.PseudoFields() {
		if _, duplicate := pseudo[field.Name]; duplicate {
			return nil, 0, malformedError("duplicate pseudo-header " + field.Name)
		}
		pseudo[field.Name] = field.Value
	}
	method, path := pseudo[":method"], pseudo[":path"]
	if method == "" || path == "" || pseudo[":scheme"] == "" || method == http.MethodConnect {
		return nil, 0, malformedError("missing :method, :scheme or :path, or the method is CONNECT")
	}
	u, err := url.ParseRequestURI(path)
	if err != nil || path[0] != '/' && (path != "*" || method != http.MethodOptions) {
		return nil, 0, malformedError("invalid :path")
	}
	r = &http.Request{
		Method:     method,
		URL:        u,
		Proto:      "HTTP/2.0",
		ProtoMajor: 2,
		Header:     http.Header{},
		Host:       pseudo[":authority"],
		RequestURI: path,
		RemoteAddr: c.netConn.RemoteAddr().String(),
	}
	contentLength, err = addFields(r, frame)
	return r, contentLength, err
}

// addFields adds the regular fields of a field section to a request. The content length is -1 if there is none.
func addFields(r *http.Request, frame *http2.MetaHeadersFrame) (contentLength int, err error) {
	contentLength = -1
	for _, field := range frame.RegularFields() {
		name := http.CanonicalHeaderKey(field.Name)
		switch {
		case hopByHopFields[name] || name == "Te" && field.Value != "trailers":
			return 0, malformedError("forbidden connection-specific field " + field.Name)
		case !httpguts.ValidHeaderFieldValue(field.Value):
			return 0, malformedError("invalid value of field " + field.Name)
		case name == "Content-Length":
			n, err := strconv.ParseUint(field.Value, 10, 31)
			if err != nil || contentLength >= 0 && contentLength != int(n) {
				return 0, malformedError("invalid or conflicting content-length")
			}
			contentLength = int(n)
		case name == "Host" && r.Host == "":
			r.Host = field.Value
		case name == "Cookie" && r.Header.Get(name) != "": // RFC 9113, section 8.2.3
			r.Header.Set(name, r.Header.Get(name)+"; "+field.Value)
		default:
			r.Header.Add(name, field.Value)
		}
	}
	return contentLength, nil
}

// parseUrgency returns the urgency in the value of a Priority field (RFC 9218, section 4.1), or the default if there is
// none or it is invalid.
func parseUrgency(field string) int {
	for parameter := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "u=")
		if ok && len(value) == 1 && value[0] >= '0' && value[0] <= '7' {
			return int(value[0] - '0')
		}
	}
	return admission.DefaultUrgency
}

// handleData appends the content of a DATA frame to the body of a request.
func (c *conn) handleData(frame *http2.DataFrame) error {
	size := int(frame.Length) // the padding uses up the window, too
	c.mu.Lock()
	c.receiveWindow -= size
	exceeded := c.receiveWindow < 0
	highest := c.highestStream
	st := c.streams[frame.StreamID]
	responding := st != nil && st.responding
	c.mu.Unlock()
	switch {
	case exceeded:
		return &connError{code: http2.ErrCodeFlowControl, reason: "more DATA than the connection's window"}
	case st == nil && frame.StreamID > highest:
		return &connError{code: http2.ErrCodeProtocol, reason: "DATA on an idle stream"}
	case st == nil || responding: // the client sent it before it received the reset or the response
		c.returnWindow(size)
		return nil
	case st.requestComplete:
		c.returnWindow(size)
		return http2.StreamError{StreamID: frame.StreamID, Code: http2.ErrCodeStreamClosed}
	}
	data := frame.Data()
	if len(data) == 0 && !frame.StreamEnded() {
		c.recordViolation(admission.EmptyFrame)
	}
	c.addIncompleteBytes(st, len(data))
	c.returnWindow(size)
	if st.body.Len()+len(data) > httpmsg.MaxRequestBody {
		c.respondBodyTooLong(st)
		return nil
	}
	expected := httpmsg.MaxRequestBody
	if st.contentLength >= 0 {
		expected = st.contentLength - st.body.Len()
	}
	if !c.reserveFor(st, st.body.Growth(len(data), expected)) {
		c.respondNoMemory(st)
		return nil
	}
	st.body = st.body.Append(data, expected)
	if st.contentLength >= 0 && st.body.Len() > st.contentLength {
		return http2.StreamError{StreamID: frame.StreamID, Code: http2.ErrCodeProtocol}
	}
	if frame.StreamEnded() {
		return c.completeRequest(st)
	}
	return nil
}

// addIncompleteBytes adds size bytes to those that have arrived of incomplete request bodies, unless the stream has
// ended.
func (c *conn) addIncompleteBytes(st *stream, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.id] == st {
		c.incompleteBytes += size
		st.incompleteBytes += size
	}
}

// returnWindow gives size bytes of the connection's receive window back to the client. If more bytes of incomplete
// bodies have arrived than a connection may hold in memory, the window is held back until enough of the bodies are
// complete or their streams have ended.
func (c *conn) returnWindow(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreturnedWindow += size
	c.returnWindowLocked()
}

// returnWindowLocked queues a WINDOW_UPDATE, unless one is queued already or the window is held back (see
// returnWindow). The WINDOW_UPDATE returns the whole window that is unreturned when it is written. With a WINDOW_UPDATE
// for each DATA frame instead, a client that sends its body byte by byte, and faster than it reads, would fill the
// queue of control frames and so lose its connection.
func (c *conn) returnWindowLocked() {
	if c.unreturnedWindow == 0 || c.windowUpdateQueued {
		return
	}
	if c.incompleteBytes > c.server.options.Admission.ConnectionMemoryBytes {
		return
	}
	c.windowUpdateQueued = true
	c.queueControlLocked(func() error {
		c.mu.Lock()
		size := c.unreturnedWindow
		c.unreturnedWindow = 0
		c.windowUpdateQueued = false
		c.receiveWindow += size
		c.mu.Unlock()
		if size == 0 {
			return nil
		}
		return c.framer.WriteWindowUpdate(0, uint32(size))
	})
}

// completeRequest passes a request to the admission controller once it has arrived completely.
func (c *conn) completeRequest(st *stream) error {
	if st.contentLength >= 0 && st.body.Len() != st.contentLength {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	}
	arrival := time.Now().Add(-c.socket.InputAge())
	received := &httpmsg.Received{Arrival: arrival, Body: st.body, Client: c.monitor(st)}
	st.request = st.request.WithContext(httpmsg.WithReceived(st.ctx, received))
	st.request.ContentLength = int64(st.body.Len())
	st.request.Body = io.NopCloser(st.body.Reader())
	c.mu.Lock()
	if c.streams[st.id] != st { // the request has just timed out, which reset its stream
		c.mu.Unlock()
		return nil
	}
	st.requestComplete = true
	st.registered = true
	c.incompleteBytes -= st.incompleteBytes
	c.returnWindowLocked()
	c.mu.Unlock()
	c.admit(st)
	return nil
}

// admit passes a complete request to the admission controller. If it has to wait, the wait is bounded.
func (c *conn) admit(st *stream) {
	handler := c.server.options.Handler
	request := admission.Request{Client: handler.ClientID(st.request)}
	var clientTimeout time.Duration
	classifier, classified := handler.(Classifier)
	if classified {
		clientTimeout = classifier.ClientTimeout(st.request)
		request.Destination = classifier.Destination(st.request)
	}
	c.mu.Lock()
	request.Urgency = st.urgency
	c.mu.Unlock()
	c.server.notifyAdmission(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.Admit(now, c.id, admission.StreamID(st.id), request)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if classified && !st.started && c.streams[st.id] == st {
		maxWait := time.Duration(maxWaitShare * float64(clientTimeout))
		st.waitTimer = time.AfterFunc(maxWait, func() { c.expire(st) })
	}
}

// expire tells the admission controller that a request may not wait any longer.
func (c *conn) expire(st *stream) {
	c.server.notifyAdmission(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.Expire(now, c.id, admission.StreamID(st.id))
	})
}
