package capture

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// MaxFrame and MaxBlock bound what is read into memory at once.
const (
	MaxFrame = 4 << 20  // maximum length of a frame's body in bytes; the longest records are snapshots
	MaxBlock = 32 << 20 // maximum length of a block's frames in bytes, before compression
)

// The parts of the file format.
const (
	magic             = "reachpulley capture\n"
	frameHeaderLength = 8 // bytes: a word and a checksum of four bytes each

	// Flags in the word of a frame. The other bits of the word are the length of the body.
	flagBlock      = 1 << 31 // the body is a block: compressed frames
	flagStartsPart = 1 << 30 // the block begins with a snapshot, possibly after a gap, so a replay can begin there
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// compressionWindow is the window of the compressor in bytes. It is small to save memory.
const compressionWindow = 256 << 10

// compressor and decompressor are created at their first use, so that a program that does not need them does not hold
// their memory.
var (
	compressor = sync.OnceValue(func() *zstd.Encoder {
		encoder, err := zstd.NewWriter(nil,
			zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithEncoderConcurrency(1),
			zstd.WithLowerEncoderMem(true),
			zstd.WithWindowSize(compressionWindow))
		if err != nil {
			panic(err) // the options are constants
		}
		return encoder
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		decoder, err := zstd.NewReader(nil,
			zstd.WithDecoderConcurrency(1),
			zstd.WithDecoderMaxMemory(MaxBlock))
		if err != nil {
			panic(err) // the options are constants
		}
		return decoder
	})
)

// encoding is deterministic (RFC 8949, section 4.2): it writes equal values as the same bytes, so that encoded records
// can be compared.
var encoding = func() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err) // the options are the library's own
	}
	return mode
}()

// decoding rejects fields that this program does not know, because they would be lost if the record is written again.
var decoding = func() cbor.DecMode {
	options := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// encodeBuffers holds buffers in which values are encoded before they are framed. A Recorder encodes several values
// for every request.
var encodeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxEncodeBuffer is the capacity in bytes above which a buffer does not go back to encodeBuffers.
const maxEncodeBuffer = 64 << 10

// appendFrame encodes a value and appends it to a slice as a frame. On an error, it returns the slice unchanged.
func appendFrame(to []byte, value any) ([]byte, error) {
	buffer := encodeBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= maxEncodeBuffer {
			encodeBuffers.Put(buffer)
		}
	}()
	buffer.Reset()
	if err := encoding.MarshalToBuffer(value, buffer); err != nil {
		return to, err
	}
	body := buffer.Bytes()
	if len(body) > MaxFrame {
		return to, fmt.Errorf("capture: frame body of %d bytes is longer than the limit of %d bytes",
			len(body), MaxFrame)
	}
	to = binary.BigEndian.AppendUint32(to, uint32(len(body)))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(body, castagnoli))
	return append(to, body...), nil
}

// AppendBlock compresses frames and appends them as one block. If startsPart is set, the frames begin with a snapshot,
// possibly after a gap.
func AppendBlock(to, frames []byte, startsPart bool) []byte {
	word := uint32(flagBlock)
	if startsPart {
		word |= flagStartsPart
	}
	start := len(to)
	to = append(to, make([]byte, frameHeaderLength)...)
	to = compressor().EncodeAll(frames, to)
	body := to[start+frameHeaderLength:]
	binary.BigEndian.PutUint32(to[start:], word|uint32(len(body)))
	binary.BigEndian.PutUint32(to[start+4:], crc32.Checksum(body, castagnoli))
	return to
}
