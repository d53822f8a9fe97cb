package httpfrontend

import (
	"bytes"
	"net/http"
	"strconv"

	"reachpulley/internal/proto/httpmsg"
)

// Bounds of a body in chunks.
const (
	// maxTrailerBytes bounds the trailer of a body in chunks.
	maxTrailerBytes = 4 << 10
	// maxChunkLine bounds the line that states the size of a chunk, in bytes.
	maxChunkLine = 256
	// chunkLineAllowance is how many bytes of a chunk's line are free. What exceeds them, and twice the chunk, counts
	// towards maxChunkExcess.
	chunkLineAllowance = 16
	maxChunkExcess     = 16 << 10
)

// stepLine adds to the current line of a chunked body, and evaluates the line if it is complete.
func (d *requestDecoder) stepLine(data []byte) (used int, complete *incoming, err error) {
	end := bytes.IndexByte(data, '\n')
	used = len(data)
	if end >= 0 {
		used = end + 1
	}
	if len(d.line)+used > maxChunkLine {
		return used, d.rejectBody("a chunk's line is too long"), nil
	}
	if end < 0 {
		d.line = append(d.line, data...)
		return used, nil, nil
	}
	d.line = append(d.line, data[:used]...)
	line, terminated := bytes.CutSuffix(d.line, []byte("\r\n"))
	d.line = d.line[:0]
	if !terminated {
		return used, d.rejectBody("a chunk's line does not end as it should"), nil
	}
	return used, d.endLine(line), nil
}

// endLine evaluates a line of a chunked body.
func (d *requestDecoder) endLine(line []byte) (complete *incoming) {
	switch d.part {
	case inChunkSize:
		return d.beginChunk(line)
	case afterChunk:
		if len(line) > 0 {
			return d.rejectBody("a chunk is longer than stated")
		}
		d.part = inChunkSize
		return nil
	}
	if len(line) == 0 { // the end of the trailer
		return d.finish()
	}
	if d.excess += len(line); d.excess > maxTrailerBytes+maxChunkExcess {
		return d.rejectBody("the trailer is too long")
	}
	return nil
}

// beginChunk evaluates the line that states the size of a chunk. Extensions follow the size and are ignored.
func (d *requestDecoder) beginChunk(line []byte) (complete *incoming) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 31)
	if err != nil {
		return d.rejectBody("the size of a chunk is no number")
	}
	if d.excess += max(0, len(line)-chunkLineAllowance-2*int(size)); d.excess > maxChunkExcess {
		return d.rejectBody("the chunks have too much overhead")
	}
	if d.body.Len()+int(size) > httpmsg.MaxRequestBody {
		return d.reject(&statusError{status: http.StatusRequestEntityTooLarge, err: errBodyTooLarge})
	}
	d.part = inChunk
	d.left = int(size)
	if size == 0 {
		d.part = inTrailer
	}
	return nil
}
