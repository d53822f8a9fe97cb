package stage

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Opcodes of iSCSI PDUs, as RFC 7143 lists them under "Opcode".
const (
	NopOut        = 0x00
	SCSICommand   = 0x01
	TaskRequest   = 0x02
	LoginRequest  = 0x03
	LogoutRequest = 0x06
	NopIn         = 0x20
	SCSIResponse  = 0x21
	TaskResponse  = 0x22
	LoginResponse = 0x23
	DataIn        = 0x25
	LogoutReply   = 0x26
)

// Operation codes of SCSI commands.
const (
	Read10  = 0x28
	Write10 = 0x2a
)

// Offsets of fields in the header of a PDU.
const (
	FieldITT       = 16 // Initiator Task Tag
	FieldLength    = 20 // Expected Data Transfer Length
	FieldCmdSN     = 24 // in requests
	FieldStatSN    = 24 // in responses
	FieldExpStatSN = 28 // in requests
	FieldExpCmdSN  = 28 // in responses
	FieldMaxCmdSN  = 32
)

// NoTag is the tag that stands for none.
const NoTag = 0xffffffff

// PDU is an iSCSI PDU without digests and additional headers.
type PDU struct {
	Header [48]byte
	Data   []byte
}

// Op returns the opcode.
func (p *PDU) Op() byte { return p.Header[0] & 0x3f }

// Get returns a 32-bit field.
func (p *PDU) Get(field int) uint32 { return binary.BigEndian.Uint32(p.Header[field:]) }

// Set sets a 32-bit field.
func (p *PDU) Set(field int, value uint32) { binary.BigEndian.PutUint32(p.Header[field:], value) }

// ReadPDU reads a PDU.
func ReadPDU(r io.Reader) (*PDU, error) {
	p := &PDU{}
	if _, err := io.ReadFull(r, p.Header[:]); err != nil {
		return nil, err
	}
	length := int(p.Get(4) & 0xffffff)
	p.Data = make([]byte, length+(-length&3))
	if _, err := io.ReadFull(r, p.Data); err != nil {
		return nil, err
	}
	p.Data = p.Data[:length]
	return p, nil
}

// Write writes the PDU.
func (p *PDU) Write(w io.Writer) error {
	length := len(p.Data)
	binary.BigEndian.PutUint32(p.Header[4:], uint32(length))
	b := append(append([]byte(nil), p.Header[:]...), p.Data...)
	_, err := w.Write(append(b, make([]byte, -length&3)...))
	return err
}

// LoginText is the text of a login that both sides can use.
func LoginText(pairs ...string) []byte {
	all := append(pairs, "HeaderDigest=None", "DataDigest=None", "InitialR2T=Yes", "ImmediateData=Yes",
		"MaxRecvDataSegmentLength=65536", "FirstBurstLength=65536", "MaxBurstLength=262144", "ErrorRecoveryLevel=0")
	return []byte(strings.Join(all, "\x00") + "\x00")
}

// Initiator is an iSCSI client with one session, which sends one command at a time.
type Initiator struct {
	conn   net.Conn
	reader *bufio.Reader
	cmdSN  uint32
	statSN uint32
	tag    uint32
}

// Login opens a session.
func Login(address, name, target string, isid byte) (*Initiator, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	i := &Initiator{conn: conn, reader: bufio.NewReader(conn)}
	p := &PDU{Data: LoginText("InitiatorName="+name, "TargetName="+target, "SessionType=Normal")}
	p.Header[0] = LoginRequest | 0x40
	p.Header[1] = 0x80 | 1<<2 | 3 // proceed from the operational stage to the full feature phase
	p.Header[8], p.Header[13] = 0x80, isid
	p.Set(FieldCmdSN, 1)
	if err := p.Write(conn); err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := ReadPDU(i.reader)
	if err != nil {
		return nil, err
	}
	if answer.Op() != LoginResponse || answer.Header[36] != 0 || answer.Header[1]&0x83 != 0x83 {
		return nil, fmt.Errorf("login: answer %x", answer.Header)
	}
	i.cmdSN = answer.Get(FieldExpCmdSN)
	i.statSN = answer.Get(FieldStatSN) + 1
	return i, nil
}

// Close ends the session.
func (i *Initiator) Close() { i.conn.Close() }

// Transfer reads or writes one block of 512 bytes and returns the SCSI status and what was read.
func (i *Initiator) Transfer(lba uint32, data []byte) (status byte, read []byte, err error) {
	p := &PDU{Data: data}
	p.Header[0] = SCSICommand
	p.Header[1] = 0x80 | 0x40 // final, read
	p.Header[32] = Read10
	if data != nil {
		p.Header[1] = 0x80 | 0x20 // final, write
		p.Header[32] = Write10
	}
	binary.BigEndian.PutUint32(p.Header[34:], lba)
	binary.BigEndian.PutUint16(p.Header[39:], 1)
	i.tag++
	p.Set(FieldITT, i.tag)
	p.Set(FieldLength, 512)
	p.Set(FieldCmdSN, i.cmdSN)
	p.Set(FieldExpStatSN, i.statSN)
	i.cmdSN++
	if err := p.Write(i.conn); err != nil {
		return 0, nil, err
	}
	i.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		answer, err := ReadPDU(i.reader)
		if err != nil {
			return 0, nil, err
		}
		switch {
		case answer.Get(FieldITT) != i.tag:
			continue
		case answer.Op() == DataIn:
			read = append(read, answer.Data...)
			if answer.Header[1]&1 == 0 {
				continue
			}
		case answer.Op() != SCSIResponse:
			continue
		}
		i.statSN = answer.Get(FieldStatSN) + 1
		return answer.Header[3], read, nil
	}
}
