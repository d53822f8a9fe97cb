package h2frontend

import (
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"
)

// Guards against clients that send nothing and stay connected: after their timeout they must not occupy connections,
// although the server gives its peers time to receive what it has written.
func TestSilentClientDoesNotOccupyConnection(t *testing.T) {
	server, err := New(Options{
		Handler:        newEchoHandler(),
		Admission:      testAdmission,
		MaxHeaderBytes: testMaxHeaderBytes,
		Log:            slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() { server.Serve(listener) })
	silent, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	began := time.Now()
	for open := 0; open == 0; time.Sleep(time.Millisecond) {
		server.mu.Lock()
		open = len(server.conns)
		server.mu.Unlock()
	}
	listener.Close()
	serving.Wait() // until the connection has ended
	// The timeout is 2 s, and the time for the peer is 1 s. The other 3 s are a tolerance for a busy machine.
	if passed := time.Since(began); passed > 6*time.Second {
		t.Errorf("the connection ended after %v, want 3 s", passed)
	}
}
