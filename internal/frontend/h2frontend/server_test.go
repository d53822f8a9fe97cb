package h2frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
)

func TestRequests(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		client := s.client()
		defer client.CloseIdleConnections()
		for _, c := range []struct{ method, path, body, want string }{
			{method: "GET", path: "/a?b=c", want: "200 GET gate/a?b=c 0"},
			{method: "PUT", path: "/a", body: "hello", want: "200 PUT gate/a 5"},
			{method: "PUT", path: "/a", body: strings.Repeat("x", 64<<10), want: "200 PUT gate/a 65536"},
			{method: "PUT", path: "/a", body: strings.Repeat("x", 64<<10+1), want: "413  36"},
			{method: "GET", path: "/big", want: "200 GET gate/big 262144"},
		} {
			if got := get(client, c.method, c.path, c.body); got != c.want {
				s.t.Errorf("%s %s: %s, want %s", c.method, c.path, got, c.want)
			}
		}
	})
}

// The server drains while 100 streams of one client are open, and another client does not read. Each stream gets
// exactly one response, and none is delayed.
func TestHundredStreamsADrainAndASlowReader(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		slow := s.rawClient()
		slow.request(1, "GET", "/big", true) // its window is never raised
		synctest.Wait()
		c := s.client()
		defer c.CloseIdleConnections()
		began := time.Now()
		var requests sync.WaitGroup
		var mu sync.Mutex
		responses := map[string]int{}
		for i := range 100 {
			requests.Go(func() {
				path := fmt.Sprintf("/slow/%d", i)
				got := get(c, "PUT", path, "hello")
				mu.Lock()
				responses[strings.Replace(got, path, "/slow/N", 1)]++
				mu.Unlock()
			})
		}
		time.Sleep(500 * time.Millisecond)
		s.server.Drain()
		requests.Wait()
		if diff := cmp.Diff(map[string]int{"200 PUT gate/slow/N 5": 100}, responses); diff != "" {
			s.t.Error(diff)
		}
		if took := time.Since(began); took > 1100*time.Millisecond {
			s.t.Errorf("the responses took %v", took)
		}
		for path, n := range s.handler.handled {
			if n != 1 {
				s.t.Errorf("%s was handled %d times", path, n)
			}
		}
		slow.expect("goaway") // the slow client is told, too
	})
}

// A response whose window stays shut is given up; its connection stays usable.
func TestAShutWindow(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		c.request(1, "GET", "/big", true)
		c.request(3, "GET", "/a", true)
		c.expect("headers 3") // the first has used up the connection's window by then, but this response has no body
		time.Sleep(6 * time.Second)
		c.expect("rst 1 ENHANCE_YOUR_CALM")
		c.request(5, "GET", "/b", true)
		c.expect("headers 5")
	})
}

// A request that is reset while it is handled ends at once: it is handled only once and never answered.
func TestResetWhileHandled(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		c.request(1, "PUT", "/slow", true)
		synctest.Wait()
		c.framer.WriteRSTStream(1, http2.ErrCodeCancel)
		synctest.Wait()
		if s.handler.disconnected != 1 || s.handler.handled["/slow"] != 1 {
			s.t.Errorf("disconnected %d, handled %d times", s.handler.disconnected, s.handler.handled["/slow"])
		}
		time.Sleep(2 * time.Second)
		c.request(3, "GET", "/a", true)
		c.expect("headers 3")
		if c.received("headers 1") {
			s.t.Error("a stream that was reset was answered")
		}
	})
}

// Clients of HTTP/1 are told what is wrong.
func TestHTTP1ClientsGet505(t *testing.T) {
	for _, request := range []string{
		"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nUpgrade: h2c\r\nHost: a\r\n\r\n",
	} {
		runWithServer(t, nil, func(s *testServer) {
			conn, err := s.network.Dial(context.Background(), "tcp", "gate:1")
			if err != nil {
				t.Fatal(err)
			}
			go conn.Write([]byte(request))
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

// Connections beyond the limit are closed, and one that sends nothing does not stay.
func TestConnectionsAreBounded(t *testing.T) {
	withTwoConnections := func(config *admission.Config) { config.Connections = 2 }
	runWithServer(t, withTwoConnections, func(s *testServer) {
		first, second := s.rawClient(), s.connect()
		synctest.Wait()
		third := s.connect()
		third.expect("end")
		second.expect("end") // it sends nothing
		fourth := s.rawClient()
		fourth.request(1, "GET", "/", true)
		fourth.expect("headers 1")
		first.request(1, "GET", "/", true)
		first.expect("headers 1")
	})
}

// A body may arrive byte by byte.
func TestABodyByteByByte(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		c.request(1, "PUT", "/a", false, "content-length", "1000")
		for i := range 1000 {
			c.framer.WriteData(1, i == 999, []byte("x"))
		}
		c.expect("headers 1 200")
		c.expect(fmt.Sprintf("data 1 %d", 1000))
	})
}

// Streams whose request does not arrive in time are reset.
func TestHalfOpenStreams(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		repeatStreams(100, func(id uint32) error {
			c.request(id, "PUT", "/a", false, "content-length", "10")
			return c.framer.WriteData(id, false, []byte("x"))
		})
		time.Sleep(3 * time.Second)
		c.expect("rst 99 CANCEL")
		c.request(101, "GET", "/", true)
		c.expect("headers 101 200")
	})
}

