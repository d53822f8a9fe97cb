package iscsiinitiator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

// Protocol errors of a node. Each of them ends the session.
var (
	errUnexpectedPDU = errors.New("unexpected PDU")
	errDataOrder     = errors.New("data is out of order or beyond the command's length")
	errDataRequest   = errors.New("R2T requests data that the command does not have")
)

// receive handles the PDUs that the node sends until the connection or the session ends.
func (s *session) receive() error {
	for {
		p, err := iscsi.ReadPDU(s.reader, maxDataSegment)
		if err != nil {
			return err
		}
		if err := s.handle(p); err != nil {
			return err
		}
	}
}

// handle handles one PDU from the node. An error ends the session.
func (s *session) handle(p *iscsi.PDU) error {
	t := s.applyNumbers(p)
	switch p.Op() {
	case iscsi.DataIn:
		return s.receiveData(t, p)
	case iscsi.SCSIResponse:
		s.finish(p.Get(iscsi.InitiatorTaskTag), scsiStatus(p), completedAtTarget(p))
	case iscsi.R2T:
		return s.sendData(t, p)
	case iscsi.Reject:
		if len(p.Data) >= iscsi.HeaderSize { // the rejected PDU's header; its command may have run nevertheless
			rejectedTag := binary.BigEndian.Uint32(p.Data[iscsi.InitiatorTaskTag:])
			s.finish(rejectedTag, 0, false)
		}
	case iscsi.NopIn:
		if p.Get(iscsi.TargetTransferTag) != iscsi.NoTag {
			reply := iscsi.NewPDU(iscsi.NopOut, iscsi.Final).SetImmediate().Set(iscsi.InitiatorTaskTag, iscsi.NoTag)
			return s.sendImmediate(reply.Set(iscsi.TargetTransferTag, p.Get(iscsi.TargetTransferTag)))
		}
	case iscsi.AsyncMessage: // whatever its event, the session is about to end; outstanding commands may still complete
		s.stopStarting()
		s.initiator.removeSession(s)
	case iscsi.TaskResponse:
		s.receiveTaskResponse(p)
	case iscsi.LogoutResponse:
	default:
		return fmt.Errorf("node %q: %w: %v", s.node, errUnexpectedPDU, p.Op())
	}
	return nil
}

// applyNumbers updates the session's sequence numbers from a PDU and returns the task that the PDU belongs to, or nil
// if the task has ended or there is none.
func (s *session) applyNumbers(p *iscsi.PDU) *task {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = time.Now()
	if maxCmdSN := p.Get(iscsi.MaxCmdSN); iscsi.SerialAfter(maxCmdSN, s.maxCmdSN) {
		s.maxCmdSN = maxCmdSN
	}
	hasStatSN := p.Op() != iscsi.R2T && (p.Op() != iscsi.DataIn || p.Has(iscsi.HasStatus))
	if hasStatSN {
		s.statSN = p.Get(iscsi.StatSN) + 1
	}
	return s.tasks[p.Get(iscsi.InitiatorTaskTag)]
}

// receiveData appends the data of a Data-In PDU to the read that it belongs to.
func (s *session) receiveData(t *task, p *iscsi.PDU) error {
	if t == nil {
		return nil
	}
	if int(p.Get(iscsi.BufferOffset)) != len(t.data) || len(t.data)+len(p.Data) > t.command.Length() {
		return fmt.Errorf("node %q: %w: %d bytes at offset %d, after %d of %d bytes", s.node, errDataOrder,
			len(p.Data), p.Get(iscsi.BufferOffset), len(t.data), t.command.Length())
	}
	t.data = append(t.data, p.Data...)
	if p.Has(iscsi.HasStatus) {
		s.finish(p.Get(iscsi.InitiatorTaskTag), scsiStatus(p), true)
	}
	return nil
}

// finish removes a task and reports how it ended. The status is valid only if the command was completed at the target.
func (s *session) finish(tag uint32, status iscsi.Status, completed bool) {
	t := s.remove(tag)
	if t == nil {
		return
	}
	report := failure(scheduler.Errored)
	switch {
	case !completed:
	case status == iscsi.Good && (t.command.Write || len(t.data) == t.command.Length()):
		report.Result = scheduler.Served
		report.Reply = &iscsi.Reply{Data: t.data}
	case status == iscsi.Busy || status == iscsi.TaskSetFull: // the command has not run
		report.Result = scheduler.Overloaded
	}
	t.done <- report
}

// scsiStatus returns the SCSI status in a SCSI Response, or in a Data-In PDU that carries one.
func scsiStatus(p *iscsi.PDU) iscsi.Status { return iscsi.Status(p.Header[3]) }

// completedAtTarget reports whether the response code of a SCSI Response is "command completed at target".
func completedAtTarget(p *iscsi.PDU) bool { return p.Header[2] == 0 }
