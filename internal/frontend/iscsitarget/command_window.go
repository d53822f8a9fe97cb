package iscsitarget

import "reachpulley/internal/proto/iscsi"

// acceptCmdSN checks the CmdSN of a request and reports whether the request must be handled now: it is the next in
// order, or immediate. Requests outside the command window and duplicates are ignored (section 4.2.2.1). A gap is an
// error, since the missing request cannot arrive any more: the session has only one connection.
func (s *session) acceptCmdSN(p *iscsi.PDU) (inOrder bool, err error) {
	if p.Immediate() {
		return true, nil
	}
	s.mu.Lock()
	cmdSN, expected, highest := p.Get(iscsi.CmdSN), s.expCmdSN, s.maxCmdSN
	inOrder = cmdSN == expected && !iscsi.SerialAfter(cmdSN, highest)
	if inOrder {
		s.expCmdSN++
	}
	s.mu.Unlock()
	if inOrder || iscsi.SerialAfter(cmdSN, highest) || iscsi.SerialAfter(expected, cmdSN) {
		return inOrder, nil
	}
	s.reject(p, iscsi.ProtocolError)
	return false, protocolError("gap in the order of commands")
}

// setSequenceNumbers sets the sequence numbers of a PDU from the target.
func (s *session) setSequenceNumbers(p *iscsi.PDU, hasStatus bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openWindowLocked()
	if p.Op() != iscsi.DataIn || hasStatus {
		p.Set(iscsi.StatSN, s.statSN)
	}
	if hasStatus {
		s.statSN++
	}
	p.Set(iscsi.ExpCmdSN, s.expCmdSN)
	p.Set(iscsi.MaxCmdSN, s.maxCmdSN)
}

// openWindowLocked opens the command window for as many commands as the session has capacity for. MaxCmdSN never
// decreases, since clients would ignore that.
//
// It runs when a PDU with the window is sent and not when a command is accepted: an accepted command is added to tasks
// only later, so its capacity would be offered twice.
func (s *session) openWindowLocked() {
	depth := s.target.options.MaxTasks
	capacity := depth - min(depth, len(s.tasks))
	maxCmdSN := s.expCmdSN + uint32(capacity) - 1
	if iscsi.SerialAfter(maxCmdSN, s.maxCmdSN) {
		s.maxCmdSN = maxCmdSN
	}
}
