package iscsitarget

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
)

// failing is a listener out of descriptors, for a moment.
type failing struct {
	net.Listener
	left int
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left--; f.left < 0 {
		return nil, net.ErrClosed
	}
	return nil, errors.New("too many open files")
}

func TestServeOutlastsAFaultOfItsListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &failing{left: 3}
		New(Options{Log: slog.New(slog.DiscardHandler)}).Serve(l)
		if l.left != -1 {
			t.Errorf("%d faults were left", l.left)
		}
	})
}
