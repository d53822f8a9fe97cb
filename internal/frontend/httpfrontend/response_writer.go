package httpfrontend

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// responseTimeout bounds how long a response may take to be written. It counts from the final answer.
	responseTimeout = 30 * time.Second
	// responseBufferSize is the size in bytes up to which a response is sent in one write.
	responseBufferSize = 4 << 10
)

// responseBuffers recycles the buffers through which responses are written.
var responseBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, responseBufferSize) }}

// framingHeaders are the headers that responseWriter writes itself.
var framingHeaders = map[string]bool{"Content-Length": true, "Connection": true, "Transfer-Encoding": true, "Trailer": true}

// responseWriter writes responses to HTTP/1.1 requests. A body whose length the header does not state is held back until
// its end, so that every response has a length.
type responseWriter struct {
	conn   net.Conn
	buffer *bufio.Writer
	isHead bool // the request has method HEAD
	last   bool // the response is the last one on its connection

	header      http.Header
	status      int   // 0: not known yet
	length      int64 // of the body in bytes; -1: not stated
	headWritten bool
	written     int64 // bytes of the body
	held        bytes.Buffer
	err         error // of a write
}

func newResponseWriter(conn net.Conn, in *incoming) *responseWriter {
	buffer := responseBuffers.Get().(*bufio.Writer)
	buffer.Reset(conn)
	w := &responseWriter{conn: conn, buffer: buffer}
	w.isHead = in.request != nil && in.request.Method == http.MethodHead
	w.begin(in.last)
	return w
}

// begin prepares for a response.
func (w *responseWriter) begin(last bool) {
	w.last = last
	w.header = http.Header{}
	w.status = 0
	w.length = -1
	w.headWritten = false
	w.written = 0
	w.held.Reset()
}

// release gives the buffer back.
func (w *responseWriter) release() {
	w.buffer.Reset(nil)
	responseBuffers.Put(w.buffer)
	w.buffer = nil
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Interim responses are not passed on.
func (w *responseWriter) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	if length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		w.length = length
	}
	w.last = w.last || strings.EqualFold(w.header.Get("Connection"), "close")
}

// allowsBody reports whether the response has a body.
func (w *responseWriter) allowsBody() bool {
	return !w.isHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	switch {
	case !w.allowsBody():
		return len(p), nil
	case w.length < 0:
		return w.held.Write(p)
	case w.written+int64(len(p)) > w.length:
		return 0, http.ErrContentLength
	}
	return w.writeBody(p)
}

// writeBody writes a part of the body, behind the head.
func (w *responseWriter) writeBody(p []byte) (int, error) {
	w.writeHead()
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.buffer.Write(p)
	w.written += int64(n)
	w.err = err
	return n, err
}

// writeHead writes the status line and the header, once.
func (w *responseWriter) writeHead() {
	if w.headWritten {
		return
	}
	w.headWritten = true
	w.conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	fmt.Fprintf(w.buffer, "HTTP/1.1 %03d %s\r\n", w.status, http.StatusText(w.status))
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	w.header.WriteSubset(w.buffer, framingHeaders)
	if w.length >= 0 && w.status != http.StatusNoContent {
		fmt.Fprintf(w.buffer, "Content-Length: %d\r\n", w.length)
	}
	if w.last {
		w.buffer.WriteString("Connection: close\r\n")
	}
	_, w.err = w.buffer.WriteString("\r\n")
}

// finish completes the response and sends it. It reports whether the connection can be kept alive.
func (w *responseWriter) finish() (keepAlive bool) {
	w.WriteHeader(http.StatusOK)
	if w.length < 0 && w.allowsBody() {
		w.length = int64(w.held.Len())
	}
	w.writeBody(w.held.Bytes())
	if err := w.buffer.Flush(); err != nil {
		w.err = err
	}
	complete := !w.allowsBody() || w.written == w.length
	return w.err == nil && complete && !w.last
}
