package h2frontend

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
)

// TestAttacks floods a server over one connection. The attacker is cut or told to leave, and an honest client beside it is
// served all the while.
func TestAttacks(t *testing.T) {
	for name, c := range map[string]struct {
		attack func(c *raw)
		want   string
	}{
		"PING": {func(c *raw) {
			for range 1000 {
				if c.framer.WritePing(false, [8]byte{}) != nil {
					return
				}
			}
		}, "goaway 0 ENHANCE_YOUR_CALM"},
		"SETTINGS": {func(c *raw) {
			for range 1000 {
				if c.framer.WriteSettings() != nil {
					return
				}
			}
		}, "goaway 0 ENHANCE_YOUR_CALM"},
		"windows raised by a byte": {func(c *raw) {
			c.request(1, "GET", "/slow", true)
			for range 5000 {
				if c.framer.WriteWindowUpdate(1, 1) != nil {
					return
				}
			}
		}, "goaway 1 ENHANCE_YOUR_CALM"},
		"DATA without a byte": {func(c *raw) {
			c.request(1, "PUT", "/", false)
			for range 1000 {
				if c.framer.WriteData(1, false, nil) != nil {
					return
				}
			}
		}, "goaway 1 ENHANCE_YOUR_CALM"},
		"PRIORITY": {func(c *raw) {
			for range 5000 {
				if c.framer.WritePriority(1, http2.PriorityParam{StreamDep: 3}) != nil {
					return
				}
			}
		}, "goaway 0 ENHANCE_YOUR_CALM"},
		// CVE-2024-27316: a field section that never ends must not be gathered for good.
		"CONTINUATION without end": {func(c *raw) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82}})
			part := append([]byte{0x00, 0x01, 'a', 0x7f, 0x81, 0x7e}, []byte(strings.Repeat("x", 16<<10-200))...)
			for range 1000 {
				if c.framer.WriteContinuation(1, false, part) != nil {
					return
				}
			}
		}, "goaway"},
		// A few bytes on the wire name the same long field again and again.
		"an HPACK bomb": {func(c *raw) {
			value := strings.Repeat("x", 3000)
			for id := uint32(1); id < 200; id += 2 {
				var pairs []string
				for range 100 {
					pairs = append(pairs, "x-bomb", value)
				}
				if c.request(id, "GET", "/", true, pairs...) != nil {
					return
				}
			}
		}, "goaway"},
		"streams that are refused": {func(c *raw) {
			for id := uint32(1); id < 4000; id += 2 {
				if c.request(id, "GET", "/slow", true) != nil {
					return
				}
			}
		}, "goaway"},
		"malformed requests": {func(c *raw) {
			for id := uint32(1); id < 4000; id += 2 {
				if c.request(id, "GET", "/", true, "connection", "x") != nil {
					return
				}
			}
		}, "goaway"},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, nil, func(s *stage) {
				attacker := s.raw()
				done := make(chan bool)
				go func() { c := c; c.attack(attacker); close(done) }()
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

// A hundred readers whose windows stay shut hold no more memory than there is, and a client that reads is served.
func TestReadersByTheHundredThatDoNotRead(t *testing.T) {
	play(t, nil, func(s *stage) {
		var idle []*raw
		for range 10 {
			c := s.raw()
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			for id := uint32(1); id < 20; id += 2 {
				c.request(id, "GET", "/big", true) // 100 answers of 256 KiB, where 4 MiB may be held
			}
			idle = append(idle, c)
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
		for i, one := range idle {
			one.expect("rst")
			if one.heard("data") {
				s.t.Errorf("connection %d was sent more than its window", i)
			}
		}
	})
}

// A body in pieces of a byte is a body.
func TestABodyByteByByte(t *testing.T) {
	play(t, nil, func(s *stage) {
		c := s.raw()
		c.request(1, "PUT", "/a", false, "content-length", "1000")
		for i := range 1000 {
			c.framer.WriteData(1, i == 999, []byte("x"))
		}
		c.expect("headers 1 200")
		c.expect(fmt.Sprintf("data 1 %d", 1000))
	})
}

// Half-open streams end after the time in which a request has to come.
func TestHalfOpenStreams(t *testing.T) {
	play(t, nil, func(s *stage) {
		c := s.raw()
		for id := uint32(1); id < 100; id += 2 {
			c.request(id, "PUT", "/a", false, "content-length", "10")
			c.framer.WriteData(id, false, []byte("x"))
		}
		time.Sleep(3 * time.Second)
		c.expect("rst 99 CANCEL")
		c.request(101, "GET", "/", true)
		c.expect("headers 101 200")
	})
}

// Connections leave by age: with a GOAWAY that names no stream, then one that does; what crosses the first is answered.
func TestLeavingByAge(t *testing.T) {
	play(t, func(set *admission.Config) { set.Age = 2 * time.Second }, func(s *stage) {
		c := s.raw()
		c.expect("goaway 2147483647 NO")
		c.request(1, "GET", "/a", true)
		c.expect("headers 1 200")
		time.Sleep(time.Second)
		c.expect("goaway 1 NO")
		c.expect("end")
	})
}

// Clients behind one connection share the core evenly: one that asks for much does not keep another out.
func TestClientsBehindOneConnection(t *testing.T) {
	play(t, func(set *admission.Config) { set.MaxInFlight, set.PerClient = 2, 1 }, func(s *stage) {
		c := s.raw()
		for id := uint32(1); id < 20; id += 2 {
			c.request(id, "GET", "/slow", true, "x-who", "greedy")
		}
		c.request(21, "GET", "/slow", true, "x-who", "modest")
		time.Sleep(1100 * time.Millisecond)
		c.expect("headers 21 200")
		if c.heard("headers 3 200") {
			s.t.Error("the greedy client had two at the core")
		}
	})
}

// More urgent answers are written first, whether the request says so or a frame after it.
func TestUrgency(t *testing.T) {
	t.Run("9218-5 by field", func(t *testing.T) {
		testUrgency(t, func(c *raw) { c.request(3, "GET", "/big", true, "priority", "u=0, i") })
	})
	t.Run("9218-7.1 by PRIORITY_UPDATE", func(t *testing.T) {
		testUrgency(t, func(c *raw) {
			c.request(3, "GET", "/big", true, "priority", "u=7")
			c.framer.WriteRawFrame(http2.FramePriorityUpdate, 0, 0, append([]byte{0, 0, 0, 3}, "u=0"...))
		})
	})
}

func testUrgency(t *testing.T, ask func(c *raw)) {
	play(t, nil, func(s *stage) {
		c := s.raw()
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
		c.request(1, "GET", "/big", true, "priority", "u=6") // fills the connection's window and waits
		synctest.Wait()
		ask(c)
		synctest.Wait()
		c.framer.WriteWindowUpdate(0, 256<<10)
		synctest.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		first, urgent := 0, 0
		for _, w := range c.words {
			if strings.HasPrefix(w, "data 3") {
				urgent++
			} else if strings.HasPrefix(w, "data 1") && urgent > 0 && urgent < 16 {
				first++
			}
		}
		if urgent < 16 || first > 1 {
			s.t.Errorf("%d pieces of the urgent answer, %d of the other among them: %q", urgent, first, c.words)
		}
	})
}
