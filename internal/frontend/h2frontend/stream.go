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
	"golang.org/x/net/http2/hpack"

	"reachpulley/internal/admission"
	"reachpulley/internal/proto/httpmsg"
)

// stream is one request and its answer. It stands in its connection's table until its answer is out or it is reset; both
// take it out in forgetLocked.
type stream struct {
	id      uint32
	request *http.Request
	cancel  context.CancelFunc // ends the request: its client has left
	began   time.Time
	urgency int
	length  int // that content-length announced; -1: none
	body    []byte
	kept    int  // bytes that count as coming
	whole   bool // the request is in
	core    bool // the admission knows of it

	window    int64
	answering bool
	header    *http.Response // until it is written
	rest      []byte         // of the answer's body
	turn      uint64         // when it was last written
	stalled   bool
}

// headers takes a request's field section, or its trailers.
func (c *conn) headers(f *http2.MetaHeadersFrame) error {
	if f.Truncated {
		c.blame(admission.OversizedHeader)
	}
	id := f.StreamID
	c.mu.Lock()
	st, newest := c.streams[id], c.newest
	c.mu.Unlock()
	switch {
	case id%2 == 0:
		return &connFault{http2.ErrCodeProtocol, "a client's stream has an odd number"}
	case st != nil && !st.whole: // trailers (RFC 9113, section 8.1)
		if !f.StreamEnded() || len(f.PseudoFields()) > 0 {
			return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
		}
		return c.end(st)
	case id <= newest:
		return &connFault{http2.ErrCodeStreamClosed, "HEADERS on a stream that has ended"}
	}
	c.mu.Lock()
	c.newest = id
	ignored, full := c.final, len(c.streams) >= c.server.Admission.Streams
	c.mu.Unlock()
	switch {
	case ignored: // beyond the second GOAWAY: certainly not taken, and the client knows
		c.blame(admission.RejectedStream)
		return nil
	case full:
		c.blame(admission.RejectedStream)
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeRefusedStream}
	case f.Truncated:
		c.fault(id, http.StatusRequestHeaderFieldsTooLarge, "the field section is longer than "+strconv.Itoa(c.server.MaxHeaderBytes)+" bytes")
		return nil
	}
	r, length, err := c.build(f)
	if err != nil {
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol, Cause: err}
	}
	st = &stream{id: id, request: r, began: time.Now(), urgency: urgencyOf(r.Header.Get("Priority")), length: length}
	var ctx context.Context
	ctx, st.cancel = context.WithCancel(c.ctx)
	st.request = r.WithContext(ctx)
	c.mu.Lock()
	st.window = c.initial
	c.streams[id] = st
	c.mu.Unlock()
	if length > httpmsg.MaxRequestBody {
		c.answerFault(st, http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.Itoa(httpmsg.MaxRequestBody)+" bytes")
		return nil
	}
	if f.StreamEnded() {
		return c.end(st)
	}
	return nil
}

type malformed string

func (m malformed) Error() string { return string(m) }

// build makes a request of a field section. What the framer has not checked is checked here (RFC 9113, sections 8.2
// and 8.3).
func (c *conn) build(f *http2.MetaHeadersFrame) (r *http.Request, length int, err error) {
	pseudo := map[string]string{}
	for _, p := range f.PseudoFields() {
		if _, twice := pseudo[p.Name]; twice {
			return nil, 0, malformed(p.Name + " twice")
		}
		pseudo[p.Name] = p.Value
	}
	if pseudo[":method"] == "" || pseudo[":path"] == "" || pseudo[":scheme"] == "" || pseudo[":method"] == http.MethodConnect {
		return nil, 0, malformed("a pseudo-header is missing, or CONNECT")
	}
	u, err := url.ParseRequestURI(pseudo[":path"])
	if err != nil || pseudo[":path"][0] != '/' && (pseudo[":path"] != "*" || pseudo[":method"] != http.MethodOptions) {
		return nil, 0, malformed(":path")
	}
	r = &http.Request{Method: pseudo[":method"], URL: u, Proto: "HTTP/2.0", ProtoMajor: 2, Header: http.Header{}, Host: pseudo[":authority"],
		RequestURI: pseudo[":path"], RemoteAddr: c.net.RemoteAddr().String()}
	length = -1
	for _, h := range f.RegularFields() {
		name := http.CanonicalHeaderKey(h.Name)
		switch {
		case hopByHop[name] || name == "Te" && h.Value != "trailers":
			return nil, 0, malformed(h.Name + " is for one connection")
		case !httpguts.ValidHeaderFieldValue(h.Value):
			return nil, 0, malformed(h.Name)
		case name == "Content-Length":
			n, err := strconv.ParseUint(h.Value, 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return nil, 0, malformed("content-length")
			}
			length = int(n)
		case name == "Host" && r.Host == "":
			r.Host = h.Value
		case name == "Cookie" && r.Header.Get(name) != "": // RFC 9113, section 8.2.3
			r.Header.Set(name, r.Header.Get(name)+"; "+h.Value)
		default:
			r.Header.Add(name, h.Value)
		}
	}
	return r, length, nil
}

