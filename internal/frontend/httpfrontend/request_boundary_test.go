package httpfrontend

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// The scanner splits a stream of pipelined requests at their ends, whatever the sizes of the pieces in which the stream
// arrives.
func TestBoundaryScannerSplitsPipelinedRequests(t *testing.T) {
	requests := []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"PUT /b HTTP/1.1\r\nHost: h\r\ncontent-LENGTH:  5 \r\n" +
			"X-Long: " + strings.Repeat("x", 3*maxScannedLine) + "\r\n\r\nhello",
		"PUT /c HTTP/1.1\nContent-Length: 3\n\na\n\n",
		"PUT /d HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
		"PUT /e HTTP/1.1\r\ntransfer-ENCODING: chunked\r\n\r\n5;x=y\r\nhello\r\nC\r\n0\r\n\r\nGET /a \r\n0\r\n\r\n",
		"PUT /f HTTP/1.1\nTransfer-Encoding: chunked\n\n1;" + strings.Repeat("x", 2*maxScannedLine) +
			"\na\n0\nX-Sum: 1\n\n",
	}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var stream string
		for range 20 {
			stream += requests[random.IntN(len(requests))]
		}
		if err := scanInPieces(stream, requests, random); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// scanInPieces scans a stream of the given requests in pieces of random size.
func scanInPieces(stream string, requests []string, random *rand.Rand) error {
	var scanner boundaryScanner
	var current string
	for stream != "" {
		piece := stream[:1+random.IntN(min(len(stream), 90))]
		n := scanner.next([]byte(piece))
		current += stream[:n]
		stream = stream[n:]
		complete := false
		for _, request := range requests {
			if current == request {
				complete = true
			} else if strings.HasPrefix(current, request) {
				return fmt.Errorf("%q spans two requests", current)
			}
		}
		if complete {
			current = ""
		}
	}
	if current != "" {
		return fmt.Errorf("no request ends after %q", current)
	}
	return nil
}

// Whatever a client sends, the scanner goes on and takes no more than there is, and its result does not depend on the
// pieces in which the stream arrives.
func FuzzBoundaryScanner(f *testing.F) {
	f.Add([]byte("PUT /e HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET /a HTTP/1.1\r\n\r\n"))
	f.Add([]byte("PUT /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nhelloGET"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		var whole, single boundaryScanner
		for start := 0; start < len(stream); {
			n := whole.next(stream[start:])
			if n < 1 || n > len(stream)-start {
				t.Fatalf("%d bytes of %d are scanned", n, len(stream)-start)
			}
			for i := start; i < start+n; i++ {
				single.next(stream[i : i+1])
			}
			start += n
		}
		if whole.part != single.part || whole.bodyLeft != single.bodyLeft || whole.lastHead != single.lastHead {
			t.Errorf("in one piece %+v, in single bytes %+v", whole, single)
		}
	})
}
