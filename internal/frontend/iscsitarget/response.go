package iscsitarget

import (
	"fmt"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/iscsi"
)

// timeoutMargin is the time before a command's deadline in which a failure counts as a timeout already, since the
// scheduler ends unanswered requests some milliseconds before their deadline.
const timeoutMargin = 10 * time.Millisecond

// finish sends the response of a task, unless the task has been taken before.
func (s *session) finish(t *task, answer exchange.Answer) {
	var data []byte
	if answer.Verdict == exchange.Served && !t.command.Write {
		var err error
		data, err = s.readData(t, answer.Reply)
		if err != nil {
			s.target.options.Log.Error("cannot use reply of node to iSCSI command", "lun", t.lun, "err", err)
			answer.Verdict = exchange.Failed
		}
	}
	s.mu.Lock()
	onlyTask := len(s.tasks) == 1
	s.mu.Unlock()
	if !s.takeTask(t) {
		return
	}
	status := statusOf(answer.Verdict, onlyTask)
	s.target.logEvent(s.commandEvent(t, answer.Verdict, status))
	switch {
	case status == iscsi.CheckCondition && !time.Now().Before(t.deadline.Add(-timeoutMargin)):
		s.send(s.checkCondition(t, iscsi.TimedOut), true)
	case status == iscsi.CheckCondition:
		s.send(s.checkCondition(t, iscsi.TargetFailure), true)
	case status == iscsi.Good && !t.command.Write:
		s.sendDataIn(t.tag, t.lun, data, t.expectedLength)
	default:
		s.send(s.response(t, status, 0), true)
	}
}

// readData returns the data of a READ from a node's reply.
func (s *session) readData(t *task, reply any) ([]byte, error) {
	data, err := s.target.options.Translator.Data(reply)
	if err == nil && len(data) != t.command.Length() {
		err = fmt.Errorf("reply has %d bytes of data, want %d", len(data), t.command.Length())
	}
	return data, err
}

// statusOf returns the SCSI status for a verdict. TaskSetFull tells a client with further outstanding commands to wait
// until one of them has ended before it retries the rejected one.
func statusOf(verdict exchange.Verdict, onlyTask bool) iscsi.Status {
	switch {
	case verdict == exchange.Rejected && onlyTask:
		return iscsi.Busy
	case verdict == exchange.Rejected:
		return iscsi.TaskSetFull
	case verdict == exchange.Failed:
		return iscsi.CheckCondition
	}
	return iscsi.Good
}

// statusOffset is the offset of the SCSI status in a SCSI Response (section 11.4).
const statusOffset = 3

// response returns the SCSI Response of a task that has transferred a number of bytes. The number is ignored for a
// successful write, which has transferred all of its data.
func (s *session) response(t *task, status iscsi.Status, transferred int) *iscsi.PDU {
	if t.command.Write && status == iscsi.Good {
		transferred = t.command.Length()
	}
	p := iscsi.NewPDU(iscsi.SCSIResponse, iscsi.Final).Set(iscsi.InitiatorTaskTag, t.tag)
	p.Header[statusOffset] = byte(status)
	if missing := t.expectedLength - transferred; missing > 0 {
		p.Header[1] |= iscsi.Underflow
		p.Set(iscsi.Residual, uint32(missing))
	}
	return p
}

// checkCondition returns the SCSI Response of a task that has failed, with sense data that states the reason.
func (s *session) checkCondition(t *task, sense iscsi.Sense) *iscsi.PDU {
	p := s.response(t, iscsi.CheckCondition, 0)
	p.Data = sense.Bytes()
	return p
}

// failCommand answers a command that does not become a task.
func (s *session) failCommand(p *iscsi.PDU, sense iscsi.Sense) error {
	t := &task{tag: p.Get(iscsi.InitiatorTaskTag), expectedLength: int(p.Get(iscsi.ExpectedLength))}
	return s.send(s.checkCondition(t, sense), true)
}
