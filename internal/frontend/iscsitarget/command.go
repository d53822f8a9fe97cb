package iscsitarget

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/intake"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/internal/rules/engine"
	"reachpulley/internal/rules/expression"
	"reachpulley/scheduler"
)

// frontendName is the name of this frontend in rules.
const frontendName = "iscsi"

// handleCommand handles a SCSI Command. A valid READ or WRITE of at least one block becomes a task. Other commands are
// answered at once.
func (s *session) handleCommand(p *iscsi.PDU) error {
	lba, blocks, write, isTransfer := p.CDB().Transfer()
	allowsData := isTransfer && write && s.params.ImmediateData && len(p.Data) <= s.params.FirstBurst
	switch {
	case len(p.Data) > 0 && !allowsData,
		!p.Has(iscsi.Final): // unsolicited Data-Out would follow, which InitialR2T=Yes forbids
		return s.reject(p, iscsi.InvalidPDUField)
	case !isTransfer:
		return s.handleLocalCommand(p)
	}
	unit := s.target.units[p.LUN()]
	if unit == nil {
		return s.failCommand(p, iscsi.NoSuchUnit)
	}
	t := &task{
		tag:            p.Get(iscsi.InitiatorTaskTag),
		lun:            p.LUN(),
		unit:           unit,
		expectedLength: int(p.Get(iscsi.ExpectedLength)),
		dataComplete:   make(chan struct{}),
		command: iscsi.Command{
			LUN:       p.LUN(),
			LBA:       lba,
			Blocks:    blocks,
			BlockSize: unit.BlockSize,
			Write:     write,
			Data:      p.Data,
		},
	}
	if sense, ok := t.validate(p); !ok {
		return s.failCommand(p, sense)
	}
	if blocks == 0 {
		return s.send(s.response(t, iscsi.Good, 0), true)
	}
	return s.startTask(p, t)
}

// validate checks the block range and the lengths of a READ or WRITE. If they are invalid, sense states the reason.
func (t *task) validate(p *iscsi.PDU) (sense iscsi.Sense, ok bool) {
	length := uint64(t.command.Blocks) * uint64(t.unit.BlockSize)
	switch {
	case t.command.LBA >= t.unit.Blocks || uint64(t.command.Blocks) > t.unit.Blocks-t.command.LBA:
		return iscsi.OutOfRange, false
	case length > httpmsg.MaxRequestBody: // the limit of a request to a node; the block limits page states it
		return iscsi.InvalidField, false
	case t.command.Write && (uint64(t.expectedLength) < length || !p.Has(iscsi.Write)):
		return iscsi.InvalidField, false
	case !t.command.Write && length > 0 && !p.Has(iscsi.Read):
		return iscsi.InvalidField, false
	case uint64(len(p.Data)) > length:
		return iscsi.InvalidField, false
	}
	return iscsi.Sense{}, true
}

// startTask starts a READ or WRITE whose command is valid.
func (s *session) startTask(p *iscsi.PDU, t *task) error {
	options := &s.target.options
	t.arrival = time.Now().Add(-s.socket.InputAge())
	t.deadline = t.arrival.Add(options.Classes[t.unit.class(t.command.Write)].Deadline)
	if reason, ok := s.addTask(t); !ok {
		return s.reject(p, reason)
	}
	if !s.reserveData(p, t) {
		s.finish(t, exchange.Answer{Verdict: exchange.Rejected}) // nothing has run
		return nil
	}
	request := s.schedulerRequest(t)
	// The limits are acquired before the client is asked for any data.
	limits, err := s.acquireLimits(t, request)
	if err != nil {
		limits.Release()
		s.finish(t, exchange.Answer{Verdict: verdictOf(err)})
		return nil
	}
	s.unanswered.Add(1)
	s.executing.Go(func() {
		defer s.unanswered.Add(-1)
		defer limits.Release() // the task is answered or aborted
		s.execute(t, request)
	})
	return s.requestData(t)
}

// reserveData reserves memory for a task and all of its data, before the client is asked for that. It returns false if
// there is none, or if the data that came with the command had to be dropped for want of memory.
func (s *session) reserveData(p *iscsi.PDU, t *task) bool {
	size := intake.RequestBytes
	if t.command.Write {
		size += t.command.Length()
	}
	if len(p.Data) < p.DataLength() || !s.reserve(size) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[t.tag] != t { // it was aborted in the meantime
		s.memory.Release(size)
		return true
	}
	t.reserved = size
	t.received = len(t.command.Data)
	s.noteArrivingLocked()
	return true
}

// schedulerRequest returns the facts by which a task is scheduled. Commands carry no idempotency key: no node can
// recognize a client's retry, and nodes to which no key can be passed do not recognize the gateway's either.
func (s *session) schedulerRequest(t *task) scheduler.Request {
	options := &s.target.options
	request := t.unit.request(options.NewID(), &t.command)
	request.UnkeyedClient = true
	if entry := options.Contracts.Command(int(t.lun), t.command.Write); entry != nil {
		request.Operation = entry.Name
		request.RetryPolicy = entry.RetryPolicy
	}
	class := &options.Classes[request.Class]
	policy := class.RetryPolicy().NarrowedBy(request.RetryPolicy)
	if policy.Idempotency == scheduler.IdempotentWithKey && !options.Translator.PassesKey(&t.command) {
		request.RetryPolicy = scheduler.RetryPolicy{Idempotency: scheduler.NonIdempotent}
	}
	return request
}

// acquireLimits acquires the limits that count a command. It returns nil if no rules are in force. The result must be
// released even if there is an error.
func (s *session) acquireLimits(t *task, request scheduler.Request) (*engine.Request, error) {
	options := &s.target.options
	if options.Rules == nil || !options.Rules.InForce() {
		return nil, nil
	}
	method := http.MethodGet // rules see a READ as GET and a WRITE as PUT
	if t.command.Write {
		method = http.MethodPut
	}
	facts := &expression.Facts{
		Method:     method,
		Path:       "/" + strconv.Itoa(int(t.lun)) + "/" + strconv.FormatUint(t.command.LBA, 10),
		BodyLength: len(t.command.Data),
		Client:     s.params.InitiatorName,
		Frontend:   frontendName,
		Arrival:    t.arrival,
	}
	class, plan := options.Classes[request.Class].Name, options.Plans[request.Plan].Name
	return options.Rules.Admit(facts, class, plan, request.Volume)
}

// verdictOf returns the verdict on a command whose limits could not be acquired. A command that exceeds a limit is
// rejected and may be retried; an error in a rule is a failure.
func verdictOf(err error) exchange.Verdict {
	if errors.As(err, new(engine.LimitError)) {
		return exchange.Rejected
	}
	return exchange.Failed
}
