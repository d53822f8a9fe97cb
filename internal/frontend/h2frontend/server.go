package h2frontend

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
	"reachpulley/internal/gracefulclose"
	"reachpulley/internal/intake"
)

// Handler identifies the clients of requests and answers them.
type Handler interface {
	// Handle answers a request whose body is in memory. The body of the response is in memory, too. The context of
	// the request is canceled when its client disconnects or its stream is reset.
	Handle(r *http.Request) *http.Response
	// ClientID identifies the client that sent a request. The admission controller shares the capacity fairly among
	// clients.
	ClientID(r *http.Request) string
}

// Classifier is a Handler that knows before it answers a request what its wait for admission depends on.
type Classifier interface {
	// ClientTimeout returns for how long the client of a request waits, counted from its arrival.
	ClientTimeout(r *http.Request) time.Duration
	// Destination names the nodes that can serve a request. It is empty if any can, or if they are unknown.
	Destination(r *http.Request) string
}

// Options configures a Server.
type Options struct {
	Handler        Handler // may also be a Classifier
	Admission      admission.Config
	Seed           uint64 // seed of the admission controller's random numbers
	MaxHeaderBytes int    // maximum size of a request's field section (RFC 9113, section 6.5.2)
	// RetryAfter is told to clients whose requests have waited for too long; 0: they are told nothing.
	RetryAfter time.Duration
	Resources  *intake.Resources // for requests until they are answered; nil: as much as they need
	Log        *slog.Logger
}

const (
	requestTimeout = 2 * time.Second        // time within which a preface, a frame or a whole request must arrive
	writeTimeout   = 10 * time.Second       // time within which a frame must be written to the socket
	idleTimeout    = 5 * time.Minute        // time after which a connection without streams is closed
	tickInterval   = 250 * time.Millisecond // interval between two checks of the timeouts

	// goAwayInterval separates the two GOAWAYs by which a client is asked to leave. Requests that it sends before it
	// receives the first one are still served.
	goAwayInterval = 500 * time.Millisecond

	// maxWaitShare is the share of a client's time for which its request waits for admission at most. A rejection in
	// the first half of that time leaves the client time to try elsewhere.
	maxWaitShare = 0.4

	acceptRetryDelay = 50 * time.Millisecond // pause after a connection could not be accepted

	rejectionSize = 128 // bytes of the frames that reject a connection, rounded up

	// MaxRejectedConns bounds the connections that are being rejected, beyond Options.Admission.MaxConnections.
	MaxRejectedConns = 16
)

// Server accepts, serves and owns connections. Each connection is released at the end of conn.serve.
type Server struct {
	options    Options
	startedAt  time.Time
	goroutines sync.WaitGroup // the goroutine of conn.serve of each connection

	mu         sync.Mutex // guards the fields below; locked before the mutex of a connection
	controller *admission.Controller
	conns      map[admission.ConnectionID]*conn
	lastID     admission.ConnectionID // ID of the latest connection

	rejectedConns int // number of connections that are being rejected
}

// New returns a Server. It returns an error if Options.Admission is invalid.
func New(o Options) (*Server, error) {
	controller, err := admission.New(o.Admission, o.Seed)
	if err != nil {
		return nil, err
	}
	if o.Resources == nil {
		o.Resources = intake.NewResources(math.MaxInt32)
	}
	return &Server{
		options:    o,
		startedAt:  time.Now(),
		controller: controller,
		conns:      map[admission.ConnectionID]*conn{},
	}, nil
}

// Serve accepts and serves connections until the listener is closed, and then waits until all of them have ended.
func (s *Server) Serve(l net.Listener) {
	done := make(chan struct{})
	var ticker sync.WaitGroup
	ticker.Go(func() { s.runTicker(done) })
	defer ticker.Wait()
	defer close(done)
	for {
		netConn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			s.goroutines.Wait() // the ticker checks timeouts until the last connection has ended
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := s.addConn(netConn); c != nil {
			s.goroutines.Go(c.serve)
		} else {
			s.rejectConn(netConn)
		}
	}
}

// rejectConn closes a connection that the admission controller does not accept. Its client may have sent requests
// already, so a GOAWAY tells it that none of them is processed. Beyond MaxRejectedConns at a time, connections are
// closed without one.
func (s *Server) rejectConn(netConn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectedConns >= MaxRejectedConns {
		netConn.Close()
		return
	}
	s.rejectedConns++
	s.goroutines.Go(func() {
		writeRejection(netConn)
		gracefulclose.Close(netConn, gracefulclose.ShortPeerTimeout)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rejectedConns--
	})
}

// writeRejection writes the server's preface and a GOAWAY after which no stream is processed.
func writeRejection(netConn net.Conn) {
	netConn.SetWriteDeadline(time.Now().Add(gracefulclose.ShortPeerTimeout))
	writer := bufio.NewWriterSize(netConn, rejectionSize)
	framer := http2.NewFramer(writer, nil)
	framer.WriteSettings()
	framer.WriteGoAway(0, http2.ErrCodeEnhanceYourCalm, []byte("the connection is not accepted"))
	writer.Flush()
}

// now returns the time since the server started, which is the clock of the admission controller.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// addConn registers a connection. It returns nil if the admission controller rejects it.
func (s *Server) addConn(netConn net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	c := newConn(s, netConn, s.lastID)
	if !s.controller.Connect(s.now(), c.id, c.client) {
		c.memory.Close()
		c.pacer.Close()
		return nil
	}
	s.conns[c.id] = c
	return c
}

// removeConn removes a connection from the table and notifies the admission controller.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	c.memory.Close()
	c.pacer.Close()
	s.applyLocked(s.controller.Disconnect(s.now(), c.id))
}

// notifyAdmission passes an event to the admission controller and applies the resulting actions.
func (s *Server) notifyAdmission(event func(c *admission.Controller, now time.Duration) []admission.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(event(s.controller, s.now()))
}

// applyLocked has each connection carry out the actions that concern it. Actions for connections that have ended are
// dropped.
func (s *Server) applyLocked(actions []admission.Action) {
	for _, action := range actions {
		c := s.conns[action.Connection]
		if c == nil {
			continue
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
		s.notifyAdmission((*admission.Controller).Tick)
		s.mu.Lock()
		for _, c := range s.conns {
			c.checkTimeouts()
		}
		s.mu.Unlock()
	}
}

// Drain asks all clients to leave. They get a GOAWAY at once that still allows new streams, and a second one after
// goAwayInterval that does not. Connections whose preface has not arrived are closed at once. The caller must have
// closed the listener.
func (s *Server) Drain() { s.notifyAdmission((*admission.Controller).Drain) }

// Shutdown drains the server and waits until all connections have ended. When ctx is done, it closes those that are
// left.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	ended := make(chan struct{})
	go func() {
		s.goroutines.Wait()
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
