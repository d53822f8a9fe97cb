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

// HTTP is the Speech of HTTP/1.1. A request is "GET /path Header=value ... body", an answer "200 Header=value
// ... body": names of headers start with a capital, and a word without a name is the body. Of what is heard only
// the headers named in Shows are told. "raw ..." writes text as it stands, with \n for a line's end; "nothing" only
// connects.
type HTTP struct {
	Shows  []string
	DeafTo string // a request that is not heard; for one of two that come in no certain order
}

// Write sends a request or an answer.
func (h HTTP) Write(w io.Writer, words string) error {
	if raw, ok := strings.CutPrefix(words, "raw "); ok {
		_, err := io.WriteString(w, strings.ReplaceAll(raw, `\n`, "\r\n"))
		if errors.Is(err, io.ErrClosedPipe) { // who is rude may be cut off: the next line tells
			return nil
		}
		return err
	}
	if words == "nothing" {
		return nil
	}
	parts := strings.Fields(words)
	var b bytes.Buffer
	if status := parts[0]; status[0] >= '1' && status[0] <= '9' {
		fmt.Fprintf(&b, "HTTP/1.1 %s stand-in\r\n", status)
		parts = parts[1:]
	} else {
		fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: origin.svc\r\n", status, parts[1])
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

// Read takes a request or an answer.
func (h HTTP) Read(r *bufio.Reader) (string, error) {
	words, err := h.read(r)
	if err == nil && h.DeafTo != "" && strings.TrimSpace(words) == h.DeafTo {
		return h.Read(r)
	}
	return words, err
}

func (h HTTP) read(r *bufio.Reader) (string, error) {
	start, err := r.Peek(5)
	if err != nil {
		return "", err
	}
	var words []string
	var header http.Header
	var body io.ReadCloser
	if string(start) == "HTTP/" {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return "", err
		}
		words, header, body = append(words, fmt.Sprint(resp.StatusCode)), resp.Header, resp.Body
		if resp.Close { // net/http takes the header away
			header.Set("Connection", "close")
		}
	} else {
		req, err := http.ReadRequest(r)
		if err != nil {
			return "", err
		}
		words, header, body = append(words, req.Method, req.RequestURI), req.Header, req.Body
	}
	for _, name := range h.Shows {
		if value := header.Get(name); value != "" {
			words = append(words, name+"="+value)
		}
	}
	text, err := io.ReadAll(body)
	return strings.Join(append(words, strings.TrimSpace(string(text))), " "), err
}
