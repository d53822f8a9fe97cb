// Package wire encodes the iSCSI PDUs (RFC 7143) that the stand-ins send and receive. Names are those of the RFC.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
)

// Opcodes.
const (
	NopOut         = 0x00
	Command        = 0x01
	TaskRequest    = 0x02
	LoginRequest   = 0x03
	LogoutRequest  = 0x06
	NopIn          = 0x20
	Response       = 0x21
	TaskResponse   = 0x22
	LoginResponse  = 0x23
	LogoutResponse = 0x26
)

// Flags in the second byte, and other values.
const (
	Final       = 0x80
	Write       = 0x20
	FullFeature = 0x80 | 1<<2 | 3 // Login: from the operational stage to the full feature phase
	Immediate   = 0x40            // in the first byte
	NoTag       = 0xffffffff
	write10     = 0x2a
	write16     = 0x8a
)

// Offsets of fields of 32 bits.
const (
	TaskTag        = 16
	ExpectedLength = 20 // in commands
	TransferTag    = 20
	CmdSN          = 24 // in requests
	StatSN         = 24 // in responses
	ExpStatSN      = 28 // in requests
	ExpCmdSN       = 28 // in responses
	MaxCmdSN       = 32 // in responses
	cdb            = 32
)

// SCSI statuses.
const (
	Good           = 0x00
	CheckCondition = 0x02
	Busy           = 0x08
	TaskSetFull    = 0x28
)

// PDU is a PDU without digests.
type PDU struct {
	Header [48]byte
	Data   []byte
}

// New returns a PDU.
func New(opcode, flags byte) *PDU {
	p := &PDU{}
	p.Header[0], p.Header[1] = opcode, flags
	return p
}

// Op returns the opcode.
func (p *PDU) Op() byte { return p.Header[0] & 0x3f }

// Get returns a field.
func (p *PDU) Get(offset int) uint32 { return binary.BigEndian.Uint32(p.Header[offset:]) }

// Set sets a field.
func (p *PDU) Set(offset int, value uint32) *PDU {
	binary.BigEndian.PutUint32(p.Header[offset:], value)
	return p
}

// SetWrite makes a command a WRITE (10).
func (p *PDU) SetWrite(lba uint32, blocks uint16) {
	p.Header[cdb] = write10
	binary.BigEndian.PutUint32(p.Header[cdb+2:], lba)
	binary.BigEndian.PutUint16(p.Header[cdb+7:], blocks)
}

// WriteAddress returns the first block of a WRITE, and whether the command is one.
func (p *PDU) WriteAddress() (lba uint64, ok bool) {
	switch p.Header[cdb] {
	case write10:
		return uint64(binary.BigEndian.Uint32(p.Header[cdb+2:])), true
	case write16:
		return binary.BigEndian.Uint64(p.Header[cdb+2:]), true
	}
	return 0, false
}

// SetText makes the data a login text.
func (p *PDU) SetText(pairs ...string) { p.Data = []byte(strings.Join(pairs, "\x00") + "\x00") }

// Send writes a PDU.
func Send(w io.Writer, p *PDU) error {
	header := p.Header
	header[5], header[6], header[7] = byte(len(p.Data)>>16), byte(len(p.Data)>>8), byte(len(p.Data))
	message := append(header[:], p.Data...)
	message = append(message, make([]byte, -len(p.Data)&3)...)
	_, err := w.Write(message)
	return err
}

// Receive reads a PDU.
func Receive(r io.Reader) (*PDU, error) {
	p := &PDU{}
	if _, err := io.ReadFull(r, p.Header[:]); err != nil {
		return nil, err
	}
	length := int(p.Get(4) & 0xffffff)
	if p.Header[4] != 0 || length > 1<<20 {
		return nil, fmt.Errorf("a PDU of opcode %#x has %d bytes", p.Op(), length)
	}
	p.Data = make([]byte, length+-length&3)
	if _, err := io.ReadFull(r, p.Data); err != nil {
		return nil, err
	}
	p.Data = p.Data[:length]
	return p, nil
}
