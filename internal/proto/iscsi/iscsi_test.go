package iscsi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A PDU is the same after it has been encoded and read.
func TestPDURoundTrip(t *testing.T) {
	for _, data := range []string{"", "a", "abcd", "abcde"} {
		t.Run(fmt.Sprintf("%d bytes of data", len(data)), func(t *testing.T) {
			p := NewPDU(SCSICommand, Final|Read).SetImmediate().SetLUN(7).Set(InitiatorTaskTag, 1<<31).Set(CmdSN, 5)
			p.Data = []byte(data)
			b := p.Bytes()
			if len(b)%4 != 0 {
				t.Errorf("encoded PDU has %d bytes, which is not a multiple of 4", len(b))
			}
			got, err := ReadPDU(bytes.NewReader(b), 5)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(p.Data), string(got.Data)); diff != "" {
				t.Errorf("data (-want +got):\n%s", diff)
			}
			if got.LUN() != 7 || !got.Immediate() || got.Get(InitiatorTaskTag) != 1<<31 {
				t.Errorf("header: got LUN %d, immediate %v and tag %#x, want 7, true and %#x",
					got.LUN(), got.Immediate(), got.Get(InitiatorTaskTag), 1<<31)
			}
		})
	}
}

func TestReadPDUErrors(t *testing.T) {
	withData := func(length int) []byte {
		p := NewPDU(NopOut, Final)
		p.Data = make([]byte, length)
		return p.Bytes()
	}
	withAHS := NewPDU(NopOut, Final)
	withAHS.Header[4] = 1
	for _, c := range []struct {
		name  string
		input []byte
		want  error
	}{
		{name: "nothing", input: nil, want: io.EOF},
		{name: "half a header", input: withData(9)[:20], want: io.ErrUnexpectedEOF},
		{name: "a header alone", input: withData(8)[:HeaderSize], want: io.ErrUnexpectedEOF},
		{name: "half a data segment", input: withData(8)[:HeaderSize+3], want: io.ErrUnexpectedEOF},
		{name: "a data segment that is too long", input: withData(9), want: ErrTooLong},
		{name: "additional header segments", input: withAHS.Bytes(), want: ErrAHS},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ReadPDU(bytes.NewReader(c.input), 8); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// FuzzReadPDU reads arbitrary bytes. A PDU that is accepted must be the same after it has been encoded and read again.
func FuzzReadPDU(f *testing.F) {
	for op := range opcodeNames {
		p := NewPDU(op, Final).SetLUN(1)
		p.Data = []byte("InitiatorName=a\x00")
		f.Add(p.Bytes())
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		const maxLength = 1 << 10
		p, err := ReadPDU(bytes.NewReader(input), maxLength)
		if err != nil {
			return
		}
		if len(p.Data) > maxLength {
			t.Fatalf("accepted %d bytes of data, want at most %d", len(p.Data), maxLength)
		}
		reread, err := ReadPDU(bytes.NewReader(p.Bytes()), maxLength)
		if err != nil || !bytes.Equal(reread.Data, p.Data) || reread.Op() != p.Op() {
			t.Fatalf("%v was reread as %v: %v", p, reread, err)
		}
		p.CDB().Transfer()
		if pairs, err := ParseText(p.Data); err == nil {
			params := DefaultParams()
			params.Negotiate(pairs)
		}
		ParseSense(p.Data)
	})
}

// A READ or WRITE is the same after it has been encoded as a CDB and decoded.
func TestCommandCDBRoundTrip(t *testing.T) {
	for _, c := range []Command{
		{LBA: 8, Blocks: 1},
		{LBA: 8, Blocks: 1, Write: true},
		{LBA: 1 << 32, Blocks: 2},
		{LBA: 1<<32 - 1, Blocks: 2, Write: true},
		{Blocks: 1 << 16},
	} {
		t.Run(fmt.Sprintf("%d blocks at %d, write %v", c.Blocks, c.LBA, c.Write), func(t *testing.T) {
			cdb := c.CDB()
			lba, blocks, write, ok := cdb.Transfer()
			if got := (Command{LBA: lba, Blocks: blocks, Write: write}); !ok || !cmp.Equal(c, got) {
				t.Errorf("got %+v, ok %v; want %+v, ok true", got, ok, c)
			}
		})
	}
}

func TestNegotiation(t *testing.T) {
	for _, c := range []struct {
		name   string
		offer  Pair
		answer []Pair
		fails  bool
	}{
		{
			name:   "a length above the limit is answered with the limit",
			offer:  Pair{"MaxBurstLength", "16776192"},
			answer: []Pair{{"MaxBurstLength", "262144"}},
		},
		{
			name:   "one value of a list is chosen",
			offer:  Pair{"DataDigest", "CRC32C,None"},
			answer: []Pair{{"DataDigest", "None"}},
		},
		{
			name:  "a declared key has no answer",
			offer: Pair{"MaxRecvDataSegmentLength", "4096"},
		},
		{
			name:   "an unknown key is answered with NotUnderstood",
			offer:  Pair{"X-strange", "1"},
			answer: []Pair{{"X-strange", "NotUnderstood"}},
		},
		{
			name:   "a boolean without a value is sent back",
			offer:  Pair{"ImmediateData", ""},
			answer: []Pair{{"ImmediateData", ""}},
		},
		{
			name:  "no acceptable digest is offered",
			offer: Pair{"HeaderDigest", "CRC32C"},
			fails: true,
		},
		{
			name:  "a length that is no number",
			offer: Pair{"FirstBurstLength", "many"},
			fails: true,
		},
		{
			name:  "a length that is too short",
			offer: Pair{"MaxRecvDataSegmentLength", "511"},
			fails: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			params := DefaultParams()
			answer, err := params.Negotiate([]Pair{c.offer})
			if (err != nil) != c.fails {
				t.Errorf("got error %v, want an error: %v", err, c.fails)
			}
			if diff := cmp.Diff(c.answer, answer); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}
