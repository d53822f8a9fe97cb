package httpfrontend

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"

	"reachpulley/internal/intake"
	"reachpulley/internal/proto/httpmsg"
)

const (
	// headSlack is by how much a head may exceed the configured size before it is rejected.
	headSlack = 4 << 10
	// maxHeaderFields is the maximum number of fields in a head.
	maxHeaderFields = 100
	// minHeadBuffer is the size in bytes with which the buffer for a head begins.
	minHeadBuffer = 512
)

// errNoMemory reports that there is no memory for more input at present.
var errNoMemory = errors.New("no memory for more input")

// incoming is a request that has arrived, or the rejection of one.
type incoming struct {
	request  *http.Request // nil if it could not be parsed, or is to be parsed from head
	head     []byte        // of a request that waits behind another one; nil: it is parsed
	isReady  bool          // it is a readiness check
	received httpmsg.Received
	held     int // bytes that are reserved for it

	rejection *statusError // nil: the request is complete
	last      bool         // nothing that follows on the connection can be read
	count     int          // number of requests in a row that the rejection answers
}

// headCheck returns why a request is rejected by its head; nil: it is not. The argument hasLength tells whether the
// head has a Content-Length.
type headCheck func(request *http.Request, hasLength bool) *statusError

// requestDecoder splits the input of a connection into requests. It parses a head only when all of it has arrived, and
// decodes bodies as they arrive. All memory that depends on the input is reserved from an account.
type requestDecoder struct {
	memory  *intake.Account
	maxHead int // bytes
	check   headCheck
	waits   func() bool // reports whether a request that is complete now has to wait for others; nil: it never has to

	readAt     time.Time // when the input came that is being decoded
	part       requestPart
	began      bool // a part of the current request has arrived
	beganAt    time.Time
	size       int    // bytes of the current request that have arrived
	line       []byte // start of the current line of a chunked body
	lineStart  int    // offset of the current line in the head
	fields     int    // lines of the head that are complete
	head       []byte
	reserved   int // bytes for the current request
	parsedSize int // bytes of them for its parsed head, if its text is kept as well
	steps      int // lines and pieces of content that have been decoded so far
	request    *http.Request
	body       httpmsg.Body
	bodyLength int // bytes; -1: unknown
	left       int // bytes of the body or chunk that are still to come
	excess     int // bytes of chunk lines and trailers beyond what is free
}

func newRequestDecoder(memory *intake.Account, maxHead int, check headCheck) *requestDecoder {
	return &requestDecoder{memory: memory, maxHead: maxHead + headSlack, check: check}
}

// next decodes data up to the end of the current request, or for one slice of work. It returns how many bytes it
// has used and, at the end of the request, the request. With errNoMemory, nothing of the rest has been used, and next
// may be called with it again.
func (d *requestDecoder) next(data []byte) (n int, complete *incoming, err error) {
	if !d.began && len(data) > 0 {
		d.began = true
		d.beganAt = time.Now()
	}
	for step := 0; step < intake.MaxSliceSteps && n < len(data) && complete == nil && err == nil; step++ {
		var used int
		used, complete, err = d.step(data[n:])
		d.steps++
		n += used
		d.size += used
	}
	return n, complete, err
}

// step decodes a piece of the current part.
func (d *requestDecoder) step(data []byte) (used int, complete *incoming, err error) {
	switch d.part {
	case inHead:
		return d.stepHead(data)
	case inBody, inChunk:
		return d.stepBody(data)
	}
	return d.stepLine(data)
}

// stepHead adds one line, or the part of it that has arrived, to the head.
func (d *requestDecoder) stepHead(data []byte) (used int, complete *incoming, err error) {
	end := bytes.IndexByte(data, '\n')
	used = len(data)
	if end >= 0 {
		used = end + 1
	}
	if len(d.head)+used > d.maxHead {
		return used, d.rejectUnparsed(http.StatusRequestHeaderFieldsTooLarge), nil
	}
	if !d.growHead(used) {
		return 0, nil, errNoMemory
	}
	d.head = append(d.head, data[:used]...)
	if end < 0 {
		return used, nil, nil
	}
	if line := d.head[d.lineStart:]; len(line) == 1 || len(line) == 2 && line[0] == '\r' {
		complete, err = d.endHead()
		if err != nil { // the line is taken out again, to be tried once more
			d.head = d.head[:len(d.head)-used]
			return 0, nil, err
		}
		return used, complete, nil
	}
	d.lineStart = len(d.head)
	if d.fields++; d.fields > maxHeaderFields+1 { // with the request line
		return used, d.rejectUnparsed(http.StatusRequestHeaderFieldsTooLarge), nil
	}
	return used, nil, nil
}

// growHead makes space for more bytes of the head, and reports whether there is memory for them.
func (d *requestDecoder) growHead(size int) bool {
	needed := len(d.head) + size
	if needed <= cap(d.head) {
		return true
	}
	capacity := max(minHeadBuffer, 2*cap(d.head))
	for capacity < needed {
		capacity *= 2
	}
	capacity = min(capacity, d.maxHead)
	if !d.reserve(capacity - cap(d.head)) {
		return false
	}
	d.head = append(make([]byte, 0, capacity), d.head...)
	return true
}

