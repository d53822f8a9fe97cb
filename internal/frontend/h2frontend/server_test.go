package h2frontend

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
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

	"github.com/google/go-cmp/cmp"
	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
	"reachpulley/internal/scenariotest"
)

var admits = admission.Config{MaxInFlight: 128, PerConnection: 100, PerClient: 128, Streams: 100, MinStreams: 4, Connections: 20, Memory: 4 << 20,
	ConnectionMemory: 1 << 20, Stall: 5 * time.Second}

// carrier answers by the path: /big is 256 KiB, /slow takes a second; everything else is echoed.
type carrier struct {
	mu   sync.Mutex
	seen map[string]int // by path, how often it was carried
	left int            // whose client left before the answer
}

func (c *carrier) Handle(r *http.Request) *http.Response {
	c.mu.Lock()
	c.seen[r.URL.Path]++
	c.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	switch {
	case strings.HasPrefix(r.URL.Path, "/big"):
		body = bytes.Repeat([]byte("b"), 256<<10)
	case strings.HasPrefix(r.URL.Path, "/slow"):
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			c.mu.Lock()
			c.left++
			c.mu.Unlock()
		}
	}
	return &http.Response{StatusCode: 200, Header: http.Header{"X-Echo": {r.Method + " " + r.Host + r.URL.RequestURI()}, "Connection": {"x"}},
		Body: io.NopCloser(bytes.NewReader(body))}
}

func (c *carrier) ClientID(r *http.Request) string { return r.Header.Get("X-Who") }

// stage is a server within a test's fake time, and ways to reach it.
type stage struct {
	t       *testing.T
	net     scenariotest.Network
	server  *Server
	carrier *carrier
}

// play runs a test before a server. At its end the server must hold nothing.
func play(t *testing.T, change func(*admission.Config), test func(s *stage)) {
	synctest.Test(t, func(t *testing.T) {
		set := admits
		if change != nil {
			change(&set)
		}
		s := &stage{t: t, carrier: &carrier{seen: map[string]int{}}}
		var err error
		if s.server, err = New(Options{Carrier: s.carrier, Admission: set, Seed: 1, MaxHeaderBytes: 16 << 10, Log: slog.New(slog.DiscardHandler)}); err != nil {
			t.Fatal(err)
		}
		l := s.net.Listen("gate:1")
		var serving sync.WaitGroup
		serving.Go(func() { s.server.Serve(l) })
		test(s)
		l.Close()
		within, done := context.WithTimeout(t.Context(), 10*time.Second)
		defer done()
		s.server.Shutdown(within)
		serving.Wait()
		if n := len(s.server.conns); n != 0 {
			t.Errorf("%d connections are left", n)
		}
	})
}

// client is one that nobody here wrote.
func (s *stage) client() *http.Client {
	return &http.Client{Transport: &http2.Transport{AllowHTTP: true, DisableCompression: true,
		DialTLSContext: func(ctx context.Context, network, _ string, _ *tls.Config) (net.Conn, error) {
			return s.net.Dial(ctx, network, "gate:1")
		}}}
}

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
	all, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("X-Echo"), " ", resp.Header.Get("Connection"), len(all))
}

func TestRequests(t *testing.T) {
	play(t, nil, func(s *stage) {
		c := s.client()
		defer c.CloseIdleConnections()
		for _, one := range [][4]string{
			{"GET", "/a?b=c", "", "200 GET gate/a?b=c 0"},
			{"PUT", "/a", "hello", "200 PUT gate/a 5"},
			{"PUT", "/a", strings.Repeat("x", 64<<10), "200 PUT gate/a 65536"},
			{"PUT", "/a", strings.Repeat("x", 64<<10+1), "413  36"},
			{"GET", "/big", "", "200 GET gate/big 262144"},
		} {
			if got := get(c, one[0], one[1], one[2]); got != one[3] {
				s.t.Errorf("%s %s: %s, want %s", one[0], one[1], got, one[3])
			}
		}
	})
}

