package iscsiinitiator

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"reachpulley/internal/eventloop"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

const (
	writeTimeout    = time.Second // for one PDU; a node that does not take it by then is lost
	loginTimeout    = time.Second // for the login on an open connection
	responseTimeout = time.Second // after which a node that has sent nothing is lost when a command is aborted
)

// session is the one session with a node. Its run goroutine reads from the connection, owns it and closes it.
type session struct {
	initiator *Initiator
	node      string
	address   string
	opened    chan struct{} // closed after the login, which has failed with openErr or succeeded
	openErr   error

	conn    net.Conn
	reader  *bufio.Reader
	params  iscsi.Params
	writeMu sync.Mutex // held while a command is numbered and written: commands are sent in the order of their numbers

	mu           sync.Mutex
	cmdSN        uint32 // of the next command
	maxCmdSN     uint32 // the last that the node accepts
	statSN       uint32 // expected next from the node
	tasks        map[uint32]*task
	lastTag      uint32
	lastReceived time.Time
	idleSince    time.Time
	ending       bool // no command may start
}

// task is an outstanding command. Whoever removes it from the session's table sends the one report on it to done.
type task struct {
	command *iscsi.Command
	sentAt  time.Time
	written bool // false once the write of its PDU has failed; else the node may have run it
	data    []byte
	done    chan eventloop.Report // holds one
}

func newSession(initiator *Initiator, node, address string) *session {
	return &session{
		initiator: initiator,
		node:      node,
		address:   address,
		opened:    make(chan struct{}),
		params:    iscsi.DefaultParams(),
		tasks:     map[uint32]*task{},
	}
}

// run opens the session, receives from the node until the connection ends, and fails the tasks that are left.
func (s *session) run() {
	err := s.open()
	if err != nil {
		s.openErr = err
		s.beginEnd()
	}
	close(s.opened)
	if err == nil {
		err = s.receive()
	}
	s.beginEnd()
	if s.conn != nil {
		s.conn.Close()
	}
	s.initiator.forget(s)
	s.failTasks(err)
}

// open connects to the node and logs in.
func (s *session) open() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.initiator.connectTimeout)
	defer cancel()
	conn, err := s.initiator.dial(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	s.conn = conn
	s.reader = bufio.NewReader(conn)
	return s.login()
}

// failTasks reports on all tasks after the connection has ended.
func (s *session) failTasks(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		result := scheduler.ConnectionReset
		if !t.written {
			result = scheduler.ConnectFailed
		}
		t.done <- failure(result) // never blocks
	}
	if len(s.tasks) > 0 {
		s.initiator.log.Info("iSCSI session lost", "node", s.node, "commands", len(s.tasks), "err", cause)
	}
	s.tasks = nil
}

// closeConn ends run, which then fails the outstanding tasks.
func (s *session) closeConn() { s.conn.Close() }

// beginEnd lets no further command start.
func (s *session) beginEnd() {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
}

// endIfIdle lets no further command start if none has been outstanding for idleTimeout, and reports whether that is so.
func (s *session) endIfIdle(idleTimeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := len(s.tasks) == 0 && time.Since(s.idleSince) >= idleTimeout
	s.ending = s.ending || idle
	return idle
}

// remove removes a task from the table and returns it, or nil if it has ended already. It closes the connection of an
// ending session after its last task.
func (s *session) remove(tag uint32) *task {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tasks[tag]
	delete(s.tasks, tag)
	if len(s.tasks) == 0 {
		s.idleSince = time.Now()
		if s.ending {
			s.closeConn()
		}
	}
	return t
}