// reserve reserves memory for the current request.
func (d *requestDecoder) reserve(size int) bool {
	if size == 0 {
		return true
	}
	if !d.memory.Reserve(size) {
		return false
	}
	d.reserved += size
	return true
}

// endHead parses the head. It returns the request if it has no body, or its rejection.
func (d *requestDecoder) endHead() (*incoming, error) {
	parsedSize := parsedHeadSize(d.head)
	if !d.reserve(parsedSize) {
		return nil, errNoMemory
	}
	request, rejection := parseHead(d.head)
	if rejection == nil {
		rejection = d.check(request, len(request.TransferEncoding) > 0 && hasContentLength(d.head))
	}
	d.request = request
	if rejection != nil {
		d.freeHead()
		return d.reject(rejection), nil
	}
	if d.waits != nil && d.waits() { // its text needs much less memory
		d.parsedSize = parsedSize
	} else {
		d.freeHead()
	}
	d.bodyLength = int(request.ContentLength)
	switch {
	case request.ContentLength == 0:
		return d.finish(), nil
	case request.ContentLength < 0:
		d.part = inChunkSize
	default:
		d.part = inBody
		d.left = d.bodyLength
	}
	return nil, nil
}

// freeHead gives back the buffer of the head.
func (d *requestDecoder) freeHead() {
	d.memory.Release(cap(d.head))
	d.reserved -= cap(d.head)
	d.head = nil
}

// stepBody adds content to the body.
func (d *requestDecoder) stepBody(data []byte) (used int, complete *incoming, err error) {
	content := data[:min(len(data), d.left)]
	expected := d.left
	if d.part == inChunk { // more chunks may follow
		expected = httpmsg.MaxRequestBody
	}
	if !d.reserve(d.body.Growth(len(content), expected)) {
		return 0, nil, errNoMemory
	}
	d.body = d.body.Append(content, expected)
	if d.left -= len(content); d.left > 0 {
		return len(content), nil, nil
	}
	if d.part == inChunk {
		d.part = afterChunk
		return len(content), nil, nil
	}
	return len(content), d.finish(), nil
}

// finish returns the current request, which is complete.
func (d *requestDecoder) finish() *incoming {
	complete := &incoming{
		head:     d.head,
		isReady:  d.request.URL.Path == httpmsg.ReadyPath,
		received: httpmsg.Received{Arrival: d.readAt, Body: d.body},
		held:     d.reserved - d.parsedSize,
		last:     !d.request.ProtoAtLeast(1, 1) || d.request.Close,
	}
	if d.head == nil {
		complete.setRequest(d.request)
	}
	d.memory.Release(d.parsedSize)
	d.reset()
	return complete
}

// setRequest sets the parsed request. Its body is decoded already.
func (in *incoming) setRequest(request *http.Request) {
	request.ContentLength = int64(in.received.Body.Len())
	request.TransferEncoding = nil
	request.Trailer = nil
	in.request = request
}

// parse parses a request of which the text is kept. The memory for that is reserved; if there is none, the request is
// rejected.
func (in *incoming) parse(memory *intake.Account, giveUp func() bool) {
	if in.head == nil {
		return
	}
	size := parsedHeadSize(in.head)
	if !memory.Await(size, giveUp) {
		in.rejection = errOverload
		in.count = 1
		return
	}
	in.held += size
	request, _ := parseHead(in.head) // which has succeeded before
	in.setRequest(request)
	in.head = nil
}

// reject returns a rejection of the current request, of which the rest need not have arrived.
func (d *requestDecoder) reject(reason *statusError) *incoming {
	rejected := &incoming{request: d.request, held: d.reserved, rejection: reason, last: true, count: 1}
	rejected.received.Arrival = d.readAt
	d.reset()
	return rejected
}

// rejectUnparsed rejects a request whose head cannot be parsed.
func (d *requestDecoder) rejectUnparsed(status int) *incoming {
	d.freeHead()
	text := strconv.Itoa(status) + " " + http.StatusText(status)
	return d.reject(newStatusError(status, text))
}

// rejectBody rejects a request whose body is malformed.
func (d *requestDecoder) rejectBody(reason string) *incoming {
	return d.reject(newStatusError(http.StatusBadRequest, "the body: "+reason))
}

// reset prepares for the next request. What is reserved belongs to the request that was returned.
func (d *requestDecoder) reset() {
	*d = requestDecoder{
		memory:  d.memory,
		maxHead: d.maxHead,
		check:   d.check,
		waits:   d.waits,
		steps:   d.steps,
		readAt:  d.readAt,
		line:    d.line[:0],
	}
}

// abandon gives up the current request and releases its memory. It returns a scanner that finds the end of the request.
func (d *requestDecoder) abandon() (rest boundaryScanner) {
	if d.part == inHead {
		rest.next(d.head)
	} else {
		rest.part = d.part
		rest.bodyLeft = d.left
		rest.line = append(rest.line, d.line...)
	}
	d.memory.Release(d.reserved)
	d.reset()
	return rest
}