// hopByHop are the fields of one connection, which HTTP/2 has not (RFC 9113, section 8.2.2).
var hopByHop = map[string]bool{"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Upgrade": true}

// urgencyOf reads u of a Priority field (RFC 9218, section 4.1); what can't be read is the default.
func urgencyOf(field string) int {
	for part := range strings.SplitSeq(field, ",") {
		if figure, ok := strings.CutPrefix(strings.TrimSpace(part), "u="); ok && len(figure) == 1 && figure[0] >= '0' && figure[0] <= '7' {
			return int(figure[0] - '0')
		}
	}
	return admission.DefaultUrgency
}

// data takes a part of a body.
func (c *conn) data(f *http2.DataFrame) error {
	size := int(f.Length) // padding counts, too
	c.mu.Lock()
	c.credit -= size
	st, newest, over := c.streams[f.StreamID], c.newest, c.credit < 0
	c.mu.Unlock()
	switch {
	case over:
		return &connFault{http2.ErrCodeFlowControl, "more DATA than the connection's window"}
	case st == nil && f.StreamID > newest:
		return &connFault{http2.ErrCodeProtocol, "DATA on an idle stream"}
	case st == nil || st.answering: // it was reset or answered; its bytes were on their way
		c.refund(size)
		return nil
	case st.whole:
		c.refund(size)
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeStreamClosed}
	}
	body := f.Data()
	if len(body) == 0 && !f.StreamEnded() {
		c.blame(admission.EmptyFrame)
	}
	c.keep(st, len(body))
	c.refund(size)
	if len(st.body)+len(body) > httpmsg.MaxRequestBody {
		c.answerFault(st, http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.Itoa(httpmsg.MaxRequestBody)+" bytes")
		return nil
	}
	st.body = append(st.body, body...)
	if st.length >= 0 && len(st.body) > st.length {
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	}
	if f.StreamEnded() {
		return c.end(st)
	}
	return nil
}

// keep counts bytes of a body that is not whole.
func (c *conn) keep(st *stream, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.id] == st {
		c.coming, st.kept = c.coming+size, st.kept+size
	}
}

// refund lets the client send as much again, unless so much is on its way in that some of it has to become whole first.
func (c *conn) refund(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed += size
	c.refundLocked()
}

func (c *conn) refundLocked() {
	if c.owed == 0 || c.paying || c.coming > c.server.Admission.ConnectionMemory {
		return
	}
	// One waits at most, and pays all that is owed when it is written: a client that sends its body byte by byte, faster than it reads, would otherwise
	// fill the queue of frames and be cut.
	c.paying = true
	c.queueLocked(func() error {
		c.mu.Lock()
		size := c.owed
		c.owed, c.paying = 0, false
		c.credit += size
		c.mu.Unlock()
		if size == 0 {
			return nil
		}
		return c.framer.WriteWindowUpdate(0, uint32(size))
	})
}

