package httpback

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"reachpulley/internal/httpmsg"
)

const (
	mostHead    = 8 << 10                // bytes of one answer's head
	mostInterim = 8                      // 1xx answers ahead of one
	answerTime  = 250 * time.Millisecond // from an answer's first byte to its last: what stalls is spoilt
)

// Faults of an answer. Whatever its form, a spoilt one fails the attempt, which may have run, and its connection.
var (
	errHead     = errors.New("the answer's head is too long")
	errLengths  = errors.New("the answer has Content-Length and Transfer-Encoding")
	errInterim  = errors.New("too many 1xx answers")
	errSwitched = errors.New("the node wants another protocol")
	errBody     = fmt.Errorf("the answer is longer than %d bytes", httpmsg.MostBody)
)

// readAnswer reads the final answer to a request whole, and not a byte beyond it. No more than the reader's buffer
// and httpmsg.MostBody are held of it, whatever it claims.
func (c *conn) readAnswer(req *http.Request) (*http.Response, []byte, error) {
	if _, err := c.r.Peek(1); err != nil {
		return nil, nil, err
	}
	c.SetReadDeadline(time.Now().Add(answerTime))
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
		case resp.ContentLength > httpmsg.MostBody:
			return nil, nil, errBody
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, httpmsg.MostBody+1))
		if err == nil && len(body) > httpmsg.MostBody {
			err = errBody
		}
		if err != nil {
			return nil, nil, err
		}
		return resp, body, c.SetReadDeadline(time.Time{})
	}
	return nil, nil, errInterim
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
