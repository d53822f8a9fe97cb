package httpbackend

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"reachpulley/internal/proto/httpmsg"
)

// heard is a connection over which a text came.
type heard struct {
	net.Conn
	bytes.Reader
}

func (h *heard) Read(p []byte) (int, error)      { return h.Reader.Read(p) }
func (h *heard) SetReadDeadline(time.Time) error { return nil }

// Whatever a node writes, what is taken for an answer is within bounds, and what stands behind it is still there.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyesHTTP/1.1 200 OK\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 No\nX-Not-Run: 1\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		h := &heard{}
		h.Reset(text)
		c := &conn{Conn: h, r: bufio.NewReaderSize(h, mostHead)}
		room := semaphore.NewWeighted(httpmsg.MaxResponseBody)
		resp, body, err := c.readAnswer(t.Context(), &http.Request{Method: http.MethodGet}, room)
		if err != nil {
			return
		}
		if len(body) > httpmsg.MaxResponseBody || resp.StatusCode < 200 {
			t.Fatalf("status %d, %d bytes", resp.StatusCode, len(body))
		}
		rest := make([]byte, len(text))
		n := c.r.Buffered()
		c.r.Read(rest[:n])
		if left := append(rest[:n:n], text[len(text)-h.Len():]...); !bytes.HasSuffix(text, left) {
			t.Fatalf("%q is left of %q", left, text)
		}
	})
}
