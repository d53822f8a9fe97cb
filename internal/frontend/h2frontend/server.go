// Package h2frontend is a front for clients that speak HTTP/2 without TLS, with prior knowledge (RFC 9113, section 3.3). It
// owns frames, streams and windows; what a request means and how it is answered is the first front's business, and who
// is admitted is that of package admission.
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

// Carrier answers a request that was read whole.
type Carrier interface {
	Handle(r *http.Request) *http.Response
	// ClientID tells who is behind a request; the core is shared fairly among them.
	ClientID(r *http.Request) string
}

// Options are what a Server is made of.
type Options struct {
	Carrier        Carrier
	Admission      admission.Config
	Seed           uint64
	MaxHeaderBytes int // bytes of a request's field section at most (RFC 9113, section 6.5.2)
	Log            *slog.Logger
}

const (
	requestTime = 2 * time.Second        // for a request to come in, head and body
	writeTime   = 10 * time.Second       // for what is written to leave the process
	idleTime    = 5 * time.Minute        // for which a connection may have no stream
	tickTime    = 250 * time.Millisecond // between two looks at what time brings
	lastCall    = 500 * time.Millisecond // between the two GOAWAYs: what crossed the first is still taken
	pause       = 50 * time.Millisecond  // after a connection that could not be taken
)

// Server serves connections. It owns them: each is given back where its reading goroutine ends, in conn.serve.
type Server struct {
	Options
	wait sync.WaitGroup

	mu      sync.Mutex // for what is below; it is taken before a connection's
	control *admission.Controller
	conns   map[admission.ConnectionID]*conn
	last    admission.ConnectionID
	began   time.Time
}

// New makes a Server. Its error names what of the options can't be used.
func New(o Options) (*Server, error) {
	control, err := admission.New(o.Admission, o.Seed)
	if err != nil {
		return nil, err
	}
	return &Server{Options: o, control: control, conns: map[admission.ConnectionID]*conn{}, began: time.Now()}, nil
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	done := make(chan struct{})
	var ticks sync.WaitGroup
	ticks.Go(func() { s.tick(done) })
	defer ticks.Wait()
	defer close(done)
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			s.wait.Wait() // ticks go on until the last connection has ended
			return
		}
		if err != nil {
			time.Sleep(pause)
			continue
		}
		if c := s.enter(nc); c != nil {
			s.wait.Go(c.serve)
		} else {
			nc.Close()
		}
	}
}

func (s *Server) now() time.Duration { return time.Since(s.began) }

// enter counts a connection; nil where there is no room.
func (s *Server) enter(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	c := newConn(s, nc, s.last)
	if !s.control.Connect(s.now(), c.id, c.client) {
		return nil
	}
	s.conns[c.id] = c
	return c
}

// leave forgets a connection.
func (s *Server) leave(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	s.carry(s.control.Disconnect(s.now(), c.id))
}

// decide has the admission take an event and carries out what it calls for.
func (s *Server) decide(event func(c *admission.Controller, now time.Duration) []admission.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carry(event(s.control, s.now()))
}

// carry hands actions to their connections, under the lock.
func (s *Server) carry(actions []admission.Action) {
	for _, a := range actions {
		if c := s.conns[a.Connection]; c != nil {
			if a.Kind == admission.CloseConnection {
				s.Log.Warn("HTTP/2 connection cut", "client", c.client, "why", a.Reason)
			}
			c.act(a)
		}
	}
}

// tick lets time pass for the admission and the connections.
func (s *Server) tick(done <-chan struct{}) {
	t := time.NewTicker(tickTime)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		s.decide((*admission.Controller).Tick)
		s.mu.Lock()
		for _, c := range s.conns {
			c.tick()
		}
		s.mu.Unlock()
	}
}

// Drain tells every client to leave: with the first GOAWAY at once, with the second a moment later. The listener is to be
// closed by then.
func (s *Server) Drain() { s.decide((*admission.Controller).Drain) }

// Shutdown waits until every connection has ended; those that have not when ctx ends are cut.
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
			c.net.Close()
		}
		s.mu.Unlock()
		<-ended
	}
}
