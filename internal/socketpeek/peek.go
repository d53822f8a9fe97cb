// Package socketpeek looks at what waits unread on a connection, without a wait and without taking it.
package socketpeek

import (
	"net"
	"syscall"
)

// Ready tells whether a read would return at once: with bytes, an end or an error. Of a connection that is no socket
// nothing can be told; such a one counts as not ready.
func Ready(c net.Conn) bool {
	sock, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return true
	}
	ready := true
	err = raw.Control(func(fd uintptr) { // unlike its Read, this does not wait for a read that is under way
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ready = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ready || err != nil
}
