package h2frontend

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// frameWriter writes frames as a client, in any order and with any content, also invalid ones.
type frameWriter struct {
	conn    net.Conn
	framer  *http2.Framer
	encoder *hpack.Encoder // writes to block
	block   bytes.Buffer
}

func newFrameWriter(conn net.Conn) *frameWriter {
	w := &frameWriter{conn: conn, framer: http2.NewFramer(conn, conn)}
	w.framer.AllowIllegalWrites = true
	w.encoder = hpack.NewEncoder(&w.block)
	return w
}

// preface writes the client's connection preface, with empty SETTINGS.
func (w *frameWriter) preface() {
	w.conn.Write([]byte(http2.ClientPreface))
	w.framer.WriteSettings()
}

// request writes the HEADERS of a request. The names and values of further fields alternate in fields.
func (w *frameWriter) request(id uint32, method, path string, endStream bool, fields ...string) error {
	pseudo := []string{":method", method, ":scheme", "http", ":path", path, ":authority", "gate"}
	return w.fields(id, endStream, append(pseudo, fields...)...)
}

// fields writes HEADERS with a field section. The names and values of its fields alternate in fields.
func (w *frameWriter) fields(id uint32, endStream bool, fields ...string) error {
	return w.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      id,
		BlockFragment: w.encode(fields...),
		EndStream:     endStream,
		EndHeaders:    true,
	})
}

// encode returns an encoded field section, whose bytes are valid until the next call. The names and values of its
// fields alternate in fields.
func (w *frameWriter) encode(fields ...string) []byte {
	w.block.Reset()
	for i := 0; i+1 < len(fields); i += 2 {
		w.encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	return w.block.Bytes()
}

// rawClient is a client that writes arbitrary frames and records the frames that it receives as events.
type rawClient struct {
	*frameWriter
	server *testServer

	mu     sync.Mutex
	events []string // results of describeFrame; "end" when the connection has ended
}

// rawClient connects a rawClient to the server and writes the preface.
func (s *testServer) rawClient() *rawClient {
	c := s.connect()
	c.preface()
	return c
}

// connect connects a rawClient to the server without writing anything.
func (s *testServer) connect() *rawClient {
	c := s.connectSilently()
	go c.read()
	return c
}

// connectSilently connects a rawClient to the server that neither writes nor reads anything.
func (s *testServer) connectSilently() *rawClient {
	conn, err := s.network.Dial(context.Background(), "tcp", "gate:1")
	if err != nil {
		s.t.Fatal(err)
	}
	c := &rawClient{frameWriter: newFrameWriter(conn), server: s}
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	return c
}

// read records an event for each frame until the connection ends, and one for the end.
func (c *rawClient) read() {
	for {
		frame, err := c.framer.ReadFrame()
		event := "end"
		if err == nil {
			event = describeFrame(frame)
		}
		c.mu.Lock()
		c.events = append(c.events, event)
		c.mu.Unlock()
		if err != nil {
			c.conn.Close()
			return
		}
	}
}

// describeFrame returns the event that stands for a frame, or an empty string for the types that no test expects.
func describeFrame(frame http2.Frame) string {
	switch frame := frame.(type) {
	case *http2.MetaHeadersFrame:
		return fmt.Sprintf("headers %d %s", frame.StreamID, frame.PseudoValue("status"))
	case *http2.DataFrame:
		return fmt.Sprintf("data %d %d", frame.StreamID, frame.Length)
	case *http2.RSTStreamFrame:
		return fmt.Sprintf("rst %d %s", frame.StreamID, frame.ErrCode)
	case *http2.GoAwayFrame:
		return fmt.Sprintf("goaway %d %s", frame.LastStreamID, frame.ErrCode)
	case *http2.PingFrame:
		return "ping"
	case *http2.SettingsFrame:
		if frame.IsAck() {
			return "settings ack"
		}
		return "settings"
	}
	return ""
}

// received reports whether an event with a prefix has been recorded.
func (c *rawClient) received(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		if strings.HasPrefix(event, prefix) {
			return true
		}
	}
	return false
}

// dataBytes returns the number of bytes in the DATA frames that have been received.
func (c *rawClient) dataBytes() (sum int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		var id, size int
		if n, _ := fmt.Sscanf(event, "data %d %d", &id, &size); n == 2 {
			sum += size
		}
	}
	return sum
}

// expect waits up to three seconds for an event with a prefix, and fails the test if there is none.
func (c *rawClient) expect(prefix string) {
	c.server.t.Helper()
	for range 30 {
		synctest.Wait()
		if c.received(prefix) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.t.Errorf("no event begins with %q; the events are %q", prefix, c.events)
}
