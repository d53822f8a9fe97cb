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

// TestRequests checks requests of the HTTP/2 client of net/http, with bodies up to the limit and beyond it.
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
			if got := doRequest(client, c.method, c.path, c.body); got != c.want {
				s.t.Errorf("%s %s with a body of %d bytes: got %q, want %q", c.method, c.path, len(c.body), got, c.want)
			}
		}
	})
}

// TestDrainWithOpenStreamsAndStalledClient drains the server while one client has 100 open streams and another client
// does not raise its windows. Each stream of the first client must get exactly one response, and none may be delayed.
func TestDrainWithOpenStreamsAndStalledClient(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		stalled := s.rawClient()
		stalled.request(1, "GET", "/big", true) // the client never raises its windows
		synctest.Wait()
		c := s.client()
		defer c.CloseIdleConnections()
		startedAt := time.Now()
		var requests sync.WaitGroup
		var mu sync.Mutex
		responses := map[string]int{}
		for i := range 100 {
			requests.Go(func() {
				path := fmt.Sprintf("/slow/%d", i)
				got := doRequest(c, "PUT", path, "hello")
				mu.Lock()
				responses[strings.Replace(got, path, "/slow/N", 1)]++
				mu.Unlock()
			})
		}
		time.Sleep(500 * time.Millisecond)
		s.server.Drain()
		requests.Wait()
		if diff := cmp.Diff(map[string]int{"200 PUT gate/slow/N 5": 100}, responses); diff != "" {
			s.t.Errorf("responses (-want +got):\n%s", diff)
		}
		if took := time.Since(startedAt); took > 1100*time.Millisecond {
			s.t.Errorf("the responses took %v, want at most 1.1s", took)
		}
		for path, n := range s.handler.handled {
			if n != 1 {
				s.t.Errorf("%s was handled %d times, want once", path, n)
			}
		}
		stalled.expect("goaway")
	})
}

// TestStalledStreamIsReset checks that a stream is reset if the client does not raise the windows that its response
// waits for, and that the connection stays usable.
func TestStalledStreamIsReset(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		c.request(1, "GET", "/big", true)
		c.request(3, "GET", "/a", true)
		c.expect("headers 3") // the first response has used up the connection's window, but this one has no body
		time.Sleep(6 * time.Second)
		c.expect("rst 1 ENHANCE_YOUR_CALM")
		c.request(5, "GET", "/b", true)
		c.expect("headers 5")
	})
}

// Guards against requests that have run and get no answer because no memory is left for their response
// (docs/incidents/2026-12-04-no-answer-without-memory.md).
func TestRequestFailsWithoutMemoryForItsResponse(t *testing.T) {
	withLittleMemory := func(config *admission.Config) { config.ConnectionMemoryBytes = 100 << 10 }
	runWithServer(t, withLittleMemory, func(s *testServer) {
		c := s.client()
		defer c.CloseIdleConnections()
		if got, want := doRequest(c, "PUT", "/big", "hello"), "502  0"; got != want {
			s.t.Errorf("response of 256 KiB with memory for 100 KiB: %q, want %q", got, want)
		}
		if got, want := doRequest(c, "PUT", "/a", "hello"), "200 PUT gate/a 5"; got != want {
			s.t.Errorf("the next response: %q, want %q", got, want)
		}
	})
}

// TestResetWhileHandled checks that the context of a request ends at once when its stream is reset while it is handled,
// and that the request is handled only once and not answered.
func TestResetWhileHandled(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		c.request(1, "PUT", "/slow", true)
		synctest.Wait()
		c.framer.WriteRSTStream(1, http2.ErrCodeCancel)
		synctest.Wait()
		if s.handler.disconnected != 1 || s.handler.handled["/slow"] != 1 {
			s.t.Errorf("%d contexts ended and %d requests were handled, want 1 of each",
				s.handler.disconnected, s.handler.handled["/slow"])
		}
		time.Sleep(2 * time.Second)
		c.request(3, "GET", "/a", true)
		c.expect("headers 3")
		if c.received("headers 1") {
			s.t.Error("the client received a response on the stream that it had reset, want none")
		}
	})
}

