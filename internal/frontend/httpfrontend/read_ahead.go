package httpfrontend

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	maxReadAhead     = 64 << 10 // bytes that a connection may buffer without a reservation from the shared budget
	ownBufferSize    = 512      // bytes of the buffer that each connection has
	pooledBufferSize = 16 << 10 // bytes of a buffer that is borrowed while much input arrives at once
)

// readBuffers recycles the buffers that connections borrow while much input arrives at once.
var readBuffers = sync.Pool{New: func() any { return new([pooledBufferSize]byte) }}

// readAhead reads everything that arrives on a connection as soon as it arrives, and buffers it for http.Server.
//
// http.Server itself reads only when it needs more input. It would therefore not notice that a client disconnects
// while another request of that client waits unread. Nor would it know when a pipelined request arrived, although
// the deadline of that request counts from then.
type readAhead struct {
	conn   net.Conn
	budget *readAheadBudget // for what is buffered beyond maxReadAhead
	ended  chan struct{}    // closed when no more input will come: the client closed the connection, or it broke

	mu        sync.Mutex
	changed   sync.Cond       // signals changes of the fields below; its lock is mu
	segments  []segment       // what has been read from conn and not yet by Read
	buffered  int             // bytes in segments
	reserved  int             // bytes reserved from budget
	err       error           // why no more input will come
	discarded bool            // all input is dropped, and Read returns io.EOF
	boundary  boundaryScanner // has scanned the input that Read has returned

	lastByteAt time.Time // when the last byte arrived that Read has returned, apart from single-byte reads

	deadline time.Time // time until which Read waits; zero: without limit
	timer    *time.Timer
	expired  bool // deadline has passed
}

// segment is the result of one read from the connection.
type segment struct {
	data      []byte
	arrivedAt time.Time
}

func newReadAhead(conn net.Conn, budget *readAheadBudget) *readAhead {
	a := &readAhead{conn: conn, budget: budget, ended: make(chan struct{})}
	a.changed.L = &a.mu
	return a
}

// run reads until the connection ends. Nobody else reads from the connection.
func (a *readAhead) run() {
	var ownBuffer [ownBufferSize]byte
	filled := false // the last read filled its buffer
	for {
		buffer := ownBuffer[:]
		var borrowed *[pooledBufferSize]byte
		if filled {
			borrowed = readBuffers.Get().(*[pooledBufferSize]byte)
			buffer = borrowed[:]
		}
		n, err := a.conn.Read(buffer)
		filled = n == len(buffer)
		a.store(buffer[:n], err)
		if borrowed != nil {
			readBuffers.Put(borrowed)
		}
		if err != nil {
			return
		}
	}
}

// store buffers the result of a read. It waits while the buffer is full, so that further input waits in the kernel.
func (a *readAhead) store(data []byte, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(data) > 0 && !a.discarded {
		a.segments = append(a.segments, segment{data: append([]byte(nil), data...), arrivedAt: time.Now()})
		a.buffered += len(data)
	}
	a.err = err
	if err != nil {
		a.dropSegmentsLocked() // the client is gone, so its requests need no answer
		close(a.ended)
	}
	a.changed.Broadcast()
	for !a.hasCapacityLocked() && !a.discarded {
		a.changed.Wait()
	}
}

// hasCapacityLocked reports whether more input may be buffered. If necessary, it reserves memory for that.
func (a *readAhead) hasCapacityLocked() bool {
	if a.buffered < maxReadAhead+a.reserved {
		return true
	}
	if a.reserved >= maxExtraReadAhead || !a.budget.reserve() {
		return false
	}
	a.reserved += readAheadStep
	return true
}

func (a *readAhead) dropSegmentsLocked() {
	a.segments = nil
	a.buffered = 0
	a.releaseLocked()
}

// releaseLocked returns the reserved memory.
func (a *readAhead) releaseLocked() {
	a.budget.release(a.reserved)
	a.reserved = 0
}

// Read returns buffered input. One call never returns input of two requests; hasUnread can therefore report whether a
// further request has arrived.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		switch {
		case a.discarded:
			return 0, io.EOF
		case a.err != nil:
			return 0, a.err
		case a.expired:
			return 0, os.ErrDeadlineExceeded
		case len(a.segments) > 0:
			return a.takeLocked(p), nil
		}
		a.changed.Wait()
	}
}

// takeLocked moves input from the first segment to p, up to the end of the request.
func (a *readAhead) takeLocked(p []byte) int {
	first := &a.segments[0]
	// http.Server reads a single byte to notice that the client disconnects. That byte belongs to a later request.
	if len(p) > 1 {
		a.lastByteAt = first.arrivedAt
	}
	n := a.boundary.next(first.data[:min(len(p), len(first.data))])
	copy(p, first.data[:n])
	first.data = first.data[n:]
	if len(first.data) == 0 {
		*first = segment{}
		a.segments = a.segments[1:]
	}
	a.buffered -= n
	if a.buffered < maxReadAhead {
		a.releaseLocked()
		a.changed.Broadcast()
	}
	return n
}

// framing returns how the head of the request that Read returned last states the length of its body.
func (a *readAhead) framing() requestFraming {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.boundary.lastHead
}

// hasUnread reports whether anything has arrived that Read has not returned.
func (a *readAhead) hasUnread() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.buffered > 0
}

// lastArrival returns when the last byte arrived that Read has returned. A call that read a single byte does not count
// (see takeLocked).
func (a *readAhead) lastArrival() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastByteAt
}

// discard drops all input, buffered and future. Read returns io.EOF from now on.
func (a *readAhead) discard() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.discarded = true
	a.dropSegmentsLocked()
	if a.timer != nil {
		a.timer.Stop()
	}
	a.changed.Broadcast()
}

// SetReadDeadline bounds how long Read waits; the zero time means no bound.
func (a *readAhead) SetReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := time.Until(t)
	if a.discarded {
		return nil
	}
	a.deadline = t
	a.expired = !t.IsZero() && left <= 0
	switch {
	case a.expired:
		a.changed.Broadcast()
	case t.IsZero():
	case a.timer == nil:
		a.timer = time.AfterFunc(left, a.checkDeadline)
	default:
		a.timer.Reset(left)
	}
	return nil
}

// checkDeadline ends a waiting Read if the deadline has passed. The deadline may have moved since the timer was set.
func (a *readAhead) checkDeadline() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.deadline.IsZero() || a.discarded {
		return
	}
	if left := time.Until(a.deadline); left > 0 {
		a.timer.Reset(left)
		return
	}
	a.expired = true
	a.changed.Broadcast()
}
