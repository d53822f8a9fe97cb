package iscsitarget

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
)

const (
	maxLoginText = 8 << 10 // maximum size of the text in a Login Request, in bytes over all its PDUs
	maxLoginPDUs = 8       // maximum number of PDUs that a client may send in a login
)

// Offsets in the headers of Login Requests and Responses (sections 11.12 and 11.13).
const (
	versionMinOffset  = 3
	isidOffset        = 8
	isidEnd           = 14
	tsihOffset        = 14
	loginStatusOffset = 36
)

// errLoginRejected reports that a login was answered with a status other than success.
var errLoginRejected = errors.New("login rejected")

// loginRequest is a Login Request, which may consist of several PDUs.
type loginRequest struct {
	*iscsi.PDU        // the last PDU of the request that has arrived
	text       []byte // text of all PDUs of the request; set once it is complete
	stage      byte   // current stage (CSG)
	next       byte   // next stage (NSG), if the initiator wants to proceed
	transit    bool   // the initiator wants to proceed
	leading    bool   // PDU is the first PDU of the login
}

func newLoginRequest(p *iscsi.PDU, leading bool) loginRequest {
	return loginRequest{
		PDU:     p,
		stage:   p.Flags() >> 2 & 3,
		next:    p.Flags() & 3,
		transit: p.Has(iscsi.Transit),
		leading: leading,
	}
}

// login negotiates with the client until the session is in its full feature phase. An error means that the login
// failed.
func (s *session) login() error {
	s.conn.SetDeadline(time.Now().Add(loginTimeout))
	var text []byte
	declared := false // MaxRecvDataSegmentLength has been declared to the client
	for round := range maxLoginPDUs {
		p, err := iscsi.ReadPDU(s.reader, maxLoginText)
		if err != nil {
			return err
		}
		if p.Op() != iscsi.LoginRequest {
			return fmt.Errorf("PDU %q received before the login was complete", p.Op())
		}
		request := newLoginRequest(p, round == 0)
		if request.leading {
			s.startNumbering(p)
		}
		text = append(text, p.Data...)
		if p.Has(iscsi.Continue) && len(text) <= maxLoginText {
			s.sendLoginResponse(request, request.stage<<2, iscsi.LoginOK, nil)
			continue
		}
		request.text = text
		text = nil
		status, answers := s.negotiate(request)
		if status != iscsi.LoginOK {
			s.sendLoginResponse(request, request.stage<<2, status, nil)
			return fmt.Errorf("%w: status %#04x", errLoginRejected, uint16(status))
		}
		if request.stage == iscsi.OperationalStage && !declared {
			declared = true
			limit := strconv.Itoa(httpmsg.MaxRequestBody)
			answers = append(answers, iscsi.Pair{Key: "MaxRecvDataSegmentLength", Value: limit})
		}
		done, err := s.proceed(request, answers)
		if done || err != nil {
			return err
		}
	}
	return fmt.Errorf("login not complete after %d PDUs", maxLoginPDUs)
}

// startNumbering takes the first sequence numbers of the session and its ISID, which the initiator chooses, from the
// first PDU of the login.
func (s *session) startNumbering(p *iscsi.PDU) {
	s.statSN = p.Get(iscsi.ExpStatSN)
	s.expCmdSN = p.Get(iscsi.CmdSN)
	s.maxCmdSN = s.expCmdSN + uint32(s.target.options.MaxTasks) - 1
	copy(s.isid[:], p.Header[isidOffset:isidEnd])
}

// proceed answers a Login Request that was accepted and reports whether the login is complete.
func (s *session) proceed(request loginRequest, answers []iscsi.Pair) (done bool, err error) {
	flags := request.stage << 2
	if request.transit {
		flags |= iscsi.Transit | request.next
	}
	if request.transit && request.next == iscsi.FullFeature {
		s.target.register(s)
	}
	if err := s.sendLoginResponse(request, flags, iscsi.LoginOK, answers); err != nil {
		return false, err
	}
	if s.tsih == 0 {
		return false, nil
	}
	s.conn.SetDeadline(time.Time{})
	return true, nil
}

// negotiate checks a Login Request and applies its text. It returns the status and the answers to the text.
func (s *session) negotiate(request loginRequest) (iscsi.LoginStatus, []iscsi.Pair) {
	switch {
	case s.overLimit:
		return iscsi.LoginOutOfResources, nil
	case request.Header[versionMinOffset] > 0:
		return iscsi.LoginUnsupportedVersion, nil
	case request.leading && binary.BigEndian.Uint16(request.Header[tsihOffset:]) != 0:
		return iscsi.LoginSessionDoesNotExist, nil
	case len(request.text) > maxLoginText:
		return iscsi.LoginInitiatorError, nil
	}
	answers, err := s.negotiateText(request.text)
	switch {
	case err != nil:
		s.target.options.Log.Debug("iSCSI login text rejected", "err", err)
		return iscsi.LoginInitiatorError, nil
	case s.params.InitiatorName == "" || s.params.TargetName == "" && !s.params.DiscoverySession:
		return iscsi.LoginMissingParameter, nil
	case s.params.DiscoverySession:
		return iscsi.LoginSessionTypeNotSupported, nil
	case s.params.TargetName != s.target.options.Name:
		return iscsi.LoginTargetNotFound, nil
	case !request.hasValidStages():
		return iscsi.LoginInitiatorError, nil
	}
	if request.leading {
		answers = append([]iscsi.Pair{{Key: "TargetPortalGroupTag", Value: "1"}}, answers...)
	}
	return iscsi.LoginOK, answers
}

// negotiateText applies the text of a Login Request and returns the answers.
func (s *session) negotiateText(text []byte) ([]iscsi.Pair, error) {
	pairs, err := iscsi.ParseText(text)
	if err != nil {
		return nil, err
	}
	return s.params.Negotiate(pairs)
}

// hasValidStages reports whether the current stage exists and, if the initiator wants to proceed, the next one exists
// and is later.
func (r loginRequest) hasValidStages() bool {
	if r.stage > iscsi.OperationalStage {
		return false
	}
	return !r.transit || r.next > r.stage && r.next != 2
}

// sendLoginResponse sends the Login Response to a request.
func (s *session) sendLoginResponse(
	request loginRequest, flags byte, status iscsi.LoginStatus, answers []iscsi.Pair,
) error {
	p := iscsi.NewPDU(iscsi.LoginResponse, flags)
	copy(p.Header[isidOffset:isidEnd], s.isid[:])
	binary.BigEndian.PutUint16(p.Header[tsihOffset:], s.tsih)
	p.Set(iscsi.InitiatorTaskTag, request.Get(iscsi.InitiatorTaskTag))
	binary.BigEndian.PutUint16(p.Header[loginStatusOffset:], uint16(status))
	p.Data = iscsi.FormatText(answers)
	return s.send(p, true)
}