// end takes a request that is whole to the admission.
func (c *conn) end(st *stream) error {
	if st.length >= 0 && len(st.body) != st.length {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	}
	st.request.ContentLength = int64(len(st.body))
	st.request.Body = io.NopCloser(bytes.NewReader(st.body))
	c.mu.Lock()
	if c.streams[st.id] != st { // its time was over in this very moment
		c.mu.Unlock()
		return nil
	}
	st.whole, st.core = true, true
	c.coming -= st.kept
	c.refundLocked()
	c.mu.Unlock()
	who := c.server.Carrier.ClientID(st.request)
	c.mu.Lock()
	urgency := st.urgency
	c.mu.Unlock()
	c.server.decide(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.Arrive(now, c.id, admission.StreamID(st.id), who, urgency)
	})
	return nil
}

// perform carries a stream's request. Its answer is whole when it comes.
func (c *conn) perform(st *stream) {
	resp := c.server.Carrier.Handle(st.request)
	body, _ := io.ReadAll(resp.Body) // it is in memory
	if st.request.Context().Err() != nil {
		return // reset: it was forgotten then
	}
	var err error
	c.server.decide(func(a *admission.Controller, now time.Duration) (actions []admission.Action) {
		actions, err = a.Reserve(now, c.id, admission.StreamID(st.id), len(body))
		return actions
	})
	if err != nil { // it has been answered, but there is no room to hold the answer until the client reads it
		c.mu.Lock()
		if c.streams[st.id] == st {
			c.dropLocked(st, http2.ErrCodeEnhanceYourCalm)
		}
		c.mu.Unlock()
		c.gone(st, false)
		return
	}
	c.answer(st, resp, body)
}

// answer hands a stream's answer to the writer.
func (c *conn) answer(st *stream, resp *http.Response, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.id] == st && !st.answering {
		resp.ContentLength = int64(len(body))
		st.answering, st.header, st.rest = true, resp, body
		c.wake.Signal()
	}
}

// answerFault answers a request that the core does not hear of.
func (c *conn) answerFault(st *stream, status int, why string) {
	body := []byte(why + "\n")
	c.answer(st, &http.Response{StatusCode: status, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}}, body)
}

// fault answers a stream of which nothing is kept.
func (c *conn) fault(id uint32, status int, why string) {
	st := &stream{id: id, began: time.Now(), cancel: func() {}}
	c.mu.Lock()
	st.window = c.initial
	c.streams[id] = st
	c.mu.Unlock()
	c.answerFault(st, status, why)
}

// resetByClient takes the client's word that it does not want an answer any more.
func (c *conn) resetByClient(id uint32) error {
	c.mu.Lock()
	st := c.streams[id]
	if st == nil {
		idle := id > c.newest
		c.mu.Unlock()
		if idle {
			return &connFault{http2.ErrCodeProtocol, "RST_STREAM on an idle stream"}
		}
		return nil
	}
	c.forgetLocked(st)
	c.mu.Unlock()
	c.gone(st, true)
	return nil
}

// reset ends a stream with a code.
func (c *conn) reset(id uint32, code http2.ErrCode) {
	c.mu.Lock()
	st := c.streams[id]
	if st == nil {
		c.newest = max(c.newest, id)
		c.queueLocked(func() error { return c.framer.WriteRSTStream(id, code) })
		c.mu.Unlock()
		c.blame(admission.StreamReset)
		return
	}
	c.dropLocked(st, code)
	c.mu.Unlock()
	c.gone(st, true)
}

// dropLocked ends a stream with a code; the admission has to be told by whoever it is not who says so.
func (c *conn) dropLocked(st *stream, code http2.ErrCode) {
	c.forgetLocked(st)
	c.queueLocked(func() error { return c.framer.WriteRSTStream(st.id, code) })
}

// forgetLocked is the one place where a stream is given back.
func (c *conn) forgetLocked(st *stream) {
	if c.streams[st.id] != st {
		return
	}
	delete(c.streams, st.id)
	if !st.whole {
		c.coming -= st.kept
		c.refundLocked()
	}
	st.cancel()
	c.idle = time.Now()
}

// gone tells the admission that a stream has ended.
func (c *conn) gone(st *stream, reset bool) {
	if st.core {
		c.server.decide(func(a *admission.Controller, now time.Duration) []admission.Action {
			return a.End(now, c.id, admission.StreamID(st.id), reset)
		})
	}
}

