package h2frontend

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"
)

// attacks are floods of frames that a client sends over one connection.
var attacks = []struct {
	name   string
	attack func(c *rawClient)
	want   string // an event that the attacker must receive, in the form of rawClient.expect
}{
	{
		name: "PING",
		attack: func(c *rawClient) {
			repeat(1000, func() error { return c.framer.WritePing(false, [8]byte{}) })
		},
		want: "goaway 0 ENHANCE_YOUR_CALM",
	},
	{
		name: "SETTINGS",
		attack: func(c *rawClient) {
			repeat(1000, func() error { return c.framer.WriteSettings() })
		},
		want: "goaway 0 ENHANCE_YOUR_CALM",
	},
	{
		name: "WINDOW_UPDATE by one byte",
		attack: func(c *rawClient) {
			c.request(1, "GET", "/slow", true)
			repeat(5000, func() error { return c.framer.WriteWindowUpdate(1, 1) })
		},
		want: "goaway 1 ENHANCE_YOUR_CALM",
	},
	{
		name: "empty DATA",
		attack: func(c *rawClient) {
			c.request(1, "PUT", "/", false)
			repeat(1000, func() error { return c.framer.WriteData(1, false, nil) })
		},
		want: "goaway 1 ENHANCE_YOUR_CALM",
	},
	{
		name: "PRIORITY",
		attack: func(c *rawClient) {
			priority := http2.PriorityParam{StreamDep: 3}
			repeat(5000, func() error { return c.framer.WritePriority(1, priority) })
		},
		want: "goaway 0 ENHANCE_YOUR_CALM",
	},
	{
		// CVE-2024-27316: a server that collects an endless field section without a limit runs out of memory.
		name: "endless CONTINUATION",
		attack: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82}})
			field := []byte{0x00, 0x01, 'a', 0x7f, 0x81, 0x7e}
			field = append(field, []byte(strings.Repeat("x", 16<<10-200))...)
			repeat(1000, func() error { return c.framer.WriteContinuation(1, false, field) })
		},
		want: "goaway",
	},
	{
		// Each request refers to the same long field many times, in a few bytes on the wire.
		name: "HPACK bomb",
		attack: func(c *rawClient) {
			var fields []string
			for range 100 {
				fields = append(fields, "x-bomb", strings.Repeat("x", 3000))
			}
			forEachStreamID(200, func(id uint32) error { return c.request(id, "GET", "/", true, fields...) })
		},
		want: "goaway",
	},
	{
		name: "more streams than allowed",
		attack: func(c *rawClient) {
			forEachStreamID(4000, func(id uint32) error { return c.request(id, "GET", "/slow", true) })
		},
		want: "goaway",
	},
	{
		name: "malformed requests",
		attack: func(c *rawClient) {
			forEachStreamID(4000, func(id uint32) error { return c.request(id, "GET", "/", true, "connection", "x") })
		},
		want: "goaway",
	},
}

// repeat calls write n times, but stops when it fails.
func repeat(n int, write func() error) {
	for range n {
		if write() != nil {
			return
		}
	}
}

// forEachStreamID calls write for each odd stream ID, as clients use them, below a limit. It stops when write fails.
func forEachStreamID(limit uint32, write func(id uint32) error) {
	for id := uint32(1); id < limit; id += 2 {
		if write(id) != nil {
			return
		}
	}
}

// TestAttacks checks that the connection of an attacker is closed, and that an honest client is served during the
// attack.
func TestAttacks(t *testing.T) {
	for _, c := range attacks {
		t.Run(c.name, func(t *testing.T) {
			runWithServer(t, nil, func(s *testServer) {
				attacker := s.rawClient()
				done := make(chan bool)
				go func() {
					c.attack(attacker)
					close(done)
				}()
				honest := s.client()
				const want = "200 PUT gate/a 5"
				for i := range 5 {
					if got := doRequest(honest, "PUT", "/a", "hello"); got != want {
						s.t.Errorf("request %d during the attack: got %q, want %q", i, got, want)
					}
				}
				honest.CloseIdleConnections()
				<-done
				attacker.expect(c.want)
				attacker.expect("end")
			})
		})
	}
}

// TestRapidResetClosesConnection checks that a client that resets each stream as soon as it has opened it loses its
// connection before many of its requests reach the handler (CVE-2023-44487).
func TestRapidResetClosesConnection(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		forEachStreamID(20_000, func(id uint32) error {
			if err := c.request(id, "GET", "/slow", true); err != nil {
				return err
			}
			return c.framer.WriteRSTStream(id, http2.ErrCodeCancel)
		})
		c.expect("end")
		synctest.Wait()
		if n := s.handler.handled["/slow"]; n > 50 {
			s.t.Errorf("%d requests reached the handler, want at most 50", n)
		}
	})
}

// TestUnreadResponsesAreReset has ten clients ask for ten responses of 256 KiB each, together 25 MiB, while the server
// may hold 4 MiB. The windows of their streams are 0 and are never raised. Their streams must be reset, and a client
// that reads its responses must be served.
func TestUnreadResponsesAreReset(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		var stalled []*rawClient
		for range 10 {
			c := s.rawClient()
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			forEachStreamID(20, func(id uint32) error { return c.request(id, "GET", "/big", true) })
			stalled = append(stalled, c)
		}
		synctest.Wait()
		c := s.client()
		defer c.CloseIdleConnections()
		const want = "200 GET gate/big 262144"
		for range 10 {
			if got := doRequest(c, "GET", "/big", ""); got != want {
				s.t.Errorf("response of the client that reads: %q, want %q", got, want)
			}
		}
		time.Sleep(6 * time.Second)
		for i, client := range stalled {
			client.expect("rst")
			if client.received("data") {
				s.t.Errorf("client %d received DATA, want none as its window is 0 bytes", i)
			}
		}
	})
}
