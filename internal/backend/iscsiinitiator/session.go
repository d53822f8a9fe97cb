package iscsiinitiator

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"reachpulley/internal/eventloop"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

const (
	writeTime = time.Second // for a PDU to go out; a node that takes none for so long is lost
	loginTime = time.Second // for a login's answers, once the connection is up
	lostTime  = time.Second // a node that has said nothing since is taken for lost when a command is given up
)

// session is the one session with a node. Its reading goroutine owns the connection and closes it in run.
type session struct {
	back    *Initiator
	node    string
	address string
	up      chan struct{} // closed once the login is done, or has failed with err
	err     error

	conn    net.Conn
	r       *bufio.Reader
	params  iscsi.Params
	writing sync.Mutex // held while a command is numbered and written: numbers and bytes go in one order

	mu        sync.Mutex
	cmdSN     uint32
	maxCmdSN  uint32
	statSN    uint32 // the next that is expected
	calls     map[uint32]*call
	lastTag   uint32
	heard     time.Time
	idleSince time.Time
	retired   bool // no command may start on it
}

// call is a command that is out. Whoever takes it out of the session's table reports on it.
type call struct {
	command *iscsi.Command
	sent    time.Time
	written bool // its PDU has not failed to go out whole: it may run
	data    []byte
	done    chan eventloop.Report // has room for the one report
}

func newSession(b *Initiator, node, address string) *session {
	return &session{back: b, node: node, address: address, up: make(chan struct{}), params: iscsi.DefaultParams(),
		calls: map[uint32]*call{}}
}

// run opens the session, reads what the node says until it ends, and fails what is then still out.
func (s *session) run() {
	err := s.open()
	if err != nil {
		s.err = err
		s.retire()
	}
	close(s.up)
	for err == nil {
		var p *iscsi.PDU
		if p, err = iscsi.ReadPDU(s.r, httpmsg.MaxRequestBody); err == nil {
			err = s.handle(p)
		}
	}
	s.retire()
	if s.conn != nil {
		s.conn.Close()
	}
	s.back.drop(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		result := scheduler.ConnectionReset
		if !c.written {
			result = scheduler.ConnectFailed
		}
		c.done <- eventloop.Report{Result: result, VolumeUse: -1} // it has room
	}
	if len(s.calls) > 0 {
		s.back.log.Info("iscsi session lost", "node", s.node, "out", len(s.calls), "err", err)
	}
	s.calls = nil
}

// hangUp breaks the connection, which ends run: there it is given back, and what is out is reported on.
func (s *session) hangUp() { s.conn.Close() }

// retire keeps new commands away.
func (s *session) retire() {
	s.mu.Lock()
	s.retired = true
	s.mu.Unlock()
}

// open dials and logs in.
func (s *session) open() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.back.within)
	defer cancel()
	conn, err := s.back.dial(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	s.conn, s.r = conn, bufio.NewReader(conn)
	conn.SetDeadline(time.Now().Add(loginTime))
	defer conn.SetDeadline(time.Time{})
	ask := iscsi.New(iscsi.LoginRequest, iscsi.Transit|iscsi.OperationalStage<<2|iscsi.FullFeature).SetImmediate()
	ask.Header[8] = 0x80 // ISID: of a random kind
	binary.BigEndian.PutUint32(ask.Header[9:], s.back.isid)
	ask.Set(iscsi.CmdSN, 1)
	ask.Data = iscsi.FormatText([]iscsi.Pair{
		{Key: "InitiatorName", Value: s.back.initiator}, {Key: "TargetName", Value: s.back.target},
		{Key: "SessionType", Value: "Normal"}, {Key: "HeaderDigest", Value: "None"}, {Key: "DataDigest", Value: "None"},
		{Key: "InitialR2T", Value: "Yes"}, {Key: "ImmediateData", Value: "Yes"},
		{Key: "MaxRecvDataSegmentLength", Value: strconv.Itoa(httpmsg.MaxRequestBody)},
		{Key: "FirstBurstLength", Value: strconv.Itoa(httpmsg.MaxRequestBody)}, {Key: "ErrorRecoveryLevel", Value: "0"}})
	if _, err := conn.Write(ask.Bytes()); err != nil {
		return err
	}
	p, err := iscsi.ReadPDU(s.r, httpmsg.MaxRequestBody)
	if err != nil {
		return err
	}
	if status := binary.BigEndian.Uint16(p.Header[36:]); p.Op() != iscsi.LoginResponse || status != 0 ||
		p.Flags()&(iscsi.Transit|iscsi.FullFeature) != iscsi.Transit|iscsi.FullFeature {
		return fmt.Errorf("login at node %s: %v, status %#04x", s.node, p.Op(), status)
	}
	pairs, err := iscsi.ParseText(p.Data)
	if err != nil {
		return err
	}
	if _, err := s.params.Negotiate(pairs); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cmdSN, s.maxCmdSN, s.statSN = p.Get(iscsi.ExpCmdSN), p.Get(iscsi.MaxCmdSN), p.Get(iscsi.StatSN)+1
	s.heard, s.idleSince = time.Now(), time.Now()
	return nil
}