// Old connections are told to leave by a GOAWAY that still allows streams and a second one that does not. A request
// that crosses the first is answered.
func TestLeavingByAge(t *testing.T) {
	withMaxAge := func(config *admission.Config) { config.Age = 2 * time.Second }
	runWithServer(t, withMaxAge, func(s *testServer) {
		c := s.rawClient()
		c.expect("goaway 2147483647 NO")
		c.request(1, "GET", "/a", true)
		c.expect("headers 1 200")
		time.Sleep(time.Second)
		c.expect("goaway 1 NO")
		c.expect("end")
	})
}

// Clients behind one connection share the capacity evenly: one with many requests does not keep another out.
func TestClientsBehindOneConnection(t *testing.T) {
	withTwoInFlight := func(config *admission.Config) {
		config.MaxInFlight = 2
		config.PerClient = 1
	}
	runWithServer(t, withTwoInFlight, func(s *testServer) {
		c := s.rawClient()
		repeatStreams(20, func(id uint32) error {
			return c.request(id, "GET", "/slow", true, "x-who", "greedy")
		})
		c.request(21, "GET", "/slow", true, "x-who", "modest")
		time.Sleep(1100 * time.Millisecond)
		c.expect("headers 21 200")
		if c.received("headers 3 200") {
			s.t.Error("two requests of the greedy client were handled at once")
		}
	})
}

// More urgent responses are written first, whether the request or a later frame states the urgency.
func TestUrgency(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(c *rawClient) // sends an urgent request on stream 3
	}{
		{
			name: "9218-5 by field",
			send: func(c *rawClient) { c.request(3, "GET", "/big", true, "priority", "u=0, i") },
		},
		{
			name: "9218-7.1 by PRIORITY_UPDATE",
			send: func(c *rawClient) {
				c.request(3, "GET", "/big", true, "priority", "u=7")
				update := append([]byte{0, 0, 0, 3}, "u=0"...)
				c.framer.WriteRawFrame(http2.FramePriorityUpdate, 0, 0, update)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithServer(t, nil, func(s *testServer) { checkUrgentFirst(s, c.send) })
		})
	}
}

// checkUrgentFirst checks that the response on stream 3 is written before the rest of that on stream 1.
func checkUrgentFirst(s *testServer, sendUrgent func(c *rawClient)) {
	c := s.rawClient()
	c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
	c.request(1, "GET", "/big", true, "priority", "u=6") // uses up the connection's window and waits
	synctest.Wait()
	sendUrgent(c)
	synctest.Wait()
	c.framer.WriteWindowUpdate(0, 256<<10)
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	urgent, other := 0, 0 // parts of both responses, from the first urgent part on
	for _, event := range c.events {
		if strings.HasPrefix(event, "data 3") {
			urgent++
		} else if strings.HasPrefix(event, "data 1") && urgent > 0 && urgent < 16 {
			other++
		}
	}
	if urgent < 16 || other > 1 {
		s.t.Errorf("%d parts of the urgent response, %d of the other among them: %q", urgent, other, c.events)
	}
}

// FuzzFrames sends any bytes after the preface: the server must neither panic nor keep anything.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 1, 1, 5, 0, 0, 0, 1, 0x82})
	f.Add([]byte{0, 0, 4, 8, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Add([]byte{0, 0, 6, 4, 0, 0, 0, 0, 0, 0, 4, 0x7f, 0xff, 0xff, 0xff, 0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 8})
	f.Fuzz(func(t *testing.T, frames []byte) {
		runWithServer(t, nil, func(s *testServer) {
			c := s.rawClient()
			c.request(1, "PUT", "/slow", false)
			c.conn.Write(frames)
			synctest.Wait()
			c.conn.Close()
		})
	})
}
