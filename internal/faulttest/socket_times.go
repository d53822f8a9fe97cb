package faulttest

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// socketTimes are when data last went over a connection, by the kernel's clock. They do not depend on when the
// goroutines of the test run.
type socketTimes struct {
	sent, received time.Time // the current time if the kernel does not know
}

// timesOf returns the times of a connection.
func timesOf(conn net.Conn) socketTimes {
	times := socketTimes{sent: time.Now(), received: time.Now()}
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return times
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return times
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		now := time.Now()
		if err != nil {
			return
		}
		if info.Bytes_sent > 0 {
			times.sent = now.Add(-time.Duration(info.Last_data_sent) * time.Millisecond)
		}
		if info.Bytes_received > 0 {
			times.received = now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
		}
	})
	return times
}