// Faults of a command that never went out.
var (
	errRetired = errors.New("the session has ended")
	errWindow  = errors.New("the node takes no more commands")
	errDrains  = errors.New("the node takes no new work")
)

// start sends a command. The node's phase is looked at last of all, with nothing left to wait for but the
// write itself: a send counts from its first byte.
func (s *session) start(ctx context.Context, c *call) (tag uint32, err error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	switch {
	case ctx.Err() != nil:
		err = ctx.Err()
	case !s.back.directory.Lookup(s.node).Up:
		err = errDrains
	case s.retired:
		err = errRetired
	case iscsi.After(s.cmdSN, s.maxCmdSN):
		err = errWindow
	}
	if err != nil {
		s.mu.Unlock()
		return 0, err
	}
	if s.lastTag++; s.lastTag == iscsi.NoTag {
		s.lastTag = 0
	}
	tag = s.lastTag
	p := iscsi.New(iscsi.SCSICommand, iscsi.Final|iscsi.Read).SetLUN(c.command.LUN)
	if c.command.Write {
		p.Header[1] = iscsi.Final | iscsi.Write
		if s.params.ImmediateData {
			p.Data = c.command.Data[:min(len(c.command.Data), s.params.MostSegment, s.params.FirstBurst)]
		}
	}
	p.Set(iscsi.TaskTag, tag).Set(iscsi.ExpectedLength, uint32(c.command.Length()))
	p.Set(iscsi.CmdSN, s.cmdSN).Set(iscsi.ExpStatSN, s.statSN)
	*p.CDB() = c.command.CDB()
	s.cmdSN++
	c.sent = time.Now()
	s.calls[tag] = c
	// The node may have the whole command, and the session may end, before the write returns.
	c.written = true
	s.mu.Unlock()
	if err := s.write(p); err != nil { // run reports on all that is out
		s.mu.Lock()
		c.written = false
		s.mu.Unlock()
		s.hangUp()
	}
	return tag, nil
}

// write puts a PDU on the wire; its failure must end the session.
func (s *session) write(p *iscsi.PDU) error {
	s.conn.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := s.conn.Write(p.Bytes())
	return err
}

// send writes a PDU that takes no number.
func (s *session) send(p *iscsi.PDU) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	p.Set(iscsi.CmdSN, s.cmdSN).Set(iscsi.ExpStatSN, s.statSN)
	s.mu.Unlock()
	err := s.write(p)
	if err != nil {
		s.hangUp()
	}
	return err
}

// take removes a call from the table; nil where it has ended.
func (s *session) take(tag uint32) *call {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls[tag]
	delete(s.calls, tag)
	if len(s.calls) == 0 {
		s.idleSince = time.Now()
		if s.retired {
			s.hangUp()
		}
	}
	return c
}

// abort gives up a call: the node is told, and what it may still say is not heard. It tells whether the call was still out.
func (s *session) abort(tag uint32) bool {
	c := s.take(tag)
	if c == nil {
		return false
	}
	s.mu.Lock()
	silent := !s.heard.After(c.sent) && time.Since(c.sent) >= lostTime
	s.lastTag++
	own := s.lastTag
	s.mu.Unlock()
	if silent { // its machine may have gone without a word: the next command gets a new connection
		s.retire()
		s.hangUp()
		return true
	}
	go s.send(iscsi.New(iscsi.TaskRequest, iscsi.Final|iscsi.AbortTask).SetImmediate().SetLUN(c.command.LUN).
		Set(iscsi.TaskTag, own).Set(iscsi.RefTag, tag))
	return true
}

