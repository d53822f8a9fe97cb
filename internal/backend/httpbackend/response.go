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

	"reachpulley/internal/proto/httpmsg"
)

const (
	// maxHeadSize is the maximum size of a response's head, that is its status line and header section, in bytes.
	maxHeadSize = 8 << 10
	// maxHeads is the maximum number of heads read for one request: those of interim (1xx) responses and the final one.
	maxHeads = 8
	// maxHeaderFields is the maximum number of fields in a response's head.
	maxHeaderFields = 100
	// smallContent is the size, in bytes, below which content is read without reserving memory for it. The rest of
	// larger content is read only after memory has been reserved (see contentMemory).
	smallContent = 4 << 10
	// mediumContent is the size, in bytes, from which memory is reserved apart from that of smaller content, so that a
	// few large responses do not keep the others waiting.
	mediumContent = httpmsg.MaxRequestBody
)

// Errors of a malformed or unacceptable response. Each of them fails the attempt, whose request may have run, and
// closes the connection.
var (
	errHeadTooLarge    = fmt.Errorf("response head is larger than %d bytes", maxHeadSize)
	errTooManyFields   = fmt.Errorf("response head has more than %d fields", maxHeaderFields)
	errAmbiguousLength = errors.New("response has both Content-Length and Transfer-Encoding")
	errTooManyInterim  = fmt.Errorf("no final response among the first %d responses", maxHeads)
	errProtocolSwitch  = errors.New("response switches to another protocol")
	errContentTooLarge = fmt.Errorf("response content is larger than %d bytes", httpmsg.MaxResponseBody)
)

// headTerminators are the ends of a head: an empty line, with or without a carriage return.
var headTerminators = [...][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// contentLengthField is the start of the Content-Length field in a head that was converted to lower case.
var contentLengthField = []byte("\ncontent-length")

// response is a final response that was read in full.
type response struct {
	*http.Response        // its Body has been read
	content        []byte // what was read from Body
}

// readResponse reads the final response to a request in full and consumes no byte beyond it. However large a response
// claims to be, at most the reader's buffer and httpmsg.MaxResponseBody bytes of it are held in memory. All attempts
// share the memory for content.
func (c *conn) readResponse(ctx context.Context, request *http.Request, memory contentMemory) (
	response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return response{}, err
	}
	c.inResponse = true
	for range maxHeads {
		resp, err := c.readHead(request)
		if err != nil {
			return response{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		content, err := readContent(ctx, resp, memory)
		if err != nil {
			return response{}, err
		}
		c.inResponse = false
		c.lastResponse = time.Now()
		return response{resp, content}, c.SetReadDeadline(time.Time{})
	}
	return response{}, errTooManyInterim
}

// readHead reads the head of one interim or final response. It also fails for a final one whose content is too large or
// of ambiguous length.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	head, err := peekHead(c.reader)
	if err != nil {
		return nil, err
	}
	head = bytes.ToLower(head) // a copy: the next read overwrites the buffer
	resp, err := http.ReadResponse(c.reader, request)
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return nil, errProtocolSwitch
	case resp.StatusCode < http.StatusOK:
		return resp, nil
	case resp.TransferEncoding != nil && bytes.Contains(head, contentLengthField):
		return nil, errAmbiguousLength
	case resp.ContentLength > httpmsg.MaxResponseBody:
		return nil, errContentTooLarge
	}
	return resp, nil
}

// peekHead waits until the reader's buffer holds a complete head and returns the head without consuming it. It fails if
// the head does not fit into the buffer.
func peekHead(reader *bufio.Reader) ([]byte, error) {
	for {
		buffered, _ := reader.Peek(reader.Buffered())
		head, complete := cutHead(buffered)
		if bytes.Count(head, []byte("\n")) > maxHeaderFields+2 { // with the status line and the last line
			return nil, errTooManyFields
		}
		if complete {
			return head, nil
		}
		if len(buffered) == reader.Size() {
			return nil, errHeadTooLarge
		}
		if _, err := reader.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// contentMemory is the memory that all responses share: one part for those from smallContent to mediumContent bytes, and
// one for longer ones.
type contentMemory struct{ medium, large *responseMemory }

// cutHead returns the head in the input, or all of the input if the head is not complete.
func cutHead(input []byte) (head []byte, complete bool) {
	for _, terminator := range headTerminators {
		if end := bytes.Index(input, terminator); end >= 0 {
			return input[:end+len(terminator)], true
		}
	}
	return input, false
}

// readContent reads a response's content. For content of smallContent bytes or more, it reserves memory, and waits for
// it if necessary. The memory stays reserved as long as the content is in use.
func readContent(ctx context.Context, resp *http.Response, memory contentMemory) ([]byte, error) {
	limit := resp.ContentLength
	if limit < 0 { // the length is unknown: chunked, or until the connection ends
		limit = httpmsg.MaxResponseBody
	}
	var content bytes.Buffer
	content.Grow(int(min(max(resp.ContentLength, 0), smallContent)) + bytes.MinRead)
	n, err := content.ReadFrom(io.LimitReader(resp.Body, smallContent))
	if err != nil || n < smallContent {
		return content.Bytes(), err
	}
	// The part of smaller content is read first, as its length may be unknown.
	complete, err := readReserved(ctx, resp, &content, min(limit, mediumContent), memory.medium)
	if err != nil || complete {
		return content.Bytes(), err
	}
	_, err = readReserved(ctx, resp, &content, limit, memory.large)
	return content.Bytes(), err
}

// readReserved reads content up to a limit, for which it reserves memory. It reports whether the content is complete. If
// it is, the memory stays reserved as long as the content is in use; otherwise the caller goes on or gives up, and the
// memory is released.
func readReserved(ctx context.Context, resp *http.Response, content *bytes.Buffer, limit int64, memory *responseMemory,
) (complete bool, err error) {
	if err := memory.acquire(ctx, limit); err != nil {
		return false, err
	}
	defer func() {
		if !complete {
			memory.release(limit)
		}
	}()
	if missing := limit - int64(content.Len()); resp.ContentLength >= 0 {
		content.Grow(int(missing) + bytes.MinRead) // not more than was reserved, as doubling the buffer may take
	}
	_, err = content.ReadFrom(io.LimitReader(resp.Body, limit-int64(content.Len())+1))
	switch {
	case err != nil:
		return false, err
	case int64(content.Len()) > httpmsg.MaxResponseBody:
		return false, errContentTooLarge
	case int64(content.Len()) > limit:
		return false, nil
	}
	memory.releaseWithContent(content.Bytes(), limit)
	return true, nil
}
