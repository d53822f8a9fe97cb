package iscsitarget

import (
	"context"
	"encoding/binary"
	"errors"
	"net/http"
	"strconv"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/internal/rules/engine"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// task is a READ or WRITE that is outstanding. Its goroutine owns its exchange.
type task struct {
	tag      uint32
	lun      uint16
	unit     *Unit
	command  iscsi.Command
	expected int // bytes that the client expects to move
	took     time.Time
	deadline time.Time
	ready    chan struct{} // closed once all data of a write is here
	ctx      context.Context
	cancel   context.CancelFunc

	// Of a write's data; touched by the session's reading goroutine alone.
	ttt    uint32
	dataSN uint32
	burst  int // where the data that was asked for ends
}

// command starts a SCSI command.
func (s *session) command(p *iscsi.PDU) error {
	lba, blocks, write, transfer := p.CDB().Transfer()
	switch {
	case len(p.Data) > 0 && (!write || !transfer || !s.params.ImmediateData || len(p.Data) > s.params.FirstBurst),
		!p.Has(iscsi.Final): // all data that is not immediate is asked for
		return s.reject(p, iscsi.InvalidPDUField)
	case !transfer:
		return s.local(p)
	}
	unit := s.target.units[p.LUN()]
	if unit == nil {
		return s.fail(p, iscsi.NoSuchUnit)
	}
	t := &task{tag: p.Get(iscsi.TaskTag), lun: p.LUN(), unit: unit, expected: int(p.Get(iscsi.ExpectedLength)),
		ready: make(chan struct{}), command: iscsi.Command{LUN: p.LUN(), LBA: lba, Blocks: blocks,
			BlockSize: unit.BlockSize, Write: write, Data: p.Data}}
	length := uint64(blocks) * uint64(unit.BlockSize)
	switch {
	case lba >= unit.Blocks || uint64(blocks) > unit.Blocks-lba:
		return s.fail(p, iscsi.OutOfRange)
	case length > httpmsg.MaxRequestBody, // one request to a node holds no more; block limits say so
		write && uint64(t.expected) < length || write && !p.Has(iscsi.Write) || !write && length > 0 && !p.Has(iscsi.Read),
		uint64(len(p.Data)) > length:
		return s.fail(p, iscsi.InvalidField)
	case blocks == 0:
		return s.send(s.response(t, iscsi.Good, 0), true)
	}
	t.took = time.Now()
	t.deadline = t.took.Add(s.target.Classes[unit.request("", &t.command).Class].Deadline)
	if reason, ok := s.hold(t); !ok {
		return s.reject(p, reason)
	}
	request := unit.request(s.target.NewID(), &t.command)
	if e := s.target.Contracts.Command(int(t.lun), t.command.Write); e != nil {
		request.Operation, request.RetryPolicy = e.Name, e.RetryPolicy
	}
	held, err := s.admit(t, request)
	if err != nil { // before any data is asked for
		held.Release()
		s.answer(t, exchange.Answer{Verdict: verdictOf(err)})
		return nil
	}
	s.wait.Go(func() {
		defer held.Release() // the task is answered or aborted
		s.perform(t, request)
	})
	return s.gather(t)
}

// hold puts a task into the table. Only immediate commands can find it full: the window keeps others out.
func (s *session) hold(t *task) (iscsi.RejectReason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.tag] != nil {
		return iscsi.TaskInProgress, false
	}
	if len(s.tasks) >= s.target.Depth {
		return iscsi.TooManyImmediate, false
	}
	t.ctx, t.cancel = context.WithCancel(s.ctx)
	s.tasks[t.tag] = t
	return 0, true
}

// take removes a task from the table; only who takes it may answer it. This is where a task is given back.
func (s *session) take(t *task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.tag] != t {
		return false
	}
	delete(s.tasks, t.tag)
	t.cancel()
	return true
}

