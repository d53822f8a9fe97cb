package iscsitarget

import (
	"context"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/intake"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

// task is an outstanding READ or WRITE.
type task struct {
	tag            uint32 // Initiator Task Tag
	lun            uint16
	unit           *Unit
	command        iscsi.Command
	expectedLength int // bytes that the initiator expects to transfer
	arrival        time.Time
	deadline       time.Time
	ctx            context.Context // ends with the task
	cancel         context.CancelFunc
	reserved       int           // bytes of memory; the session's lock guards it
	received       int           // bytes of a write's data; the session's lock guards it
	dataComplete   chan struct{} // closed once all data of a write has arrived; for a read, at the start

	// The current R2T of a write. Only the session's reading goroutine uses these fields.

	transferTag uint32
	dataSN      uint32 // DataSN of the next Data-Out
	burstEnd    int    // offset at which the requested data ends; 0: no R2T is outstanding
}

// addTask adds a task to the table. It fails if the tag is in use or the table is full. Only an immediate command can
// find the table full, since the command window limits the others.
func (s *session) addTask(t *task) (reason iscsi.RejectReason, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.tag] != nil {
		return iscsi.TaskInProgress, false
	}
	if len(s.tasks) >= s.target.options.MaxTasks {
		return iscsi.TooManyImmediate, false
	}
	t.ctx, t.cancel = context.WithCancel(s.ctx)
	s.tasks[t.tag] = t
	return 0, true
}

// takeTask removes a task from the table and ends it, so that only the caller answers it. It returns false if the task
// has been taken before; the caller must then not answer it.
func (s *session) takeTask(t *task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.tag] != t {
		return false
	}
	s.removeTaskLocked(t)
	return true
}

// removeTaskLocked removes a task from the table and ends it.
func (s *session) removeTaskLocked(t *task) {
	delete(s.tasks, t.tag)
	s.memory.Release(t.reserved)
	t.reserved = 0
	s.noteArrivingLocked()
	t.cancel()
}

// isIncomplete reports whether data of a write is still missing.
func (t *task) isIncomplete() bool {
	select {
	case <-t.dataComplete:
		return false
	default:
		return true
	}
}

// noteReceivedData records that data of a write has arrived.
func (s *session) noteReceivedData(t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.received = len(t.command.Data)
	s.noteArrivingLocked()
}

// noteArrivingLocked tells the account since when the oldest incomplete write has been arriving, and how much data of
// the incomplete ones has arrived.
func (s *session) noteArrivingLocked() {
	var oldest *task
	received := 0
	for _, t := range s.tasks {
		if !t.isIncomplete() {
			continue
		}
		received += t.received
		if oldest == nil || t.arrival.Before(oldest.arrival) {
			oldest = t
		}
	}
	if oldest == nil {
		s.memory.Complete()
		return
	}
	s.memory.Arriving(oldest.arrival, received)
}

// evictIncomplete rejects the writes whose data is still arriving, as they have to make room for others. Nothing has run
// for them.
func (s *session) evictIncomplete() {
	s.mu.Lock()
	var incomplete []*task
	for _, t := range s.tasks {
		if t.isIncomplete() {
			incomplete = append(incomplete, t)
		}
	}
	s.mu.Unlock()
	for _, t := range incomplete {
		s.finish(t, exchange.Answer{Verdict: exchange.Rejected})
	}
}

// hasTasks reports whether a task is outstanding.
func (s *session) hasTasks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tasks) > 0
}

// execute waits for the data of a task, passes the task to the event loop and answers it, unless the task is aborted or
// the session ends.
func (s *session) execute(t *task, request scheduler.Request) {
	timeout := time.NewTimer(time.Until(t.deadline))
	defer timeout.Stop()
	select {
	case <-t.ctx.Done():
		return
	case <-timeout.C: // the data did not arrive
		s.finish(t, exchange.Answer{Verdict: exchange.Failed})
		return
	case <-t.dataComplete:
	}
	payload, err := s.target.options.Translator.Request(request, &t.command)
	if err != nil {
		s.target.options.Log.Error("cannot translate iSCSI command for node", "lun", t.lun, "err", err)
		s.finish(t, exchange.Answer{Verdict: exchange.Failed})
		return
	}
	x := exchange.New(request, t.deadline, payload)
	x.Present = func() bool { return s.socket.Drained(t.ctx.Done()) }
	s.target.options.Loop.Open(x)
	select {
	case <-x.Done():
		if x.Answer().Verdict == exchange.Served {
			s.pacer.Refund(intake.ReadCost)
		} else {
			s.pacer.Spend(intake.RejectCost)
		}
		s.finish(t, x.Answer())
	case <-t.ctx.Done():
		x.Disconnect()
	}
}

// taskResponseOffset is the offset of the response in a Task Management Function Response (section 11.6).
const taskResponseOffset = 2

// handleTaskManagement answers a request for a task management function. It supports only ABORT TASK: it takes the
// task, so that no response to the task is sent.
func (s *session) handleTaskManagement(p *iscsi.PDU) error {
	result := byte(iscsi.TaskFunctionNotSupported)
	if p.Flags()&^iscsi.Final == iscsi.AbortTask {
		s.mu.Lock()
		t := s.tasks[p.Get(iscsi.ReferencedTaskTag)]
		s.mu.Unlock()
		result = iscsi.TaskDoesNotExist
		if t != nil && t.lun == p.LUN() && s.takeTask(t) {
			result = iscsi.TaskFunctionComplete
		}
	}
	r := iscsi.NewPDU(iscsi.TaskResponse, iscsi.Final).Set(iscsi.InitiatorTaskTag, p.Get(iscsi.InitiatorTaskTag))
	r.Header[taskResponseOffset] = result
	return s.send(r, true)
}
