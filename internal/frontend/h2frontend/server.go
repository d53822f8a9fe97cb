package h2frontend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"reachpulley/internal/admission"
)

// Handler answers requests.
type Handler interface {
	// Handle answers a request whose body is in memory. The request's context ends when its client disconnects.
	Handle(r *http.Request) *http.Response
	// ClientID returns who sent a request. Admission shares capacity fairly among clients.
	ClientID(r *http.Request) string
}

// Options configure a Server.
type Options struct {
	Handler        Handler
	Admission      admission.Config
	Seed           uint64 // of the admission controller
	MaxHeaderBytes int    // limit of a request's field section (RFC 9113, section 6.5.2)
	Log            *slog.Logger
}

const (
	requestTimeout   = 2 * time.Second        // for a request to arrive, header and body
	writeTimeout     = 10 * time.Second       // for a frame to be written to the socket
	idleTimeout      = 5 * time.Minute        // for a connection without streams
	tickInterval     = 250 * time.Millisecond // between two checks of timeouts
	goAwayInterval   = 500 * time.Millisecond // between the two GOAWAYs: requests that cross the first are still served
	acceptRetryDelay = 50 * time.Millisecond  // after a failure to accept a connection
)

// Server accepts and serves connections. It owns them: each one is released at the end of conn.serve.
type Server struct {
	options   Options
	startedAt time.Time
	wait      sync.WaitGroup // one for each connection

	mu         sync.Mutex // guards the fields below; taken before that of a connection
	controller *admission.Controller
	conns      map[admission.ConnectionID]*conn
	lastID     admission.ConnectionID
}

// New returns a Server. The error says which option is invalid.
func New(o Options) (*Server, error) {
	controller, err := admission.New(o.Admission, o.Seed)
	if err != nil {
		return nil, err
	}
	return &Server{
		options:    o,
		startedAt:  time.Now(),
		controller: controller,
		conns:      map[admission.ConnectionID]*conn{},
	}, nil
}

// Serve accepts connections until the listener is closed, and then waits until they have ended.
func (s *Server) Serve(l net.Listener) {
	done := make(chan struct{})
	var ticker sync.WaitGroup
	ticker.Go(func() { s.runTicker(done) })
	defer ticker.Wait()
	defer close(done)
	for {
		netConn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			s.wait.Wait() // timeouts have to be checked until the last connection has ended
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := s.addConn(netConn); c != nil {
			s.wait.Go(c.serve)
		} else {
			netConn.Close()
		}
	}
}

// now returns the time of the admission controller.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// addConn registers a connection; nil if it is not admitted.
func (s *Server) addConn(netConn net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	c := newConn(s, netConn, s.lastID)
	if !s.controller.Connect(s.now(), c.id, c.client) {
		return nil
	}
	s.conns[c.id] = c
	return c
}

// removeConn forgets a connection.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	s.applyLocked(s.controller.Disconnect(s.now(), c.id))
}

// decide passes an event to the admission controller and applies the resulting actions.
func (s *Server) decide(event func(c *admission.Controller, now time.Duration) []admission.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(event(s.controller, s.now()))
}

// applyLocked passes actions to their connections.
func (s *Server) applyLocked(actions []admission.Action) {
	for _, action := range actions {
		c := s.conns[action.Connection]
		if c == nil {
			continue
		}
		if action.Kind == admission.CloseConnection {
			s.options.Log.Warn("HTTP/2 connection closed by admission control",
				"client", c.client, "reason", action.Reason)
		}
		c.apply(action)
	}
}

// runTicker checks the timeouts of the admission controller and of all connections until done is closed.
func (s *Server) runTicker(done <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		s.decide((*admission.Controller).Tick)
		s.mu.Lock()
		for _, c := range s.conns {
			c.checkTimeouts()
		}
		s.mu.Unlock()
	}
}

// Drain asks all clients to leave: at once by a GOAWAY that still allows new streams, and after goAwayInterval by one
// that does not. The listener must be closed before.
func (s *Server) Drain() { s.decide((*admission.Controller).Drain) }

// Shutdown drains and waits until all connections have ended. When ctx ends, it closes those that are left.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	ended := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		s.mu.Lock()
		for _, c := range s.conns {
			c.netConn.Close()
		}
		s.mu.Unlock()
		<-ended
	}
}
