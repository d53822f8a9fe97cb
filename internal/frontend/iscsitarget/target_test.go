package iscsitarget

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
)

// exhaustedListener is a listener that lacks file descriptors in its first calls of Accept and is closed after them.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	l.failures--
	if l.failures < 0 {
		return nil, net.ErrClosed
	}
	return nil, errors.New("too many open files")
}

// Serve retries while Accept fails and returns once the listener is closed.
func TestServeRetriesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &exhaustedListener{failures: 3}
		New(Options{Log: slog.New(slog.DiscardHandler)}).Serve(l)
		if l.failures != -1 {
			t.Errorf("after Serve, %d failures of Accept are left, want -1", l.failures)
		}
	})
}
