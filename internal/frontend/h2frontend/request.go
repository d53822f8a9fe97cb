package h2frontend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
	"reachpulley/internal/proto/httpmsg"
)

// hopByHopFields are the fields of one connection, which HTTP/2 does not have (RFC 9113, section 8.2.2).
var hopByHopFields = map[string]bool{
	"Connection":        true,
	"Proxy-Connection":  true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// handleHeaders handles the field section of a new request, or the trailers of one.
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
		return &connError{http2.ErrCodeProtocol, "a client's stream has an odd number"}
	case st != nil && !st.requestComplete:
		return c.handleTrailers(st, frame)
	case id <= highest:
		return &connError{http2.ErrCodeStreamClosed, "HEADERS on a stream that has ended"}
	}
	return c.openStream(frame)
}

// handleTrailers handles the end of a request whose body has arrived (RFC 9113, section 8.1). Trailers are ignored.
func (c *conn) handleTrailers(st *stream, frame *http2.MetaHeadersFrame) error {
	if !frame.StreamEnded() || len(frame.PseudoFields()) > 0 {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	}
	return c.completeRequest(st)
}

// openStream opens a stream, unless the client may not have another one.
func (c *conn) openStream(frame *http2.MetaHeadersFrame) error {
	id := frame.StreamID
	c.mu.Lock()
	c.highestStream = id
	ignored := c.rejectsNew
	full := len(c.streams) >= c.server.options.Admission.Streams
	c.mu.Unlock()
	switch {
	case ignored: // the second GOAWAY has told the client that streams beyond it are not processed
		c.recordViolation(admission.RejectedStream)
		return nil
	case full:
		c.recordViolation(admission.RejectedStream)
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeRefusedStream}
	case frame.Truncated:
		limit := strconv.Itoa(c.server.options.MaxHeaderBytes)
		reason := "the field section is longer than " + limit + " bytes"
		c.rejectRequest(id, http.StatusRequestHeaderFieldsTooLarge, reason)
		return nil
	}
	request, contentLength, err := c.buildRequest(frame)
	if err != nil {
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol, Cause: err}
	}
	st := &stream{
		id:            id,
		startedAt:     time.Now(),
		urgency:       parseUrgency(request.Header.Get("Priority")),
		contentLength: contentLength,
	}
	var ctx context.Context
	ctx, st.cancel = context.WithCancel(c.ctx)
	st.request = request.WithContext(ctx)
	c.addStream(st)
	if contentLength > httpmsg.MaxRequestBody {
		c.respondBodyTooLong(st)
		return nil
	}
	if frame.StreamEnded() {
		return c.completeRequest(st)
	}
	return nil
}

// malformedError says what is wrong with a request (RFC 9113, section 8.1.1). The client gets a reset only.
type malformedError string

// Error returns what is wrong.
func (e malformedError) Error() string { return "malformed request: " + string(e) }

