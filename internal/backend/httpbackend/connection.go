package httpbackend

import (
	"bufio"
	"net"
	"time"

	"reachpulley/internal/socketpeek"
)

// stallTimeout is the longest pause within a response. A response that pauses for longer counts as malformed.
const stallTimeout = 100 * time.Millisecond

// aLongTimeAgo is a read deadline that ends a pending read at once.
var aLongTimeAgo = time.Unix(1, 0)

// conn is one connection to a node. Whoever got it from the pool owns it until pool.put or pool.discard. Everything
// that is read from it passes through its reader, so that it is known to the byte whether something follows a response.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	inResponse bool // a response has begun and is not complete
	node       string
	address    string
	idleSince  time.Time
	idleWatch  chan bool // while idle: gets one value from pool.watch, whether the connection was silent
}

// Read reads from the network. Within a response, the next bytes must arrive before stallTimeout has passed.
func (c *conn) Read(p []byte) (int, error) {
	if c.inResponse {
		c.SetReadDeadline(time.Now().Add(stallTimeout))
	}
	return c.Conn.Read(p)
}

// endIdleWatch ends pool.watch on an idle connection and reports whether nothing was received on it until now: what was
// received would be taken for the response to the next request.
func (c *conn) endIdleWatch() (silent bool) {
	c.SetReadDeadline(aLongTimeAgo)
	silent = <-c.idleWatch
	c.SetReadDeadline(time.Time{})
	return silent && c.reader.Buffered() == 0 && !socketpeek.Ready(c.Conn)
}
