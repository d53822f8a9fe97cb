// Package gracefulclose carries connections through their end without destroying what their peers are owed: it reads
// slowly what no longer counts, waits longer for a blocked write, and ends sending before it closes.
package gracefulclose

import (
	"io"
	"net"
	"time"
)

// PeerTimeout bounds how long a peer may take to receive what was sent before the end of a connection. It is as long as
// a planned stop may take.
const PeerTimeout = 10 * time.Second

// ShortPeerTimeout is the bound outside of a planned stop: a peer that is silent or misbehaves must not occupy a
// connection for long after its end.
const ShortPeerTimeout = time.Second

// aLongTimeAgo is a read deadline that ends a pending read at once.
var aLongTimeAgo = time.Unix(1, 0)

// EndReads makes a pending read and all later ones return, until the connection gets another read deadline.
func EndReads(c net.Conn) { c.SetReadDeadline(aLongTimeAgo) }

// EndSending closes the sending side of a connection and reports whether the connection has one that can be closed on
// its own.
func EndSending(c net.Conn) bool {
	halfCloser, ok := c.(interface{ CloseWrite() error })
	return ok && halfCloser.CloseWrite() == nil
}

// Abandon closes a connection whose work is given up. The peer is sent the end of the connection before any goroutine
// that reads from it returns: Close alone wakes such a goroutine first, which could then go on before the socket is
// closed.
func Abandon(c net.Conn) error {
	EndSending(c)
	return c.Close()
}

// Close ends sending, discards input until the peer has ended its side too, and then closes the connection. It waits
// for the peer until the timeout at the latest.
//
// If both sides were closed at once, input that arrives later would reset the connection, and the peer would lose what
// it has not received yet: a peer that reads slowly goes on to send acknowledgments of its protocol, such as window
// updates.
func Close(c net.Conn, timeout time.Duration) error {
	if EndSending(c) {
		c.SetReadDeadline(time.Now().Add(timeout))
		Discard(c) // ends with the peer's side or at the deadline
	}
	return c.Close()
}

// Discard reads and drops input at a bounded rate until the peer ends its side, a read deadline passes or the
// connection is closed.
func Discard(c net.Conn) {
	input := NewPacedReader(c)
	input.SlowDown()
	io.Copy(io.Discard, input)
}
