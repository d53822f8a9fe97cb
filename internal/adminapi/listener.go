package adminapi

import (
	"net"
	"sync"
)

// evictingListener bounds the number of connections that were accepted and are open. It always accepts, and closes the
// oldest connection when there are too many.
type evictingListener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns []*trackedConn // the oldest comes first
}

func newEvictingListener(l net.Listener, maxConns int) *evictingListener {
	return &evictingListener{Listener: l, maxConns: maxConns}
}

// Accept returns the next connection.
func (l *evictingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, listener: l}
	if oldest := l.add(c); oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// add adds a connection and returns the one that has to be closed for it; nil: none.
func (l *evictingListener) add(c *trackedConn) (oldest *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConns {
		oldest = l.conns[0]
		l.conns = l.conns[1:]
	}
	l.conns = append(l.conns, c)
	return oldest
}

// remove removes a connection that is closed.
func (l *evictingListener) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.conns {
		if other == c {
			l.conns = append(l.conns[:i:i], l.conns[i+1:]...)
			return
		}
	}
}

// trackedConn is a connection that an evictingListener has accepted.
type trackedConn struct {
	net.Conn
	listener *evictingListener
}

// Close closes the connection and removes it from the listener.
func (c *trackedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
