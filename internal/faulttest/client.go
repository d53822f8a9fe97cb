package faulttest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	readTimeout  = 1500 * time.Millisecond // of the class sheet-read
	writeTimeout = 2500 * time.Millisecond // of the class entry-write
	// answerTimeout is how long a client waits for an answer before it counts as missing.
	answerTimeout = 8 * time.Second
	onceClass     = "once" // of writes that must not run twice
	smallBody     = 212    // bytes of a usual write
)

// newID returns a random request ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// readRequest returns a complete read of a class that may be repeated.
func readRequest(id string, shard int) string {
	return requestHead("GET", id, "sheet-read", readTimeout, shard) + "\r\n"
}

// writeRequest returns a complete write with a body of the given size.
func writeRequest(id string, shard, size int) string {
	return writeHead(id, shard) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
}

// writeHead returns the head of a write without the field that tells the length of its body.
func writeHead(id string, shard int) string {
	return requestHead("PUT", id, "entry-write", writeTimeout, shard) + "Idempotency-Key: " + id + "\r\n"
}

// requestHead returns the head of a request without its last line.
func requestHead(method, id, class string, timeout time.Duration, shard int) string {
	path := fmt.Sprintf("/api/%016x/%016x", 0x3b4d60000+rand.IntN(40), rand.Uint64())
	return method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\n" +
		"X-Request-Id: " + id + "\r\n" +
		"X-Class: " + class + "\r\n" +
		"X-Qos-Policy: standard\r\n" +
		fmt.Sprintf("X-Deadline: %dm\r\n", timeout.Milliseconds()) +
		fmt.Sprintf("X-Placement: units=1,shard=%d,hosts=1\r\n", shard)
}

// conversation is a client's connection. A client opens it anew when the gateway has closed it.
type conversation struct {
	run    *Run
	conn   net.Conn
	used   bool // a request was sent on the connection
	reader *bufio.Reader
}

// errStopping reports that the gateway takes no new connections, as its clients know.
var errStopping = errors.New("the gateway stops")

// connect opens the connection, if there is none.
func (c *conversation) connect() error {
	if c.conn != nil {
		return nil
	}
	if !c.run.mayConnect() {
		return errStopping
	}
	conn, err := net.DialTimeout("tcp", c.run.address, answerTimeout)
	if err != nil {
		return err
	}
	c.conn = conn
	c.used = false
	c.reader = bufio.NewReader(conn)
	return nil
}

// close closes the connection, if there is one.
func (c *conversation) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request and reads its answer. A connection that ends before the first byte of an answer while it was
// kept alive may have crossed the request; the request is then sent once more on a new one.
func (c *conversation) exchange(text string, q *Request) {
	reused := c.conn != nil
	if c.tryExchange(text, q) || !reused {
		return
	}
	c.tryExchange(text, q)
}

// tryExchange sends a request on the connection and reads its answer. It reports whether any of that came.
func (c *conversation) tryExchange(text string, q *Request) (answered bool) {
	q.SentAt = time.Now()
	q.Unsent = false
	if err := c.connect(); err != nil {
		q.EndedAt = time.Now()
		q.Unsent = true
		return false
	}
	isNew := !c.used
	c.used = true
	connectedAt := time.Now()
	c.conn.SetDeadline(connectedAt.Add(answerTimeout))
	_, writeErr := io.WriteString(c.conn, text)
	q.Unsent = writeErr != nil
	q.SentAt = timesOf(c.conn).sent
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		q.EndedAt = time.Now()
		q.Shut = isNew
		c.close()
		return false
	}
	body, err := io.ReadAll(response.Body)
	q.EndedAt = timesOf(c.conn).received
	if err == nil {
		q.Status = response.StatusCode
		q.Body = string(body)
	}
	if err != nil || response.Close {
		c.close()
	}
	return true
}

// SoundClients starts clients that keep to the protocol and send requests one at a time, on average at the given
// interval each.
func (r *Run) SoundClients(count int, interval time.Duration) {
	for range count {
		r.Go(func(ctx context.Context) {
			c := &conversation{run: r}
			defer c.close()
			for pause(ctx, rand.N(2*interval)) {
				q, text := randomRequest()
				c.exchange(text, &q)
				r.Record.addRequest(q)
			}
		})
	}
}

// sendLater sends a request on a new connection, some time after that has come up.
func (r *Run) sendLater(delay time.Duration) {
	c := &conversation{run: r}
	defer c.close()
	q, text := randomRequest()
	if err := c.connect(); err != nil {
		r.T.Error(err)
		return
	}
	time.Sleep(delay)
	c.tryExchange(text, &q)
	r.Record.addRequest(q)
}

// randomRequest returns a request of one of the classes.
func randomRequest() (q Request, text string) {
	q = Request{ID: newID(), Timeout: writeTimeout}
	shard := rand.IntN(nodeCount)
	switch rand.IntN(6) {
	case 0:
		q.Once = true
		head := requestHead("PUT", q.ID, onceClass, writeTimeout, shard)
		return q, head + fmt.Sprintf("Content-Length: %d\r\n\r\n", smallBody) + strings.Repeat("x", smallBody)
	case 1, 2:
		return q, writeRequest(q.ID, shard, smallBody)
	}
	q.Timeout = readTimeout
	return q, readRequest(q.ID, shard)
}

// SlowClients starts clients that keep to the protocol and send a write with a body of the given size on each
// connection, at the given rate in bytes a second.
func (r *Run) SlowClients(count, size, rate int) {
	const piecesPerSecond = 20
	for range count {
		r.Go(func(ctx context.Context) {
			for pause(ctx, rand.N(time.Second)) {
				r.sendSlowly(ctx, size, rate/piecesPerSecond, time.Second/piecesPerSecond)
			}
		})
	}
}

// sendSlowly sends one write in pieces and reads its answer.
func (r *Run) sendSlowly(ctx context.Context, size, piece int, interval time.Duration) {
	if !r.mayConnect() {
		return
	}
	conn, err := net.DialTimeout("tcp", r.address, answerTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(answerTimeout))
	q := Request{ID: newID(), Timeout: writeTimeout}
	text := writeRequest(q.ID, rand.IntN(nodeCount), size)
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			break // an early answer may be there to be read
		}
		text = text[n:]
		if len(text) > 0 && !pause(ctx, interval) {
			return
		}
	}
	q.SentAt = timesOf(conn).sent
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	q.EndedAt = time.Now()
	if err == nil {
		body, _ := io.ReadAll(response.Body)
		q.Status, q.Body = response.StatusCode, string(body)
		q.EndedAt = timesOf(conn).received
	}
	if len(text) > 0 && q.Status == 0 {
		return // the request was never complete
	}
	r.Record.addRequest(q)
}
