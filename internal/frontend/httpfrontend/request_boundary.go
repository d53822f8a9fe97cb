package httpfrontend

import (
	"bytes"
	"strconv"
	"strings"
)

// maxScannedLine is how many bytes of a header line the boundaryScanner evaluates.
const maxScannedLine = 64

// boundaryScanner finds the ends of requests in a stream of bytes that arrives in pieces of any size. It considers only
// Content-Length, since a request that states its body length in another way is the last one on its connection. A wrong
// result only changes how much input one call of readAhead.Read returns.
type boundaryScanner struct {
	line          []byte // start of the current header line
	contentLength int    // Content-Length of the current request, in bytes; 0 if none has been read
	bodyLeft      int    // bytes of the current body that are still to come
}

// next scans data up to the end of the current request, and returns how many bytes it has scanned.
func (s *boundaryScanner) next(data []byte) (n int) {
	for n < len(data) {
		if s.bodyLeft > 0 {
			part := min(s.bodyLeft, len(data)-n)
			n += part
			s.bodyLeft -= part
			if s.bodyLeft == 0 {
				return n
			}
			continue
		}
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			s.appendToLine(data[n:])
			return len(data)
		}
		s.appendToLine(data[n : n+end])
		n += end + 1
		if s.endLine() {
			return n
		}
	}
	return n
}

// appendToLine adds data to the current header line, of which it keeps at most maxScannedLine bytes.
func (s *boundaryScanner) appendToLine(data []byte) {
	s.line = append(s.line, data[:min(len(data), maxScannedLine-len(s.line))]...)
}

// endLine evaluates the current header line and starts the next. It reports whether the request ends with this line.
func (s *boundaryScanner) endLine() (requestEnds bool) {
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	name, value, _ := bytes.Cut(line, []byte(":"))
	if strings.EqualFold(string(name), "Content-Length") {
		s.contentLength, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
	}
	if len(line) > 0 {
		return false
	}
	s.bodyLeft = max(0, s.contentLength)
	s.contentLength = 0
	return s.bodyLeft == 0
}
