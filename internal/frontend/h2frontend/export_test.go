package h2frontend

import (
	"bytes"
	"net"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Frames writes frames for benchmarks, and reads nothing.
type Frames struct {
	framer  *http2.Framer
	encoder *hpack.Encoder
	block   bytes.Buffer
}

// NewFrames says the preface.
func NewFrames(conn net.Conn) *Frames {
	f := &Frames{framer: http2.NewFramer(conn, conn)}
	f.encoder = hpack.NewEncoder(&f.block)
	conn.Write([]byte(http2.ClientPreface))
	f.framer.WriteSettings()
	return f
}

// Request writes a request without a body.
func (f *Frames) Request(id uint32, method, path string, more ...string) {
	f.block.Reset()
	pairs := append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "gate"}, more...)
	for i := 0; i+1 < len(pairs); i += 2 {
		f.encoder.WriteField(hpack.HeaderField{Name: strings.ToLower(pairs[i]), Value: pairs[i+1]})
	}
	f.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: f.block.Bytes(), EndStream: true, EndHeaders: true})
}

// Reset resets a stream.
func (f *Frames) Reset(id uint32) error { return f.framer.WriteRSTStream(id, http2.ErrCodeCancel) }
