package httpmsg

import (
	"bytes"
	"io"
	"slices"
)

// BodyChunk is the size of the pieces, in bytes, in which a Body grows.
const BodyChunk = 4 << 10

// Body is the body of a request in memory, in pieces of at most BodyChunk bytes unless it was made by BodyOf. It grows
// without being copied.
type Body [][]byte

// BodyOf returns a Body of the given bytes, which it does not copy.
func BodyOf(content []byte) Body {
	if len(content) == 0 {
		return nil
	}
	return Body{content}
}

// Len returns the length in bytes.
func (b Body) Len() (length int) {
	for _, piece := range b {
		length += len(piece)
	}
	return length
}

// Growth returns by how much the memory of the body grows if a number of bytes is appended, of which at most expected
// more will follow, these included.
func (b Body) Growth(size, expected int) int {
	if len(b) > 0 {
		last := b[len(b)-1]
		size -= cap(last) - len(last)
	}
	if size <= 0 {
		return 0
	}
	if expected <= BodyChunk {
		return max(size, expected)
	}
	return (size + BodyChunk - 1) / BodyChunk * BodyChunk
}

// Append returns the body with more bytes, which it copies. At most expected bytes more will be appended, these
// included.
func (b Body) Append(data []byte, expected int) Body {
	for len(data) > 0 {
		if len(b) == 0 || len(b[len(b)-1]) == cap(b[len(b)-1]) {
			b = append(b, make([]byte, 0, min(BodyChunk, max(len(data), expected))))
		}
		last := &b[len(b)-1]
		n := min(len(data), cap(*last)-len(*last))
		*last = append(*last, data[:n]...)
		data = data[n:]
		expected -= n
	}
	return b
}

// Bytes returns a copy of the body in one piece.
func (b Body) Bytes() []byte { return slices.Concat(b...) }

// String returns the body as text.
func (b Body) String() string { return string(b.Bytes()) }

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (written int64, err error) {
	for _, piece := range b {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Reader returns a reader of the body.
func (b Body) Reader() io.Reader {
	readers := make([]io.Reader, len(b))
	for i, piece := range b {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}
