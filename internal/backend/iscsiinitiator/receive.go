package iscsiinitiator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

// Protocol errors of a node. Any of them ends the session.
var (
	errUnexpectedPDU = errors.New("unexpected PDU")
	errDataOrder     = errors.New("data out of order or beyond the command's length")
	errDataRequest   = errors.New("request for data that the command does not have")
)

// receive handles the node's PDUs until the connection or the session ends.
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

// handle handles one PDU of the node. An error ends the session.
func (s *session) handle(p *iscsi.PDU) error {
	t := s.track(p)
	switch p.Op() {
	case iscsi.DataIn:
		return s.receiveData(t, p)
	case iscsi.SCSIResponse:
		s.finish(p.Get(iscsi.TaskTag), scsiStatus(p), completedAtTarget(p))
	case iscsi.R2T:
		return s.sendData(t, p)
	case iscsi.Reject:
		if len(p.Data) >= iscsi.HeaderSize { // holds the rejected PDU's header; the command may have run all the same
			rejectedTag := binary.BigEndian.Uint32(p.Data[iscsi.TaskTag:])
			s.finish(rejectedTag, 0, false)
		}
	case iscsi.NopIn:
		if p.Get(iscsi.TransferTag) != iscsi.NoTag {
			pong := iscsi.New(iscsi.NopOut, iscsi.Final).SetImmediate().Set(iscsi.TaskTag, iscsi.NoTag)
			return s.sendImmediate(pong.Set(iscsi.TransferTag, p.Get(iscsi.TransferTag)))
		}
	case iscsi.AsyncMessage: // whatever its event, the session is about to end; outstanding commands may still complete
		s.beginEnd()
		s.initiator.forget(s)
	case iscsi.TaskResponse, iscsi.LogoutResponse:
	default:
		return fmt.Errorf("node %s: %w: %v", s.node, errUnexpectedPDU, p.Op())
	}
	return nil
}

// track takes over a PDU's numbers and returns the task that it belongs to; nil if that was aborted or there is none.
func (s *session) track(p *iscsi.PDU) *task {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = time.Now()
	if maxCmdSN := p.Get(iscsi.MaxCmdSN); iscsi.After(maxCmdSN, s.maxCmdSN) {
		s.maxCmdSN = maxCmdSN
	}
	hasStatSN := p.Op() != iscsi.R2T && (p.Op() != iscsi.DataIn || p.Has(iscsi.HasStatus))
	if hasStatSN {
		s.statSN = p.Get(iscsi.StatSN) + 1
	}
	return s.tasks[p.Get(iscsi.TaskTag)]
}

// receiveData appends a part of a read's data to its task.
func (s *session) receiveData(t *task, p *iscsi.PDU) error {
	if t == nil {
		return nil // aborted
	}
	if int(p.Get(iscsi.BufferOffset)) != len(t.data) || len(t.data)+len(p.Data) > t.command.Length() {
		return fmt.Errorf("node %s: %w", s.node, errDataOrder)
	}
	t.data = append(t.data, p.Data...)
	if p.Has(iscsi.HasStatus) {
		s.finish(p.Get(iscsi.TaskTag), scsiStatus(p), true)
	}
	return nil
}

// finish reports how a task ended. The status is valid only for a command that was completed at the target.
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
	case status == iscsi.Busy || status == iscsi.TaskSetFull: // the node has not begun
		report.Result = scheduler.Overloaded
	}
	t.done <- report
}

// scsiStatus returns the status of a SCSI Response or of a Data-In PDU that has one.
func scsiStatus(p *iscsi.PDU) iscsi.Status { return iscsi.Status(p.Header[3]) }

// completedAtTarget reports whether a SCSI Response says that the command was completed.
func completedAtTarget(p *iscsi.PDU) bool { return p.Header[2] == 0 }
