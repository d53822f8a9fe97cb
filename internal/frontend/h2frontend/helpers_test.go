package h2frontend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/admission"
	"reachpulley/internal/scenariotest"
)

// testAdmission is the admission configuration of the tests, which a test may change.
var testAdmission = admission.Config{
	MaxInFlight:           128,
	PerConnection:         100,
	PerClient:             128,
	MaxStreams:            100,
	MinStreams:            4,
	MaxConnections:        20,
	MemoryBytes:           4 << 20,
	ConnectionMemoryBytes: 1 << 20,
	Stall:                 5 * time.Second,
}

const testMaxHeaderBytes = 16 << 10

// echoHandler answers with the body of the request. A path that begins with /big is answered with 256 KiB instead, and
// one that begins with /slow after a second or after the time in the X-Delay field. The X-Echo field repeats the
// method, host and URI of the request.
type echoHandler struct {
	mu           sync.Mutex
	handled      map[string]int // number of requests by path
	disconnected int            // number of /slow requests whose context ended before the response
}

func newEchoHandler() *echoHandler { return &echoHandler{handled: map[string]int{}} }

func (h *echoHandler) Handle(r *http.Request) *http.Response {
	h.mu.Lock()
	h.handled[r.URL.Path]++
	h.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	switch {
	case strings.HasPrefix(r.URL.Path, "/big"):
		body = bytes.Repeat([]byte("b"), 256<<10)
	case strings.HasPrefix(r.URL.Path, "/slow"):
		delay := time.Second
		if d, err := time.ParseDuration(r.Header.Get("X-Delay")); err == nil {
			delay = d
		}
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			h.mu.Lock()
			h.disconnected++
			h.mu.Unlock()
		}
	}
	echo := r.Method + " " + r.Host + r.URL.RequestURI()
	return &http.Response{
		StatusCode: 200,
		Header:     http.Header{"X-Echo": {echo}, "Connection": {"x"}},
		Body:       io.NopCloser(bytes.NewReader(body)),
	}
}

// canceled returns the number of /slow requests whose context ended before the response.
func (h *echoHandler) canceled() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disconnected
}

func (h *echoHandler) ClientID(r *http.Request) string { return r.Header.Get("X-Client") }

// testServer is a server that runs in the fake time of a test and listens at gate:1 of a network in memory.
type testServer struct {
	t       *testing.T
	network scenariotest.Network
	server  *Server
	handler *echoHandler
}

// runWithServer runs a test with a server. If configure is not nil, it changes the admission configuration. At the end
// runWithServer shuts the server down and checks that it holds no connections.
func runWithServer(t *testing.T, configure func(*admission.Config), test func(s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		config := testAdmission
		if configure != nil {
			configure(&config)
		}
		s := &testServer{t: t, handler: newEchoHandler()}
		var err error
		s.server, err = New(Options{
			Handler:        s.handler,
			Admission:      config,
			Seed:           1,
			MaxHeaderBytes: testMaxHeaderBytes,
			Log:            slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		l := s.network.Listen("gate:1")
		var serving sync.WaitGroup
		serving.Go(func() { s.server.Serve(l) })
		test(s)
		l.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		s.server.Shutdown(ctx)
		serving.Wait()
		if n := len(s.server.conns); n != 0 {
			t.Errorf("the server holds %d connections after Shutdown, want 0", n)
		}
	})
}

// onlyConn returns the server's only connection.
func (s *testServer) onlyConn() *conn {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if len(s.server.conns) != 1 {
		s.t.Fatalf("the server has %d connections, want one", len(s.server.conns))
	}
	for _, c := range s.server.conns {
		return c
	}
	return nil
}

// client returns an HTTP/2 client of net/http that sends all requests over one connection.
func (s *testServer) client() *http.Client {
	return newClient(func(ctx context.Context, network, _ string) (net.Conn, error) {
		return s.network.Dial(ctx, network, "gate:1")
	})
}

// newClient returns an HTTP/2 client of net/http that sends all requests over one connection.
func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:          protocols,
		MaxConnsPerHost:    1,
		DisableCompression: true,
		DialContext:        dial,
	}}
}

// doRequest sends a request and returns a description of its response: the status, the X-Echo and Connection fields,
// and the length of the body in bytes. If the request fails, it returns the text of the error.
func doRequest(c *http.Client, method, path, body string) string {
	r, err := http.NewRequest(method, "http://gate"+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	resp, err := c.Do(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	received, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	echo, connection := resp.Header.Get("X-Echo"), resp.Header.Get("Connection")
	return fmt.Sprint(resp.StatusCode, " ", echo, " ", connection, len(received))
}
