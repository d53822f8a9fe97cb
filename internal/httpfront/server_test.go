package httpfront

import (
	"context"
	"log/slog"
	"testing"

	"reachpulley/decide"
	"reachpulley/internal/scenario"
)

// Sockets run out cleanly: beyond the budget a client is told to come again, over another connection, and one more
// waits until there is room.
func TestClientsBeyondTheBudget(t *testing.T) {
	script := `
		a send GET /ready
		a expect 200
		b send GET /ready
		b expect 200
		c send GET /ready
		c expect 200
		d send GET /ready
		d expect 503 Connection=close
		d expect end
		a send GET /ready
		a expect 200
		a close
		e send GET /ready
		e expect 200`
	scenario.Run(t, script, func(s *scenario.Stage) func() {
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			s.Client(name, "gate:1", scenario.HTTP{Shows: []string{"Connection"}})
		}
		log := slog.New(slog.DiscardHandler)
		server := NewServer(New(decide.Settings{}, nil, log), s.Network.Listen("gate:1"), 4, log)
		ended := make(chan error)
		go func() { ended <- server.Serve() }()
		return func() {
			server.Shutdown(context.Background())
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
}
