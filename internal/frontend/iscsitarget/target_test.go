package iscsitarget

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
)

// exhaustedListener is a listener without descriptors for a number of calls.
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

func TestServeOutlastsFailuresOfItsListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &exhaustedListener{failures: 3}
		New(Options{Log: slog.New(slog.DiscardHandler)}).Serve(l)
		if l.failures != -1 {
			t.Errorf("%d failures were left", l.failures)
		}
	})
}
