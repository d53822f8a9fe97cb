package h2frontend

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	slowReaderBuffer   = 64 << 10             // size of the client's receive buffer
	slowReaderInterval = 3 * time.Millisecond // before each read, which returns 4 KiB at most
	slowReaderStreams  = 10                   // responses of 256 KiB each
)

// slowConn is a client's connection over which data arrives slowly.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowReaderInterval)
	return c.Conn.Read(p[:min(len(p), 4<<10)])
}

// Guards against a planned stop that closes a connection whose client is still reading: the client's window updates
// reset the connection, and responses that were written are lost
// (docs/incidents/2026-12-04-answers-cut-off-at-stop.md).
func TestSlowReaderReceivesAllResponsesAtShutdown(t *testing.T) {
	handler := newEchoHandler()
	admissionConfig := testAdmission
	admissionConfig.ConnectionMemoryBytes = admissionConfig.MemoryBytes // all responses fit into the memory
	server, err := New(Options{
		Handler:        handler,
		Admission:      admissionConfig,
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

	client := slowClient(listener.Addr().String())
	if got := doRequest(client, "GET", "/a", ""); got != "200 GET gate/a 0" {
		t.Fatalf("first request: %s", got)
	}
	var requests sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for range slowReaderStreams {
		requests.Go(func() {
			outcome := doRequest(client, "GET", "/big", "")
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	waitUntilHandled(t, handler, "/big", slowReaderStreams)
	listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	server.Shutdown(ctx)
	serving.Wait()
	requests.Wait()
	if want := "200 GET gate/big 262144"; outcomes[want] != slowReaderStreams {
		t.Errorf("outcomes of the requests: %v, want %d times %q", outcomes, slowReaderStreams, want)
	}
}

// slowClient returns an HTTP/2 client that reads slowly and sends all requests over one connection.
func slowClient(address string) *http.Client {
	return newClient(func(context.Context, string, string) (net.Conn, error) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return nil, err
		}
		c.(*net.TCPConn).SetReadBuffer(slowReaderBuffer)
		return slowConn{c}, nil
	})
}

// waitUntilHandled waits until the handler has got a number of requests for a path.
func waitUntilHandled(t *testing.T, handler *echoHandler, path string, count int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		handler.mu.Lock()
		handled := handler.handled[path]
		handler.mu.Unlock()
		if handled == count {
			return
		}
	}
	t.Fatalf("not all of %d requests were handled", count)
}
