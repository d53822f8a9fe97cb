package httpfrontend

import (
	"bytes"
	"strconv"
	"strings"

	"reachpulley/internal/intake"
)

// maxScannedLine is how many bytes of a line the boundaryScanner evaluates.
const maxScannedLine = 64

// requestFraming is how the head of a request states the length of its body.
type requestFraming struct {
	hasLength     bool // a Content-Length is present
	contentLength int  // bytes
	hasEncoding   bool // a Transfer-Encoding is present
}

// requestPart is the part of a request that a boundaryScanner is in.
type requestPart int

const (
	inHead requestPart = iota
	inBody             // of the stated length
	inChunkSize
	inChunk
	afterChunk // the line end behind the data of a chunk
	inTrailer
)

// boundaryScanner finds the ends of requests in a stream of bytes that arrives in pieces of any size. It needs hardly
// any memory, and is used for requests that are rejected unread; it is less strict than requestDecoder.
type boundaryScanner struct {
	part     requestPart
	line     []byte         // start of the current line
	framing  requestFraming // of the head that is being scanned
	lastHead requestFraming // of the head that was complete last
	bodyLeft int            // bytes of the current body or chunk that are still to come
	ended    int            // number of requests that have ended
	steps    int            // lines and pieces of bodies that have been scanned
}

// next scans data up to the end of the current request, or for one slice of work, and returns how many bytes it
// has scanned.
func (s *boundaryScanner) next(data []byte) (n int) {
	for step := 0; step < intake.MaxSliceSteps && n < len(data); step++ {
		s.steps++
		if s.bodyLeft > 0 {
			part := min(s.bodyLeft, len(data)-n)
			n += part
			s.bodyLeft -= part
			if s.bodyLeft == 0 && s.endData() {
				s.ended++
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
			s.ended++
			return n
		}
	}
	return n
}

// appendToLine adds data to the current line, of which it keeps at most maxScannedLine bytes.
func (s *boundaryScanner) appendToLine(data []byte) {
	s.line = append(s.line, data[:min(len(data), maxScannedLine-len(s.line))]...)
}

// endData ends a body or a chunk. It reports whether the request ends with it.
func (s *boundaryScanner) endData() (requestEnds bool) {
	if s.part == inChunk {
		s.part = afterChunk
		return false
	}
	s.part = inHead
	return true
}

// endLine evaluates the current line and starts the next. It reports whether the request ends with this line.
func (s *boundaryScanner) endLine() (requestEnds bool) {
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	switch s.part {
	case inChunkSize:
		return s.beginChunk(line)
	case afterChunk:
		s.part = inChunkSize
		return false
	case inTrailer:
		if len(line) > 0 {
			return false
		}
		s.part = inHead
		return true
	}
	if len(line) == 0 {
		return s.endHead()
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		s.framing.hasLength = true
		s.framing.contentLength, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		s.framing.hasEncoding = true
	}
	return false
}

// endHead ends a head and reports whether the request has no body.
func (s *boundaryScanner) endHead() (requestEnds bool) {
	s.lastHead = s.framing
	s.framing = requestFraming{}
	if s.lastHead.hasEncoding {
		s.part = inChunkSize
		return false
	}
	s.bodyLeft = max(0, s.lastHead.contentLength)
	if s.bodyLeft > 0 {
		s.part = inBody
	}
	return s.bodyLeft == 0
}

// beginChunk evaluates the line that states the size of a chunk. Extensions of the chunk follow the size. A line
// without a size makes the request malformed, which ends its connection.
func (s *boundaryScanner) beginChunk(line []byte) (requestEnds bool) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	switch {
	case err != nil:
		s.part = inHead
		return true
	case size == 0:
		s.part = inTrailer
	default:
		s.part = inChunk
		s.bodyLeft = int(size)
	}
	return false
}
