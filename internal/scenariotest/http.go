package scenariotest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// testHost is the Host header of requests.
const testHost = "origin.svc"

// HTTP is the Codec of HTTP/1.1. A request is "GET /path Header=value ... body", a response "200 Header=value ...
// body". Names of headers begin with a capital letter. A word that is not a header is the body. "raw ..." sends the
// text unchanged, with \n for the end of a line. "nothing" connects without sending anything.
//
// The text of a received message contains the headers in VisibleHeaders and no others.
type HTTP struct {
	VisibleHeaders []string
}

// Write sends a request or a response.
func (h HTTP) Write(w io.Writer, text string) error {
	if raw, ok := strings.CutPrefix(text, "raw "); ok {
		_, err := io.WriteString(w, strings.ReplaceAll(raw, `\n`, "\r\n"))
		if errors.Is(err, io.ErrClosedPipe) { // the peer may close early on a malformed message; the next line shows it
			return nil
		}
		return err
	}
	if text == nothing {
		return nil
	}
	parts := strings.Fields(text)
	var b bytes.Buffer
	if isStatus(parts[0]) {
		fmt.Fprintf(&b, "HTTP/1.1 %s stand-in\r\n", parts[0])
		parts = parts[1:]
	} else {
		fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", parts[0], parts[1], testHost)
		parts = parts[2:]
	}
	body := ""
	for _, part := range parts {
		if name, value, ok := strings.Cut(part, "="); ok && name[0] >= 'A' && name[0] <= 'Z' {
			fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		} else {
			body = part
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := w.Write(b.Bytes())
	return err
}

// isStatus reports whether a word, which must not be empty, begins with a digit from 1 to 9, as a status code does. The
// method of a request does not.
func isStatus(word string) bool { return word[0] >= '1' && word[0] <= '9' }

// Read receives a request or a response.
func (h HTTP) Read(r *bufio.Reader) (string, error) {
	start, err := r.Peek(5)
	if err != nil {
		return "", err
	}
	if string(start) == "HTTP/" {
		return h.readResponse(r)
	}
	return h.readRequest(r)
}

func (h HTTP) readResponse(r *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	if response.Close { // net/http removes the header
		response.Header.Set("Connection", "close")
	}
	words := []string{fmt.Sprint(response.StatusCode)}
	return h.words(words, response.Header, response.Body)
}

func (h HTTP) readRequest(r *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	return h.words([]string{request.Method, request.RequestURI}, request.Header, request.Body)
}

// words appends the visible headers and the body to the words of a message and returns the message's text.
func (h HTTP) words(words []string, header http.Header, body io.Reader) (string, error) {
	for _, name := range h.VisibleHeaders {
		if value := header.Get(name); value != "" {
			words = append(words, name+"="+value)
		}
	}
	content, err := io.ReadAll(body)
	words = append(words, strings.TrimSpace(string(content)))
	return strings.Join(words, " "), err
}
