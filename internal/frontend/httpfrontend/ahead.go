package httpfrontend

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	mostAhead  = 64 << 10 // bytes that are read ahead of a connection's requests; what comes beyond waits in the kernel
	firstAhead = 512      // bytes of a connection's own buffer
	moreAhead  = 16 << 10 // bytes of a borrowed one, while much comes at once
)

// ahead reads all that comes over a connection as soon as it comes. http.Server reads on only when it has use for more: it does
// not notice that a client has left while another request of the client waits unread, and it cannot tell when a request came
// that waited behind others, from which moment its time runs.
type ahead struct {
	conn net.Conn
	gone chan struct{} // closed when no more will come: the client has closed the connection, or it broke

	mu      sync.Mutex
	changed sync.Cond // something below has; of mu
	pieces  []piece   // read and not handed on yet
	held    int       // their bytes
	err     error     // why no more will come
	discard bool      // what comes is not wanted any more
	bounds  bounds    // of what was handed on
	arrived time.Time // of the last byte that was

	until   time.Time // Read's deadline; zero: none
	timer   *time.Timer
	expired bool
}

// piece is what one read brought.
type piece struct {
	text []byte
	at   time.Time
}

var buffersAhead = sync.Pool{New: func() any { return new([moreAhead]byte) }}

func newAhead(conn net.Conn) *ahead {
	a := &ahead{conn: conn, gone: make(chan struct{})}
	a.changed.L = &a.mu
	return a
}

// run reads until the connection ends. It is the only reader.
func (a *ahead) run() {
	var own [firstAhead]byte
	for much := false; ; {
		buffer := own[:]
		var lent *[moreAhead]byte
		if much {
			lent = buffersAhead.Get().(*[moreAhead]byte)
			buffer = lent[:]
		}
		n, err := a.conn.Read(buffer)
		much = n == len(buffer)
		a.mu.Lock()
		if n > 0 && !a.discard {
			a.pieces = append(a.pieces, piece{append([]byte(nil), buffer[:n]...), time.Now()})
			a.held += n
		}
		if a.err = err; err != nil {
			a.pieces, a.held = nil, 0 // nobody is there any more to answer
			close(a.gone)
		}
		a.changed.Broadcast()
		for a.held >= mostAhead && !a.discard {
			a.changed.Wait()
		}
		a.mu.Unlock()
		if lent != nil {
			buffersAhead.Put(lent)
		}
		if err != nil {
			return
		}
	}
}

// Read hands on what has come, never of two requests at once: so what is held tells whether a further one has come.
func (a *ahead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		switch {
		case a.discard:
			return 0, io.EOF
		case a.err != nil:
			return 0, a.err
		case a.expired:
			return 0, os.ErrDeadlineExceeded
		case len(a.pieces) > 0:
			first := &a.pieces[0]
			// One byte is what http.Server reads to hear of the end; it belongs to a later request.
			if len(p) > 1 {
				a.arrived = first.at
			}
			n := a.bounds.within(first.text[:min(len(p), len(first.text))])
			copy(p, first.text[:n])
			if first.text = first.text[n:]; len(first.text) == 0 {
				*first = piece{}
				a.pieces = a.pieces[1:]
			}
			if a.held -= n; a.held < mostAhead {
				a.changed.Broadcast()
			}
			return n, nil
		}
		a.changed.Wait()
	}
}

// waiting tells whether something has come that was not handed on.
func (a *ahead) waiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held > 0
}

// arrival is when the last byte came that was handed on.
func (a *ahead) arrival() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.arrived
}

// drop has all that comes from now on read and dropped; Read gives nothing any more.
func (a *ahead) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.discard, a.pieces, a.held = true, nil, 0
	if a.timer != nil {
		a.timer.Stop()
	}
	a.changed.Broadcast()
}

// SetReadDeadline bounds the wait of Read.
func (a *ahead) SetReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := time.Until(t)
	if a.discard {
		return nil
	}
	a.until, a.expired = t, !t.IsZero() && left <= 0
	switch {
	case a.expired:
		a.changed.Broadcast()
	case t.IsZero():
	case a.timer == nil:
		a.timer = time.AfterFunc(left, a.ring)
	default:
		a.timer.Reset(left)
	}
	return nil
}

// ring looks whether the deadline has passed; it may have moved since the timer was set.
func (a *ahead) ring() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until.IsZero() || a.discard {
		return
	}
	if left := time.Until(a.until); left > 0 {
		a.timer.Reset(left)
		return
	}
	a.expired = true
	a.changed.Broadcast()
}
