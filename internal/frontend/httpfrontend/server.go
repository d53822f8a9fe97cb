package httpfrontend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headerTimeout bounds how long the header of a request may take to arrive. For the first request of a connection
	// it counts from the accept, for later ones from their first byte. Clients may need 2 s for it, and the platform
	// expects a connection without a request to end within 3 s.
	headerTimeout = 2700 * time.Millisecond
	// bodyTimeout bounds how long the body of a request may take to arrive, counted from the end of its header. At 64
	// kB a second, the slowest rate of clients, a body of the maximum size takes one second.
	bodyTimeout = 2 * time.Second
	// responseTimeout bounds how long a response may take to be written. It counts from the final answer, or from the
	// end of the request's header if the request is answered without the event loop.
	responseTimeout = 30 * time.Second
	// idleTimeout bounds how long a connection is kept alive without a request.
	idleTimeout = 5 * time.Minute

	// DefaultMaxHeaderBytes limits the header of a request if the operator sets no limit.
	DefaultMaxHeaderBytes = 16 << 10
)

// Server accepts clients' connections and passes their requests to a Frontend.
type Server struct {
	http     *http.Server
	frontend *Frontend
	conns    *connTracker

	serviceMu  sync.Mutex
	closeTimer *time.Timer // closes idle connections some time after LeaveService; nil: in service
}

// ServerLimits are the resources that a Server may use.
type ServerLimits struct {
	Connections    int // maximum number of open connections
	HeaderBytes    int // maximum size of a request's header; http.Server reads 4 KiB more before it rejects a request
	ReadAheadBytes int // memory that connections share for what they read ahead beyond their own part
}

// NewServer returns a Server that accepts connections from l.
func NewServer(frontend *Frontend, l net.Listener, limits ServerLimits, log *slog.Logger) *Server {
	return &Server{
		frontend: frontend,
		conns:    newConnTracker(l, limits.Connections, limits.ReadAheadBytes),
		http: &http.Server{
			Handler:           frontend,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       headerTimeout + bodyTimeout,
			WriteTimeout:      responseTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    limits.HeaderBytes,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
			ConnContext:       withConn,
			ConnState: func(conn net.Conn, state http.ConnState) {
				if state == http.StateIdle {
					conn.(*clientConn).enterState(stateIdle)
				}
			},
		},
	}
}

// Serve accepts connections until Shutdown, and then returns nil.
func (s *Server) Serve() error {
	err := s.http.Serve(s.conns)
	if s.frontend.stoppedAt.Load() != nil {
		return nil
	}
	return err
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
// connections are closed. When ctx ends, it closes the connections that are left. http.Server.Shutdown would not wait
// for every request: it closes a connection on which a request is just arriving and drops the request without a
// response.
func (s *Server) Shutdown(ctx context.Context) error {
	now := time.Now()
	s.frontend.stoppedAt.Store(&now)
	err := s.conns.Listener.Close()
	s.conns.drain()
	select {
	case <-s.conns.drained:
		return err
	case <-ctx.Done():
		return errors.Join(ctx.Err(), err, s.http.Close())
	}
}
