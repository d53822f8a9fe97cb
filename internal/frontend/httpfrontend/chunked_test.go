package httpfrontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
)

// echoLoop is a Loop that answers every exchange with the body of its request, behind the Expect and Transfer-Encoding
// headers that a node would get.
type echoLoop struct{}

func (echoLoop) Open(x *exchange.Exchange) {
	request := x.Payload.(*httpmsg.Request)
	text := fmt.Sprintf("%q %q %s", request.Header["Expect"], request.Header["Transfer-Encoding"], request.Body)
	x.Finish(exchange.Answer{Reply: &httpmsg.Reply{Body: []byte(text)}})
}

// chunkedHead is the head of a write whose body comes in chunks.
var chunkedHead = strings.ReplaceAll(requestLine+platformHeaders, `\n`, "\r\n")

const encoding = "Transfer-Encoding: chunked\r\n"

// Guards the forms in which HTTP/1.1 clients send bodies: each is passed on whole, a request that is pipelined behind
// it is answered, and what is ambiguous or malformed is rejected and ends the connection.
func TestChunkedRequests(t *testing.T) {
	const echoed = "[] [] "
	for _, test := range []struct {
		name   string
		rest   string // of the request, behind chunkedHead
		status int
		body   string
	}{
		{"one chunk", encoding + "\r\n5\r\nhello\r\n0\r\n\r\n", 200, echoed + "hello"},
		{"no content", encoding + "\r\n0\r\n\r\n", 200, echoed},
		{"several chunks", encoding + "\r\n1\r\nh\r\n4\r\nello\r\n0\r\n\r\n", 200, echoed + "hello"},
		{"leading zeros", encoding + "\r\n0005\r\nhello\r\n000\r\n\r\n", 200, echoed + "hello"},
		{"chunk extensions", encoding + "\r\n5;a=b;c=\"d\"\r\nhello\r\n0;e\r\n\r\n", 200, echoed + "hello"},
		{"trailers", encoding + "Trailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", 200, echoed + "hello"},
		{
			"content that looks like chunks",
			encoding + "\r\n9\r\n0\r\n\r\n5\r\nh\r\n0\r\n\r\n", 200, echoed + "0\r\n\r\n5\r\nh",
		},
		{
			"content that looks like a request",
			encoding + "\r\n12\r\nGET /a HTTP/1.1\r\n\n\r\n0\r\n\r\n", 200, echoed + "GET /a HTTP/1.1\r\n\n",
		},
		{"expectation", encoding + "Expect: 100-continue\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200, echoed + "hello"},
		{"a length before the encoding", "Content-Length: 5\r\n" + encoding + "\r\n5\r\nhello\r\n0\r\n\r\n", 411, ""},
		{"a length behind the encoding", encoding + "Content-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 411, ""},
		{"another encoding", "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 501, ""},
		{"a size that is no number", encoding + "\r\nz\r\nhello\r\n0\r\n\r\n", 400, ""},
		{"a chunk longer than stated", encoding + "\r\n4\r\nhello\r\n0\r\n\r\n", 400, ""},
		{
			"longer than allowed",
			encoding + "\r\n10001\r\n" + strings.Repeat("x", 0x10001) + "\r\n0\r\n\r\n", 413, "",
		},
	} {
		for _, pieces := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s, in pieces of %d", test.name, pieces), func(t *testing.T) {
				if len(test.rest) > 1000 && pieces == 1 {
					pieces = 1000
				}
				_, address := serveOnLoopback(t, echoLoop{})
				next := strings.ReplaceAll(requestLine+platformHeaders, `\n`, "\r\n") + "Content-Length: 4\r\n\r\nnext"
				reader := sendInPieces(t, address, chunkedHead+test.rest+next, pieces)
				status, body := readResponse(t, reader)
				if status != test.status || test.status == 200 && body != test.body {
					t.Errorf("got %d %q, want %d %q", status, body, test.status, test.body)
				}
				if test.status != 200 {
					if rest, _ := io.ReadAll(reader); len(rest) > 0 {
						t.Errorf("%q follows a rejection, want the end of the connection", rest)
					}
					return
				}
				if status, body := readResponse(t, reader); status != 200 || body != echoed+"next" {
					t.Errorf("the request behind it: got %d %q, want it to be served", status, body)
				}
			})
		}
	}
}

// sendInPieces sends a text over a new connection and returns the connection's reader.
func sendInPieces(t *testing.T, address, text string, size int) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	go func() {
		for len(text) > 0 {
			n := min(size, len(text))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return // the connection ends after a rejection
			}
			text = text[n:]
		}
	}()
	return bufio.NewReader(conn)
}

// readResponse reads a final response. Interim responses are skipped.
func readResponse(t *testing.T, reader *bufio.Reader) (status int, body string) {
	t.Helper()
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode < 200 {
			continue
		}
		text, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, string(text)
	}
}
