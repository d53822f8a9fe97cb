// Package iscsi is the part of RFC 7143 that the gateway speaks, in its terms and layout: the PDU codec, login
// text and the SCSI commands that target and initiator share.
package iscsi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Opcode is the kind of a PDU.
type Opcode byte

// The opcodes of the subset.
const (
	NopOut         Opcode = 0x00
	SCSICommand    Opcode = 0x01
	TaskRequest    Opcode = 0x02
	LoginRequest   Opcode = 0x03
	TextRequest    Opcode = 0x04
	DataOut        Opcode = 0x05
	LogoutRequest  Opcode = 0x06
	NopIn          Opcode = 0x20
	SCSIResponse   Opcode = 0x21
	TaskResponse   Opcode = 0x22
	LoginResponse  Opcode = 0x23
	DataIn         Opcode = 0x25
	LogoutResponse Opcode = 0x26
	R2T            Opcode = 0x31
	AsyncMessage   Opcode = 0x32
	Reject         Opcode = 0x3f
)

var opcodeNames = map[Opcode]string{NopOut: "nop-out", SCSICommand: "command", TaskRequest: "task-request",
	LoginRequest: "login", TextRequest: "text", DataOut: "data-out", LogoutRequest: "logout", NopIn: "nop-in",
	SCSIResponse: "response", TaskResponse: "task-response", LoginResponse: "login-response", DataIn: "data-in",
	LogoutResponse: "logout-response", R2T: "r2t", AsyncMessage: "async", Reject: "reject"}

func (o Opcode) String() string {
	if name, ok := opcodeNames[o]; ok {
		return name
	}
	return fmt.Sprintf("opcode-%#02x", byte(o))
}

// Bits of a PDU's second byte.
const (
	Final = 0x80 // the last, or only, PDU of its sequence

	Read  = 0x40 // SCSI Command: data comes in
	Write = 0x20 // SCSI Command: data goes out

	Overflow  = 0x04 // SCSI Response, Data-In: more data than the initiator expects
	Underflow = 0x02 // less
	HasStatus = 0x01 // Data-In: it carries the status

	Transit = 0x80 // Login
	Goes    = 0x40 // Login: the text continues
)

// NoTag is the task tag that names no task.
const NoTag = 0xffffffff

// HeaderSize is the length of a basic header segment.
const HeaderSize = 48

// PDU is one protocol data unit without digests. Fields that only some opcodes have are read by name from the
// header's bytes.
type PDU struct {
	Header [HeaderSize]byte
	Data   []byte
}

// Faults of a stream of PDUs after which its next PDU cannot be found.
var (
	ErrTooLong = errors.New("iscsi: a data segment is longer than was agreed")
	ErrAHS     = errors.New("iscsi: additional header segments are not understood")
)

// New makes a PDU of a kind.
func New(op Opcode, flags byte) *PDU {
	p := &PDU{}
	p.Header[0], p.Header[1] = byte(op), flags
	return p
}

// Op is the PDU's opcode.
func (p *PDU) Op() Opcode { return Opcode(p.Header[0] & 0x3f) }

// Immediate tells whether the PDU is outside the order of commands.
func (p *PDU) Immediate() bool { return p.Header[0]&0x40 != 0 }

// SetImmediate puts the PDU outside the order of commands.
func (p *PDU) SetImmediate() *PDU { p.Header[0] |= 0x40; return p }

// Flags are the bits of the second byte.
func (p *PDU) Flags() byte { return p.Header[1] }

// Has tells whether all the flags are set.
func (p *PDU) Has(flags byte) bool { return p.Header[1]&flags == flags }

// Field names a 32-bit field by its place in the header.
type Field int

// The 32-bit fields. Some share a place.
const (
	TaskTag        Field = 16
	ExpectedLength Field = 20 // SCSI Command
	TransferTag    Field = 20 // R2T, Data-Out, NOP
	RefTag         Field = 20 // Task Management
	CmdSN          Field = 24 // requests
	StatSN         Field = 24 // responses
	ExpStatSN      Field = 28 // requests
	ExpCmdSN       Field = 28 // responses
	MaxCmdSN       Field = 32 // responses
	DataSN         Field = 36
	R2TSN          Field = 36
	BufferOffset   Field = 40
	DesiredLength  Field = 44 // R2T
	Residual       Field = 44 // SCSI Response, Data-In
)

// Get reads a field.
func (p *PDU) Get(f Field) uint32 { return binary.BigEndian.Uint32(p.Header[f:]) }

// Set writes a field.
func (p *PDU) Set(f Field, value uint32) *PDU {
	binary.BigEndian.PutUint32(p.Header[f:], value)
	return p
}

// LUN is the logical unit that the PDU is about, in the first level of addressing.
func (p *PDU) LUN() uint16 { return binary.BigEndian.Uint16(p.Header[8:]) & 0x3fff }

// SetLUN names the logical unit.
func (p *PDU) SetLUN(lun uint16) *PDU {
	binary.BigEndian.PutUint16(p.Header[8:], lun)
	return p
}

// CDB is the command block of a SCSI Command.
func (p *PDU) CDB() *CDB { return (*CDB)(p.Header[32:48]) }

// pad is the number of bytes that fill a data segment to whole words.
func pad(n int) int { return -n & 3 }

// ReadPDU reads one PDU whose data segment is at most most bytes long. Any error but io.EOF, between PDUs,
// ends the stream: where the next PDU starts is unknown.
func ReadPDU(r io.Reader, most int) (*PDU, error) {
	p := &PDU{}
	if _, err := io.ReadFull(r, p.Header[:]); err != nil {
		return nil, err
	}
	if p.Header[4] != 0 {
		return p, ErrAHS
	}
	length := int(binary.BigEndian.Uint32(p.Header[4:8]) & 0xffffff)
	if length > most {
		return p, ErrTooLong
	}
	if length == 0 {
		return p, nil
	}
	p.Data = make([]byte, length+pad(length))
	if _, err := io.ReadFull(r, p.Data); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return p, err
	}
	p.Data = p.Data[:length]
	return p, nil
}

// Bytes is the PDU as it is written.
func (p *PDU) Bytes() []byte {
	n := len(p.Data)
	b := make([]byte, HeaderSize+n+pad(n))
	copy(b, p.Header[:])
	b[5], b[6], b[7] = byte(n>>16), byte(n>>8), byte(n)
	copy(b[HeaderSize:], p.Data)
	return b
}

// After tells whether serial number a comes after b; they wrap around.
func After(a, b uint32) bool { return int32(a-b) > 0 }
