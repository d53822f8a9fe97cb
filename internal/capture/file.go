package capture

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// A capture is a magic text, then frames: a length and a CRC-32C of four bytes each, then as many bytes of CBOR (RFC 8949).
// The first frame is the Head, every other one a Record. Lengths and sums are big endian.
const magic = "reachpulley capture\n"

// MostFrame bounds a frame: a list of nodes is the longest.
const MostFrame = 4 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encoding writes the same bytes for the same value (RFC 8949, section 4.2), so that captures can be compared.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
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

// frame adds a value as a frame.
func frame(to []byte, value any) ([]byte, error) {
	body, err := encoding.Marshal(value)
	if err != nil {
		return to, err
	}
	if len(body) > MostFrame {
		return to, fmt.Errorf("a frame of %d bytes is longer than %d", len(body), MostFrame)
	}
	to = binary.BigEndian.AppendUint32(to, uint32(len(body)))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(body, castagnoli))
	return append(to, body...), nil
}

// ErrForeign, ErrNewer and ErrDamaged say why a capture can't be read.
var (
	ErrForeign = errors.New("this is no capture")
	ErrNewer   = errors.New("the capture is of another version")
	ErrDamaged = errors.New("the capture is damaged")
)

// Reader reads a capture from its begin.
type Reader struct {
	Head Head
	in   *bufio.Reader
	at   int64
}

// NewReader reads a capture's head.
func NewReader(r io.Reader) (*Reader, error) {
	c := &Reader{in: bufio.NewReader(r)}
	text := make([]byte, len(magic))
	if _, err := io.ReadFull(c.in, text); err != nil || string(text) != magic {
		return nil, ErrForeign
	}
	c.at = int64(len(magic))
	body, err := c.frame()
	if err != nil {
		return nil, fmt.Errorf("head: %w", err)
	}
	var version struct {
		Version int `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(body, &version); err != nil {
		return nil, fmt.Errorf("head: %w: %w", ErrDamaged, err)
	}
	if version.Version != Version {
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrNewer, version.Version, Version)
	}
	if err := decoding.Unmarshal(body, &c.Head); err != nil {
		return nil, fmt.Errorf("head: %w: %w", ErrDamaged, err)
	}
	return c, nil
}

// Next gives the next record. At the end it is io.EOF; a record that was cut off, as by a loss of power, is ErrDamaged
// with its place, and all before it was good.
func (c *Reader) Next() (*Record, error) {
	body, err := c.frame()
	if err != nil {
		return nil, err
	}
	var r Record
	if err := decoding.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("byte %d: %w: %w", c.at-int64(len(body)), ErrDamaged, err)
	}
	return &r, nil
}

func (c *Reader) frame() ([]byte, error) {
	var head [8]byte
	n, err := io.ReadFull(c.in, head[:])
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, fmt.Errorf("byte %d: %w: %d bytes of a frame's head", c.at, ErrDamaged, n)
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > MostFrame {
		return nil, fmt.Errorf("byte %d: %w: a frame of %d bytes", c.at, ErrDamaged, size)
	}
	body := make([]byte, size)
	if n, err := io.ReadFull(c.in, body); err != nil {
		return nil, fmt.Errorf("byte %d: %w: %d of a frame's %d bytes", c.at, ErrDamaged, n, size)
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("byte %d: %w: a frame's sum is wrong", c.at, ErrDamaged)
	}
	c.at += 8 + int64(size)
	return body, nil
}

// Write writes a whole capture.
func Write(w io.Writer, head Head, records []Record) error {
	out := []byte(magic)
	out, err := frame(out, head)
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
