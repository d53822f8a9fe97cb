package iscsi

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPDUComesBackAsWritten(t *testing.T) {
	for _, data := range []string{"", "a", "abcd", "abcde"} {
		p := New(SCSICommand, Final|Read).SetImmediate().SetLUN(7).Set(TaskTag, 1<<31).Set(CmdSN, 5)
		p.Data = []byte(data)
		b := p.Bytes()
		if len(b)%4 != 0 {
			t.Errorf("%d bytes are no whole words", len(b))
		}
		got, err := ReadPDU(bytes.NewReader(b), 5)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(p.Data), string(got.Data)); diff != "" || got.LUN() != 7 || !got.Immediate() || got.Get(TaskTag) != 1<<31 {
			t.Errorf("got %v: %s", got, diff)
		}
	}
}

func TestPDUsThatCannotBeRead(t *testing.T) {
	long, ahs, whole := New(NopOut, Final), New(NopOut, Final), New(NopOut, Final)
	long.Data, whole.Data = make([]byte, 9), make([]byte, 8)
	ahs.Header[4] = 1
	for name, c := range map[string]struct {
		text []byte
		want error
	}{
		"nothing":             {nil, io.EOF},
		"half a header":       {long.Bytes()[:20], io.ErrUnexpectedEOF},
		"a header alone":      {whole.Bytes()[:HeaderSize], io.ErrUnexpectedEOF},
		"half a data segment": {whole.Bytes()[:HeaderSize+3], io.ErrUnexpectedEOF},
		"a long data segment": {long.Bytes(), ErrTooLong},
		"additional headers":  {ahs.Bytes(), ErrAHS},
	} {
		if _, err := ReadPDU(bytes.NewReader(c.text), 8); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

func FuzzReadPDU(f *testing.F) {
	for op := range opcodeNames {
		p := New(op, Final).SetLUN(1)
		p.Data = []byte("InitiatorName=a\x00")
		f.Add(p.Bytes())
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		const most = 1 << 10
		p, err := ReadPDU(bytes.NewReader(text), most)
		if err != nil {
			return
		}
		if len(p.Data) > most {
			t.Fatalf("%d bytes of data", len(p.Data))
		}
		again, err := ReadPDU(bytes.NewReader(p.Bytes()), most)
		if err != nil || !bytes.Equal(again.Data, p.Data) || again.Op() != p.Op() {
			t.Fatalf("%v does not come back: %v", p, err)
		}
		p.CDB().Transfer()
		if pairs, err := ParseText(p.Data); err == nil {
			params := DefaultParams()
			params.Negotiate(pairs)
		}
		ParseSense(p.Data)
	})
}

func TestCommandsKeepTheirCDB(t *testing.T) {
	for _, c := range []Command{
		{LBA: 8, Blocks: 1}, {LBA: 8, Blocks: 1, Write: true}, {LBA: 1 << 32, Blocks: 2}, {LBA: 1<<32 - 1, Blocks: 2, Write: true},
		{Blocks: 1 << 16},
	} {
		cdb := c.CDB()
		lba, blocks, write, ok := cdb.Transfer()
		if got := (Command{LBA: lba, Blocks: blocks, Write: write}); !ok || !cmp.Equal(c, got) {
			t.Errorf("%+v came back as %+v", c, got)
		}
	}
}

func TestNegotiation(t *testing.T) {
	for name, c := range map[string]struct{ offer, want []Pair }{
		"lengths are cut":    {[]Pair{{"MaxBurstLength", "16776192"}}, []Pair{{"MaxBurstLength", "262144"}}},
		"one of a list":      {[]Pair{{"DataDigest", "CRC32C,None"}}, []Pair{{"DataDigest", "None"}}},
		"what is declared":   {[]Pair{{"MaxRecvDataSegmentLength", "4096"}}, nil},
		"what is not known":  {[]Pair{{"X-strange", "1"}}, []Pair{{"X-strange", "NotUnderstood"}}},
		"no digest is left":  {[]Pair{{"HeaderDigest", "CRC32C"}}, nil},
		"a length in words":  {[]Pair{{"FirstBurstLength", "many"}}, nil},
		"a length too short": {[]Pair{{"MaxRecvDataSegmentLength", "511"}}, nil},
	} {
		p := DefaultParams()
		got, err := p.Negotiate(c.offer)
		if diff := cmp.Diff(c.want, got); diff != "" || (err == nil) != (c.want != nil || name == "what is declared") {
			t.Errorf("%s: %v: %s", name, err, diff)
		}
	}
}