// gather asks for what is missing of a write's data, one burst after the other.
func (s *session) gather(t *task) error {
	have, want := len(t.command.Data), t.command.Length()
	if !t.command.Write || have == want {
		close(t.ready)
		return nil
	}
	t.ttt, t.dataSN, t.burst = s.newTTT(), 0, min(want, have+s.params.MaxBurst)
	ask := iscsi.New(iscsi.R2T, iscsi.Final).SetLUN(t.lun).Set(iscsi.TaskTag, t.tag).Set(iscsi.TransferTag, t.ttt)
	return s.send(ask.Set(iscsi.BufferOffset, uint32(have)).Set(iscsi.DesiredLength, uint32(t.burst-have)), false)
}

// dataOut takes data that was asked for.
func (s *session) dataOut(p *iscsi.PDU) error {
	s.mu.Lock()
	t := s.tasks[p.Get(iscsi.TaskTag)]
	s.mu.Unlock()
	if t == nil {
		return nil // of a task that has ended: there is nobody to tell
	}
	have := len(t.command.Data)
	if t.burst == 0 || p.Get(iscsi.TransferTag) != t.ttt || p.Get(iscsi.DataSN) != t.dataSN ||
		p.Get(iscsi.BufferOffset) != uint32(have) || have+len(p.Data) > t.burst {
		return s.reject(p, iscsi.InvalidPDUField)
	}
	t.dataSN++
	t.command.Data = append(t.command.Data, p.Data...)
	if !p.Has(iscsi.Final) {
		return nil
	}
	if len(t.command.Data) < t.burst { // the client has ended its burst short of what it was asked for
		if s.take(t) {
			return s.send(s.check(t, iscsi.WrongDataLength), true)
		}
		return nil
	}
	t.burst = 0
	return s.gather(t)
}

// perform carries a task through the core and answers it, unless it is aborted.
func (s *session) perform(t *task, request scheduler.Request) {
	late := time.NewTimer(time.Until(t.deadline))
	defer late.Stop()
	select {
	case <-t.ctx.Done():
		return
	case <-late.C: // its data never came
		s.answer(t, exchange.Answer{Verdict: exchange.Failed})
		return
	case <-t.ready:
	}
	payload, err := s.target.Translator.Request(request, &t.command)
	if err != nil {
		s.target.Log.Error("iscsi command cannot be translated", "lun", t.lun, "err", err)
		s.answer(t, exchange.Answer{Verdict: exchange.Failed})
		return
	}
	x := exchange.New(request, t.deadline, payload)
	s.target.Loop.Open(x)
	select {
	case <-x.Done():
		s.answer(t, x.Answer())
	case <-t.ctx.Done():
		x.Disconnect()
	}
}

// admit asks the limits, as every front does. Nothing has gone to a node by then.
func (s *session) admit(t *task, q scheduler.Request) (*engine.Request, error) {
	if s.target.Rules == nil || !s.target.Rules.InForce() {
		return nil, nil
	}
	method := http.MethodGet // what a rule calls a READ
	if t.command.Write {
		method = http.MethodPut
	}
	initiator := s.params.InitiatorName
	return s.target.Rules.Admit(&expression.Facts{Method: method, Path: "/" + strconv.Itoa(int(t.lun)) + "/" + strconv.FormatUint(t.command.LBA, 10),
		Length: len(t.command.Data), Client: initiator, Front: "iscsi", Arrival: t.took},
		s.target.Classes[q.Class].Name, s.target.Plans[q.Plan].Name, q.Volume)
}

// verdictOf tells how a command ends that was not admitted: a limit's refusal is harmless to repeat, a fault stays one.
func verdictOf(err error) exchange.Verdict {
	if errors.As(err, new(engine.LimitError)) {
		return exchange.Rejected
	}
	return exchange.Failed
}

