package httpfrontend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"reachpulley/internal/intake"
)

const (
	// headerTimeout bounds how long the header of a request may take to arrive. For the first request of a connection
	// it counts from the accept, for later ones from their first byte. Clients may need 2 s for it, and the platform
	// expects a connection without a request to end within 3 s.
	headerTimeout = 2700 * time.Millisecond
	// bodyTimeout bounds how long the body of a request may take to arrive, counted from the end of its header. At 64
	// kB a second, the slowest rate of clients, a body of the maximum size takes one second.
	bodyTimeout = 2 * time.Second
	// idleTimeout bounds how long a connection is kept alive without a request.
	idleTimeout = 5 * time.Minute
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 5 * time.Millisecond

	// DefaultMaxHeaderBytes limits the header of a request if the operator sets no limit.
	DefaultMaxHeaderBytes = 16 << 10
)

// Server accepts clients' connections, reads their requests and passes them to a Frontend.
type Server struct {
	listener net.Listener
	frontend *Frontend
	conns    *connTracker
	limits   ServerLimits
	log      *slog.Logger

	serviceMu  sync.Mutex
	closeTimer *time.Timer // closes idle connections some time after LeaveService; nil: in service
}

// ServerLimits are the resources that a Server may use.
type ServerLimits struct {
	Connections int               // maximum number of open connections
	HeaderBytes int               // maximum size of a request's header; 4 KiB more are tolerated
	Resources   *intake.Resources // for requests until they are answered
}

// NewServer returns a Server that accepts connections from l.
func NewServer(frontend *Frontend, l net.Listener, limits ServerLimits, log *slog.Logger) *Server {
	return &Server{
		listener: l,
		frontend: frontend,
		conns:    newConnTracker(limits.Connections),
		limits:   limits,
		log:      log,
	}
}

// Serve accepts connections until Shutdown, and then returns nil. It ends with an error if the listener is broken.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.admit(conn)
		case s.frontend.stoppedAt.Load() != nil:
			return nil
		case !isTransient(err):
			return err
		default:
			s.log.Warn("cannot accept connection", "err", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// isTransient reports whether an error of accepting a connection concerns that connection, or a lack of resources that
// will pass. Other errors mean that the listener is broken.
func isTransient(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT:
		return false
	}
	return true
}

// admit serves a connection, or closes it if there is no capacity for it.
func (s *Server) admit(conn net.Conn) {
	c := newClientConn(s.frontend, s.conns, conn, s.limits.Resources, s.limits.HeaderBytes)
	if !s.conns.admit(c) {
		conn.Close()
		return
	}
	go c.readInput()
}

// leaveNotice is the time between LeaveService and the close of idle connections. Clients learn from readiness checks
// that they have to leave, and may send requests until then.
const leaveNotice = 500 * time.Millisecond

// LeaveService sends clients away: readiness checks are answered 503, every response is the last of its connection, and
// idle connections are closed after leaveNotice. Requests are served as before. It may be repeated.
func (s *Server) LeaveService() {
	s.serviceMu.Lock()
	defer s.serviceMu.Unlock()
	if s.closeTimer != nil {
		return
	}
	s.frontend.outOfService.Store(true)
	s.closeTimer = time.AfterFunc(leaveNotice, func() {
		s.serviceMu.Lock()
		defer s.serviceMu.Unlock()
		if s.closeTimer != nil {
			s.conns.setClosesIdle(true)
		}
	})
}

// EnterService takes clients again after LeaveService.
func (s *Server) EnterService() {
	s.serviceMu.Lock()
	defer s.serviceMu.Unlock()
	if s.closeTimer == nil {
		return
	}
	s.closeTimer.Stop()
	s.closeTimer = nil
	s.conns.setClosesIdle(false)
	s.frontend.outOfService.Store(false)
}

// Shutdown stops accepting connections and requests, and waits until every request that has arrived is answered and all
// connections are closed. When ctx ends, it closes the connections that are left.
func (s *Server) Shutdown(ctx context.Context) error {
	now := time.Now()
	s.frontend.stoppedAt.Store(&now)
	err := s.listener.Close()
	s.conns.drain()
	select {
	case <-s.conns.drained:
		return err
	case <-ctx.Done():
		s.conns.closeAll()
		return errors.Join(ctx.Err(), err)
	}
}
