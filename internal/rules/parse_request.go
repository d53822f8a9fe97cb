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

// requestJSON is a request in the JSON form that ParseRequest reads.
type requestJSON struct {
	Method  string              `json:"method"`
	Target  string              `json:"target"` // path and query
	Host    string              `json:"host"`
	Headers map[string][]string `json:"headers"`
	Length  int                 `json:"length"` // length of the body, in bytes
	Client  string              `json:"client"`
	Front   string              `json:"front"`
	Arrival time.Time           `json:"arrival"`
}

// Defaults for what a request leaves out.
const (
	defaultMethod = http.MethodGet
	defaultFront  = "http"
	defaultClient = "127.0.0.1"
)

// ParseRequest reads a request as a JSON object or as the head of an HTTP/1.1 message (RFC 9112). If the request names
// no client, its client is 127.0.0.1. If it names no time of arrival, the time is zero, so that the same file gives the
// same result on every day.
func ParseRequest(text string) (*expression.Facts, error) {
	text = strings.TrimSpace(text)
	parse := parseHead
	if strings.HasPrefix(text, "{") {
		parse = parseJSON
	}
	request, err := parse(text)
	if err != nil {
		return nil, err
	}
	return request.facts()
}

// parseJSON reads a request as a JSON object. Unknown keys are errors.
func parseJSON(text string) (*requestJSON, error) {
	request := &requestJSON{}
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	return request, nil
}

// arrivalHeader gives the time of arrival in a head, in the format of RFC 3339. It does not become a header of the
// request.
const arrivalHeader = "Arrival"

// parseHead reads a request as the head of an HTTP/1.1 message.
func parseHead(text string) (*requestJSON, error) {
	head, err := http.ReadRequest(bufio.NewReader(strings.NewReader(completeHead(text))))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	request := &requestJSON{
		Method:  head.Method,
		Target:  head.URL.RequestURI(),
		Host:    head.Host,
		Headers: head.Header,
		Length:  int(max(0, head.ContentLength)),
	}
	if arrival := head.Header.Get(arrivalHeader); arrival != "" {
		request.Arrival, err = time.Parse(time.RFC3339, arrival)
		if err != nil {
			return nil, fmt.Errorf("request: %s: %w", arrivalHeader, err)
		}
		head.Header.Del(arrivalHeader)
	}
	return request, nil
}

// completeHead adds what a handwritten head may leave out: the HTTP version, carriage returns and the final empty line.
func completeHead(text string) string {
	text = strings.ReplaceAll(text, "\r\n", "\n")
	requestLine, headers, _ := strings.Cut(text, "\n")
	if !strings.Contains(requestLine, " HTTP/") {
		requestLine += " HTTP/1.1"
	}
	headers = strings.ReplaceAll(strings.TrimSpace(headers), "\n", "\r\n")
	return requestLine + "\r\n" + headers + "\r\n\r\n"
}

// facts returns the request as the rules see it, with defaults for what it leaves out.
func (r *requestJSON) facts() (*expression.Facts, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, fmt.Errorf("request: target: %w", err)
	}
	facts := &expression.Facts{
		Method:      r.Method,
		Path:        target.Path,
		EncodedPath: target.EscapedPath(),
		Query:       target.Query(),
		Host:        r.Host,
		Header:      http.Header{},
		BodyLength:  r.Length,
		Client:      r.Client,
		Frontend:    r.Front,
		Arrival:     r.Arrival,
	}
	for name, values := range r.Headers {
		for _, value := range values {
			facts.Header.Add(name, value)
		}
	}
	if facts.Method == "" {
		facts.Method = defaultMethod
	}
	if facts.Frontend == "" {
		facts.Frontend = defaultFront
	}
	if facts.Client == "" {
		facts.Client = defaultClient
	}
	return facts, nil
}

// ParseRequests reads several requests: a JSON object on each line, or heads with a blank line between them.
func ParseRequests(text []byte) ([]*expression.Facts, error) {
	separator := "\n\n"
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		separator = "\n"
	}
	var requests []*expression.Facts
	for i, entry := range strings.Split(strings.ReplaceAll(string(text), "\r\n", "\n"), separator) {
		if strings.TrimSpace(entry) == "" {
			continue
		}
		facts, err := ParseRequest(entry)
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", i+1, err)
		}
		requests = append(requests, facts)
	}
	if len(requests) == 0 {
		return nil, errors.New("the text contains no request")
	}
	return requests, nil
}
