package iscsitarget

import (
	"time"

	"reachpulley/internal/proto/iscsi"
)

// noteReceived records the current time as that of the last PDU from the client.
func (s *session) noteReceived() { s.lastReceived.Store(int64(time.Since(s.startedAt))) }

// silence returns for how long the client has sent nothing.
func (s *session) silence() time.Duration {
	return time.Since(s.startedAt) - time.Duration(s.lastReceived.Load())
}

// pingWhenSilent pings the client when it has been silent for pingInterval, and ends the session if it stays silent for
// twice that time and every task is answered: the client's machine may have failed without closing the connection.
func (s *session) pingWhenSilent() {
	ticker := time.NewTicker(pingInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		silence := s.silence()
		switch {
		case silence >= 2*pingInterval && s.unanswered.Load() == 0:
			s.cancel()
		case silence >= pingInterval:
			ping := iscsi.NewPDU(iscsi.NopIn, iscsi.Final).Set(iscsi.InitiatorTaskTag, iscsi.NoTag)
			ping.Set(iscsi.TargetTransferTag, s.newTransferTag())
			s.send(ping, false)
		}
	}
}

// Offsets and values of the fields of an Async Message that requests a logout.
const (
	asyncEventOffset   = 36
	asyncRequestLogout = 1  // the target requests a logout
	asyncSecondsOffset = 45 // seconds until the target ends the session
)

// requestLogout asks the client to log out, and ends the session when mayEnd allows it.
func (s *session) requestLogout() {
	message := iscsi.NewPDU(iscsi.AsyncMessage, iscsi.Final).Set(iscsi.InitiatorTaskTag, iscsi.NoTag)
	message.Header[asyncEventOffset] = asyncRequestLogout
	message.Header[asyncSecondsOffset] = byte(logoutTimeout / time.Second)
	s.send(message, true)
	ticker := time.NewTicker(logoutTimeout / 4)
	defer ticker.Stop()
	for requestedAt := time.Now(); ; {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(requestedAt) >= logoutTimeout && s.mayEnd(message.Get(iscsi.StatSN)) {
			s.endServing()
			return
		}
	}
}

// mayEnd reports whether the session may end although the client has not logged out: no task is outstanding, and the
// client either has received the request to log out or has sent nothing for logoutTimeout. A client that has not come
// to that request yet, because it reads slowly, goes on to send commands and needs their responses.
func (s *session) mayEnd(requestStatSN uint32) bool {
	informed := iscsi.SerialAfter(s.acknowledgedStatSN.Load(), requestStatSN)
	return !s.hasTasks() && (informed || s.silence() >= logoutTimeout)
}
