// Package socketpeek reports whether a connection has unread input, without waiting and without reading it.
package socketpeek

import (
	"net"
	"syscall"
)

// Ready reports whether a read would return at once: with data, with the end of the connection or with an error. It
// returns false for a connection that is not a socket, as nothing is known about it.
func Ready(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	ready := true
	// Control does not wait for a read that is in progress, as RawConn.Read does.
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ready = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ready || err != nil
}
