package httpbackend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"reachpulley/internal/dialer"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/gracefulclose"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// attempt sends an attempt's request and reports how the attempt ended. The error is the cause of a failure and is only
// logged; the report is valid in any case.
func (b *Backend) attempt(ctx context.Context, attempt eventloop.Attempt) (eventloop.Report, error) {
	payload, ok := attempt.Exchange.Payload.(*httpmsg.Request)
	if !ok {
		err := fmt.Errorf("payload of type %T cannot be sent to an HTTP node", attempt.Exchange.Payload)
		return failure(scheduler.ConnectFailed), err
	}
	c, err := b.connect(ctx, attempt.Node)
	if err != nil {
		unopened := errors.Is(err, errNoConnection) || errors.Is(err, dialer.ErrNoResources)
		if unopened || ctx.Err() != nil { // not a fault of the node
			return failure(scheduler.NotSent), err
		}
		return failure(scheduler.ConnectFailed), err
	}
	present := attempt.Exchange.ClientPresent() // may take a moment
	began := time.Now()
	if !present {
		b.pool.put(c)
		return failure(scheduler.NotSent), errClientAbsent
	}
	if !attempt.MayBegin(began) {
		b.pool.put(c)
		return failure(scheduler.NotSent), errAttemptExpired
	}
	request := newRequest(payload, c.address, attempt.Deadline.Sub(began))
	received, written, err := b.roundTrip(ctx, c, request)
	if err != nil {
		// A node does not begin to process a request before it has received the last byte. Once that is sent, the
		// request may have run.
		result := scheduler.ConnectionReset
		if !written {
			result = scheduler.ConnectFailed
		}
		return failure(eventloop.ResultAfterCancel(ctx, result)), err
	}
	report := received.report(payload.Statuses)
	report.ServiceTime = time.Since(began)
	if b.observe != nil {
		b.observe(Observation{
			Exchange: attempt.Exchange,
			Request:  payload,
			Node:     attempt.Node,
			Number:   attempt.Number,
			Result:   report.Result,
			Status:   received.StatusCode,
			Header:   received.Header,
			Body:     received.content,
			Duration: report.ServiceTime,
		})
	}
	return report, nil
}

// failure returns the report on an attempt that received no complete response.
func failure(result scheduler.Result) eventloop.Report {
	return eventloop.Report{Result: result, VolumeUse: -1}
}

// newRequest returns the request to send to a node for a client's request, with the time that is left as its deadline.
func newRequest(payload *httpmsg.Request, address string, timeLeft time.Duration) *http.Request {
	header := payload.Header.Clone()
	header.Set(httpmsg.DeadlineHeader, httpmsg.FormatDeadline(timeLeft))
	target := *payload.URL
	target.Scheme = "http"
	target.Host = address
	request := &http.Request{
		Method:     payload.Method,
		URL:        &target,
		Host:       payload.Host,
		Header:     header,
		Body:       http.NoBody,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if length := payload.Body.Len(); length > 0 {
		request.Body = io.NopCloser(payload.Body.Reader())
		request.ContentLength = int64(length)
	}
	return request
}

// requestBufferSize is the size in bytes up to which a request is sent in one write.
const requestBufferSize = 4 << 10

// requestBuffers recycles the buffers through which requests are written.
var requestBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, requestBufferSize) }}

// writeRequest writes a request. A larger one goes out in several writes, so that its body is not copied as a whole.
func writeRequest(w io.Writer, request *http.Request) error {
	buffer := requestBuffers.Get().(*bufio.Writer)
	defer requestBuffers.Put(buffer)
	defer buffer.Reset(nil) // also forgets an error
	buffer.Reset(writerOnly{w})
	return errors.Join(request.Write(buffer), buffer.Flush())
}

// writerOnly hides all other methods of a writer: bufio.Writer would copy a body past its buffer if the connection had
// a method ReadFrom.
type writerOnly struct{ io.Writer }

// probe requests a node's load report. If the node responds with status 200 but without a valid report, both the load
// and the error are nil.
func (b *Backend) probe(ctx context.Context, node string) (*scheduler.Load, error) {
	c, err := b.connect(ctx, node)
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method:     http.MethodGet,
		URL:        &url.URL{Scheme: "http", Host: c.address, Path: httpmsg.LoadPath},
		Header:     http.Header{},
		Body:       http.NoBody,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	received, _, err := b.roundTrip(ctx, c, request)
	if err != nil {
		return nil, err
	}
	if received.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("probe of node %q: unexpected status %d", node, received.StatusCode)
	}
	return parseLoadReport(received.content), nil
}

// roundTrip sends a request, reads the response in full and returns the connection to the pool, or closes it if it
// cannot be reused. If ctx ends first, the connection is closed, which also signals to the node that the response is no
// longer wanted. The result written reports whether the request's last byte was sent.
func (b *Backend) roundTrip(ctx context.Context, c *conn, request *http.Request) (
	received response, written bool, err error) {
	stopClosing := context.AfterFunc(ctx, func() { gracefulclose.Abandon(c.Conn) })
	if err = writeRequest(c, request); err == nil {
		written = true
		received, err = c.readResponse(ctx, request, b.content)
	}
	if !stopClosing() || err != nil || received.Close {
		b.pool.discard(c)
	} else {
		b.pool.put(c)
	}
	return received, written, err
}
