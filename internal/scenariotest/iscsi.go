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

// ISCSI is the Codec of iSCSI. A message is a PDU: the name of its opcode and name=value words for the fields of its
// header. Further words are
//
//	cdb=HEX                            the command descriptor block
//	read=LBA+BLOCKS, write=LBA+BLOCKS  a read or write command, for blocks of 512 bytes
//	lun=N                              the logical unit
//	text=KEY=VALUE;KEY=VALUE           the text parameters of a login, as data
//	data=TEXT, data=COUNT*LETTER       other data
//	imm                                the immediate delivery flag
//	cut=N                              sends only the first N bytes of the PDU
//
// The text of a received PDU contains only the words that matter for its opcode.
type ISCSI struct{}

// opcodesByName maps the name of an opcode to the opcode.
var opcodesByName = func() map[string]iscsi.Opcode {
	names := map[string]iscsi.Opcode{}
	for op := iscsi.Opcode(0); op <= iscsi.Reject; op++ {
		names[op.String()] = op
	}
	return names
}()

// headerFields maps the names of header fields of four bytes to the fields.
var headerFields = map[string]iscsi.Field{
	"tag":     iscsi.InitiatorTaskTag,
	"expects": iscsi.ExpectedLength,
	"ttt":     iscsi.TargetTransferTag,
	"ref":     iscsi.ReferencedTaskTag,
	"sn":      iscsi.CmdSN,
	"exp":     iscsi.ExpCmdSN,
	"expstat": iscsi.ExpStatSN,
	"max":     iscsi.MaxCmdSN,
	"datasn":  iscsi.DataSN,
	"offset":  iscsi.BufferOffset,
	"length":  iscsi.DesiredLength,
}

// headerBytes maps the names of header fields of one byte to their offsets.
var headerBytes = map[string]int{
	"flags":   1,
	"status":  3,
	"result":  2,
	"version": 3,
	"ahs":     4,
}

// visibleFields maps an opcode to the names of the four-byte fields that the text of a received PDU contains.
var visibleFields = map[iscsi.Opcode][]string{
	iscsi.R2T:            {"tag", "ttt", "offset", "length"},
	iscsi.NopIn:          {"tag", "ttt"},
	iscsi.DataIn:         {"tag", "offset"},
	iscsi.DataOut:        {"tag", "ttt", "offset"},
	iscsi.SCSICommand:    {"tag"},
	iscsi.SCSIResponse:   {"tag"},
	iscsi.TaskRequest:    {"ref"},
	iscsi.TaskResponse:   {"tag"},
	iscsi.LogoutResponse: {"tag"},
}

const (
	blockSize      = 512     // bytes
	maxDataSegment = 1 << 20 // bytes
)