// buildRequest converts a field section. It checks what the framer has not checked (RFC 9113, sections 8.2 and 8.3).
// The content length is -1 if the client states none.
func (c *conn) buildRequest(frame *http2.MetaHeadersFrame) (r *http.Request, contentLength int, err error) {
	pseudo := map[string]string{}
	for _, field := range frame.PseudoFields() {
		if _, duplicate := pseudo[field.Name]; duplicate {
			return nil, 0, malformedError("duplicate " + field.Name)
		}
		pseudo[field.Name] = field.Value
	}
	method, path := pseudo[":method"], pseudo[":path"]
	if method == "" || path == "" || pseudo[":scheme"] == "" || method == http.MethodConnect {
		return nil, 0, malformedError("missing pseudo-header, or CONNECT")
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

// addFields adds the regular fields to a request.
func addFields(r *http.Request, frame *http2.MetaHeadersFrame) (contentLength int, err error) {
	contentLength = -1
	for _, field := range frame.RegularFields() {
		name := http.CanonicalHeaderKey(field.Name)
		switch {
		case hopByHopFields[name] || name == "Te" && field.Value != "trailers":
			return 0, malformedError("connection-specific field " + field.Name)
		case !httpguts.ValidHeaderFieldValue(field.Value):
			return 0, malformedError("invalid value of " + field.Name)
		case name == "Content-Length":
			n, err := strconv.ParseUint(field.Value, 10, 31)
			if err != nil || contentLength >= 0 && contentLength != int(n) {
				return 0, malformedError("invalid content-length")
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

// parseUrgency reads the urgency of a Priority field (RFC 9218, section 4.1). An invalid one is the default.
func parseUrgency(field string) int {
	for parameter := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "u=")
		if ok && len(value) == 1 && value[0] >= '0' && value[0] <= '7' {
			return int(value[0] - '0')
		}
	}
	return admission.DefaultUrgency
}

// handleData adds a part to the body of a request.
func (c *conn) handleData(frame *http2.DataFrame) error {
	size := int(frame.Length) // padding counts, too
	c.mu.Lock()
	c.receiveWindow -= size
	exceeded := c.receiveWindow < 0
	highest := c.highestStream
	st := c.streams[frame.StreamID]
	responding := st != nil && st.responding
	c.mu.Unlock()
	switch {
	case exceeded:
		return &connError{http2.ErrCodeFlowControl, "more DATA than the connection's window"}
	case st == nil && frame.StreamID > highest:
		return &connError{http2.ErrCodeProtocol, "DATA on an idle stream"}
	case st == nil || responding: // sent before the client knew of the reset or the response
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
	c.countIncomplete(st, len(data))
	c.returnWindow(size)
	if len(st.body)+len(data) > httpmsg.MaxRequestBody {
		c.respondBodyTooLong(st)
		return nil
	}
	st.body = append(st.body, data...)
	if st.contentLength >= 0 && len(st.body) > st.contentLength {
		return http2.StreamError{StreamID: frame.StreamID, Code: http2.ErrCodeProtocol}
	}
	if frame.StreamEnded() {
		return c.completeRequest(st)
	}
	return nil
}

// countIncomplete counts bytes of a body that has not arrived completely.
func (c *conn) countIncomplete(st *stream, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.id] == st {
		c.incompleteBytes += size
		st.incompleteBytes += size
	}
}

// returnWindow lets the client send as many bytes again as have arrived. If too many bytes of incomplete bodies have
// arrived, this waits until some of the bodies are complete.
func (c *conn) returnWindow(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreturnedWindow += size
	c.returnWindowLocked()
}

// returnWindowLocked queues a WINDOW_UPDATE unless one is queued. It returns all that is unreturned when it is
// written: one WINDOW_UPDATE for each DATA would fill the queue when a client sends its body byte by byte and faster
// than it reads, and end its connection.
func (c *conn) returnWindowLocked() {
	if c.unreturnedWindow == 0 || c.windowUpdateQueued {
		return
	}
	if c.incompleteBytes > c.server.options.Admission.ConnectionMemory {
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

// completeRequest passes a request that has arrived completely to admission.
func (c *conn) completeRequest(st *stream) error {
	if st.contentLength >= 0 && len(st.body) != st.contentLength {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	}
	st.request.ContentLength = int64(len(st.body))
	st.request.Body = io.NopCloser(bytes.NewReader(st.body))
	c.mu.Lock()
	if c.streams[st.id] != st { // the request timed out in this very moment
		c.mu.Unlock()
		return nil
	}
	st.requestComplete = true
	st.registered = true
	c.incompleteBytes -= st.incompleteBytes
	c.returnWindowLocked()
	c.mu.Unlock()
	client := c.server.options.Handler.ClientID(st.request)
	c.mu.Lock()
	urgency := st.urgency
	c.mu.Unlock()
	c.server.decide(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.Arrive(now, c.id, admission.StreamID(st.id), client, urgency)
	})
	return nil
}