// answer gives a task its one answer.
func (s *session) answer(t *task, a exchange.Answer) {
	var data []byte
	if a.Verdict == exchange.Served && !t.command.Write {
		var err error
		if data, err = s.target.Translator.Data(a.Reply); err == nil && len(data) != t.command.Length() {
			err = errors.New("the node read another length than was asked for")
		}
		if err != nil {
			s.target.Log.Error("iscsi reply", "lun", t.lun, "err", err)
			a.Verdict = exchange.Failed
		}
	}
	s.mu.Lock()
	alone := len(s.tasks) == 1
	s.mu.Unlock()
	if !s.take(t) {
		return
	}
	status := iscsi.Good
	switch {
	case a.Verdict == exchange.Rejected && alone:
		status = iscsi.Busy
	case a.Verdict == exchange.Rejected: // the client has others outstanding and should wait for one of them
		status = iscsi.TaskSetFull
	case a.Verdict == exchange.Failed:
		status = iscsi.CheckCondition
	}
	s.target.event(s.ended(t, a.Verdict, status))
	switch {
	case status == iscsi.CheckCondition && !time.Now().Before(t.deadline.Add(-lateBy)):
		s.send(s.check(t, iscsi.TimedOut), true)
	case status == iscsi.CheckCondition:
		s.send(s.check(t, iscsi.TargetFailure), true)
	case status == iscsi.Good && !t.command.Write:
		s.dataIn(t.tag, t.lun, data, t.expected)
	default:
		s.send(s.response(t, status, 0), true)
	}
}

// lateBy is how long before the deadline the decisions give up on a request.
const lateBy = 10 * time.Millisecond

// dataIn sends data in segments that the client takes; the last carries the status.
func (s *session) dataIn(tag uint32, lun uint16, data []byte, expected int) error {
	residual, excess := uint32(0), byte(0)
	switch {
	case len(data) > expected:
		residual, excess, data = uint32(len(data)-expected), iscsi.Overflow, data[:expected]
	case len(data) < expected:
		residual, excess = uint32(expected-len(data)), iscsi.Underflow
	}
	for offset, sn := 0, uint32(0); ; sn++ {
		end := min(len(data), offset+s.params.MostSegment)
		p := iscsi.New(iscsi.DataIn, 0).SetLUN(lun).Set(iscsi.TaskTag, tag).Set(iscsi.TransferTag, iscsi.NoTag)
		p.Set(iscsi.DataSN, sn).Set(iscsi.BufferOffset, uint32(offset))
		p.Data = data[offset:end]
		if end == len(data) {
			p.Header[1] = iscsi.Final | iscsi.HasStatus | excess
			return s.send(p.Set(iscsi.Residual, residual), true)
		}
		if err := s.send(p, false); err != nil {
			return err
		}
		offset = end
	}
}

// response words the end of a task, of which moved bytes were moved.
func (s *session) response(t *task, status iscsi.Status, moved int) *iscsi.PDU {
	if t.command.Write && status == iscsi.Good {
		moved = t.command.Length()
	}
	p := iscsi.New(iscsi.SCSIResponse, iscsi.Final).Set(iscsi.TaskTag, t.tag)
	p.Header[3] = byte(status)
	if rest := t.expected - moved; rest > 0 {
		p.Header[1] |= iscsi.Underflow
		p.Set(iscsi.Residual, uint32(rest))
	}
	return p
}

func (s *session) check(t *task, sense iscsi.Sense) *iscsi.PDU {
	p := s.response(t, iscsi.CheckCondition, 0)
	p.Data = sense.Bytes()
	return p
}

// fail ends a command that never became a task.
func (s *session) fail(p *iscsi.PDU, sense iscsi.Sense) error {
	t := &task{tag: p.Get(iscsi.TaskTag), expected: int(p.Get(iscsi.ExpectedLength))}
	return s.send(s.check(t, sense), true)
}

