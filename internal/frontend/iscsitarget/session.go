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

	"reachpulley/internal/gracefulclose"
	"reachpulley/internal/intake"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/internal/socketpeek"
)

// session is an iSCSI session, which has exactly one connection.
type session struct {
	target     *Target
	conn       net.Conn
	socket     *socketpeek.Reader
	reader     *bufio.Reader // reads from socket
	startedAt  time.Time
	ctx        context.Context // ends with the session
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // all goroutines of the session, except the reading one and those of execute
	executing  sync.WaitGroup // the goroutines of execute
	unanswered atomic.Int32   // number of goroutines in executing: tasks whose response is not written yet
	memory     *intake.Account
	pacer      *intake.Pacer

	overLimit    bool         // there are too many sessions, so the login will be rejected
	lastReceived atomic.Int64 // nanoseconds from startedAt to the last PDU from the client

	// acknowledgedStatSN is the ExpStatSN of the last PDU: the client has received all statuses before it.
	acknowledgedStatSN atomic.Uint32

	// Set by the login.

	params iscsi.Params
	isid   [6]byte
	tsih   uint16 // 0 during the login; written while the target's lock is held

	writeMu sync.Mutex // held while a PDU is numbered and written

	mu       sync.Mutex // guards the fields below
	statSN   uint32
	expCmdSN uint32
	maxCmdSN uint32
	tasks    map[uint32]*task // outstanding tasks by Initiator Task Tag
	lastTTT  uint32           // the Target Transfer Tag that was assigned last

	answering bool // answerTasks reads from the connection, and ends by itself
}

func newSession(t *Target, conn net.Conn) *session {
	s := &session{
		target:    t,
		conn:      conn,
		socket:    socketpeek.NewReader(conn),
		startedAt: time.Now(),
		params:    iscsi.DefaultParams(),
		tasks:     map[uint32]*task{},
	}
	s.reader = bufio.NewReader(s.socket)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.memory = t.options.Resources.Memory.Open(s.evictIncomplete)
	s.pacer = t.options.Resources.Pace.NewMultiplexedPacer()
	return s
}

// isSameNexus reports whether two sessions belong to the same initiator port, which the initiator's name and the ISID
// identify.
func (s *session) isSameNexus(other *session) bool {
	return s.isid == other.isid && s.params.InitiatorName == other.params.InitiatorName
}

// run serves the session until it ends, and releases everything that belongs to it. The client has time to receive what
// was sent, unless the session was canceled.
func (s *session) run() {
	defer s.memory.Close()
	defer s.pacer.Close()
	stop := context.AfterFunc(s.ctx, func() { s.conn.Close() })
	err := s.login()
	if err == nil {
		s.target.logEvent(s.newEvent(sessionOpened))
		s.noteReceived()
		s.goroutines.Go(s.pingWhenSilent)
		err = s.serve()
		if isInputError(err) {
			s.answerTasks()
		}
	}
	stop()
	s.cancel()
	s.goroutines.Wait()
	s.executing.Wait()
	s.closeGracefully()
	if s.tsih != 0 {
		s.target.logEvent(s.closedEvent(err))
	} else if !errors.Is(err, io.EOF) {
		s.target.options.Log.Info("iSCSI login failed", "from", s.conn.RemoteAddr(), "err", err)
	}
}

// endServing makes serve return, so that the session ends once its outstanding tasks are answered and the client has
// received what was sent.
func (s *session) endServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answering {
		gracefulclose.EndReads(s.conn)
	}
}

// closeGracefully closes the connection once the client has received what was sent. During a planned stop the client
// has more time for that, and one without a login has none.
func (s *session) closeGracefully() {
	switch {
	case s.tsih == 0:
		s.conn.Close()
	case s.target.isStopping():
		gracefulclose.Close(s.conn, gracefulclose.PeerTimeout)
	default:
		gracefulclose.Close(s.conn, gracefulclose.ShortPeerTimeout)
	}
}

// errLoggedOut ends a session whose client has logged out. Its text is the reason in the session-closed event.
var errLoggedOut = errors.New("logged out")

