package iscsitarget

import (
	"slices"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/iscsi"
)

// requestData sends an R2T that asks the client for the next burst of a WRITE's data. For a READ, or once all data of a
// WRITE has arrived, it sends nothing and closes t.dataComplete; session.execute waits for that.
func (s *session) requestData(t *task) error {
	received, total := len(t.command.Data), t.command.Length()
	if !t.command.Write || received == total {
		close(t.dataComplete)
		return nil
	}
	t.transferTag = s.newTransferTag()
	t.dataSN = 0
	t.burstEnd = min(total, received+s.params.MaxBurst)
	r2t := iscsi.NewPDU(iscsi.R2T, iscsi.Final).SetLUN(t.lun)
	r2t.Set(iscsi.InitiatorTaskTag, t.tag)
	r2t.Set(iscsi.TargetTransferTag, t.transferTag)
	r2t.Set(iscsi.BufferOffset, uint32(received))
	r2t.Set(iscsi.DesiredLength, uint32(t.burstEnd-received))
	return s.send(r2t, false)
}

// handleDataOut adds the data of a Data-Out, which must answer the outstanding R2T, to its task.
func (s *session) handleDataOut(p *iscsi.PDU) error {
	s.mu.Lock()
	t := s.tasks[p.Get(iscsi.InitiatorTaskTag)]
	s.mu.Unlock()
	if t == nil {
		return nil // the task has ended in the meantime
	}
	if len(p.Data) < p.DataLength() { // dropped for want of memory; nothing has run
		s.finish(t, exchange.Answer{Verdict: exchange.Rejected})
		return nil
	}
	if !t.expects(p) {
		return s.reject(p, iscsi.InvalidPDUField)
	}
	t.dataSN++
	if missing := t.command.Length() - len(t.command.Data); cap(t.command.Data) < t.command.Length() {
		t.command.Data = slices.Grow(t.command.Data, missing) // once, as the memory for all of it is reserved
	}
	t.command.Data = append(t.command.Data, p.Data...)
	s.noteReceivedData(t)
	if !p.Has(iscsi.Final) {
		return nil
	}
	if len(t.command.Data) < t.burstEnd { // the burst is shorter than the R2T asked for
		if s.takeTask(t) {
			return s.send(s.checkCondition(t, iscsi.WrongDataLength), true)
		}
		return nil
	}
	t.burstEnd = 0
	return s.requestData(t)
}

// expects reports whether a Data-Out is the next one that the outstanding R2T asked for.
func (t *task) expects(p *iscsi.PDU) bool {
	received := len(t.command.Data)
	return t.burstEnd != 0 &&
		p.Get(iscsi.TargetTransferTag) == t.transferTag &&
		p.Get(iscsi.DataSN) == t.dataSN &&
		p.Get(iscsi.BufferOffset) == uint32(received) &&
		received+len(p.Data) <= t.burstEnd
}

// sendDataIn sends data in segments no longer than the initiator accepts, and at most expectedLength bytes. The last
// segment carries the status Good and tells by how much the data is longer or shorter than expectedLength.
func (s *session) sendDataIn(tag uint32, lun uint16, data []byte, expectedLength int) error {
	residual, residualFlag := uint32(0), byte(0)
	switch {
	case len(data) > expectedLength:
		residual, residualFlag = uint32(len(data)-expectedLength), iscsi.Overflow
		data = data[:expectedLength]
	case len(data) < expectedLength:
		residual, residualFlag = uint32(expectedLength-len(data)), iscsi.Underflow
	}
	offset := 0
	for dataSN := uint32(0); ; dataSN++ {
		end := min(len(data), offset+s.params.MaxSendSegment)
		p := iscsi.NewPDU(iscsi.DataIn, 0).SetLUN(lun)
		p.Set(iscsi.InitiatorTaskTag, tag)
		p.Set(iscsi.TargetTransferTag, iscsi.NoTag)
		p.Set(iscsi.DataSN, dataSN)
		p.Set(iscsi.BufferOffset, uint32(offset))
		p.Data = data[offset:end]
		if end == len(data) {
			p.Header[1] = iscsi.Final | iscsi.HasStatus | residualFlag
			p.Set(iscsi.Residual, residual)
			return s.send(p, true)
		}
		if err := s.send(p, false); err != nil {
			return err
		}
		offset = end
	}
}
