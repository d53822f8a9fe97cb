package iscsiinitiator

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
)

// Offsets in the header of login PDUs, in bytes, and a value there (RFC 7143, sections 11.12 and 11.13).
const (
	isidTypeByte    = 8
	isidTypeRandom  = 0x80 // value at isidTypeByte: the ISID is random
	isidQualifier   = 9
	loginStatusWord = 36
)

// maxDataSegment is the maximum length, in bytes, of a data segment that is sent or accepted.
const maxDataSegment = httpmsg.MaxRequestBody

// login requests the full feature phase in one step and adopts the parameters and sequence numbers of the response.
func (s *session) login() error {
	s.conn.SetDeadline(time.Now().Add(loginTimeout))
	defer s.conn.SetDeadline(time.Time{})
	if _, err := s.conn.Write(s.loginRequest().Bytes()); err != nil {
		return err
	}
	response, err := iscsi.ReadPDU(s.reader, maxDataSegment)
	if err != nil {
		return err
	}
	const fullFeature = iscsi.Transit | iscsi.FullFeature
	status := binary.BigEndian.Uint16(response.Header[loginStatusWord:])
	if response.Op() != iscsi.LoginResponse || status != 0 || response.Flags()&fullFeature != fullFeature {
		return fmt.Errorf("login at node %q: unexpected response %v with status %#04x", s.node, response.Op(), status)
	}
	pairs, err := iscsi.ParseText(response.Data)
	if err != nil {
		return err
	}
	if _, err := s.params.Negotiate(pairs); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cmdSN = response.Get(iscsi.ExpCmdSN)
	s.maxCmdSN = response.Get(iscsi.MaxCmdSN)
	s.statSN = response.Get(iscsi.StatSN) + 1
	s.lastReceived = time.Now()
	s.idleSince = time.Now()
	return nil
}

// loginRequest returns the only login request of a session, which asks for the full feature phase.
func (s *session) loginRequest() *iscsi.PDU {
	request := iscsi.NewPDU(iscsi.LoginRequest, iscsi.Transit|iscsi.OperationalStage<<2|iscsi.FullFeature)
	request.SetImmediate()
	request.Header[isidTypeByte] = isidTypeRandom
	binary.BigEndian.PutUint32(request.Header[isidQualifier:], s.initiator.isid)
	request.Set(iscsi.CmdSN, 1)
	request.Data = iscsi.FormatText([]iscsi.Pair{
		{Key: "InitiatorName", Value: s.initiator.name},
		{Key: "TargetName", Value: s.initiator.targetName},
		{Key: "SessionType", Value: "Normal"},
		{Key: "HeaderDigest", Value: "None"},
		{Key: "DataDigest", Value: "None"},
		{Key: "InitialR2T", Value: "Yes"},
		{Key: "ImmediateData", Value: "Yes"},
		{Key: "MaxRecvDataSegmentLength", Value: strconv.Itoa(maxDataSegment)},
		{Key: "FirstBurstLength", Value: strconv.Itoa(maxDataSegment)},
		{Key: "ErrorRecoveryLevel", Value: "0"},
	})
	return request
}