// TestHTTP1ClientsGet505 checks that HTTP/1.1 requests, also those for an upgrade, get a response that explains the
// required protocol. It guards against requests whose first line is long and which got the end of the connection
// (docs/incidents/2026-12-04-http1-request-without-response.md).
func TestHTTP1ClientsGet505(t *testing.T) {
	for _, request := range []string{
		"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nUpgrade: h2c\r\nHost: a\r\n\r\n",
		"GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\n\r\n",
		"PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
		"POST /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
	} {
		runWithServer(t, nil, func(s *testServer) {
			conn, err := s.network.Dial(context.Background(), "tcp", "gate:1")
			if err != nil {
				t.Fatalf("connecting for %q: got error %v, want none", request, err)
			}
			go conn.Write([]byte(request))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != 505 {
				t.Fatalf("response to %q: %v, error %v, want status 505", request, resp, err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || !strings.Contains(string(body), "prior knowledge") {
				t.Errorf("response to %q: body %q, error %v, want a body that mentions prior knowledge",
					request, body, err)
			}
			conn.Close()
		})
	}
}

// TestConnectionLimit checks that a connection beyond the limit is closed, and that one on which the client sends
// nothing is closed after a while, so that a new one is accepted.
func TestConnectionLimit(t *testing.T) {
	withTwoConnections := func(config *admission.Config) { config.MaxConnections = 2 }
	runWithServer(t, withTwoConnections, func(s *testServer) {
		first, second := s.rawClient(), s.connect()
		synctest.Wait()
		third := s.connect()
		third.expect("end")
		second.expect("end") // this client has sent no preface
		fourth := s.rawClient()
		fourth.request(1, "GET", "/", true)
		fourth.expect("headers 1")
		first.request(1, "GET", "/", true)
		first.expect("headers 1")
	})
}

// TestBodyInOneByteFrames checks that a body may arrive in DATA frames of one byte.
func TestBodyInOneByteFrames(t *testing.T) {
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

// TestIncompleteRequestsTimeOut checks that streams are reset if their requests do not arrive in time.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		forEachStreamID(100, func(id uint32) error {
			c.request(id, "PUT", "/a", false, "content-length", "10")
			return c.framer.WriteData(id, false, []byte("x"))
		})
		time.Sleep(3 * time.Second)
		c.expect("rst 99 CANCEL")
		c.request(101, "GET", "/", true)
		c.expect("headers 101 200")
	})
}

// TestGoAwayAtMaxAge checks that a connection at its maximum age gets a GOAWAY that still allows new streams, and then
// a second one that does not. A request sent between the two is answered.
func TestGoAwayAtMaxAge(t *testing.T) {
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

// TestClientsOfOneConnectionShareCapacity checks that clients whose requests arrive over the same connection share the
// capacity evenly, so that one with many requests does not delay another.
func TestClientsOfOneConnectionShareCapacity(t *testing.T) {
	withTwoInFlight := func(config *admission.Config) {
		config.MaxInFlight = 2
		config.PerClient = 1
	}
	runWithServer(t, withTwoInFlight, func(s *testServer) {
		c := s.rawClient()
		forEachStreamID(20, func(id uint32) error {
			return c.request(id, "GET", "/slow", true, "x-client", "greedy")
		})
		c.request(21, "GET", "/slow", true, "x-client", "modest")
		time.Sleep(1100 * time.Millisecond)
		c.expect("headers 21 200")
		if c.received("headers 3 200") {
			s.t.Error("the second request of the greedy client is answered already, want it to wait")
		}
	})
}

// TestUrgency checks that more urgent responses are written first, whether the request or a later frame states the
// urgency.
func TestUrgency(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(c *rawClient) // sends an urgent request on stream 3
	}{
		{
			name: "9218-5 urgency in the Priority field",
			send: func(c *rawClient) { c.request(3, "GET", "/big", true, "priority", "u=0, i") },
		},
		{
			name: "9218-7.1 urgency in PRIORITY_UPDATE",
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

// checkUrgentFirst checks that the response on stream 3 is written before the rest of the response on stream 1.
func checkUrgentFirst(s *testServer, sendUrgent func(c *rawClient)) {
	c := s.rawClient()
	c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
	c.request(1, "GET", "/big", true, "priority", "u=6") // its response uses up the connection's window and waits
	synctest.Wait()
	sendUrgent(c)
	synctest.Wait()
	c.framer.WriteWindowUpdate(0, 256<<10)
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	urgent, other := 0, 0 // DATA frames of both responses, counted from the first urgent one to the last
	for _, event := range c.events {
		if strings.HasPrefix(event, "data 3") {
			urgent++
		} else if strings.HasPrefix(event, "data 1") && urgent > 0 && urgent < 16 {
			other++
		}
	}
	if urgent < 16 || other > 1 {
		s.t.Errorf("%d DATA frames of the urgent response, want at least 16; %d of the other one "+
			"before the last of them, want at most 1: %q", urgent, other, c.events)
	}
}

// FuzzFrames sends arbitrary bytes after the preface and a request. The server must not panic, and must hold no
// connections afterwards.
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
