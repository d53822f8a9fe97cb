package httpfrontend

import (
	"bytes"
	"strconv"
	"strings"
)

// mostLine is how much of a head's line is looked at.
const mostLine = 64

// bounds finds where requests end, in whatever pieces they come. It goes by Content-Length alone: whatever else tells the length
// of a body ends the connection. What it takes for an end decides nothing but how much is handed on at once.
type bounds struct {
	line   []byte // of the head, as far as it has come
	length int    // of the body, as the head told
	body   int    // what is to come of it
}

// within gives how much of the text belongs to one request.
func (b *bounds) within(text []byte) (n int) {
	for n < len(text) {
		if b.body > 0 {
			part := min(b.body, len(text)-n)
			n += part
			if b.body -= part; b.body == 0 {
				return n
			}
			continue
		}
		end := bytes.IndexByte(text[n:], '\n')
		if end < 0 {
			b.keep(text[n:])
			return len(text)
		}
		b.keep(text[n : n+end])
		n += end + 1
		line := bytes.TrimSuffix(b.line, []byte("\r"))
		b.line = b.line[:0]
		if name, value, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(name), "Content-Length") {
			b.length, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
		}
		if len(line) > 0 {
			continue
		}
		if b.body, b.length = max(0, b.length), 0; b.body == 0 {
			return n
		}
	}
	return n
}

func (b *bounds) keep(text []byte) {
	b.line = append(b.line, text[:min(len(text), mostLine-len(b.line))]...)
}