// serve reads and handles PDUs until the session ends.
func (s *session) serve() error {
	for {
		time.Sleep(s.pacer.Spend(intake.ReadCost))
		intake.Yield()
		p, err := s.readPDU()
		s.noteReceived()
		if errors.Is(err, iscsi.ErrTooLong) || errors.Is(err, iscsi.ErrAHS) {
			s.reject(p, iscsi.ProtocolError)
		}
		if err == nil {
			s.acknowledgedStatSN.Store(p.Get(iscsi.ExpStatSN))
			err = s.handle(p)
			s.memory.Release(len(p.Data))
		}
		if err != nil {
			return err
		}
	}
}

// readPDU reads a PDU. Memory for its data is reserved before the data arrives; without it, the data is dropped. The
// caller releases the memory of the data.
func (s *session) readPDU() (*iscsi.PDU, error) {
	p, err := iscsi.ReadHeader(s.reader, httpmsg.MaxRequestBody)
	if err != nil {
		return p, err
	}
	if !s.reserve(p.DataLength()) {
		return p, p.SkipData(s.reader)
	}
	if err := p.ReadData(s.reader); err != nil {
		s.memory.Release(p.DataLength())
		return p, err
	}
	return p, nil
}

// reserve reserves memory, for which it waits for a moment if necessary.
func (s *session) reserve(size int) bool {
	return s.memory.Await(size, func() bool { return s.ctx.Err() != nil })
}

// handle processes a PDU of the full feature phase. An error ends the session. Its text is the reason in the
// session-closed event; clients that read these events may match it, so it must not change.
func (s *session) handle(p *iscsi.PDU) error {
	switch p.Op() {
	case iscsi.DataOut: // has no CmdSN
		return s.handleDataOut(p)
	case iscsi.NopOut, iscsi.SCSICommand, iscsi.TaskRequest, iscsi.LogoutRequest:
	case iscsi.LoginRequest:
		s.reject(p, iscsi.ProtocolError)
		return protocolError("second login on the connection")
	default:
		return s.reject(p, iscsi.CommandNotSupported)
	}
	if inOrder, err := s.acceptCmdSN(p); !inOrder || err != nil {
		return err
	}
	switch p.Op() {
	case iscsi.NopOut:
		return s.handleNopOut(p)
	case iscsi.SCSICommand:
		return s.handleCommand(p)
	case iscsi.TaskRequest:
		return s.handleTaskManagement(p)
	}
	tag := p.Get(iscsi.InitiatorTaskTag)
	s.send(iscsi.NewPDU(iscsi.LogoutResponse, iscsi.Final).Set(iscsi.InitiatorTaskTag, tag), true)
	return errLoggedOut
}

// handleNopOut answers a ping of the client. A NOP-Out without a task tag answers a ping of the target instead.
func (s *session) handleNopOut(p *iscsi.PDU) error {
	if p.Get(iscsi.InitiatorTaskTag) == iscsi.NoTag {
		return nil
	}
	answer := iscsi.NewPDU(iscsi.NopIn, iscsi.Final)
	answer.Set(iscsi.InitiatorTaskTag, p.Get(iscsi.InitiatorTaskTag))
	answer.Set(iscsi.TargetTransferTag, iscsi.NoTag)
	answer.Data = p.Data[:min(len(p.Data), s.params.MaxSendSegment)]
	return s.send(answer, true)
}

// send sets the sequence numbers of a PDU and writes it. A PDU with a status takes the next StatSN. The session ends if
// the client does not read the PDU within writeTimeout and no task is outstanding.
func (s *session) send(p *iscsi.PDU, hasStatus bool) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.setSequenceNumbers(p, hasStatus)
	_, err := gracefulclose.Write(s.conn, p.Bytes(), writeTimeout, s.extendWrite)
	if err != nil {
		s.cancel()
	}
	return err
}

// rejectReasonOffset is the offset of the reason in a Reject (section 11.17).
const rejectReasonOffset = 2

// reject answers a PDU that cannot be handled. The Reject carries the PDU's header.
func (s *session) reject(p *iscsi.PDU, reason iscsi.RejectReason) error {
	r := iscsi.NewPDU(iscsi.Reject, iscsi.Final).Set(iscsi.InitiatorTaskTag, iscsi.NoTag)
	r.Header[rejectReasonOffset] = byte(reason)
	r.Data = p.Header[:]
	return s.send(r, true)
}

// newTransferTag returns the next Target Transfer Tag.
func (s *session) newTransferTag() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTTT++
	if s.lastTTT == iscsi.NoTag {
		s.lastTTT = 0
	}
	return s.lastTTT
}
