package gracefulclose

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Bounds of a PacedReader that has been slowed down: about 1 MB a second. Control frames of peers fit into that, and
// floods cost little.
const (
	pacedReadSize     = 4 << 10 // bytes
	pacedReadInterval = 4 * time.Millisecond
)

// PacedReader reads from a connection, at full speed until SlowDown is called. From then on the rate is bounded, so
// that a peer whose connection is being closed cannot keep the gateway busy.
type PacedReader struct {
	source io.Reader
	slow   atomic.Bool
}

// NewPacedReader returns a PacedReader.
func NewPacedReader(source io.Reader) *PacedReader { return &PacedReader{source: source} }

// SlowDown bounds the rate of all further reads.
func (r *PacedReader) SlowDown() { r.slow.Store(true) }

// Read implements io.Reader.
func (r *PacedReader) Read(p []byte) (int, error) {
	if !r.slow.Load() {
		return r.source.Read(p)
	}
	n, err := r.source.Read(p[:min(len(p), pacedReadSize)])
	if err == nil {
		time.Sleep(pacedReadInterval)
	}
	return n, err
}

// Write writes all of p to a connection. The peer has the timeout to receive it, and the same time again as long as
// extend returns true.
func Write(c net.Conn, p []byte, timeout time.Duration, extend func() bool) (written int, err error) {
	for {
		c.SetWriteDeadline(time.Now().Add(timeout))
		n, err := c.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !extend() {
			return written, err
		}
	}
}
