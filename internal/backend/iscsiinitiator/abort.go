package iscsiinitiator

import (
	"context"
	"time"

	"reachpulley/internal/eventloop"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

const (
	abortTimeout  = 100 * time.Millisecond // for the node's response to ABORT TASK
	retireTimeout = 250 * time.Millisecond // for the other commands of a session that is retired
	closeTimeout  = 100 * time.Millisecond // for the node to end its side of a connection
)

// Response codes of a Task Management Function Response that mean that the task does not run any more (RFC 7143,
// section 11.6.1), and the offset of the code.
const (
	functionComplete   = 0
	taskDoesNotExist   = 1
	taskResponseOffset = 2
)

// abort ends a task whose attempt is over and returns the attempt's report. It returns only when the node cannot run
// the command any more, as another attempt may follow that must not run beside it: once the node has answered the
// command or confirmed its abortion, or the connection has ended.
//
// If the node does not confirm in time, the session is retired: no further command starts on it, the commands that are
// outstanding on it have retireTimeout to complete, and then its connection is closed.
func (s *session) abort(ctx context.Context, t *task, tag uint32) eventloop.Report {
	confirmed, abortTag := s.requestAbort(t, tag)
	defer s.forgetAbort(abortTag)
	select {
	case report := <-t.done:
		return reportAfterCancel(ctx, report)
	case ended := <-confirmed:
		if ended && s.remove(tag) != nil {
			return failure(eventloop.ResultAfterCancel(ctx, scheduler.Canceled))
		}
	case <-time.After(abortTimeout):
	}
	s.retire()
	select {
	case report := <-t.done:
		return reportAfterCancel(ctx, report)
	case <-time.After(retireTimeout):
	}
	s.endConn()
	return reportAfterCancel(ctx, <-t.done)
}

// reportAfterCancel returns the report on a task that was to be aborted. The end of the connection is a consequence of
// that; an answer of the node counts.
func reportAfterCancel(ctx context.Context, report eventloop.Report) eventloop.Report {
	if report.Result == scheduler.ConnectionReset {
		report.Result = eventloop.ResultAfterCancel(ctx, report.Result)
	}
	return report
}

// requestAbort marks a task as canceled and requests the node to abort it. The channel receives whether the node has
// confirmed that the task does not run any more; the tag is that of the request, or the reserved one if none was sent.
// If the node has sent nothing for responseTimeout since the command, requestAbort closes the connection instead: the
// node may be gone without having closed it.
func (s *session) requestAbort(t *task, tag uint32) (response <-chan bool, abortTag uint32) {
	confirmed := make(chan bool, 1)
	s.mu.Lock()
	t.canceled = true
	silent := !s.lastReceived.After(t.sentAt) && time.Since(t.sentAt) >= responseTimeout
	if silent || s.tasks[tag] != t { // a task that has ended needs no abortion
		s.mu.Unlock()
		if silent {
			s.stopStarting()
			s.closeConn()
		}
		return confirmed, iscsi.NoTag
	}
	abortTag = s.nextTagLocked()
	s.aborts[abortTag] = confirmed
	s.mu.Unlock()
	request := iscsi.NewPDU(iscsi.TaskRequest, iscsi.Final|iscsi.AbortTask).SetImmediate().SetLUN(t.command.LUN)
	request.Set(iscsi.InitiatorTaskTag, abortTag).Set(iscsi.ReferencedTaskTag, tag)
	go s.sendImmediate(request)
	return confirmed, abortTag
}

// forgetAbort removes a request to abort a task whose response nobody waits for any more.
func (s *session) forgetAbort(abortTag uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.aborts, abortTag)
}

// receiveTaskResponse passes the node's response to an ABORT TASK to the goroutine that waits for it.
func (s *session) receiveTaskResponse(p *iscsi.PDU) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tag := p.Get(iscsi.InitiatorTaskTag)
	if confirmed := s.aborts[tag]; confirmed != nil {
		delete(s.aborts, tag)
		code := p.Header[taskResponseOffset]
		confirmed <- code == functionComplete || code == taskDoesNotExist // does not block: the channel has room
	}
}

// retire makes the session start no further command and lets the next one open a new session.
func (s *session) retire() {
	s.initiator.removeSession(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	s.closeIfUnusedLocked()
}

// closeIfUnusedLocked closes the connection of an ending session on which only canceled commands are left.
func (s *session) closeIfUnusedLocked() {
	if !s.ending {
		return
	}
	for _, t := range s.tasks {
		if !t.canceled {
			return
		}
	}
	s.endConn()
}