// manage serves task management: a task is aborted by taking its answer away.
func (s *session) manage(p *iscsi.PDU) error {
	result := byte(iscsi.TaskFunctionNotSupported)
	if p.Flags()&^iscsi.Final == iscsi.AbortTask {
		s.mu.Lock()
		t := s.tasks[p.Get(iscsi.RefTag)]
		s.mu.Unlock()
		result = iscsi.TaskDoesNotExist
		if t != nil && t.lun == p.LUN() && s.take(t) {
			result = iscsi.TaskFunctionComplete
		}
	}
	r := iscsi.New(iscsi.TaskResponse, iscsi.Final).Set(iscsi.TaskTag, p.Get(iscsi.TaskTag))
	r.Header[2] = result
	return s.send(r, true)
}

// local serves the commands that need no node.
func (s *session) local(p *iscsi.PDU) error {
	cdb, tag := p.CDB(), p.Get(iscsi.TaskTag)
	unit := s.target.units[p.LUN()]
	if unit == nil && cdb[0] != iscsi.ReportLUNs && cdb[0] != iscsi.Inquiry {
		return s.fail(p, iscsi.NoSuchUnit)
	}
	var data []byte
	most := 0
	switch cdb[0] {
	case iscsi.TestUnitReady:
		return s.send(s.response(&task{tag: tag}, iscsi.Good, 0), true)
	case iscsi.Inquiry:
		data, most = inquiry(unit, cdb[1]&1 != 0, cdb[2]), int(binary.BigEndian.Uint16(cdb[3:]))
	case iscsi.ReportLUNs:
		data, most = s.reportLUNs(), int(binary.BigEndian.Uint32(cdb[6:]))
	case iscsi.ReadCapacity10:
		data = binary.BigEndian.AppendUint32(nil, uint32(min(unit.Blocks-1, 1<<32-1)))
		data = binary.BigEndian.AppendUint32(data, unit.BlockSize)
		most = len(data)
	case iscsi.ServiceActionIn16:
		if cdb[1]&0x1f != iscsi.ReadCapacity16 {
			return s.fail(p, iscsi.InvalidField)
		}
		data = binary.BigEndian.AppendUint64(nil, unit.Blocks-1)
		data = binary.BigEndian.AppendUint32(data, unit.BlockSize)
		data = append(data, make([]byte, 20)...)
		most = int(binary.BigEndian.Uint32(cdb[10:]))
	default:
		return s.fail(p, iscsi.InvalidOpcode)
	}
	if data == nil {
		return s.fail(p, iscsi.InvalidField)
	}
	return s.dataIn(tag, p.LUN(), data[:min(len(data), most)], int(p.Get(iscsi.ExpectedLength)))
}

func (s *session) reportLUNs() []byte {
	data := binary.BigEndian.AppendUint32(nil, uint32(8*len(s.target.Units)))
	data = append(data, 0, 0, 0, 0)
	for _, u := range s.target.Units {
		data = binary.BigEndian.AppendUint16(data, u.LUN)
		data = append(data, 0, 0, 0, 0, 0, 0)
	}
	return data
}

// Pages of vital product data.
const (
	supportedPages = 0x00
	blockLimits    = 0xb0
)

// inquiry describes a unit; nil where the page is not known.
func inquiry(unit *Unit, vital bool, page byte) []byte {
	device := byte(0) // a direct access block device
	if unit == nil {
		device = 0x7f // no unit is there
	}
	if !vital {
		if page != 0 {
			return nil
		}
		data := []byte{device, 0, 0x05, 0x02, 31, 0, 0, 0x02}
		return append(data, "RCHPULLYgateway volume  0001"...)
	}
	switch {
	case page == supportedPages:
		return []byte{device, page, 0, 2, supportedPages, blockLimits}
	case page == blockLimits && unit != nil:
		data := make([]byte, 64)
		data[0], data[1], data[3] = device, page, 60
		binary.BigEndian.PutUint32(data[8:], uint32(httpmsg.MaxRequestBody)/unit.BlockSize) // longest transfer
		return data
	}
	return nil
}
