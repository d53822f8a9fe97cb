package capture

import "io"

// EncodeHeader returns the bytes with which a capture begins: the magic text and the head.
func EncodeHeader(head *Head) ([]byte, error) { return appendFrame([]byte(magic), head) }

// GapFrame returns the frame of a gap, given the number of lost records.
func GapFrame(lost int) ([]byte, error) { return appendFrame(nil, Record{Kind: KindGap, Lost: lost}) }

// writeSize is the number of bytes that Write collects before it writes them.
const writeSize = 64 << 10

// Write writes a whole capture without compression.
func Write(w io.Writer, head Head, records []Record) error {
	buffer, err := EncodeHeader(&head)
	if err != nil {
		return err
	}
	for i := range records {
		buffer, err = appendFrame(buffer, records[i])
		if err != nil {
			return err
		}
		if len(buffer) <= writeSize {
			continue
		}
		if _, err := w.Write(buffer); err != nil {
			return err
		}
		buffer = buffer[:0]
	}
	_, err = w.Write(buffer)
	return err
}

// Compress returns a whole capture in compressed blocks, one for each part.
func Compress(head Head, records []Record) ([]byte, error) {
	out, err := EncodeHeader(&head)
	if err != nil {
		return nil, err
	}
	var part []byte
	for i := range records {
		if records[i].Kind == KindSnapshot && len(part) > 0 {
			out = AppendBlock(out, part, true)
			part = part[:0]
		}
		part, err = appendFrame(part, records[i])
		if err != nil {
			return nil, err
		}
	}
	return AppendBlock(out, part, true), nil
}
