package h2frontend

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"
)

// attacks flood the server over one connection. The event is one that the attacker must see.
var attacks = []struct {
	name   string
	attack func(c *rawClient)
	want   string
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
		name: "windows raised by one byte",
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
		// CVE-2024-27316: a field section that never ends must not be collected without a limit.
		name: "CONTINUATION without end",
		attack: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82}})
			field := []byte{0x00, 0x01, 'a', 0x7f, 0x81, 0x7e}
			field = append(field, []byte(strings.Repeat("x", 16<<10-200))...)
			repeat(1000, func() error { return c.framer.WriteContinuation(1, false, field) })
		},
		want: "goaway",
	},
	{
		// A few bytes on the wire refer to the same long field many times.
		name: "HPACK bomb",
		attack: func(c *rawClient) {
			var fields []string
			for range 100 {
				fields = append(fields, "x-bomb", strings.Repeat("x", 3000))
			}
			repeatStreams(200, func(id uint32) error { return c.request(id, "GET", "/", true, fields...) })
		},
		want: "goaway",
	},
	{
		name: "streams that are refused",
		attack: func(c *rawClient) {
			repeatStreams(4000, func(id uint32) error { return c.request(id, "GET", "/slow", true) })
		},
		want: "goaway",
	},
	{
		name: "malformed requests",
		attack: func(c *rawClient) {
			repeatStreams(4000, func(id uint32) error { return c.request(id, "GET", "/", true, "connection", "x") })
		},
		want: "goaway",
	},
}

// repeat calls write n times or until it fails.
func repeat(n int, write func() error) {
	for range n {
		if write() != nil {
			return
		}
	}
}

// repeatStreams calls write for each client's stream ID below a limit, or until it fails.
func repeatStreams(limit uint32, write func(id uint32) error) {
	for id := uint32(1); id < limit; id += 2 {
		if write(id) != nil {
			return
		}
	}
}

// The connection of an attacker is closed, and an honest client beside it is served all the while.
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
				for i := range 5 {
					if got := get(honest, "PUT", "/a", "hello"); got != "200 PUT gate/a 5" {
						s.t.Errorf("request %d beside the attack: %s", i, got)
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

// A client that resets every stream at once (CVE-2023-44487) gets few requests to the handler before its connection
// is closed.
func TestRapidResetIsCut(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		repeatStreams(20_000, func(id uint32) error {
			if err := c.request(id, "GET", "/slow", true); err != nil {
				return err
			}
			return c.framer.WriteRSTStream(id, http2.ErrCodeCancel)
		})
		c.expect("end")
		synctest.Wait()
		if n := s.handler.handled["/slow"]; n > 50 {
			s.t.Errorf("%d requests were handled", n)
		}
	})
}

// Ten clients that never raise their windows ask for 100 responses of 256 KiB, while 4 MiB may be held. Their streams
// are reset, and a client that reads is served.
func TestReadersByTheHundredThatDoNotRead(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		var stalled []*rawClient
		for range 10 {
			c := s.rawClient()
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			repeatStreams(20, func(id uint32) error { return c.request(id, "GET", "/big", true) })
			stalled = append(stalled, c)
		}
		synctest.Wait()
		c := s.client()
		defer c.CloseIdleConnections()
		for range 10 {
			if got := get(c, "GET", "/big", ""); got != "200 GET gate/big 262144" {
				s.t.Error(got)
			}
		}
		time.Sleep(6 * time.Second)
		for i, client := range stalled {
			client.expect("rst")
			if client.received("data") {
				s.t.Errorf("connection %d was sent more than its window", i)
			}
		}
	})
}
