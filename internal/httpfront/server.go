package httpfront

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

const (
	headTime  = 5 * time.Second // for a request's head to come in
	idleTime  = 5 * time.Minute // a client's connection is kept idle for so long
	mostHead  = 16 << 10
	spareConn = 16 // connections beyond the budget that are told to go away rather than left waiting
)

// Server listens for clients. It owns their connections, which http.Server gives back, and keeps their number
// within a budget: beyond it requests are refused and their connections closed, and a few more wait unaccepted.
type Server struct {
	front    *Front
	http     *http.Server
	listener net.Listener
	open     atomic.Int64
	budget   int64
}

// NewServer serves front on l with at most sockets connections.
func NewServer(front *Front, l net.Listener, sockets int, log *slog.Logger) *Server {
	s := &Server{front: front, listener: netutil.LimitListener(l, sockets), budget: int64(sockets - min(spareConn, sockets/4))}
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: mostHead,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.open.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.open.Add(-1)
			}
		},
	}
	return s
}

// ServeHTTP refuses what comes over a connection beyond the budget, unseen by the core.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.open.Load() > s.budget {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.front.ServeHTTP(w, r)
}

// Serve serves until Shutdown.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops taking connections and waits until all that was taken is answered, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
