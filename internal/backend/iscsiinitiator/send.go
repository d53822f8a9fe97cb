package iscsiinitiator

import (
	"context"
	"fmt"
	"time"

	"reachpulley/internal/proto/iscsi"
)

// start sends a task's command and returns the task's tag. It checks whether the node accepts new work right before the
// write, because a node that has begun to drain must not receive the first byte of a new command.
func (s *session) start(ctx context.Context, t *task) (uint32, error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mu.Lock()
	if err := s.startErrorLocked(ctx); err != nil {
		s.mu.Unlock()
		return 0, err
	}
	tag := s.nextTagLocked()
	request := s.commandLocked(t.command, tag)
	s.cmdSN++
	t.sentAt = time.Now()
	s.tasks[tag] = t
	// The node may receive the whole command, and the session may end, before the write returns.
	t.written = true
	s.mu.Unlock()
	if err := s.write(request); err != nil { // run reports on the task
		s.mu.Lock()
		t.written = false
		s.mu.Unlock()
		s.closeConn()
	}
	return tag, nil
}

// nextTagLocked returns the next task tag. It leaves out the reserved one.
func (s *session) nextTagLocked() uint32 {
	s.lastTag++
	if s.lastTag == iscsi.NoTag {
		s.lastTag = 0
	}
	return s.lastTag
}

// startErrorLocked returns the reason why no command may start now, or nil if one may.
func (s *session) startErrorLocked(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case !s.initiator.directory.Lookup(s.node).Up:
		return fmt.Errorf("node %q: %w", s.node, errNodeUnavailable)
	case s.ending:
		return fmt.Errorf("node %q: %w", s.node, errSessionEnding)
	case iscsi.SerialAfter(s.cmdSN, s.maxCmdSN):
		return fmt.Errorf("node %q: %w", s.node, errWindowFull)
	}
	return nil
}

// commandLocked returns the PDU of a command with the session's next command number. The PDU of a write also carries
// the immediate data that the node accepts.
func (s *session) commandLocked(command *iscsi.Command, tag uint32) *iscsi.PDU {
	request := iscsi.NewPDU(iscsi.SCSICommand, iscsi.Final|iscsi.Read).SetLUN(command.LUN)
	if command.Write {
		request.Header[1] = iscsi.Final | iscsi.Write
		if s.params.ImmediateData {
			request.Data = command.Data[:min(len(command.Data), s.params.MaxSendSegment, s.params.FirstBurst)]
		}
	}
	request.Set(iscsi.InitiatorTaskTag, tag).Set(iscsi.ExpectedLength, uint32(command.Length()))
	request.Set(iscsi.CmdSN, s.cmdSN).Set(iscsi.ExpStatSN, s.statSN)
	*request.CDB() = command.CDB()
	return request
}

// sendImmediate sends a PDU for immediate delivery, which does not use up a command number. An error ends the session.
func (s *session) sendImmediate(p *iscsi.PDU) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mu.Lock()
	p.Set(iscsi.CmdSN, s.cmdSN).Set(iscsi.ExpStatSN, s.statSN)
	s.mu.Unlock()
	err := s.write(p)
	if err != nil {
		s.closeConn()
	}
	return err
}

// sendData sends the data of a write that the node's R2T requests, unless the write is canceled.
func (s *session) sendData(t *task, r2t *iscsi.PDU) error {
	if t == nil {
		return nil
	}
	offset, length := int(r2t.Get(iscsi.BufferOffset)), int(r2t.Get(iscsi.DesiredLength))
	if offset+length > len(t.command.Data) || length == 0 {
		return fmt.Errorf("node %q: %w: %d bytes at offset %d of %d bytes", s.node, errDataRequest,
			length, offset, len(t.command.Data))
	}
	end := offset + length
	for dataSN := uint32(0); offset < end; dataSN++ {
		next := min(end, offset+s.params.MaxSendSegment)
		p := iscsi.NewPDU(iscsi.DataOut, 0).SetLUN(t.command.LUN).
			Set(iscsi.InitiatorTaskTag, r2t.Get(iscsi.InitiatorTaskTag))
		p.Set(iscsi.TargetTransferTag, r2t.Get(iscsi.TargetTransferTag)).Set(iscsi.BufferOffset, uint32(offset))
		if next == end {
			p.Header[1] = iscsi.Final
		}
		p.Data = t.command.Data[offset:next]
		s.mu.Lock()
		p.Set(iscsi.ExpStatSN, s.statSN).Set(iscsi.DataSN, dataSN)
		canceled := t.canceled
		s.mu.Unlock()
		if canceled {
			return nil
		}
		s.writeMu.Lock()
		err := s.write(p)
		s.writeMu.Unlock()
		if err != nil {
			return err
		}
		offset = next
	}
	return nil
}

// write writes a PDU. The caller holds writeMu and must end the session on an error, as part of the PDU may have been
// sent.
func (s *session) write(p *iscsi.PDU) error {
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.conn.Write(p.Bytes())
	return err
}
