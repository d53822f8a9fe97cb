package iscsitarget

import (
	"encoding/binary"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
)

// handleLocalCommand answers a SCSI command that needs no node.
func (s *session) handleLocalCommand(p *iscsi.PDU) error {
	cdb := p.CDB()
	unit := s.target.units[p.LUN()]
	if unit == nil && cdb[0] != iscsi.ReportLUNs && cdb[0] != iscsi.Inquiry {
		return s.failCommand(p, iscsi.NoSuchUnit)
	}
	var data []byte
	allocationLength := 0 // size of the initiator's buffer for the data, in bytes
	switch cdb[0] {
	case iscsi.TestUnitReady:
		return s.send(s.response(&task{tag: p.Get(iscsi.InitiatorTaskTag)}, iscsi.Good, 0), true)
	case iscsi.Inquiry:
		data = inquiryData(unit, cdb)
		allocationLength = int(binary.BigEndian.Uint16(cdb[3:]))
	case iscsi.ReportLUNs:
		data = s.target.reportLUNsData()
		allocationLength = int(binary.BigEndian.Uint32(cdb[6:]))
	case iscsi.ReadCapacity10:
		data = unit.capacity10Data()
		allocationLength = len(data)
	case iscsi.ServiceActionIn16:
		if cdb[1]&0x1f != iscsi.ReadCapacity16 {
			return s.failCommand(p, iscsi.InvalidField)
		}
		data = unit.capacity16Data()
		allocationLength = int(binary.BigEndian.Uint32(cdb[10:]))
	default:
		return s.failCommand(p, iscsi.InvalidOpcode)
	}
	if data == nil {
		return s.failCommand(p, iscsi.InvalidField)
	}
	data = data[:min(len(data), allocationLength)]
	return s.sendDataIn(p.Get(iscsi.InitiatorTaskTag), p.LUN(), data, int(p.Get(iscsi.ExpectedLength)))
}

// capacity10Data returns the data of READ CAPACITY (10): the address of the last block, or 0xffffffff if the address
// needs more than 32 bits, and the block size.
func (u *Unit) capacity10Data() []byte {
	data := binary.BigEndian.AppendUint32(nil, uint32(min(u.Blocks-1, 1<<32-1)))
	return binary.BigEndian.AppendUint32(data, u.BlockSize)
}

// capacity16Data returns the data of READ CAPACITY (16): the address of the last block and the block size. The other
// fields are zero.
func (u *Unit) capacity16Data() []byte {
	data := binary.BigEndian.AppendUint64(nil, u.Blocks-1)
	data = binary.BigEndian.AppendUint32(data, u.BlockSize)
	return append(data, make([]byte, 20)...)
}

// reportLUNsData returns the data of REPORT LUNS: the length of the list of LUNs in bytes, and the list.
func (t *Target) reportLUNsData() []byte {
	data := binary.BigEndian.AppendUint32(nil, uint32(8*len(t.options.Units)))
	data = append(data, 0, 0, 0, 0)
	for _, unit := range t.options.Units {
		data = binary.BigEndian.AppendUint16(data, unit.LUN)
		data = append(data, 0, 0, 0, 0, 0, 0)
	}
	return data
}

// Page codes of vital product data (VPD).
const (
	supportedPages = 0x00
	blockLimits    = 0xb0
)

// Values of the first byte of INQUIRY data: peripheral qualifier and peripheral device type.
const (
	directAccessDevice = 0x00
	noDevice           = 0x7f // the target has no such unit
)

// inquiryData returns the data of INQUIRY; nil if the requested page is not supported.
func inquiryData(unit *Unit, cdb *iscsi.CDB) []byte {
	vitalProductData, page := cdb[1]&1 != 0, cdb[2]
	device := byte(directAccessDevice)
	if unit == nil {
		device = noDevice
	}
	if vitalProductData {
		return vitalProductPage(unit, device, page)
	}
	if page != 0 {
		return nil
	}
	const (
		version          = 0x05 // SPC-3
		responseFormat   = 0x02
		additionalLength = 31
		commandQueueing  = 0x02
	)
	data := []byte{device, 0, version, responseFormat, additionalLength, 0, 0, commandQueueing}
	return append(data, "RCHPULLYgateway volume  0001"...)
}

// vitalProductPage returns a page of vital product data; nil if the page is not supported.
func vitalProductPage(unit *Unit, device, page byte) []byte {
	switch {
	case page == supportedPages:
		return []byte{device, page, 0, 2, supportedPages, blockLimits}
	case page == blockLimits && unit != nil:
		const pageLength = 60
		data := make([]byte, 4+pageLength)
		data[0] = device
		data[1] = page
		data[3] = pageLength
		maxTransferBlocks := uint32(httpmsg.MaxRequestBody) / unit.BlockSize
		binary.BigEndian.PutUint32(data[8:], maxTransferBlocks)
		return data
	}
	return nil
}
