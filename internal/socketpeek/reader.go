package socketpeek

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// drainTimeout bounds how long Drained waits until all input is read.
	drainTimeout = 30 * time.Millisecond
	// drainInterval is the time between two looks at the connection.
	drainInterval = time.Millisecond
	// maxFlow is how much may be read within a call of KeepsUp by a goroutine that keeps up with a steady flow. While
	// more is read, the peer's own buffer may hold further input, and the end behind it.
	maxFlow = 16 << 10 // bytes
)

// Reader reads from a connection and notes when it has read all input that had arrived. One goroutine reads at a time;
// its other methods may be called from others.
type Reader struct {
	conn      net.Conn
	raw       syscall.RawConn // nil: the connection is not a socket
	createdAt time.Time
	drainedAt atomic.Int64 // nanoseconds from createdAt to when the last read found less than it could have returned
	emptyAt   atomic.Int64 // nanoseconds from createdAt to when a read last found nothing; 0: none did
	total     atomic.Int64 // bytes read

	// The goroutine that reads owns the fields below. They are its call of the system.

	readOnce func(fd uintptr) (done bool)
	buffer   []byte
	n        int
	err      error

	mu        sync.Mutex // held while input is taken from the socket, and while that is shut down
	unhandled bool       // input was read, and Handled was not called since
	shut      bool       // nothing is read any more
}

// NewReader returns a Reader.
func NewReader(conn net.Conn) *Reader {
	r := &Reader{conn: conn, raw: rawConn(conn), createdAt: time.Now()}
	r.readOnce = r.tryRead
	return r
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.read(p)
	r.total.Add(int64(n))
	if err == nil && n < len(p) {
		r.drainedAt.Store(int64(time.Since(r.createdAt)))
	}
	return n, err
}

// read waits for input and takes it from the connection.
func (r *Reader) read(p []byte) (n int, err error) {
	if r.raw == nil || len(p) == 0 {
		n, err = r.conn.Read(p)
		r.noteRead(n)
		return n, err
	}
	r.buffer = p
	err = r.raw.Read(r.readOnce)
	r.buffer = nil
	switch {
	case err != nil:
		return 0, err
	case r.err != nil:
		return 0, r.err
	case r.n == 0:
		return 0, io.EOF
	}
	return r.n, nil
}

// tryRead takes input from the socket, if any waits. It returns false if none does.
func (r *Reader) tryRead(fd uintptr) (done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shut {
		r.n, r.err = 0, nil
		return true
	}
	for {
		r.n, r.err = syscall.Read(int(fd), r.buffer)
		if r.err != syscall.EINTR {
			break
		}
	}
	r.n = max(0, r.n)
	r.unhandled = r.unhandled || r.n > 0
	if r.err == syscall.EAGAIN {
		r.emptyAt.Store(int64(time.Since(r.createdAt)))
		return false
	}
	return true
}

// noteRead records that input was read.
func (r *Reader) noteRead(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unhandled = r.unhandled || n > 0
}

// Handled records that the state of the connection shows all input that was read so far. The goroutine that reads calls
// it.
func (r *Reader) Handled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unhandled = false
}

// HasInput reports whether input waits on the connection, or its end, or was read and not handled yet.
func (r *Reader) HasInput() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unhandled || r.Ready()
}

// ShutdownUnlessInput shuts a socket down in the directions that how names (syscall.SHUT_WR, syscall.SHUT_RDWR), and
// reports whether it did. It does not if the connection has input, and no input is read meanwhile. For a connection
// that is not a socket it only checks.
func (r *Reader) ShutdownUnlessInput(how int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unhandled || r.Ready() {
		return false
	}
	r.shut = how != syscall.SHUT_WR // Linux goes on to pass on what arrives
	if r.raw != nil {
		r.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), how) }) // an error means that it has ended
	}
	return true
}

// Ready reports whether a read would return at once, as the function Ready does.
func (r *Reader) Ready() bool { return isReady(r.raw) }

// Drained reports whether nothing waits on the connection, neither input nor its end. The channel ended is closed once
// the goroutine that reads has met the end. The end may lie behind input that waits, so Drained waits for that
// goroutine; if input still waits after drainTimeout, Drained returns false.
func (r *Reader) Drained(ended <-chan struct{}) bool {
	return r.await(ended, func() bool { return !r.Ready() })
}

// KeepsUp is Drained for a connection with a steady flow of input, on which there may be no moment without any: it is
// enough that all input is read that had arrived when it was called.
func (r *Reader) KeepsUp(ended <-chan struct{}) bool {
	calledAt := time.Since(r.createdAt)
	total := r.total.Load()
	return r.await(ended, func() bool {
		readAll := time.Duration(r.drainedAt.Load()) > calledAt && r.total.Load() <= total+maxFlow
		return readAll || !r.Ready()
	})
}

// await waits until done returns true, for drainTimeout at most. It returns false once the connection has ended.
func (r *Reader) await(ended <-chan struct{}, done func() bool) bool {
	for giveUpAt := time.Now().Add(drainTimeout); ; time.Sleep(drainInterval) {
		select {
		case <-ended:
			return false
		default:
		}
		if done() {
			return true
		}
		if time.Now().After(giveUpAt) {
			return false
		}
	}
}