// Write sends a PDU.
func (ISCSI) Write(w io.Writer, text string) error {
	parts := strings.Fields(text)
	opcode, ok := opcodesByName[parts[0]]
	if !ok {
		return fmt.Errorf("unknown opcode %q", parts[0])
	}
	p := iscsi.NewPDU(opcode, iscsi.Final)
	switch opcode {
	case iscsi.LoginRequest, iscsi.LoginResponse:
		p.Header[1] = iscsi.Transit | iscsi.OperationalStage<<2 | iscsi.FullFeature
	case iscsi.DataIn:
		p.Header[1] |= iscsi.HasStatus
	}
	cut := 0
	for _, part := range parts[1:] {
		name, value, _ := strings.Cut(part, "=")
		if name == "cut" {
			cut, _ = strconv.Atoi(value)
		} else if err := setWord(p, name, value); err != nil {
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

// setWord applies the word name=value to a PDU.
func setWord(p *iscsi.PDU, name, value string) error {
	switch name {
	case "imm":
		p.SetImmediate()
		return nil
	case "cdb":
		block, err := hex.DecodeString(value)
		copy(p.CDB()[:], block)
		return err
	case "read", "write":
		return setCommand(p, name == "write", value)
	case "text":
		p.Data = []byte(strings.ReplaceAll(value, ";", "\x00") + "\x00")
		return nil
	case "data":
		p.Data = parseData(value)
		return nil
	}
	return setField(p, name, value)
}

// setCommand makes a PDU a read or write command for a transfer of the form LBA+BLOCKS.
func setCommand(p *iscsi.PDU, write bool, transfer string) error {
	command := iscsi.Command{Write: write, BlockSize: blockSize}
	if _, err := fmt.Sscanf(transfer, "%d+%d", &command.LBA, &command.Blocks); err != nil {
		return err
	}
	*p.CDB() = command.CDB()
	p.Header[1] |= iscsi.Read
	if write {
		p.Header[1] ^= iscsi.Read | iscsi.Write
	}
	p.Set(iscsi.ExpectedLength, uint32(command.Length()))
	return nil
}

// setField sets a header field to a number.
func setField(p *iscsi.PDU, name, value string) error {
	number, err := strconv.ParseUint(value, 0, 32)
	if offset, ok := headerBytes[name]; ok {
		p.Header[offset] = byte(number)
		return err
	}
	if field, ok := headerFields[name]; ok {
		p.Set(field, uint32(number))
		return err
	}
	if name == "lun" {
		p.SetLUN(uint16(number))
		return err
	}
	return fmt.Errorf("unknown field %q", name)
}

// parseData returns the data that TEXT or COUNT*LETTER stands for.
func parseData(value string) []byte {
	count, letter, ok := strings.Cut(value, "*")
	if !ok {
		return []byte(value)
	}
	n, _ := strconv.Atoi(count)
	return bytes.Repeat([]byte(letter), n)
}

// formatData returns data in the notation that parseData reads: as COUNT*LETTER if all bytes are equal, or else as
// TEXT. The data must not be empty.
func formatData(data []byte) string {
	if n := len(data); bytes.Count(data, data[:1]) == n {
		return fmt.Sprintf("%d*%s", n, data[:1])
	}
	return string(data)
}

// Read receives a PDU.
func (ISCSI) Read(r *bufio.Reader) (string, error) {
	p, err := iscsi.ReadPDU(r, maxDataSegment)
	if err != nil {
		return "", err
	}
	words := []string{p.Op().String()}
	for _, name := range visibleFields[p.Op()] {
		words = append(words, fmt.Sprintf("%s=%d", name, p.Get(headerFields[name])))
	}
	words = append(words, opcodeWords(p)...)
	if isDataVisible(p) {
		words = append(words, "data="+formatData(p.Data))
	}
	return strings.Join(words, " "), nil
}

// opcodeWords returns the words for fields that are specific to the PDU's opcode.
func opcodeWords(p *iscsi.PDU) []string {
	switch p.Op() {
	case iscsi.LoginResponse:
		return []string{fmt.Sprintf("status=%x", p.Header[36:38])}
	case iscsi.AsyncMessage:
		return []string{fmt.Sprintf("event=%d", p.Header[36])}
	case iscsi.Reject:
		return []string{fmt.Sprintf("reason=%d", p.Header[2])}
	case iscsi.TaskResponse:
		return []string{fmt.Sprintf("result=%d", p.Header[2])}
	case iscsi.SCSICommand:
		lba, blocks, write, _ := p.CDB().Transfer()
		name := "read"
		if write {
			name = "write"
		}
		return []string{fmt.Sprintf("lun=%d %s=%d+%d", p.LUN(), name, lba, blocks)}
	case iscsi.SCSIResponse:
		words := []string{"status=" + iscsi.Status(p.Header[3]).String()}
		if sense, ok := iscsi.ParseSense(p.Data); ok {
			words = append(words, "sense="+sense.String())
		}
		return words
	case iscsi.DataIn:
		if p.Has(iscsi.HasStatus) {
			return []string{"status=" + iscsi.Status(p.Header[3]).String()}
		}
	}
	return nil
}

// isDataVisible reports whether the text of a received PDU contains its data in a data word.
func isDataVisible(p *iscsi.PDU) bool {
	if len(p.Data) == 0 {
		return false
	}
	switch p.Op() {
	case iscsi.LoginRequest, iscsi.LoginResponse, iscsi.AsyncMessage, iscsi.Reject:
		return false
	case iscsi.SCSIResponse:
		_, isSense := iscsi.ParseSense(p.Data)
		return !isSense
	}
	return true
}
