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

// raw is a client of frames, which may be rude. What it hears is kept in words.
type raw struct {
	s       *stage
	conn    net.Conn
	framer  *http2.Framer
	encoder *hpack.Encoder
	block   bytes.Buffer

	mu    sync.Mutex
	words []string
}

// raw connects and says the preface.
func (s *stage) raw() *raw {
	c := s.bare()
	c.conn.Write([]byte(http2.ClientPreface))
	c.framer.WriteSettings()
	return c
}

// bare connects and says nothing.
func (s *stage) bare() *raw {
	conn, err := s.net.Dial(context.Background(), "tcp", "gate:1")
	if err != nil {
		s.t.Fatal(err)
	}
	c := &raw{s: s, conn: conn, framer: http2.NewFramer(conn, conn)}
	c.encoder = hpack.NewEncoder(&c.block)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.framer.AllowIllegalWrites = true
	go c.read()
	return c
}

func (c *raw) read() {
	for {
		f, err := c.framer.ReadFrame()
		word := ""
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			word = fmt.Sprintf("headers %d %s", f.StreamID, f.PseudoValue("status"))
		case *http2.DataFrame:
			word = fmt.Sprintf("data %d %d", f.StreamID, f.Length)
		case *http2.RSTStreamFrame:
			word = fmt.Sprintf("rst %d %s", f.StreamID, f.ErrCode)
		case *http2.GoAwayFrame:
			word = fmt.Sprintf("goaway %d %s", f.LastStreamID, f.ErrCode)
		case *http2.PingFrame:
			word = "ping"
		case *http2.SettingsFrame:
			if word = "settings"; f.IsAck() {
				word = "settings ack"
			}
		}
		if err != nil {
			word = "end"
		}
		c.mu.Lock()
		c.words = append(c.words, word)
		c.mu.Unlock()
		if err != nil {
			c.conn.Close()
			return
		}
	}
}

// request writes a field section.
func (c *raw) request(id uint32, method, path string, end bool, more ...string) error {
	return c.fields(id, end, append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "gate"}, more...)...)
}

// fields writes the fields as they are.
func (c *raw) fields(id uint32, end bool, pairs ...string) error {
	c.block.Reset()
	for i := 0; i+1 < len(pairs); i += 2 {
		c.encoder.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]})
	}
	return c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.block.Bytes(), EndStream: end, EndHeaders: true})
}

func (c *raw) heard(word string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.words {
		if strings.HasPrefix(w, word) {
			return true
		}
	}
	return false
}

// expect waits for a frame that begins with the words.
func (c *raw) expect(word string) {
	c.s.t.Helper()
	for range 30 {
		synctest.Wait()
		if c.heard(word) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.t.Errorf("not heard: %s, but %q", word, c.words)
}
