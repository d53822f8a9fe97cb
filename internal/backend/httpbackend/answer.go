package httpbackend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"reachpulley/internal/proto/httpmsg"
)

const (
	mostHead    = 8 << 10                // bytes of one answer's head
	mostInterim = 8                      // 1xx answers ahead of one
	stallTime   = 100 * time.Millisecond // between two pieces of an answer; what stalls for longer is spoilt
)

// Faults of an answer. Whatever its form, a spoilt one fails the attempt, which may have run, and its connection.
var (
	errHead     = errors.New("the answer's head is too long")
	errLengths  = errors.New("the answer has Content-Length and Transfer-Encoding")
	errInterim  = errors.New("too many 1xx answers")
	errSwitched = errors.New("the node wants another protocol")
	errBody     = fmt.Errorf("the answer is longer than %d bytes", httpmsg.MaxResponseBody)
)

// Read reads what comes over the connection. Within an answer the next piece has to follow soon.
func (c *conn) Read(p []byte) (int, error) {
	if c.within {
		c.SetReadDeadline(time.Now().Add(stallTime))
	}
	return c.Conn.Read(p)
}

// readAnswer reads the final answer to a request whole, and not a byte beyond it. No more than the reader's buffer
// and httpmsg.MaxResponseBody are held of it, whatever it claims; the room for long ones is shared with other attempts.
func (c *conn) readAnswer(ctx context.Context, req *http.Request, room *semaphore.Weighted) (*http.Response, []byte, error) {
	if _, err := c.r.Peek(1); err != nil {
		return nil, nil, err
	}
	c.within = true
	for range mostInterim {
		head, err := peekHead(c.r)
		if err != nil {
			return nil, nil, err
		}
		head = bytes.ToLower(head) // a copy: reading on overwrites the buffer
		resp, err := http.ReadResponse(c.r, req)
		switch {
		case err != nil:
			return nil, nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, errSwitched
		case resp.StatusCode < 200:
			continue
		case resp.TransferEncoding != nil && bytes.Contains(head, []byte("\ncontent-length")):
			return nil, nil, errLengths
		case resp.ContentLength > httpmsg.MaxResponseBody:
			return nil, nil, errBody
		}
		body, err := readBody(ctx, resp, room)
		if err != nil {
			return nil, nil, err
		}
		c.within = false
		return resp, body, c.SetReadDeadline(time.Time{})
	}
	return nil, nil, errInterim
}

// readBody reads an answer's body. One longer than a request's has to find room first, and gives it back here: from
// then on the client's connection is what is slow, if anything.
func readBody(ctx context.Context, resp *http.Response, room *semaphore.Weighted) ([]byte, error) {
	most := resp.ContentLength
	if most < 0 { // chunks, or all until the end
		most = httpmsg.MaxResponseBody
	}
	var body bytes.Buffer
	body.Grow(int(min(max(resp.ContentLength, 0), httpmsg.MaxRequestBody)) + bytes.MinRead)
	n, err := body.ReadFrom(io.LimitReader(resp.Body, httpmsg.MaxRequestBody))
	if err != nil || n < httpmsg.MaxRequestBody {
		return body.Bytes(), err
	}
	if err := room.Acquire(ctx, most); err != nil {
		return nil, err
	}
	defer room.Release(most)
	if _, err = body.ReadFrom(io.LimitReader(resp.Body, most-n+1)); err == nil && int64(body.Len()) > most {
		err = errBody
	}
	return body.Bytes(), err
}

// peekHead waits until a head is whole in the reader's buffer, which bounds it, and gives it without taking it.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for {
		held, _ := r.Peek(r.Buffered())
		for _, blank := range []string{"\n\r\n", "\n\n"} {
			if end := bytes.Index(held, []byte(blank)); end >= 0 {
				return held[:end+len(blank)], nil
			}
		}
		if len(held) == r.Size() {
			return nil, errHead
		}
		if _, err := r.Peek(len(held) + 1); err != nil {
			return nil, err
		}
	}
}
