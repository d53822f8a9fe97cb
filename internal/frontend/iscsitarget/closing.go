package iscsitarget

import (
	"errors"
	"os"
	"time"

	"reachpulley/internal/gracefulclose"
	"reachpulley/internal/proto/iscsi"
)

// protocolError is a violation of the protocol that ends the session. Its text is the reason in the session-closed
// event.
type protocolError string

// Error returns the reason in the session-closed event.
func (e protocolError) Error() string { return string(e) }

// isInputError reports whether a session ends because its input is not read any further, although its client has not
// left: the client violated the protocol, or endServing was called.
func isInputError(err error) bool {
	var violation protocolError
	return errors.As(err, &violation) ||
		errors.Is(err, iscsi.ErrTooLong) ||
		errors.Is(err, iscsi.ErrAHS) ||
		errors.Is(err, os.ErrDeadlineExceeded)
}

// answerTasks drops input until all tasks with complete data are answered, or until the client closes the connection.
// The tasks may have run, so their client has to learn how they ended. Each ends by its deadline.
func (s *session) answerTasks() {
	s.dropIncompleteTasks()
	s.mu.Lock()
	s.answering = true
	s.conn.SetReadDeadline(time.Time{})
	s.mu.Unlock()
	s.goroutines.Go(func() {
		s.executing.Wait()
		gracefulclose.EndReads(s.conn)
	})
	gracefulclose.Discard(s.conn)
}

// dropIncompleteTasks ends the tasks whose data has not arrived. Nothing has run for them.
func (s *session) dropIncompleteTasks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		if t.isIncomplete() {
			s.removeTaskLocked(t)
		}
	}
}

// extendWrite reports whether a write goes on that has timed out: while tasks are outstanding, the client may still
// read their responses. It takes no more requests in that case, so that these do not extend the write once more.
func (s *session) extendWrite() bool {
	if !s.hasTasks() || s.ctx.Err() != nil {
		return false
	}
	s.endServing()
	return true
}
