// Package iscsi implements the part of iSCSI (RFC 7143) that the gateway's target and initiator share: the encoding of
// PDUs, the login text and its negotiation, and the SCSI commands. Its only I/O is the reading of PDUs.
//
// Names and layouts are those of the RFC, to which section numbers refer.
package iscsi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Opcode is the type of a PDU (section 11.2.1.2).
type Opcode byte

// The opcodes that the gateway supports.
const (
	NopOut         Opcode = 0x00
	SCSICommand    Opcode = 0x01
	TaskRequest    Opcode = 0x02 // Task Management Function Request
	LoginRequest   Opcode = 0x03
	TextRequest    Opcode = 0x04
	DataOut        Opcode = 0x05
	LogoutRequest  Opcode = 0x06
	NopIn          Opcode = 0x20
	SCSIResponse   Opcode = 0x21
	TaskResponse   Opcode = 0x22 // Task Management Function Response
	LoginResponse  Opcode = 0x23
	DataIn         Opcode = 0x25
	LogoutResponse Opcode = 0x26
	R2T            Opcode = 0x31 // Ready To Transfer
	AsyncMessage   Opcode = 0x32
	Reject         Opcode = 0x3f
)

var opcodeNames = map[Opcode]string{
	NopOut:         "nop-out",
	SCSICommand:    "command",
	TaskRequest:    "task-request",
	LoginRequest:   "login",
	TextRequest:    "text",
	DataOut:        "data-out",
	LogoutRequest:  "logout",
	NopIn:          "nop-in",
	SCSIResponse:   "response",
	TaskResponse:   "task-response",
	LoginResponse:  "login-response",
	DataIn:         "data-in",
	LogoutResponse: "logout-response",
	R2T:            "r2t",
	AsyncMessage:   "async",
	Reject:         "reject",
}

// String returns the opcode's short name in logs.
func (o Opcode) String() string {
	if name, ok := opcodeNames[o]; ok {
		return name
	}
	return fmt.Sprintf("opcode-%#02x", byte(o))
}

// Flags in the second byte of a PDU.
const (
	Final = 0x80 // the last, or only, PDU of its sequence

	Read  = 0x40 // SCSI Command: the initiator expects input data
	Write = 0x20 // SCSI Command: the initiator expects to send output data

	Overflow  = 0x04 // SCSI Response, Data-In: there is more data than the initiator expects
	Underflow = 0x02 // SCSI Response, Data-In: there is less data than the initiator expects
	HasStatus = 0x01 // Data-In: the PDU carries the status of the command

	Transit  = 0x80 // Login: the sender is ready for the next stage
	Continue = 0x40 // Login: the text continues in the next PDU
)

// NoTag is the reserved value of Initiator Task Tags and Target Transfer Tags: it refers to no task or transfer.
const NoTag = 0xffffffff

// HeaderSize is the length of a basic header segment in bytes.
const HeaderSize = 48

const (
	opcodeMask     = 0x3f
	immediateFlag  = 0x40     // in the first byte
	dataLengthMask = 0xffffff // DataSegmentLength has 24 bits
	lunOffset      = 8
	cdbOffset      = 32
	cdbEnd         = 48
)

// PDU is a protocol data unit (PDU) without digests.
type PDU struct {
	Header [HeaderSize]byte // the basic header segment
	Data   []byte           // the data segment without padding
}

// Errors of ReadPDU after which the start of the next PDU is unknown.
var (
	ErrTooLong = errors.New("iscsi: data segment exceeds the agreed length")
	ErrAHS     = errors.New("iscsi: additional header segments are not supported")
)

// NewPDU returns a PDU with an opcode and flags.
func NewPDU(op Opcode, flags byte) *PDU {
	p := &PDU{}
	p.Header[0] = byte(op)
	p.Header[1] = flags
	return p
}

// Op returns the opcode.
func (p *PDU) Op() Opcode { return Opcode(p.Header[0] & opcodeMask) }

// Immediate reports whether the PDU is for immediate delivery, that is, outside the order of commands.
func (p *PDU) Immediate() bool { return p.Header[0]&immediateFlag != 0 }

// SetImmediate marks the PDU for immediate delivery.
func (p *PDU) SetImmediate() *PDU {
	p.Header[0] |= immediateFlag
	return p
}

// Flags returns the second byte of the header, which holds the flags.
func (p *PDU) Flags() byte { return p.Header[1] }

// Has reports whether all the flags are set.
func (p *PDU) Has(flags byte) bool { return p.Header[1]&flags == flags }

// Field identifies a 32-bit field of the header by its offset.
type Field int

