package socketpeek

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxInputAge bounds what InputAge returns. Whatever the kernel tells, input has not waited for longer.
const maxInputAge = 5 * time.Second

// InputAge returns how long ago the last input arrived, as far as the kernel tells; 0 if it does not. Input waits in
// the kernel while the process is held up or busy.
func (r *Reader) InputAge() time.Duration {
	if r.raw == nil {
		return 0
	}
	info := tcpInfo(r.raw)
	if info == nil {
		return 0
	}
	// A substitute for a socket may answer, too, but does not know how much has been read.
	if info.Bytes_received < uint64(r.total.Load()) || info.Bytes_received == 0 {
		return 0
	}
	age := min(maxInputAge, time.Duration(info.Last_data_recv)*time.Millisecond)
	if emptyAt := time.Duration(r.emptyAt.Load()); emptyAt > 0 { // the input came later
		age = min(age, time.Since(r.createdAt)-emptyAt)
	}
	return age
}

// tcpCloseWait is the state of a TCP connection whose peer has closed it, and which is open on this side.
const tcpCloseWait = 8

// PeerClosed reports whether the peer of a new connection has closed it, whatever it has sent before.
func PeerClosed(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	info := tcpInfo(raw)
	return info != nil && info.State == tcpCloseWait
}

// tcpInfo returns what the kernel knows of a TCP connection; nil if it is none.
func tcpInfo(raw syscall.RawConn) (info *unix.TCPInfo) {
	err := raw.Control(func(fd uintptr) {
		var infoErr error
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr != nil {
			info = nil
		}
	})
	if err != nil {
		return nil
	}
	return info
}