// handle takes a PDU of the node. An error ends the session.
func (s *session) handle(p *iscsi.PDU) error {
	s.mu.Lock()
	s.heard = time.Now()
	if most := p.Get(iscsi.MaxCmdSN); iscsi.After(most, s.maxCmdSN) {
		s.maxCmdSN = most
	}
	if numbered := p.Op() != iscsi.R2T && (p.Op() != iscsi.DataIn || p.Has(iscsi.HasStatus)); numbered {
		s.statSN = p.Get(iscsi.StatSN) + 1
	}
	c := s.calls[p.Get(iscsi.TaskTag)]
	s.mu.Unlock()
	switch p.Op() {
	case iscsi.DataIn:
		return s.dataIn(c, p)
	case iscsi.SCSIResponse:
		s.finish(p, iscsi.Status(p.Header[3]), p.Header[2] == 0)
	case iscsi.R2T:
		return s.dataOut(c, p)
	case iscsi.Reject:
		if len(p.Data) >= iscsi.HeaderSize { // of a command of ours: that it never ran is not said
			s.finish((&iscsi.PDU{}).Set(iscsi.TaskTag, binary.BigEndian.Uint32(p.Data[iscsi.TaskTag:])), 0, false)
		}
	case iscsi.NopIn:
		if p.Get(iscsi.TransferTag) != iscsi.NoTag {
			pong := iscsi.New(iscsi.NopOut, iscsi.Final).SetImmediate().Set(iscsi.TaskTag, iscsi.NoTag)
			return s.send(pong.Set(iscsi.TransferTag, p.Get(iscsi.TransferTag)))
		}
	case iscsi.AsyncMessage: // of whatever kind: the session is to end, and what is out may still be answered
		s.retire()
		s.back.drop(s)
	case iscsi.TaskResponse, iscsi.LogoutResponse:
	default:
		return fmt.Errorf("node %s sent %v", s.node, p.Op())
	}
	return nil
}

// dataIn takes a piece of what a read brings.
func (s *session) dataIn(c *call, p *iscsi.PDU) error {
	if c == nil {
		return nil // given up
	}
	if int(p.Get(iscsi.BufferOffset)) != len(c.data) || len(c.data)+len(p.Data) > c.command.Length() {
		return fmt.Errorf("node %s sent data out of place", s.node)
	}
	c.data = append(c.data, p.Data...)
	if p.Has(iscsi.HasStatus) {
		s.finish(p, iscsi.Status(p.Header[3]), true)
	}
	return nil
}

// dataOut sends what the node asks for.
func (s *session) dataOut(c *call, p *iscsi.PDU) error {
	if c == nil {
		return nil
	}
	from, length := int(p.Get(iscsi.BufferOffset)), int(p.Get(iscsi.DesiredLength))
	if from+length > len(c.command.Data) || length == 0 {
		return fmt.Errorf("node %s asks for data that is not there", s.node)
	}
	for sn, end := uint32(0), from+length; from < end; sn++ {
		to := min(end, from+s.params.MostSegment)
		d := iscsi.New(iscsi.DataOut, 0).SetLUN(c.command.LUN).Set(iscsi.TaskTag, p.Get(iscsi.TaskTag))
		d.Set(iscsi.TransferTag, p.Get(iscsi.TransferTag)).Set(iscsi.BufferOffset, uint32(from))
		if to == end {
			d.Header[1] = iscsi.Final
		}
		d.Data = c.command.Data[from:to]
		s.mu.Lock()
		d.Set(iscsi.ExpStatSN, s.statSN).Set(iscsi.DataSN, sn)
		s.mu.Unlock()
		s.writing.Lock()
		err := s.write(d)
		s.writing.Unlock()
		if err != nil {
			return err
		}
		from = to
	}
	return nil
}

// finish reports how a call ended; whole is false where the node could not even say.
func (s *session) finish(p *iscsi.PDU, status iscsi.Status, whole bool) {
	c := s.take(p.Get(iscsi.TaskTag))
	if c == nil {
		return
	}
	r := eventloop.Report{Result: scheduler.Errored, VolumeUse: -1}
	switch {
	case !whole:
	case status == iscsi.Good && (c.command.Write || len(c.data) == c.command.Length()):
		r.Result, r.Reply = scheduler.Served, &iscsi.Reply{Data: c.data}
	case status == iscsi.Busy || status == iscsi.TaskSetFull: // the node says that it has not begun
		r.Result = scheduler.Overloaded
	}
	c.done <- r
}
