package iscsi

import (
	"encoding/binary"
	"fmt"
)

// CDB is a SCSI command descriptor block.
type CDB [16]byte

// The SCSI commands of the subset.
const (
	TestUnitReady  = 0x00
	Inquiry        = 0x12
	ReadCapacity10 = 0x25
	Read10         = 0x28
	Write10        = 0x2a
	Read16         = 0x88
	Write16        = 0x8a
	ServiceIn16    = 0x9e // with ReadCapacity16 as its service action
	ReportLUNs     = 0xa0
	ReadCapacity16 = 0x10
)

// Command is a READ or WRITE as it crosses an exchange.
type Command struct {
	LUN       uint16
	LBA       uint64
	Blocks    uint32
	BlockSize uint32
	Write     bool
	Data      []byte // of a write
}

// Reply is what a node gave to a Command: the data of a read.
type Reply struct{ Data []byte }

// Length is how many bytes the command moves.
func (c *Command) Length() int { return int(c.Blocks) * int(c.BlockSize) }

// CDB words the command in the shortest form that holds its address.
func (c *Command) CDB() (b CDB) {
	if c.LBA+uint64(c.Blocks) <= 1<<32 && c.Blocks < 1<<16 {
		b[0] = Read10
		if c.Write {
			b[0] = Write10
		}
		binary.BigEndian.PutUint32(b[2:], uint32(c.LBA))
		binary.BigEndian.PutUint16(b[7:], uint16(c.Blocks))
		return b
	}
	b[0] = Read16
	if c.Write {
		b[0] = Write16
	}
	binary.BigEndian.PutUint64(b[2:], c.LBA)
	binary.BigEndian.PutUint32(b[10:], c.Blocks)
	return b
}

// Transfer reads a READ or WRITE; ok is false for any other command.
func (b *CDB) Transfer() (lba uint64, blocks uint32, write, ok bool) {
	switch b[0] {
	case Read10, Write10:
		return uint64(binary.BigEndian.Uint32(b[2:])), uint32(binary.BigEndian.Uint16(b[7:])), b[0] == Write10, true
	case Read16, Write16:
		return binary.BigEndian.Uint64(b[2:]), binary.BigEndian.Uint32(b[10:]), b[0] == Write16, true
	}
	return 0, 0, false, false
}

// Status is how a SCSI command ended.
type Status byte

// The statuses of the subset.
const (
	Good           Status = 0x00
	CheckCondition Status = 0x02
	Busy           Status = 0x08
	TaskSetFull    Status = 0x28
)

func (s Status) String() string {
	switch s {
	case Good:
		return "good"
	case CheckCondition:
		return "check-condition"
	case Busy:
		return "busy"
	case TaskSetFull:
		return "task-set-full"
	}
	return fmt.Sprintf("status-%#02x", byte(s))
}

// Sense tells why a command ended in CHECK CONDITION: key, additional code and its qualifier.
type Sense struct{ Key, Code, Qualifier byte }

// The senses that the target gives.
var (
	InvalidOpcode   = Sense{0x05, 0x20, 0x00}
	OutOfRange      = Sense{0x05, 0x21, 0x00}
	InvalidField    = Sense{0x05, 0x24, 0x00}
	NoSuchUnit      = Sense{0x05, 0x25, 0x00}
	WrongDataLength = Sense{0x0b, 0x0c, 0x0d} // write error: not enough unsolicited data
	TimedOut        = Sense{0x0b, 0x2e, 0x02} // command timeout during processing
	TargetFailure   = Sense{0x0b, 0x44, 0x00}
)

// Bytes is the sense as the data segment of a SCSI Response, in fixed format.
func (s Sense) Bytes() []byte {
	const length = 18
	b := make([]byte, 2+length)
	b[1] = length
	b[2], b[4], b[9], b[14], b[15] = 0x70, s.Key, length-8, s.Code, s.Qualifier
	return b
}

// ParseSense reads the data segment of a SCSI Response.
func ParseSense(data []byte) (s Sense, ok bool) {
	if len(data) < 16 || data[2]&0x7e != 0x70 {
		return s, false
	}
	return Sense{data[4] & 0x0f, data[14], data[15]}, true
}

func (s Sense) String() string { return fmt.Sprintf("%x/%02x/%02x", s.Key, s.Code, s.Qualifier) }

// RejectReason tells why a PDU was rejected.
type RejectReason byte

// The reasons of the subset.
const (
	ProtocolError    RejectReason = 0x04
	NotSupported     RejectReason = 0x05
	TooManyImmediate RejectReason = 0x06
	TaskInProgress   RejectReason = 0x07
	InvalidPDUField  RejectReason = 0x09
)

// Task management: functions and responses of the subset.
const (
	AbortTask = 1

	TaskDone         = 0
	TaskUnknown      = 1
	TaskNotSupported = 5
)

// LoginStatus is the class and detail that a Login Response ends with.
type LoginStatus uint16

// The login statuses of the subset.
const (
	LoginOK            LoginStatus = 0x0000
	LoginBadRequest    LoginStatus = 0x0200
	LoginNoTarget      LoginStatus = 0x0203
	LoginBadVersion    LoginStatus = 0x0205
	LoginMissing       LoginStatus = 0x0207
	LoginWrongType     LoginStatus = 0x0209
	LoginNoSession     LoginStatus = 0x020a
	LoginOutOfResource LoginStatus = 0x0302
)

// Stages of a login.
const (
	SecurityStage    = 0
	OperationalStage = 1
	FullFeature      = 3
)
