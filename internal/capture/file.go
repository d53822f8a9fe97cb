package capture

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// A capture is a magic text, then frames: a word and a CRC-32C of four bytes each, then a body. The word holds the body's length and
// two flags. The first frame is the Head, every other one a Record in CBOR (RFC 8949), or a block: frames of records, compressed by
// Zstandard (RFC 8878). Words and sums are big endian.
const (
	magic       = "reachpulley capture\n"
	flagBlock   = 1 << 31 // the body is a block
	flagBegins  = 1 << 30 // a block begins with a Snapshot, maybe after a Gap: what follows can be replayed without what is before
	frameHead   = 8
	MaxFrame    = 4 << 20  // bytes of a frame's body; a snapshot is the longest
	MaxBlock    = 32 << 20 // bytes that a block may hold
	windowBytes = 256 << 10
)

// compressor and decompressor are made at their first use, as they take some memory.
var (
	compressor = sync.OnceValue(func() *zstd.Encoder {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
			zstd.WithWindowSize(windowBytes))
		if err != nil {
			panic(err) // the options are constants
		}
		return e
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxBlock))
		if err != nil {
			panic(err)
		}
		return d
	})
)

// AppendBlock adds frames as one block.
func AppendBlock(to, frames []byte, begins bool) []byte {
	word := uint32(flagBlock)
	if begins {
		word |= flagBegins
	}
	place := len(to)
	to = compressor().EncodeAll(frames, append(to, make([]byte, frameHead)...))
	body := to[place+frameHead:]
	binary.BigEndian.PutUint32(to[place:], word|uint32(len(body)))
	binary.BigEndian.PutUint32(to[place+4:], crc32.Checksum(body, castagnoli))
	return to
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encoding writes the same bytes for the same value (RFC 8949, section 4.2), so that captures can be compared.
var encoding = func() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err) // the options are the library's own
	}
	return mode
}()

// decoding refuses fields that this program does not know: it would lose them.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// scratch holds buffers for values on their way into frames: a recorder writes several for every request.
var scratch = sync.Pool{New: func() any { return new(bytes.Buffer) }}

const mostScratch = 64 << 10 // bytes of a buffer that is kept

// frame adds a value as a frame.
func frame(to []byte, value any) ([]byte, error) {
	buffer := scratch.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= mostScratch {
			scratch.Put(buffer)
		}
	}()
	buffer.Reset()
	if err := encoding.MarshalToBuffer(value, buffer); err != nil {
		return to, err
	}
	body := buffer.Bytes()
	if len(body) > MaxFrame {
		return to, fmt.Errorf("a frame of %d bytes is longer than %d", len(body), MaxFrame)
	}
	to = binary.BigEndian.AppendUint32(to, uint32(len(body)))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(body, castagnoli))
	return append(to, body...), nil
}

// ErrNotCapture, ErrVersion, ErrDamaged and ErrTruncated say why a capture can't be read.
var (
	ErrNotCapture = errors.New("this is no capture")
	ErrVersion    = errors.New("the capture is of another version")
	ErrDamaged    = errors.New("the capture is damaged")
	ErrTruncated  = errors.New("the capture ends within its head")
)

// Reader reads a capture from its begin.
type Reader struct {
	Head  Head
	in    *bufio.Reader
	at    int64  // bytes read of the file
	block []byte // what is left of the block that is being read
	size  int    // of it, whole
	start int64  // the block's place in the file
}

// NewReader reads a capture's head.
func NewReader(r io.Reader) (*Reader, error) {
	c := &Reader{in: bufio.NewReader(r)}
	text := make([]byte, len(magic))
	n, err := io.ReadFull(c.in, text)
	switch {
	case string(text[:n]) != magic[:n]:
		return nil, ErrNotCapture
	case err != nil:
		return nil, ErrTruncated
	}
	c.at = int64(len(magic))
	flags, body, err := c.frame(c.in)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, ErrTruncated
	case err != nil:
		return nil, fmt.Errorf("head: %w", err)
	}
	var version struct {
		Version int `cbor:"1,keyasint"`
	}
	if flags != 0 {
		return nil, fmt.Errorf("head: %w: it is a block", ErrDamaged)
	}
	if err := cbor.Unmarshal(body, &version); err != nil {
		return nil, fmt.Errorf("head: %w: %w", ErrDamaged, err)
	}
	if version.Version != Version {
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, version.Version, Version)
	}
	if err := decoding.Unmarshal(body, &c.Head); err != nil {
		return nil, fmt.Errorf("head: %w: %w", ErrDamaged, err)
	}
	return c, nil
}

