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
	mostLoginText   = 8 << 10
	mostLoginRounds = 8
)

var errLogin = errors.New("the login was refused")

// login leads the session to its full feature phase.
func (s *session) login() error {
	s.conn.SetDeadline(time.Now().Add(loginTime))
	var text []byte
	declared := false
	for round := 0; round < mostLoginRounds; round++ {
		p, err := iscsi.ReadPDU(s.r, mostLoginText)
		if err != nil {
			return err
		}
		if p.Op() != iscsi.LoginRequest {
			return fmt.Errorf("%v before the login", p.Op())
		}
		if round == 0 { // the connection's numbers start where the initiator says
			s.statSN, s.expCmdSN = p.Get(iscsi.ExpStatSN), p.Get(iscsi.CmdSN)
			s.maxCmdSN = s.expCmdSN + uint32(s.target.Depth) - 1
			copy(s.isid[:], p.Header[8:14])
		}
		stage, next := p.Flags()>>2&3, p.Flags()&3
		transit := p.Has(iscsi.Transit)
		text = append(text, p.Data...)
		if p.Has(iscsi.Continue) && len(text) <= mostLoginText {
			s.answerLogin(p, stage<<2, iscsi.LoginOK, nil)
			continue
		}
		status, answers := s.negotiate(p, text, round == 0)
		text = nil
		if status == iscsi.LoginOK && (stage > iscsi.OperationalStage || transit && (next <= stage || next == 2)) {
			status = iscsi.LoginInitiatorError
		}
		if status != iscsi.LoginOK {
			s.answerLogin(p, stage<<2, status, nil)
			return fmt.Errorf("%w: status %#04x", errLogin, uint16(status))
		}
		if stage == iscsi.OperationalStage && !declared {
			declared = true
			answers = append(answers, iscsi.Pair{Key: "MaxRecvDataSegmentLength", Value: strconv.Itoa(httpmsg.MaxRequestBody)})
		}
		flags := stage << 2
		if transit {
			flags |= iscsi.Transit | next
		}
		if transit && next == iscsi.FullFeature {
			s.target.open(s)
		}
		if err := s.answerLogin(p, flags, iscsi.LoginOK, answers); err != nil {
			return err
		}
		if s.tsih != 0 {
			s.conn.SetDeadline(time.Time{})
			return nil
		}
	}
	return fmt.Errorf("no end of the login after %d rounds", mostLoginRounds)
}

// negotiate checks a login request and takes its text.
func (s *session) negotiate(p *iscsi.PDU, text []byte, leading bool) (iscsi.LoginStatus, []iscsi.Pair) {
	switch {
	case s.refused:
		return iscsi.LoginOutOfResources, nil
	case p.Header[3] > 0: // VersionMin
		return iscsi.LoginUnsupportedVersion, nil
	case leading && binary.BigEndian.Uint16(p.Header[14:]) != 0:
		return iscsi.LoginSessionDoesNotExist, nil
	case len(text) > mostLoginText:
		return iscsi.LoginInitiatorError, nil
	}
	pairs, err := iscsi.ParseText(text)
	var answers []iscsi.Pair
	if err == nil {
		answers, err = s.params.Negotiate(pairs)
	}
	switch {
	case err != nil:
		s.target.Log.Debug("iscsi login", "err", err)
		return iscsi.LoginInitiatorError, nil
	case s.params.InitiatorName == "" || s.params.TargetName == "" && !s.params.DiscoverySession:
		return iscsi.LoginMissingParameter, nil
	case s.params.DiscoverySession:
		return iscsi.LoginSessionTypeNotSupported, nil
	case s.params.TargetName != s.target.Name:
		return iscsi.LoginTargetNotFound, nil
	}
	if leading {
		answers = append([]iscsi.Pair{{Key: "TargetPortalGroupTag", Value: "1"}}, answers...)
	}
	return iscsi.LoginOK, answers
}

func (s *session) answerLogin(p *iscsi.PDU, flags byte, status iscsi.LoginStatus, answers []iscsi.Pair) error {
	a := iscsi.New(iscsi.LoginResponse, flags)
	copy(a.Header[8:14], s.isid[:])
	binary.BigEndian.PutUint16(a.Header[14:], s.tsih)
	a.Set(iscsi.TaskTag, p.Get(iscsi.TaskTag))
	binary.BigEndian.PutUint16(a.Header[36:], uint16(status))
	a.Data = iscsi.FormatText(answers)
	return s.send(a, true)
}
