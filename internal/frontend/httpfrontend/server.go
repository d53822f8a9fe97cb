package httpfrontend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	// A request must be in, head and body, this long after its connection was made or, later, after its first byte:
	// whoever sends none is owed an end within 3 s of connecting.
	requestTime = 2 * time.Second
	answerTime  = 30 * time.Second // for an answer to go out, counted from the request's head
	idleTime    = 5 * time.Minute  // a client's connection is kept idle for so long

	// DefaultMaxHeaderBytes bounds a request's head, in bytes, where the operator says nothing else.
	DefaultMaxHeaderBytes = 16 << 10
)

// Server listens for clients. Their connections are owned by its listener, clients.
type Server struct {
	http    *http.Server
	front   *Frontend
	clients *clients
}

// NewServer serves front on l with at most sockets connections and heads of so many bytes.
func NewServer(front *Frontend, l net.Listener, sockets, head int, log *slog.Logger) *Server {
	return &Server{front: front, clients: newClients(l, sockets), http: &http.Server{
		Handler: front, ReadTimeout: requestTime, WriteTimeout: answerTime, IdleTimeout: idleTime, MaxHeaderBytes: head,
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: keep,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				conn.(*client).enterStage(idle)
			}
		},
	}}
}

// Serve serves until Shutdown.
func (s *Server) Serve() error {
	err := s.http.Serve(s.clients)
	if s.front.stopped.Load() != nil {
		return nil
	}
	return err
}

// Shutdown stops taking connections and requests, and waits until all that was taken is answered, or ctx ends. That of
// http.Server would close connections over which a request has just come, and drop such requests without an answer.
func (s *Server) Shutdown(ctx context.Context) error {
	now := time.Now()
	s.front.stopped.Store(&now)
	err := s.clients.Listener.Close()
	s.clients.drain()
	select {
	case <-s.clients.empty:
		return err
	case <-ctx.Done():
		return errors.Join(ctx.Err(), err, s.http.Close())
	}
}
