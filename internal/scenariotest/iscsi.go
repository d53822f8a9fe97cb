package scenariotest

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"reachpulley/internal/proto/iscsi"
)

// ISCSI is the Speech of iSCSI. A PDU is the name of its opcode and name=value words: the fields of its header,
// cdb=HEX, read=LBA+BLOCKS, write=LBA+BLOCKS, text=KEY=VALUE;KEY=VALUE and data=TEXT or data=COUNT*LETTER. imm
// sets it outside the order of commands; cut=N writes its first N bytes alone. What is heard is told by the fields that its opcode is about.
type ISCSI struct{}

var opcodes = func() map[string]iscsi.Opcode {
	names := map[string]iscsi.Opcode{}
	for op := iscsi.Opcode(0); op <= iscsi.Reject; op++ {
		names[op.String()] = op
	}
	return names
}()

var wordFields = map[string]iscsi.Field{"tag": iscsi.TaskTag, "expects": iscsi.ExpectedLength, "ttt": iscsi.TransferTag,
	"ref": iscsi.RefTag, "sn": iscsi.CmdSN, "exp": iscsi.ExpCmdSN, "max": iscsi.MaxCmdSN, "datasn": iscsi.DataSN,
	"offset": iscsi.BufferOffset, "length": iscsi.DesiredLength}

// wordBytes are the places of one byte.
var wordBytes = map[string]int{"flags": 1, "status": 3, "result": 2, "version": 3, "ahs": 4}

const blockSize = 512

// Write sends a PDU.
func (ISCSI) Write(w io.Writer, words string) error {
	parts := strings.Fields(words)
	op, ok := opcodes[parts[0]]
	if !ok {
		return fmt.Errorf("no opcode %q", parts[0])
	}
	p := iscsi.New(op, iscsi.Final)
	if op == iscsi.LoginRequest || op == iscsi.LoginResponse {
		p.Header[1] = iscsi.Transit | iscsi.OperationalStage<<2 | iscsi.FullFeature
	}
	if op == iscsi.DataIn {
		p.Header[1] |= iscsi.HasStatus
	}
	cut := 0
	for _, part := range parts[1:] {
		name, value, _ := strings.Cut(part, "=")
		if name == "cut" {
			cut, _ = strconv.Atoi(value)
		} else if err := set(p, name, value); err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
	}
	b := p.Bytes()
	if cut > 0 {
		b = b[:cut]
	}
	_, err := w.Write(b)
	return err
}

func set(p *iscsi.PDU, name, value string) error {
	switch name {
	case "imm":
		p.SetImmediate()
		return nil
	case "cdb":
		b, err := hex.DecodeString(value)
		copy(p.CDB()[:], b)
		return err
	case "read", "write":
		c := iscsi.Command{Write: name == "write", BlockSize: blockSize}
		if _, err := fmt.Sscanf(value, "%d+%d", &c.LBA, &c.Blocks); err != nil {
			return err
		}
		*p.CDB() = c.CDB()
		p.Header[1] |= iscsi.Read
		if c.Write {
			p.Header[1] ^= iscsi.Read | iscsi.Write
		}
		p.Set(iscsi.ExpectedLength, uint32(c.Length()))
		return nil
	case "text":
		p.Data = []byte(strings.ReplaceAll(value, ";", "\x00") + "\x00")
		return nil
	case "data":
		p.Data = []byte(value)
		if count, letter, ok := strings.Cut(value, "*"); ok {
			n, _ := strconv.Atoi(count)
			p.Data = bytes.Repeat([]byte(letter), n)
		}
		return nil
	}
	n, err := strconv.ParseUint(value, 0, 32)
	if at, ok := wordBytes[name]; ok {
		p.Header[at] = byte(n)
	} else if name == "lun" {
		p.SetLUN(uint16(n))
	} else if f, ok := wordFields[name]; ok {
		p.Set(f, uint32(n))
	} else {
		return fmt.Errorf("no field %q", name)
	}
	return err
}

// Read takes a PDU.
func (ISCSI) Read(r *bufio.Reader) (string, error) {
	p, err := iscsi.ReadPDU(r, 1<<20)
	if err != nil {
		return "", err
	}
	told := map[iscsi.Opcode][]string{iscsi.R2T: {"tag", "ttt", "offset", "length"}, iscsi.NopIn: {"tag", "ttt"},
		iscsi.DataIn: {"tag", "offset"}, iscsi.DataOut: {"tag", "ttt", "offset"}, iscsi.SCSICommand: {"tag"},
		iscsi.SCSIResponse: {"tag"}, iscsi.TaskRequest: {"ref"}, iscsi.TaskResponse: {"tag"}, iscsi.LogoutResponse: {"tag"}}
	words := []string{p.Op().String()}
	for _, name := range told[p.Op()] {
		words = append(words, fmt.Sprintf("%s=%d", name, p.Get(wordFields[name])))
	}
	switch p.Op() {
	case iscsi.LoginResponse:
		return fmt.Sprintf("%s status=%x", words[0], p.Header[36:38]), nil
	case iscsi.LoginRequest:
		return words[0], nil
	case iscsi.AsyncMessage:
		return fmt.Sprintf("%s event=%d", words[0], p.Header[36]), nil
	case iscsi.Reject:
		return fmt.Sprintf("%s reason=%d", words[0], p.Header[2]), nil
	case iscsi.TaskResponse:
		words = append(words, fmt.Sprintf("result=%d", p.Header[2]))
	case iscsi.SCSICommand:
		lba, blocks, write, _ := p.CDB().Transfer()
		kind := map[bool]string{false: "read", true: "write"}[write]
		words = append(words, fmt.Sprintf("lun=%d %s=%d+%d", p.LUN(), kind, lba, blocks))
	case iscsi.SCSIResponse:
		words = append(words, "status="+iscsi.Status(p.Header[3]).String())
		if sense, ok := iscsi.ParseSense(p.Data); ok {
			return strings.Join(append(words, "sense="+sense.String()), " "), nil
		}
	case iscsi.DataIn:
		if p.Has(iscsi.HasStatus) {
			words = append(words, "status="+iscsi.Status(p.Header[3]).String())
		}
	}
	if n := len(p.Data); n > 0 && bytes.Count(p.Data, p.Data[:1]) == n {
		words = append(words, fmt.Sprintf("data=%d*%s", n, p.Data[:1]))
	} else if n > 0 {
		words = append(words, "data="+string(p.Data))
	}
	return strings.Join(words, " "), nil
}
