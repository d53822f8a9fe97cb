package rules

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"reachpulley/internal/rules/expression"
)

// requestJSON is a request as a program writes it.
type requestJSON struct {
	Method  string              `json:"method"`
	Target  string              `json:"target"` // path and query
	Host    string              `json:"host"`
	Headers map[string][]string `json:"headers"`
	Length  int                 `json:"length"` // of the body
	Client  string              `json:"client"`
	Front   string              `json:"front"`
	Arrival time.Time           `json:"arrival"`
}

// ParseRequest reads a request as a JSON object or as the head of an HTTP/1.1 message (RFC 9112). What is left out is
// as for a client on this machine; the arrival, too, is only what the text says, so that a file gives the same each day.
func ParseRequest(text string) (*expression.Facts, error) {
	text = strings.TrimSpace(text)
	var j requestJSON
	if strings.HasPrefix(text, "{") {
		d := json.NewDecoder(strings.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&j); err != nil {
			return nil, fmt.Errorf("request: %w", err)
		}
	} else if err := j.parseHead(text); err != nil {
		return nil, err
	}
	u, err := url.ParseRequestURI(j.Target)
	if err != nil {
		return nil, fmt.Errorf("request: target: %w", err)
	}
	f := &expression.Facts{Method: j.Method, Path: u.Path, Encoded: u.EscapedPath(), Query: u.Query(), Host: j.Host, Header: http.Header{}, Length: j.Length,
		Client: j.Client, Front: j.Front, Arrival: j.Arrival}
	for name, values := range j.Headers {
		for _, v := range values {
			f.Header.Add(name, v)
		}
	}
	if f.Method == "" {
		f.Method = http.MethodGet
	}
	if f.Front == "" {
		f.Front = "http"
	}
	if f.Client == "" {
		f.Client = "127.0.0.1"
	}
	return f, nil
}

// arrivalHeader tells in a head when the request came. It is not a header of the request.
const arrivalHeader = "Arrival"

func (j *requestJSON) parseHead(text string) error {
	text = strings.ReplaceAll(text, "\r\n", "\n")
	first, rest, _ := strings.Cut(text, "\n")
	if !strings.Contains(first, " HTTP/") {
		first += " HTTP/1.1"
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(first + "\r\n" + strings.ReplaceAll(strings.TrimSpace(rest), "\n", "\r\n") + "\r\n\r\n")))
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	j.Method, j.Target, j.Host, j.Headers, j.Length = r.Method, r.URL.RequestURI(), r.Host, r.Header, int(max(0, r.ContentLength))
	if at := r.Header.Get(arrivalHeader); at != "" {
		if j.Arrival, err = time.Parse(time.RFC3339, at); err != nil {
			return fmt.Errorf("request: %s: %w", arrivalHeader, err)
		}
		r.Header.Del(arrivalHeader)
	}
	return nil
}

// ParseRequests reads many: a JSON object on each line, or heads with a blank line between them.
func ParseRequests(text []byte) (all []*expression.Facts, err error) {
	separator := "\n\n"
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		separator = "\n"
	}
	for i, one := range strings.Split(strings.ReplaceAll(string(text), "\r\n", "\n"), separator) {
		if strings.TrimSpace(one) == "" {
			continue
		}
		f, err := ParseRequest(one)
		if err != nil {
			return nil, fmt.Errorf("number %d: %w", i+1, err)
		}
		all = append(all, f)
	}
	if len(all) == 0 {
		return nil, errors.New("there is no request")
	}
	return all, nil
}
