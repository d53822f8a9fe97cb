// Package socketpeek reports what the kernel knows of a connection's input: whether any waits, and how long ago it
// arrived. It neither waits for input nor consumes any.
package socketpeek

import (
	"net"
	"sync"
	"syscall"
)

// Ready reports whether a read would return at once: with data, with the end of the connection or with an error. It
// returns false for a connection that is not a socket, since the state of such a connection is unknown.
func Ready(c net.Conn) bool { return isReady(rawConn(c)) }

// isReady is Ready for the raw connection that rawConn has returned.
func isReady(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	p := peeks.Get().(*peek)
	defer peeks.Put(p)
	// Unlike RawConn.Read, RawConn.Control does not wait for a read that is in progress.
	err := raw.Control(p.inspect)
	return err != nil || p.ready
}

// peek inspects a socket.
type peek struct {
	inspect func(fd uintptr)
	ready   bool
}

// peeks recycles looks, so that one that is made for each read needs no memory.
var peeks = sync.Pool{New: func() any {
	p := &peek{}
	p.inspect = func(fd uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		p.ready = err != syscall.EAGAIN && err != syscall.EINTR
	}
	return p
}}

// rawConn returns the raw connection of a socket; nil for a connection that is not a socket.
func rawConn(c net.Conn) syscall.RawConn {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return brokenConn{err}
	}
	return raw
}

// brokenConn is the raw connection of a socket that cannot be looked at.
type brokenConn struct{ err error }

func (c brokenConn) Control(func(uintptr)) error    { return c.err }
func (c brokenConn) Read(func(uintptr) bool) error  { return c.err }
func (c brokenConn) Write(func(uintptr) bool) error { return c.err }
