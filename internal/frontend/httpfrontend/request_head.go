package httpfrontend

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/net/http/httpguts"

	"reachpulley/internal/intake"
)

// headParsers recycles the readers with which heads are parsed.
var headParsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, pooledBufferSize) }}

// parsedHeadSize returns about how much memory a parsed head needs: as much as its text, and something for each field.
func parsedHeadSize(head []byte) int {
	return intake.RequestBytes + len(head) + bytes.Count(head, []byte("\n"))*intake.FieldBytes
}

// parseHead parses a complete head.
func parseHead(head []byte) (*http.Request, *statusError) {
	parser := headParsers.Get().(*bufio.Reader)
	defer headParsers.Put(parser)
	defer parser.Reset(nil)
	parser.Reset(bytes.NewReader(head))
	request, err := http.ReadRequest(parser)
	if err != nil {
		if strings.Contains(err.Error(), "unsupported transfer encoding") {
			return nil, newStatusError(http.StatusNotImplemented, "Unsupported transfer encoding")
		}
		return nil, newStatusError(http.StatusBadRequest, "400 Bad Request")
	}
	if rejection := checkHead(request); rejection != nil {
		return nil, rejection
	}
	request.Body = http.NoBody
	return request, nil
}

// checkHead makes the checks of a head that http.ReadRequest does not make.
func checkHead(request *http.Request) *statusError {
	badRequest := func(reason string) *statusError {
		return newStatusError(http.StatusBadRequest, "400 Bad Request: "+reason)
	}
	switch {
	case request.ProtoMajor != 1:
		return newStatusError(http.StatusHTTPVersionNotSupported,
			"505 HTTP Version Not Supported: unsupported protocol version")
	case request.ProtoAtLeast(1, 1) && request.Host == "":
		return badRequest("missing required Host header")
	case !httpguts.ValidHostHeader(request.Host):
		return badRequest("malformed Host header")
	}
	for name, values := range request.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return badRequest("invalid header name")
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return badRequest("invalid header value")
			}
		}
	}
	if expectation := request.Header.Get("Expect"); expectation != "" && !expectsContinue(request) {
		return newStatusError(http.StatusExpectationFailed, "417 Expectation Failed")
	}
	return nil
}

// expectsContinue reports whether the client waits for an interim response before it sends the body.
func expectsContinue(request *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(request.Header["Expect"], "100-continue")
}

// hasContentLength reports whether a head states the length of the body. net/http drops the field beside a
// Transfer-Encoding.
func hasContentLength(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if strings.EqualFold(string(name), "Content-Length") {
			return true
		}
	}
	return false
}
