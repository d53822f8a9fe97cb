package iscsiinitiator

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"reachpulley/internal/dialer"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/gracefulclose"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

const (
	writeTimeout = time.Second // for the write of one PDU; the session with a slower node ends
	loginTimeout = time.Second // for the login on an open connection
	// If a node has sent nothing for responseTimeout after a command, aborting the command ends the session.
	responseTimeout = time.Second
)

// session is an iSCSI session with a node, on one connection. The goroutine of its run method owns the connection,
// reads from it and closes it.
type session struct {
	initiator *Initiator
	node      string
	address   string
	opened    chan struct{} // closed once the login has succeeded or failed
	openErr   error         // valid after opened is closed; nil: the login succeeded

	conn    net.Conn
	reader  *bufio.Reader
	params  iscsi.Params
	writeMu sync.Mutex // held while a command is numbered and written, so that commands are sent in order

	mu           sync.Mutex
	cmdSN        uint32                 // the number of the next command
	maxCmdSN     uint32                 // the last command number that the node accepts
	statSN       uint32                 // the status number that is expected next from the node
	tasks        map[uint32]*task       // by tag
	aborts       map[uint32]chan<- bool // outstanding requests to abort a task, by their own tag; see requestAbort
	lastTag      uint32                 // the task tag that was assigned last
	lastReceived time.Time              // when the node last sent a PDU
	idleSince    time.Time              // when the last outstanding command or the login ended
	ending       bool                   // no command may start any more
}

// task is an outstanding command. The goroutine that removes it from the session's table sends the report to done, or
// returns the report itself after an abort.
type task struct {
	command  *iscsi.Command
	sentAt   time.Time
	written  bool // false once the write of its PDU has failed; otherwise the command may have run
	canceled bool // its attempt is over, and abort waits until the node does not run it any more
	data     []byte
	done     chan eventloop.Report // has room for one report
}

func newSession(initiator *Initiator, node, address string) *session {
	return &session{
		initiator: initiator,
		node:      node,
		address:   address,
		opened:    make(chan struct{}),
		params:    iscsi.DefaultParams(),
		tasks:     map[uint32]*task{},
		aborts:    map[uint32]chan<- bool{},
	}
}

// run opens the session, receives from the node until the connection ends, and fails the tasks that are left.
func (s *session) run() {
	err := s.open()
	if err != nil {
		s.openErr = err
		s.stopStarting()
	}
	close(s.opened)
	if err == nil {
		err = s.receive()
	}
	s.stopStarting()
	if s.conn != nil {
		s.conn.Close()
	}
	s.initiator.removeSession(s)
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

// failTasks reports all outstanding tasks as failed after the connection has ended.
func (s *session) failTasks(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		result := scheduler.ConnectionReset
		if !t.written {
			result = scheduler.ConnectFailed
		}
		if errors.Is(cause, dialer.ErrNoResources) {
			result = scheduler.NotSent
		}
		t.done <- failure(result) // does not block: the channel has room for the only report
	}
	if len(s.tasks) > 0 {
		s.initiator.log.Info("iSCSI session lost", "node", s.node, "commands", len(s.tasks), "err", cause)
	}
	s.tasks = nil
}

// closeConn closes the connection, whereupon run ends and fails the outstanding tasks.
func (s *session) closeConn() { gracefulclose.Abandon(s.conn) }

// endConn ends sending and lets run go on until the node has ended its side too, or for closeTimeout at the latest. The
// node then knows that canceled commands are given up before it receives another attempt over another connection.
func (s *session) endConn() {
	if !gracefulclose.EndSending(s.conn) {
		s.closeConn()
		return
	}
	s.conn.SetReadDeadline(time.Now().Add(closeTimeout))
}

// stopStarting makes the session start no further command. Outstanding ones may still complete.
func (s *session) stopStarting() {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
}

// endIfIdle reports whether no command has been outstanding for idleTimeout. If so, no further command may start.
func (s *session) endIfIdle(idleTimeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := len(s.tasks) == 0 && time.Since(s.idleSince) >= idleTimeout
	s.ending = s.ending || idle
	return idle
}

// remove removes a task from the table and returns it, or nil if it has ended already. It closes the connection of an
// ending session that has no use any more.
func (s *session) remove(tag uint32) *task {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tasks[tag]
	delete(s.tasks, tag)
	if len(s.tasks) == 0 {
		s.idleSince = time.Now()
	}
	s.closeIfUnusedLocked()
	return t
}
