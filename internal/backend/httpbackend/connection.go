package httpbackend

import (
	"bufio"
	"net"
	"time"

	"reachpulley/internal/socketpeek"
)

// stallTimeout is the longest allowed pause within a response. A response that pauses for longer counts as malformed.
const stallTimeout = 100 * time.Millisecond

// aLongTimeAgo is a read deadline that ends a pending read at once.
var aLongTimeAgo = time.Unix(1, 0)

// conn is one connection to a node. The caller of pool.get owns it until pool.put or pool.discard. All data is read
// through its reader, so that even a single byte that follows a response is noticed.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	inResponse   bool      // a response has begun and is not complete
	lastResponse time.Time // when the last response was complete; zero before the first one
	node         string
	address      string
	idleSince    time.Time
	idleWatch    chan bool // while idle: pool.watch sends one value, true if nothing arrived
}

// reusable reports whether the reuse delay after the last response has passed.
func (c *conn) reusable() bool { return time.Since(c.lastResponse) >= reuseDelay }

// Read reads from the network. Within a response it fails if no byte arrives within stallTimeout.
func (c *conn) Read(p []byte) (int, error) {
	if c.inResponse {
		c.SetReadDeadline(time.Now().Add(stallTimeout))
	}
	return c.Conn.Read(p)
}

// endIdleWatch ends pool.watch on an idle connection and reports whether nothing was received on it since the last
// response. Anything received would be taken for the response to the next request.
func (c *conn) endIdleWatch() (silent bool) {
	c.SetReadDeadline(aLongTimeAgo)
	silent = <-c.idleWatch
	c.SetReadDeadline(time.Time{})
	return silent && c.reader.Buffered() == 0 && !socketpeek.Ready(c.Conn)
}
