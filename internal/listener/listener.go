// Package listener accepts connections for all frontends, and bounds what clients cost that come and go.
package listener

import (
	"net"

	"reachpulley/internal/intake"
	"reachpulley/internal/socketpeek"
)

// maxSliceAccepts bounds how many connections are accepted before other goroutines run. With few, clients that connect
// would wait for many slices of the others.
const maxSliceAccepts = 16

// Listener accepts connections. After some of them other goroutines run, so that many connections at once do not keep
// requests waiting. Connections whose clients have left are closed at once: nobody would get an answer on them. One
// goroutine accepts.
type Listener struct {
	net.Listener
	accepted int // connections in the current slice of work
}

// New returns a Listener.
func New(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept returns the next connection whose client has not left.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.accepted++; l.accepted > maxSliceAccepts {
			l.accepted = 0
			intake.Yield()
		}
		conn, err := l.Listener.Accept()
		if err != nil || !socketpeek.PeerClosed(conn) {
			return conn, err
		}
		conn.Close()
	}
}