// Next gives the next record. At the end it is io.EOF; a record or block that was cut off, as by a loss of power, is ErrDamaged
// with its place, and all before it was good.
func (c *Reader) Next() (*Record, error) {
	for len(c.block) == 0 {
		c.start = c.at
		flags, body, err := c.frame(c.in)
		if err != nil {
			return nil, err
		}
		if flags&flagBlock == 0 {
			return c.record(body)
		}
		if c.block, err = decompressor().DecodeAll(body, nil); err != nil {
			return nil, fmt.Errorf("byte %d: %w: block: %w", c.start, ErrDamaged, err)
		}
		c.size = len(c.block)
	}
	rest := bytes.NewReader(c.block)
	at := c.at
	_, body, err := c.frame(rest)
	c.at = at // the file's place does not move within a block
	if err != nil {
		return nil, fmt.Errorf("block at byte %d, byte %d within: %w", c.start, c.size-len(c.block), err)
	}
	c.block = c.block[len(c.block)-rest.Len():]
	return c.record(body)
}

// Skip leaves out what comes until the next frame at which a replay can begin, and gives false where there is none.
func (c *Reader) Skip() (bool, error) {
	c.block = nil
	for {
		head, err := c.in.Peek(frameHead)
		if err != nil {
			if err == io.EOF && len(head) == 0 {
				return false, nil
			}
			return false, fmt.Errorf("byte %d: %w: a frame's head", c.at, ErrDamaged)
		}
		if word := binary.BigEndian.Uint32(head); word&flagBegins != 0 {
			return true, nil
		}
		if _, _, err := c.frame(c.in); err != nil {
			return false, err
		}
	}
}

func (c *Reader) record(body []byte) (*Record, error) {
	var r Record
	if err := decoding.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("byte %d: %w: %w", c.start, ErrDamaged, err)
	}
	return &r, nil
}

func (c *Reader) frame(in io.Reader) (flags uint32, body []byte, err error) {
	var head [frameHead]byte
	n, err := io.ReadFull(in, head[:])
	if err == io.EOF {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("byte %d: %w: %d bytes of a frame's head: %w", c.at, ErrDamaged, n, err)
	}
	word := binary.BigEndian.Uint32(head[:4])
	flags = word & (flagBlock | flagBegins)
	size := word &^ flags
	if size > MaxFrame {
		return 0, nil, fmt.Errorf("byte %d: %w: a frame of %d bytes", c.at, ErrDamaged, size)
	}
	body = make([]byte, size)
	if n, err := io.ReadFull(in, body); err != nil {
		return 0, nil, fmt.Errorf("byte %d: %w: %d of a frame's %d bytes: %w", c.at, ErrDamaged, n, size, io.ErrUnexpectedEOF)
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return 0, nil, fmt.Errorf("byte %d: %w: a frame's sum is wrong", c.at, ErrDamaged)
	}
	c.at += frameHead + int64(size)
	return flags, body, nil
}

// CompleteLength gives how many bytes of a file are whole frames: what is beyond was cut off. The error is that of a file without a whole head.
func CompleteLength(r io.Reader) (int64, error) {
	c, err := NewReader(r)
	if err != nil {
		return 0, err
	}
	for {
		if _, _, err := c.frame(c.in); err != nil {
			return c.at, nil
		}
	}
}

// EncodeHeader gives the bytes with which a capture begins.
func EncodeHeader(head *Head) ([]byte, error) { return frame([]byte(magic), head) }

// GapFrame gives the frame that stands for lost records.
func GapFrame(lost int) ([]byte, error) { return frame(nil, Record{Kind: KindGap, Lost: lost}) }

// Write writes a whole capture.
func Write(w io.Writer, head Head, records []Record) error {
	out, err := EncodeHeader(&head)
	for i := 0; err == nil && i < len(records); i++ {
		if out, err = frame(out, records[i]); len(out) > 64<<10 {
			if _, err := w.Write(out); err != nil {
				return err
			}
			out = out[:0]
		}
	}
	if err != nil {
		return err
	}
	_, err = w.Write(out)
	return err
}

// Compress gives a whole capture in blocks, one for each part.
func Compress(head Head, records []Record) ([]byte, error) {
	out, err := EncodeHeader(&head)
	var part []byte
	for i := range records {
		if records[i].Kind == KindSnapshot && len(part) > 0 {
			out, part = AppendBlock(out, part, true), part[:0]
		}
		if err == nil {
			part, err = frame(part, records[i])
		}
	}
	return AppendBlock(out, part, true), err
}
