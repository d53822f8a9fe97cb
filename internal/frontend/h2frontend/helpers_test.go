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

var testAdmission = admission.Config{
	MaxInFlight:      128,
	PerConnection:    100,
	PerClient:        128,
	Streams:          100,
	MinStreams:       4,
	Connections:      20,
	Memory:           4 << 20,
	ConnectionMemory: 1 << 20,
	Stall:            5 * time.Second,
}

const testMaxHeaderBytes = 16 << 10

// echoHandler answers by the path: /big is 256 KiB, /slow takes a second; everything else is echoed.
type echoHandler struct {
	mu           sync.Mutex
	handled      map[string]int // number of requests by path
	disconnected int            // requests whose client disconnected before the response
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
		select {
		case <-time.After(time.Second):
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

func (h *echoHandler) ClientID(r *http.Request) string { return r.Header.Get("X-Who") }

// testServer is a server in the fake time of a test, at gate:1 of a network in memory.
type testServer struct {
	t       *testing.T
	network scenariotest.Network
	server  *Server
	handler *echoHandler
}

// runWithServer runs a test with a server, whose admission the test may configure. At the end the server must not
// hold any connection.
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
			t.Errorf("%d connections are left", n)
		}
	})
}

// client returns the HTTP/2 client of net/http. It sends all requests over one connection.
func (s *testServer) client() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:          protocols,
		MaxConnsPerHost:    1,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return s.network.Dial(ctx, network, "gate:1")
		},
	}}
}

// get sends a request and describes its response by status, echo, Connection field and length of the body.
func get(c *http.Client, method, path, body string) string {
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
