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
