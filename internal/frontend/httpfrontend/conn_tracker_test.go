package httpfrontend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// fixedLoop answers every request with the same body.
type fixedLoop struct{ body []byte }

func (l fixedLoop) Open(x *exchange.Exchange) {
	x.Finish(exchange.Answer{Reply: &httpmsg.Reply{Body: l.body}})
}

// serveOnLoopback starts a server on a loopback address and stops it at the end of the test.
func serveOnLoopback(t *testing.T, loop Loop) (s *Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	settings := scheduler.Settings{
		Classes: []scheduler.Class{{Name: "c", Deadline: time.Minute}},
		Plans:   []scheduler.Plan{{Name: "p"}},
	}
	s = NewServer(New(Options{Settings: settings, Loop: loop, Log: log}), l, 20, DefaultMaxHeaderBytes, log)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		s.Shutdown(ctx)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// waitForLastResponse waits until the server has sent all that it sends on its only connection.
func waitForLastResponse(s *Server) {
	for done := false; !done; time.Sleep(time.Millisecond) {
		s.conns.mu.Lock()
		done = s.conns.accepted == 1
		for c := range s.conns.conns {
			done = done && c.state.closing()
		}
		s.conns.mu.Unlock()
	}
}

// The client goes on sending while the last response of its connection is under way. A close with unread input would
// reset the connection, and the part of the response that the client's kernel has not received would be lost.
func TestAnswerOutlivesAClose(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<15)
	s, address := serveOnLoopback(t, fixedLoop{body})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c := conn.(*net.TCPConn)
	defer c.Close()
	c.SetReadBuffer(64 << 10)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	request := strings.ReplaceAll(requestLine+platformHeaders+`Connection: close\nContent-Length: 0\n\n`, `\n`, "\r\n")
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	waitForLastResponse(s)
	if _, err := io.WriteString(c, strings.Repeat("x", 1000)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.Equal(got, body) {
		t.Fatalf("received %d of %d bytes: %v", len(got), len(body), err)
	}
}

// pausedConn holds back the result of each read, so that its bytes are neither in the kernel nor with the reader.
type pausedConn struct {
	net.Conn
	received, resume chan bool
}

func (p *pausedConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if n > 0 {
		p.received <- true
		<-p.resume
	}
	return n, err
}

// The server stops in the moment in which the bytes of a request on an idle connection are neither in the kernel nor
// with the server. The connection is closed, and then the request must not have any effect.
func TestStopWhileARequestIsRead(t *testing.T) {
	near, far := net.Pipe()
	paused := &pausedConn{Conn: near, received: make(chan bool), resume: make(chan bool)}
	tracker := newConnTracker(nil, 4)
	c := newClientConn(tracker, paused)
	c.state = stateIdle
	tracker.conns[c] = true
	go c.readInput()
	go far.Write([]byte("GET /ready HTTP/1.1\r\n\r\n"))
	<-paused.received
	tracker.drain()
	paused.resume <- true
	if n, err := c.Read(make([]byte, 100)); n > 0 || err == nil {
		t.Errorf("read %d bytes of a closed connection: %v", n, err)
	}
	if c.enterState(stateActive) {
		t.Error("the request may be served")
	}
	<-tracker.drained
}
