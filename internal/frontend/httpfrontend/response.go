package httpfrontend

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"time"

	contracts "reachpulley/internal/contract/registry"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/rules/engine"
)

// statusError is an error that is sent to the client: its text is the body of a response with the given status. Clients
// may match the text, so it must not change.
type statusError struct {
	status int
	err    error
}

func newStatusError(status int, text string) *statusError {
	return &statusError{status: status, err: errors.New(text)}
}

// Error returns the body of the response.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *statusError) Unwrap() error { return e.err }

// writeRejection writes the response to a request that is rejected before it is read. If the reason is a lack of
// resources, the client is told when to return.
func (f *Frontend) writeRejection(w http.ResponseWriter, rejection *statusError) {
	if rejection.status == http.StatusServiceUnavailable && f.settings.Allowed.RetryAfter {
		w.Header().Set("Retry-After", httpmsg.FormatRetryAfter(f.settings.Allowed.MaxRetryAfter))
	}
	http.Error(w, rejection.Error(), rejection.status)
}

// answerResponse converts the final answer of an exchange to an HTTP response.
func answerResponse(r *http.Request, answer exchange.Answer) *http.Response {
	switch answer.Verdict {
	case exchange.Served:
		if reply, ok := answer.Reply.(*httpmsg.Reply); ok {
			return newResponse(r, cmp.Or(reply.Status, http.StatusOK), reply.Header, reply.Body)
		}
	case exchange.Rejected:
		header := http.Header{}
		if answer.RetryAfter > 0 {
			header.Set("Retry-After", httpmsg.FormatRetryAfter(answer.RetryAfter))
		}
		return newResponse(r, http.StatusServiceUnavailable, header, nil)
	}
	return newResponse(r, http.StatusBadGateway, nil, nil)
}

// reject counts a request that was not admitted and returns its response.
func (f *Frontend) reject(r *http.Request, err error) *http.Response {
	resp := rejectionResponse(r, err)
	if resp.StatusCode == http.StatusTooManyRequests {
		f.rateLimited.Add(1)
	} else {
		f.invalidRequests.Add(1)
	}
	return resp
}

// rejectionResponse converts the error for which a request was not admitted to an HTTP response.
func rejectionResponse(r *http.Request, err error) *http.Response {
	var overLimit engine.LimitError
	var undescribed contracts.RateLimitedError
	var retryAfter time.Duration
	switch {
	case errors.As(err, &overLimit):
		retryAfter = overLimit.RetryAfter
	case errors.As(err, &undescribed):
		retryAfter = undescribed.RetryAfter
	case errors.Is(err, contracts.ErrUndescribed):
		return errorResponse(r, http.StatusNotFound, err)
	default:
		return errorResponse(r, http.StatusBadRequest, err)
	}
	resp := errorResponse(r, http.StatusTooManyRequests, err)
	// Rounded up, so that a client that obeys the header is admitted.
	roundedUp := retryAfter.Truncate(time.Millisecond) + time.Millisecond
	resp.Header.Set("Retry-After", httpmsg.FormatRetryAfter(roundedUp))
	return resp
}

// errorResponse returns a response whose body tells the client what is wrong with its request.
func errorResponse(r *http.Request, status int, err error) *http.Response {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	return newResponse(r, status, header, []byte(err.Error()+"\n"))
}

// newResponse returns a response whose Content-Length is that of the body, whatever the header says.
func newResponse(r *http.Request, status int, header http.Header, body []byte) *http.Response {
	ownHeader := http.Header{}
	if header != nil {
		ownHeader = header.Clone()
	}
	ownHeader.Del("Content-Length")
	return &http.Response{
		StatusCode:    status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        ownHeader,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Request:       r,
	}
}