// The 32-bit fields, each with the PDUs that have it. Some share an offset, since they belong to different opcodes.
const (
	InitiatorTaskTag  Field = 16 // Initiator Task Tag
	ExpectedLength    Field = 20 // Expected Data Transfer Length, in SCSI Command
	TargetTransferTag Field = 20 // Target Transfer Tag, in R2T, Data-Out, Data-In and NOP
	ReferencedTaskTag Field = 20 // Referenced Task Tag, in Task Management Function Request
	CmdSN             Field = 24 // in requests
	StatSN            Field = 24 // in responses
	ExpStatSN         Field = 28 // in requests
	ExpCmdSN          Field = 28 // in responses
	MaxCmdSN          Field = 32 // in responses
	DataSN            Field = 36 // in Data-Out and Data-In
	BufferOffset      Field = 40 // in Data-Out, Data-In and R2T
	DesiredLength     Field = 44 // Desired Data Transfer Length, in R2T
	Residual          Field = 44 // Residual Count, in SCSI Response and Data-In
)

// Get returns the value of a field.
func (p *PDU) Get(f Field) uint32 { return binary.BigEndian.Uint32(p.Header[f:]) }

// Set sets the value of a field.
func (p *PDU) Set(f Field, value uint32) *PDU {
	binary.BigEndian.PutUint32(p.Header[f:], value)
	return p
}

// LUN returns the logical unit number. Only the first level of LUN addressing is supported.
func (p *PDU) LUN() uint16 { return binary.BigEndian.Uint16(p.Header[lunOffset:]) & 0x3fff }

// SetLUN sets the logical unit number.
func (p *PDU) SetLUN(lun uint16) *PDU {
	binary.BigEndian.PutUint16(p.Header[lunOffset:], lun)
	return p
}

// CDB returns the command descriptor block of a SCSI Command.
func (p *PDU) CDB() *CDB { return (*CDB)(p.Header[cdbOffset:cdbEnd]) }

// paddingOf returns the number of bytes that pad a data segment to whole 32-bit words.
func paddingOf(length int) int { return -length & 3 }

// ReadPDU reads a PDU whose data segment has at most maxLength bytes. It returns io.EOF if the input ends before a PDU.
// After any other error the start of the next PDU is unknown. With ErrTooLong and ErrAHS it also returns the header.
func ReadPDU(r io.Reader, maxLength int) (*PDU, error) {
	p, err := ReadHeader(r, maxLength)
	if err != nil {
		return p, err
	}
	return p, p.ReadData(r)
}

// ReadHeader reads the header of a PDU whose data segment has at most maxLength bytes. It returns errors as ReadPDU
// does. The caller goes on with ReadData or SkipData.
func ReadHeader(r io.Reader, maxLength int) (*PDU, error) {
	p := &PDU{}
	if _, err := io.ReadFull(r, p.Header[:]); err != nil {
		return nil, err
	}
	if p.Header[4] != 0 { // TotalAHSLength
		return p, ErrAHS
	}
	if p.DataLength() > maxLength {
		return p, ErrTooLong
	}
	return p, nil
}

// DataLength returns the length of the data segment that the header states, in bytes.
func (p *PDU) DataLength() int { return int(binary.BigEndian.Uint32(p.Header[4:8]) & dataLengthMask) }

// ReadData reads the data segment behind a header.
func (p *PDU) ReadData(r io.Reader) error {
	length := p.DataLength()
	if length == 0 {
		return nil
	}
	p.Data = make([]byte, length+paddingOf(length))
	if _, err := io.ReadFull(r, p.Data); err != nil {
		return unexpectedEnd(err)
	}
	p.Data = p.Data[:length]
	return nil
}

// SkipData reads the data segment behind a header and drops it.
func (p *PDU) SkipData(r io.Reader) error {
	length := p.DataLength()
	_, err := io.CopyN(io.Discard, r, int64(length+paddingOf(length)))
	return unexpectedEnd(err)
}

// unexpectedEnd returns the error of reading a data segment: the end of the input is unexpected there.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Bytes returns the encoded PDU. The length of the data segment is that of Data.
func (p *PDU) Bytes() []byte {
	length := len(p.Data)
	b := make([]byte, HeaderSize+length+paddingOf(length))
	copy(b, p.Header[:])
	b[5] = byte(length >> 16)
	b[6] = byte(length >> 8)
	b[7] = byte(length)
	copy(b[HeaderSize:], p.Data)
	return b
}

// SerialAfter reports whether serial number a comes after b. Serial numbers wrap around (RFC 1982).
func SerialAfter(a, b uint32) bool { return int32(a-b) > 0 }
