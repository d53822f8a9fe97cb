package capture

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// The errors that say why a capture can't be read.
var (
	ErrNotCapture = errors.New("capture: not a capture file")
	ErrVersion    = errors.New("capture: unsupported format version")
	ErrDamaged    = errors.New("capture: damaged file")
	ErrTruncated  = errors.New("capture: file ends within its head")
)

// Reader reads the records of a capture from its beginning.
type Reader struct {
	Head Head

	input  *bufio.Reader
	offset int64 // offset of the next frame in the file

	// The block that is being read.
	block      []byte // the remaining frames of the block, decompressed
	blockSize  int    // length of all frames of the block in bytes
	frameStart int64  // offset in the file of the block, or of the last frame outside of a block
}

// NewReader reads the head of a capture and returns a Reader for its records. It fails with ErrNotCapture, ErrVersion,
// ErrDamaged or ErrTruncated.
func NewReader(input io.Reader) (*Reader, error) {
	r := &Reader{input: bufio.NewReader(input)}
	if err := r.readMagic(); err != nil {
		return nil, err
	}
	if err := r.readHead(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Reader) readMagic() error {
	text := make([]byte, len(magic))
	n, err := io.ReadFull(r.input, text)
	switch {
	case string(text[:n]) != magic[:n]:
		return ErrNotCapture
	case err != nil:
		return ErrTruncated
	}
	r.offset = int64(len(magic))
	return nil
}

// readHead reads the first frame. It checks the version before it decodes the other fields of the head, because
// another version may have fields that this program does not know.
func (r *Reader) readHead() error {
	flags, body, err := r.readFrame(r.input)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return ErrTruncated
	case err != nil:
		return fmt.Errorf("reading the head: %w", err)
	case flags != 0:
		return fmt.Errorf("%w: the first frame is a block and not the head", ErrDamaged)
	}
	var versionOnly struct {
		Version int `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(body, &versionOnly); err != nil {
		return fmt.Errorf("%w: decoding the head: %w", ErrDamaged, err)
	}
	if versionOnly.Version != Version {
		return fmt.Errorf("%w %d, this program reads version %d", ErrVersion, versionOnly.Version, Version)
	}
	if err := decoding.Unmarshal(body, &r.Head); err != nil {
		return fmt.Errorf("%w: decoding the head: %w", ErrDamaged, err)
	}
	return nil
}

// Next returns the next record, or io.EOF at the end. If the file was cut off within a frame, for instance by a loss
// of power, the error is ErrDamaged with the offset of that frame. All records returned before are complete.
func (r *Reader) Next() (*Record, error) {
	for len(r.block) == 0 {
		r.frameStart = r.offset
		flags, body, err := r.readFrame(r.input)
		if err != nil {
			return nil, err
		}
		if flags&flagBlock == 0 {
			return r.decode(body)
		}
		if r.block, err = decompressor().DecodeAll(body, nil); err != nil {
			return nil, fmt.Errorf("%w at byte %d: decompressing a block: %w", ErrDamaged, r.frameStart, err)
		}
		r.blockSize = len(r.block)
	}
	return r.nextInBlock()
}

func (r *Reader) nextInBlock() (*Record, error) {
	remaining := bytes.NewReader(r.block)
	offset := r.offset
	_, body, err := r.readFrame(remaining)
	r.offset = offset // frames within a block do not advance the offset in the file
	if err != nil {
		return nil, fmt.Errorf("block at byte %d, frame at byte %d of its decompressed content: %w",
			r.frameStart, r.blockSize-len(r.block), err)
	}
	r.block = r.block[len(r.block)-remaining.Len():]
	return r.decode(body)
}

// skipToPart skips frames up to the next one with which a part begins, so that a replay can begin there. It returns
// false if there is none.
func (r *Reader) skipToPart() (bool, error) {
	r.block = nil
	for {
		header, err := r.input.Peek(frameHeaderLength)
		if err != nil {
			if err == io.EOF && len(header) == 0 {
				return false, nil
			}
			return false, fmt.Errorf("%w at byte %d: incomplete frame header", ErrDamaged, r.offset)
		}
		if word := binary.BigEndian.Uint32(header); word&flagStartsPart != 0 {
			return true, nil
		}
		if _, _, err := r.readFrame(r.input); err != nil {
			return false, err
		}
	}
}

// seek makes the frame at an offset of the file the next one to read.
func (r *Reader) seek(file io.ReadSeeker, offset int64) error {
	if _, err := file.Seek(offset, io.SeekStart); err != nil {
		return err
	}
	r.input.Reset(file)
	r.offset = offset
	r.block = nil
	return nil
}

func (r *Reader) decode(body []byte) (*Record, error) {
	var record Record
	if err := decoding.Unmarshal(body, &record); err != nil {
		return nil, fmt.Errorf("%w at byte %d: decoding a record: %w", ErrDamaged, r.frameStart, err)
	}
	return &record, nil
}

// readFrame reads one frame. It returns io.EOF if the input ends before the frame. If the input ends within the frame,
// the error wraps both ErrDamaged and io.ErrUnexpectedEOF.
func (r *Reader) readFrame(input io.Reader) (flags uint32, body []byte, err error) {
	var header [frameHeaderLength]byte
	n, err := io.ReadFull(input, header[:])
	if err == io.EOF {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%w at byte %d: %d of %d bytes of a frame header: %w",
			ErrDamaged, r.offset, n, frameHeaderLength, err)
	}
	word := binary.BigEndian.Uint32(header[:4])
	flags = word & (flagBlock | flagStartsPart)
	size := word &^ flags
	if size > MaxFrame {
		return 0, nil, fmt.Errorf("%w at byte %d: frame body of %d bytes is longer than the limit of %d bytes",
			ErrDamaged, r.offset, size, MaxFrame)
	}
	body = make([]byte, size)
	if n, err := io.ReadFull(input, body); err != nil {
		return 0, nil, fmt.Errorf("%w at byte %d: %d of %d bytes of a frame body: %w",
			ErrDamaged, r.offset, n, size, io.ErrUnexpectedEOF)
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return 0, nil, fmt.Errorf("%w at byte %d: wrong checksum of a frame", ErrDamaged, r.offset)
	}
	r.offset += frameHeaderLength + int64(size)
	return flags, body, nil
}

// CompleteLength returns the length in bytes of the head and the complete frames after it. The bytes after them are
// incomplete or damaged. It fails as NewReader does if the head can't be read.
func CompleteLength(input io.Reader) (int64, error) {
	r, err := NewReader(input)
	if err != nil {
		return 0, err
	}
	for {
		if _, _, err := r.readFrame(r.input); err != nil {
			return r.offset, nil
		}
	}
}
