package iscsi

import (
	"encoding/binary"
	"fmt"
)

// CDB is a SCSI command descriptor block.
type CDB [16]byte

// Operation codes of the SCSI commands that the gateway supports.
const (
	TestUnitReady     = 0x00
	Inquiry           = 0x12
	ReadCapacity10    = 0x25
	Read10            = 0x28
	Write10           = 0x2a
	Read16            = 0x88
	Write16           = 0x8a
	ServiceActionIn16 = 0x9e
	ReportLUNs        = 0xa0
)

// ReadCapacity16 is a service action of ServiceActionIn16.
const ReadCapacity16 = 0x10

// Command is a SCSI READ or WRITE. It is the payload of an exchange.
type Command struct {
	LUN       uint16
	LBA       uint64 // logical block address
	Blocks    uint32
	BlockSize uint32 // bytes
	Write     bool
	Data      []byte // the data to write
}

// Reply is a node's answer to a Command.
type Reply struct {
	Data []byte // the data that a read returned
}

// Length returns how many bytes the command transfers.
func (c *Command) Length() int { return int(c.Blocks) * int(c.BlockSize) }

// CDB returns the command descriptor block: a READ(10) or WRITE(10) if that can hold the command's address and length,
// and otherwise a READ(16) or WRITE(16).
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

// Transfer returns the address and the number of blocks of a READ or WRITE; ok is false for any other command.
func (b *CDB) Transfer() (lba uint64, blocks uint32, write, ok bool) {
	switch b[0] {
	case Read10, Write10:
		lba = uint64(binary.BigEndian.Uint32(b[2:]))
		blocks = uint32(binary.BigEndian.Uint16(b[7:]))
		return lba, blocks, b[0] == Write10, true
	case Read16, Write16:
		lba = binary.BigEndian.Uint64(b[2:])
		blocks = binary.BigEndian.Uint32(b[10:])
		return lba, blocks, b[0] == Write16, true
	}
	return 0, 0, false, false
}

// Status is the status with which a SCSI command ends.
type Status byte

// The statuses that the gateway uses.
const (
	Good           Status = 0x00
	CheckCondition Status = 0x02
	Busy           Status = 0x08
	TaskSetFull    Status = 0x28
)

// String returns the status's name in logs.
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

// Sense states why a command ended with CheckCondition: the sense key, the additional sense code and its qualifier.
type Sense struct {
	Key       byte
	Code      byte
	Qualifier byte
}

// The sense values that the target returns, with their names in SPC.
var (
	InvalidOpcode   = Sense{0x05, 0x20, 0x00} // INVALID COMMAND OPERATION CODE
	OutOfRange      = Sense{0x05, 0x21, 0x00} // LOGICAL BLOCK ADDRESS OUT OF RANGE
	InvalidField    = Sense{0x05, 0x24, 0x00} // INVALID FIELD IN CDB
	NoSuchUnit      = Sense{0x05, 0x25, 0x00} // LOGICAL UNIT NOT SUPPORTED
	WrongDataLength = Sense{0x0b, 0x0c, 0x0d} // WRITE ERROR - NOT ENOUGH UNSOLICITED DATA
	TimedOut        = Sense{0x0b, 0x2e, 0x02} // COMMAND TIMEOUT DURING PROCESSING
	TargetFailure   = Sense{0x0b, 0x44, 0x00} // INTERNAL TARGET FAILURE
)

// Bytes returns the data segment of a SCSI Response with the sense in fixed format.
func (s Sense) Bytes() []byte {
	const length = 18
	b := make([]byte, 2+length)
	b[1] = length
	b[2] = 0x70 // current error, fixed format
	b[4] = s.Key
	b[9] = length - 8 // additional sense length
	b[14] = s.Code
	b[15] = s.Qualifier
	return b
}

// ParseSense returns the sense in the data segment of a SCSI Response; ok is false if there is none in fixed format.
func ParseSense(data []byte) (s Sense, ok bool) {
	if len(data) < 16 || data[2]&0x7e != 0x70 {
		return s, false
	}
	return Sense{Key: data[4] & 0x0f, Code: data[14], Qualifier: data[15]}, true
}

// String returns key, code and qualifier in hexadecimal.
func (s Sense) String() string { return fmt.Sprintf("%x/%02x/%02x", s.Key, s.Code, s.Qualifier) }