// write writes frames until the connection ends: first what is not an answer, then answers by their urgency, in turns.
func (c *conn) write() {
	defer c.net.Close() // the reader ends, too
	for {
		c.mu.Lock()
		var st *stream
		for len(c.control) == 0 {
			if st = c.nextLocked(); st != nil || c.ended {
				break
			}
			if c.out.Buffered() > 0 {
				break
			}
			c.wake.Wait()
		}
		control, ended := c.control, c.ended
		c.control = nil
		var part []byte
		var header *http.Response
		last := false
		if len(control) == 0 && st != nil {
			header, part, last = c.partLocked(st)
		}
		frame := c.frame
		c.mu.Unlock()

		c.net.SetWriteDeadline(time.Now().Add(writeTime))
		var err error
		switch {
		case len(control) > 0:
			for _, write := range control {
				if err = write(); err != nil {
					break
				}
			}
		case st != nil:
			err = c.send(st, header, part, last, frame)
		default:
			err = c.out.Flush()
			if ended {
				return
			}
		}
		if err != nil {
			c.out.Flush()
			return
		}
	}
}

// nextLocked chooses the answer to write: the most urgent, and of those the one that was written longest ago. It
// notes which can't move, for the admission.
func (c *conn) nextLocked() (best *stream) {
	for _, st := range c.streams {
		if !st.answering || st.header == nil && len(st.rest) > 0 && (st.window <= 0 || c.window <= 0) {
			c.stallLocked(st, st.answering)
			continue
		}
		if best == nil || st.urgency < best.urgency || st.urgency == best.urgency && (st.turn < best.turn || st.turn == best.turn && st.id < best.id) {
			best = st
		}
	}
	return best
}

// stallLocked notes that an answer moves no more, or does again. The admission is told from a goroutine of its own, as its lock
// comes before the connection's.
func (c *conn) stallLocked(st *stream, stalled bool) {
	if st.stalled == stalled || !st.core {
		return
	}
	st.stalled = stalled
	c.wait.Go(func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.server.control.Progress(c.server.now(), c.id, admission.StreamID(st.id), !stalled)
	})
}

// partLocked takes what is next of an answer.
func (c *conn) partLocked(st *stream) (header *http.Response, part []byte, last bool) {
	c.turn++
	st.turn = c.turn
	if header = st.header; header != nil {
		st.header = nil
		return header, nil, len(st.rest) == 0
	}
	c.stallLocked(st, false)
	size := min(int64(len(st.rest)), int64(c.frame), st.window, c.window)
	part, st.rest = st.rest[:size], st.rest[size:]
	st.window, c.window = st.window-size, c.window-size
	return nil, part, len(st.rest) == 0
}

// send writes a part of an answer; with the last, its stream has ended.
func (c *conn) send(st *stream, header *http.Response, part []byte, last bool, frame int) error {
	var err error
	if header != nil {
		err = c.writeHeader(st.id, header, last, frame)
	} else {
		err = c.framer.WriteData(st.id, last, part)
	}
	if err != nil || !last {
		return err
	}
	c.mu.Lock()
	whole := st.whole
	c.mu.Unlock()
	if !whole { // answered before the request was in: the rest of it is not wanted (RFC 9113, section 8.1)
		err = c.framer.WriteRSTStream(st.id, http2.ErrCodeNo)
	}
	c.mu.Lock()
	c.forgetLocked(st)
	c.mu.Unlock()
	c.gone(st, false)
	return err
}

// writeHeader writes the field section of an answer, in as many frames as it needs.
func (c *conn) writeHeader(id uint32, resp *http.Response, last bool, frame int) error {
	c.block.Reset()
	c.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(resp.StatusCode)})
	c.encoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.FormatInt(resp.ContentLength, 10)})
	for name, values := range resp.Header {
		if hopByHop[name] || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			c.encoder.WriteField(hpack.HeaderField{Name: strings.ToLower(name), Value: v})
		}
	}
	block := c.block.Bytes()
	first := block[:min(len(block), frame)]
	block = block[len(first):]
	err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: first, EndStream: last, EndHeaders: len(block) == 0})
	for err == nil && len(block) > 0 {
		part := block[:min(len(block), frame)]
		block = block[len(part):]
		err = c.framer.WriteContinuation(id, len(block) == 0, part)
	}
	return err
}
