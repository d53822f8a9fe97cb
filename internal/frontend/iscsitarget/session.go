package iscsitarget

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
)

// session is one session of one connection. Its reading goroutine owns the connection and closes it in run;
// every READ and WRITE has a goroutine of its own, which ends with the session at the latest.
type session struct {
	target  *Target
	conn    net.Conn
	r       *bufio.Reader
	params  iscsi.Params
	isid    [6]byte
	tsih    uint16 // 0 until the login is done; set under the target's lock
	refused bool   // there are too many sessions
	ctx     context.Context
	end     context.CancelFunc
	wait    sync.WaitGroup
	heard   atomic.Int64 // when the client last wrote, on the target's clock
	began   time.Time

	writing sync.Mutex // held while a PDU is numbered and written

	mu       sync.Mutex
	statSN   uint32
	expCmdSN uint32
	maxCmdSN uint32
	tasks    map[uint32]*task // outstanding; whoever takes a task out of it gives its one answer
	lastTTT  uint32
}

func newSession(t *Target, conn net.Conn) *session {
	s := &session{target: t, conn: conn, r: bufio.NewReader(conn), params: iscsi.DefaultParams(),
		tasks: map[uint32]*task{}, began: time.Now()}
	s.ctx, s.end = context.WithCancel(context.Background())
	return s
}

// run serves the session until its client goes, and then lets go of all that it held.
func (s *session) run() {
	unhook := context.AfterFunc(s.ctx, func() { s.conn.Close() })
	err := s.login()
	if err == nil {
		s.target.event(s.opened())
		s.heard.Store(int64(time.Since(s.began)))
		s.wait.Go(s.watch)
		err = s.serve()
	}
	s.end()
	s.wait.Wait()
	unhook()
	s.conn.Close()
	if s.tsih != 0 {
		s.target.event(s.closed(err))
	} else if !errors.Is(err, io.EOF) {
		s.target.Log.Info("iscsi login failed", "from", s.conn.RemoteAddr(), "err", err)
	}
}

// watch pings a silent client, and ends the session of one that does not even answer that: its machine may
// have gone without a word.
func (s *session) watch() {
	tick := time.NewTicker(pingAfter / 2)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		switch silent := time.Since(s.began) - time.Duration(s.heard.Load()); {
		case silent >= 2*pingAfter:
			s.end()
		case silent >= pingAfter:
			ping := iscsi.New(iscsi.NopIn, iscsi.Final).Set(iscsi.TaskTag, iscsi.NoTag)
			s.send(ping.Set(iscsi.TransferTag, s.newTTT()), false)
		}
	}
}

var errLoggedOut = errors.New("logged out")

func (s *session) serve() error {
	for {
		p, err := iscsi.ReadPDU(s.r, httpmsg.MaxRequestBody)
		s.heard.Store(int64(time.Since(s.began)))
		if errors.Is(err, iscsi.ErrTooLong) || errors.Is(err, iscsi.ErrAHS) {
			s.reject(p, iscsi.ProtocolError)
		}
		if err == nil {
			err = s.handle(p)
		}
		if err != nil {
			return err
		}
	}
}

// handle serves one PDU. An error ends the session.
func (s *session) handle(p *iscsi.PDU) error {
	switch p.Op() {
	case iscsi.DataOut:
		return s.dataOut(p)
	case iscsi.NopOut, iscsi.SCSICommand, iscsi.TaskRequest, iscsi.LogoutRequest:
	case iscsi.LoginRequest:
		s.reject(p, iscsi.ProtocolError)
		return errors.New("a second login on the connection")
	default:
		return s.reject(p, iscsi.CommandNotSupported)
	}
	if taken, err := s.inOrder(p); !taken || err != nil {
		return err
	}
	switch p.Op() {
	case iscsi.NopOut:
		if p.Get(iscsi.TaskTag) == iscsi.NoTag { // the answer to a ping
			return nil
		}
		pong := iscsi.New(iscsi.NopIn, iscsi.Final).Set(iscsi.TaskTag, p.Get(iscsi.TaskTag))
		pong.Data = p.Data[:min(len(p.Data), s.params.MostSegment)]
		return s.send(pong.Set(iscsi.TransferTag, iscsi.NoTag), true)
	case iscsi.SCSICommand:
		return s.command(p)
	case iscsi.TaskRequest:
		return s.manage(p)
	}
	s.send(iscsi.New(iscsi.LogoutResponse, iscsi.Final).Set(iscsi.TaskTag, p.Get(iscsi.TaskTag)), true)
	return errLoggedOut
}

// inOrder numbers a request. What lies outside the window, or came before, is dropped in silence, as the RFC
// has it; a gap cannot close on the only connection of its session.
func (s *session) inOrder(p *iscsi.PDU) (taken bool, err error) {
	if p.Immediate() {
		return true, nil
	}
	s.mu.Lock()
	sn, expected, most := p.Get(iscsi.CmdSN), s.expCmdSN, s.maxCmdSN
	if sn == expected && !iscsi.After(sn, most) {
		s.expCmdSN++
		taken = true
	}
	s.mu.Unlock()
	if taken || iscsi.After(sn, most) || iscsi.After(expected, sn) {
		return taken, nil
	}
	s.reject(p, iscsi.ProtocolError)
	return false, errors.New("a gap in the order of commands")
}

// openWindow lets as many commands come as the session has room for. It must not count a command that has been
// numbered and is not yet in the table, so it runs where the window is told, not where a command is numbered.
// MaxCmdSN never falls: clients would not heed it. It is called with mu held.
func (s *session) openWindow() {
	if most := s.expCmdSN + uint32(s.target.Depth-min(s.target.Depth, len(s.tasks))) - 1; iscsi.After(most, s.maxCmdSN) {
		s.maxCmdSN = most
	}
}

// send numbers a PDU and writes it. A PDU with a status takes the next StatSN. A client that does not read
// ends its session.
func (s *session) send(p *iscsi.PDU, status bool) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	s.openWindow()
	if p.Op() != iscsi.DataIn || status {
		p.Set(iscsi.StatSN, s.statSN)
	}
	if status {
		s.statSN++
	}
	p.Set(iscsi.ExpCmdSN, s.expCmdSN).Set(iscsi.MaxCmdSN, s.maxCmdSN)
	s.mu.Unlock()
	s.conn.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := s.conn.Write(p.Bytes())
	if err != nil {
		s.end()
	}
	return err
}

func (s *session) reject(p *iscsi.PDU, reason iscsi.RejectReason) error {
	r := iscsi.New(iscsi.Reject, iscsi.Final).Set(iscsi.TaskTag, iscsi.NoTag)
	r.Header[2] = byte(reason)
	r.Data = p.Header[:]
	return s.send(r, true)
}

func (s *session) newTTT() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastTTT++; s.lastTTT == iscsi.NoTag {
		s.lastTTT = 0
	}
	return s.lastTTT
}

// askLogout asks the client to log out and ends the session once nothing is outstanding and the client has
// had time to do so.
func (s *session) askLogout() {
	ask := iscsi.New(iscsi.AsyncMessage, iscsi.Final).Set(iscsi.TaskTag, iscsi.NoTag)
	ask.Header[36] = 1                           // the target requests a logout
	ask.Header[45] = byte(goodbye / time.Second) // within so many seconds
	s.send(ask, true)
	tick := time.NewTicker(goodbye / 4)
	defer tick.Stop()
	for asked := time.Now(); ; {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		s.mu.Lock()
		idle := len(s.tasks) == 0
		s.mu.Unlock()
		if idle && time.Since(asked) >= goodbye {
			s.end()
			return
		}
	}
}
