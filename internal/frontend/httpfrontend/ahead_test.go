package httpfrontend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// In whatever pieces requests come, what is handed on at once is of one request.
func TestBounds(t *testing.T) {
	requests := []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"PUT /b HTTP/1.1\r\nHost: h\r\ncontent-LENGTH:  5 \r\nX-Long: " + strings.Repeat("x", 3*mostLine) + "\r\n\r\nhello",
		"PUT /c HTTP/1.1\nContent-Length: 3\n\na\n\n",
		"PUT /d HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
	}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var b bounds
		var all, one string
		for range 20 {
			all += requests[random.IntN(len(requests))]
		}
		for rest := all; rest != ""; {
			n := b.within([]byte(rest[:1+random.IntN(min(len(rest), 90))]))
			one, rest = one+rest[:n], rest[n:]
			whole := false
			for _, q := range requests {
				whole = whole || one == q
				if strings.HasPrefix(one, q) && one != q {
					t.Fatalf("seed %d: %q goes beyond a request", seed, one)
				}
			}
			if whole {
				one = ""
			}
		}
		if one != "" {
			t.Fatalf("seed %d: %q is left", seed, one)
		}
	}
}

// big is a core whose answers are longer than what a client's kernel takes.
type big struct{ body []byte }

func (c big) Open(x *exchange.Exchange) {
	x.Finish(exchange.Answer{Reply: &httpmsg.Reply{Body: c.body}})
}

// serveOn starts a server on loopback.
func serveOn(t *testing.T, core Core) (s *Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	settings := scheduler.Settings{Classes: []scheduler.Class{{Name: "c", Deadline: time.Minute}}, Plans: []scheduler.Plan{{Name: "p"}}}
	s = NewServer(New(Options{Settings: settings, Loop: core, Log: log}), l, 20, DefaultMaxHeaderBytes, log)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		within, stop := context.WithTimeout(context.Background(), 10*time.Second)
		defer stop()
		s.Shutdown(within)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// The last answer of a connection crosses what the client goes on sending: a close over unread bytes would reset the connection, and what the client's kernel had
// not taken of the answer would be lost.
func TestAnswerOutlivesAClose(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<15)
	s, address := serveOn(t, big{body})
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c := raw.(*net.TCPConn)
	defer c.Close()
	c.SetReadBuffer(64 << 10)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	text := strings.ReplaceAll(line+facts+`Connection: close\nContent-Length: 0\n\n`, `\n`, "\r\n")
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	for done := false; !done; time.Sleep(time.Millisecond) { // until the server is done with it
		s.clients.mu.Lock()
		done = s.clients.accepted == 1
		for c := range s.clients.conns {
			done = done && c.stage >= leaving
		}
		s.clients.mu.Unlock()
	}
	if _, err := io.WriteString(c, strings.Repeat("x", 1000)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.Equal(got, body) {
		t.Fatalf("%d of %d bytes came: %v", len(got), len(body), err)
	}
}

// held is a connection over which bytes have come that nobody was given yet: they are out of the kernel.
type held struct {
	net.Conn
	came, give chan bool
}

func (h *held) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.came <- true
		<-h.give
	}
	return n, err
}

// A stop crosses a request on a resting connection, in the moment in which its bytes are neither in the kernel nor with the server: the connection is closed, and
// then nobody gets to see the request.
func TestStopWhileARequestIsRead(t *testing.T) {
	near, far := net.Pipe()
	h := &held{Conn: near, came: make(chan bool), give: make(chan bool)}
	l := newClients(nil, 4)
	c := &client{Conn: h, ahead: newAhead(h), home: l, since: time.Now(), stage: idle}
	l.conns[c] = true
	go func() {
		c.ahead.run()
		c.heardEnd()
	}()
	go far.Write([]byte("GET /ready HTTP/1.1\r\n\r\n"))
	<-h.came
	l.drain()
	h.give <- true
	if n, err := c.Read(make([]byte, 100)); n > 0 || err == nil {
		t.Errorf("%d bytes of a closed connection were given: %v", n, err)
	}
	if c.enterStage(open) {
		t.Error("its request may go on")
	}
	<-l.empty
}

// A client that sends without end is read ahead of its requests only so far.
func TestAheadIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	a := newAhead(near)
	go a.run()
	go func() {
		for {
			if _, err := far.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}()
	full := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.held > mostAhead+moreAhead {
			t.Fatalf("%d bytes are held", a.held)
		}
		return a.held >= mostAhead
	}
	for !full() {
		time.Sleep(time.Millisecond)
	}
	for read := 0; read < 4<<20; {
		n, err := a.Read(make([]byte, 4<<10))
		if err != nil {
			t.Fatal(err)
		}
		read += n
		full()
	}
	near.Close()
	<-a.gone
}