// The operators' own case: 100 streams at once, a drain in the middle, one client that does not read. Each stream has
// one answer, none is lost, and the neighbours are not held up.
func TestHundredStreamsADrainAndASlowReader(t *testing.T) {
	play(t, nil, func(s *stage) {
		slow := s.raw()
		slow.request(1, "GET", "/big", true) // its window is never raised
		synctest.Wait()
		c := s.client()
		defer c.CloseIdleConnections()
		began := time.Now()
		var all sync.WaitGroup
		var mu sync.Mutex
		answers := map[string]int{}
		for i := range 100 {
			all.Go(func() {
				path := fmt.Sprintf("/slow/%d", i)
				got := get(c, "PUT", path, "hello")
				mu.Lock()
				answers[strings.Replace(got, path, "/slow/N", 1)]++
				mu.Unlock()
			})
		}
		time.Sleep(500 * time.Millisecond)
		s.server.Drain()
		all.Wait()
		if diff := cmp.Diff(map[string]int{"200 PUT gate/slow/N 5": 100}, answers); diff != "" {
			s.t.Error(diff)
		}
		if took := time.Since(began); took > 1100*time.Millisecond {
			s.t.Errorf("the neighbours took %v", took)
		}
		for path, n := range s.carrier.seen {
			if n != 1 {
				s.t.Errorf("%s was carried %d times", path, n)
			}
		}
		slow.expect("goaway") // the slow reader hears it, too
	})
}

// A window that stays shut: its stream is given up, the connection lives on.
func TestAShutWindow(t *testing.T) {
	play(t, nil, func(s *stage) {
		c := s.raw()
		c.request(1, "GET", "/big", true)
		c.request(3, "GET", "/a", true)
		c.expect("headers 3") // 64 KiB of the first have used up the connection's window by then; this has no body
		time.Sleep(6 * time.Second)
		c.expect("rst 1 ENHANCE_YOUR_CALM")
		c.request(5, "GET", "/b", true)
		c.expect("headers 5")
	})
}

// The request is at the core: its client leaves, it is not carried again, and nothing is answered.
func TestResetWhileAtTheCore(t *testing.T) {
	play(t, nil, func(s *stage) {
		c := s.raw()
		c.request(1, "PUT", "/slow", true)
		synctest.Wait()
		c.framer.WriteRSTStream(1, http2.ErrCodeCancel)
		synctest.Wait()
		if s.carrier.left != 1 || s.carrier.seen["/slow"] != 1 {
			s.t.Errorf("left %d, carried %d", s.carrier.left, s.carrier.seen["/slow"])
		}
		time.Sleep(2 * time.Second)
		c.request(3, "GET", "/a", true)
		c.expect("headers 3")
		if got := c.heard("headers 1"); got {
			s.t.Error("a stream that was reset is answered")
		}
	})
}

// Clients of HTTP/1 hear what is wrong.
func TestHTTP1HearsWhy(t *testing.T) {
	for _, first := range []string{"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nUpgrade: h2c\r\nHost: a\r\n\r\n"} {
		play(t, nil, func(s *stage) {
			conn, err := s.net.Dial(context.Background(), "tcp", "gate:1")
			if err != nil {
				t.Fatal(err)
			}
			go conn.Write([]byte(first))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != 505 {
				t.Fatal(resp, err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || !strings.Contains(string(body), "prior knowledge") {
				t.Errorf("%s, %v", body, err)
			}
			conn.Close()
		})
	}
}

// Connections beyond the limit are closed, and a silent one does not stay.
func TestConnectionsAreBounded(t *testing.T) {
	play(t, func(set *admission.Config) { set.Connections = 2 }, func(s *stage) {
		one, two := s.raw(), s.bare()
		synctest.Wait()
		three := s.bare()
		three.expect("end")
		two.expect("end") // it says nothing
		four := s.raw()
		four.request(1, "GET", "/", true)
		four.expect("headers 1")
		one.request(1, "GET", "/", true)
		one.expect("headers 1")
	})
}

// FuzzFrames sends what it likes after the preface: the server neither panics nor keeps anything.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 1, 1, 5, 0, 0, 0, 1, 0x82})
	f.Add([]byte{0, 0, 4, 8, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Add([]byte{0, 0, 6, 4, 0, 0, 0, 0, 0, 0, 4, 0x7f, 0xff, 0xff, 0xff, 0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 8})
	f.Fuzz(func(t *testing.T, frames []byte) {
		play(t, nil, func(s *stage) {
			c := s.raw()
			c.request(1, "PUT", "/slow", false)
			c.conn.Write(frames)
			synctest.Wait()
			c.conn.Close()
		})
	})
}

func TestRapidResetIsCut(t *testing.T) {
	play(t, nil, func(s *stage) {
		c := s.raw()
		for id := uint32(1); id < 20_000; id += 2 {
			if c.request(id, "GET", "/slow", true) != nil || c.framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
				break
			}
		}
		c.expect("end")
		synctest.Wait()
		if n := s.carrier.seen["/slow"]; n > 50 {
			s.t.Errorf("the core heard of %d requests", n)
		}
	})
}
