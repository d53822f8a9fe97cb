package h2frontend

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
)

// abuse sends so many PINGs at once that the server closes the connection.
func (c *rawClient) abuse() {
	var pings bytes.Buffer
	framer := http2.NewFramer(&pings, nil)
	repeat(250, func() error { return framer.WritePing(false, [8]byte{}) })
	c.conn.Write(pings.Bytes())
}

// closes are the ways in which a client can make the server close a connection.
var closes = []struct {
	name  string
	close func(c *rawClient)
	want  string // GOAWAY that the client must receive
}{
	{
		name: "requests given up in a burst",
		close: func(c *rawClient) {
			// The last burst has 99 streams: with the request in flight, 100 are allowed.
			for _, ids := range [][2]uint32{{3, 5}, {7, 9}, {11, 209}} {
				for id := ids[0]; id < ids[1]; id += 2 {
					c.request(id, "GET", "/slow", true)
				}
				synctest.Wait()
				for id := ids[0]; id < ids[1]; id += 2 {
					c.framer.WriteRSTStream(id, http2.ErrCodeCancel)
				}
			}
		},
		want: "goaway 207 ENHANCE_YOUR_CALM",
	},
	{
		name: "abuse by PINGs",
		close: func(c *rawClient) {
			repeat(4, func() error { c.abuse(); return nil })
		},
		want: "goaway 1 ENHANCE_YOUR_CALM",
	},
	{
		name: "protocol error of the connection",
		close: func(c *rawClient) {
			c.framer.WriteData(9, true, nil)
		},
		want: "goaway 1 PROTOCOL_ERROR",
	},
	{
		name: "field section that cannot be decoded",
		close: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: []byte{0xff}, EndHeaders: true})
		},
		want: "goaway 1 COMPRESSION_ERROR",
	},
	{
		name: "frame that is too long",
		close: func(c *rawClient) {
			c.conn.Write([]byte{0xff, 0xff, 0xff, byte(http2.FrameData), 0, 0, 0, 0, 1})
		},
		want: "goaway 1 FRAME_SIZE_ERROR",
	},
	{
		name: "frame that does not arrive",
		close: func(c *rawClient) {
			c.conn.Write([]byte{0, 0, 8, byte(http2.FramePing), 0})
			time.Sleep(requestTimeout + time.Second)
		},
		want: "goaway 1 NO_ERROR",
	},
	{
		name: "responses that are not read",
		close: func(c *rawClient) {
			for id := uint32(3); id < 3+2*8; id += 2 {
				c.request(id, "GET", "/big", true)
				c.framer.WriteWindowUpdate(0, 1<<20) // only the windows of the streams are shut
			}
			time.Sleep(testAdmission.Stall + time.Second)
		},
		want: "goaway 17 ENHANCE_YOUR_CALM",
	},
}

// Guards against requests that are taken and get no answer because their connection is closed for something else that
// its clients do (docs/incidents/2026-12-04-closed-with-requests-in-flight.md).
func TestClosedConnectionAnswersRequestsInFlight(t *testing.T) {
	withMemory := func(config *admission.Config) { config.ConnectionMemoryBytes = config.MemoryBytes }
	for _, c := range closes {
		t.Run(c.name, func(t *testing.T) {
			runWithServer(t, withMemory, func(s *testServer) {
				client := s.rawClient()
				client.request(1, "PUT", "/slow/write", true, "x-delay", "8s")
				synctest.Wait()
				c.close(client)
				client.expect(c.want)
				time.Sleep(8 * time.Second)
				client.expect("headers 1 200")
				client.expect("end")
				if n := s.handler.handled["/slow/write"]; n != 1 {
					s.t.Errorf("the request was handled %d times, want once", n)
				}
			})
		})
	}
}

// TestRapidResetBesideRequestInFlight checks that a client which resets requests as fast as it can gets no more of them
// to the handler because another request of its connection is in flight.
func TestRapidResetBesideRequestInFlight(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		c.request(1, "PUT", "/slow/write", true)
		for id := uint32(3); id < 20_000; id += 2 {
			if c.request(id, "GET", "/slow/reset", true) != nil {
				break
			}
			if c.framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
				break
			}
		}
		c.expect("headers 1 200")
		c.expect("end")
		if n := s.handler.handled["/slow/reset"]; n > 50 {
			s.t.Errorf("%d of the reset requests reached the handler, want at most 50", n)
		}
	})
}

// TestClosingConnectionTakesNoRequests checks that a connection which is being closed rejects the requests that wait or
// are incomplete, ignores later ones, and still lets the client read its response and reset its stream.
func TestClosingConnectionTakesNoRequests(t *testing.T) {
	withOneInFlight := func(config *admission.Config) { config.MaxInFlight = 1 }
	runWithServer(t, withOneInFlight, func(s *testServer) {
		c := s.rawClient()
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		c.request(1, "PUT", "/slow/first", false)
		c.framer.WriteData(1, true, []byte("hello"))
		c.request(3, "GET", "/slow/waiting", true)
		c.request(5, "PUT", "/slow/incomplete", false)
		synctest.Wait()
		c.abuse()
		c.expect("rst 3 REFUSED_STREAM")
		c.expect("rst 5 REFUSED_STREAM")
		c.expect("goaway 5 ENHANCE_YOUR_CALM")
		c.request(7, "GET", "/slow/later", true)
		c.expect("headers 1 200")
		if c.received("data") {
			s.t.Error("the client received DATA, want none as its window is 0 bytes")
		}
		c.framer.WriteWindowUpdate(1, 100)
		c.expect("data 1 5")
		c.expect("end")
		for path := range s.handler.handled {
			if path != "/slow/first" {
				s.t.Errorf("%s was handled, want only /slow/first", path)
			}
		}
	})
}

// TestClientLeavesClosingConnection checks that a request in flight on a closing connection is canceled at once when
// its client resets the stream or closes the connection, and that the connection then ends.
func TestClientLeavesClosingConnection(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(c *rawClient)
	}{
		{name: "reset", leave: func(c *rawClient) { c.framer.WriteRSTStream(1, http2.ErrCodeCancel) }},
		{name: "end of the connection", leave: func(c *rawClient) { c.conn.Close() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithServer(t, nil, func(s *testServer) {
				c := s.rawClient()
				c.request(1, "PUT", "/slow", true, "x-delay", "1h")
				c.abuse()
				c.expect("goaway 1 ENHANCE_YOUR_CALM")
				test.leave(c)
				time.Sleep(100 * time.Millisecond) // within which a client's end must be noticed
				synctest.Wait()
				if n := s.handler.canceled(); n != 1 {
					s.t.Errorf("%d requests were canceled after 100 ms, want 1", n)
				}
				c.expect("end")
			})
		})
	}
}

// TestLongResponseAfterProtocolError checks that a client may go on raising its windows after an error that leaves the
// start of the next frame known.
func TestLongResponseAfterProtocolError(t *testing.T) {
	for _, test := range []struct {
		name  string
		write func(c *rawClient)
		want  string // GOAWAY that the client must receive
	}{
		{
			name:  "DATA on an idle stream",
			write: func(c *rawClient) { c.framer.WriteData(9, true, nil) },
			want:  "goaway 1 PROTOCOL_ERROR",
		},
		{
			name: "invalid field section in two frames",
			write: func(c *rawClient) {
				invalid := bytes.Repeat([]byte{0xff}, 6)
				c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: invalid})
				c.framer.WriteContinuation(3, true, invalid)
			},
			want: "goaway 1 COMPRESSION_ERROR",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithServer(t, nil, func(s *testServer) {
				c := s.rawClient()
				c.request(1, "GET", "/big", true) // four times as long as the windows
				synctest.Wait()
				test.write(c)
				c.expect(test.want)
				c.framer.WriteWindowUpdate(0, 256<<10)
				c.framer.WriteWindowUpdate(1, 256<<10)
				c.expect("end")
				if n := c.dataBytes(); n != 256<<10 {
					s.t.Errorf("the client received %d bytes of the response, want all %d", n, 256<<10)
				}
			})
		})
	}
}

// TestClosingConnectionEndsInTime checks that a request without an answer does not keep a closing connection open for
// longer than CloseTimeout.
func TestClosingConnectionEndsInTime(t *testing.T) {
	withCloseTimeout := func(config *admission.Config) { config.CloseTimeout = 3 * time.Second }
	runWithServer(t, withCloseTimeout, func(s *testServer) {
		c := s.rawClient()
		c.request(1, "PUT", "/slow", true, "x-delay", "1h")
		c.abuse()
		time.Sleep(3*time.Second - 2*tickInterval)
		synctest.Wait()
		if c.received("end") || s.handler.canceled() != 0 {
			s.t.Error("the connection ended before CloseTimeout")
		}
		time.Sleep(3 * tickInterval)
		c.expect("end")
	})
}

// TestFloodOfClosingConnectionIsReadSlowly checks that a client whose connection is kept open for a request in flight
// cannot keep the server busy with further frames.
func TestFloodOfClosingConnectionIsReadSlowly(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		c.request(1, "PUT", "/slow", true)
		startedAt := time.Now()
		written := 0
		// Frames of 1 KiB, which the server ignores.
		repeat(100_000, func() error {
			written++
			return c.framer.WriteRawFrame(http2.FramePriorityUpdate, 0, 0, make([]byte, 1<<10))
		})
		c.expect("headers 1 200")
		const maxFrames = 1200 // 400 before the connection closes, and some 800 a second
		if took := time.Since(startedAt); written > maxFrames || took > 2*time.Second {
			s.t.Errorf("%d frames were read in %v, want at most %d in 2s", written, took, maxFrames)
		}
	})
}

// TestClientThatReadsAgainGetsItsResponse checks that a client which reads nothing for longer than writeTimeout still
// gets the response to a request that is in flight meanwhile.
func TestClientThatReadsAgainGetsItsResponse(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.connectSilently()
		c.preface()
		c.request(1, "PUT", "/slow", true, "x-delay", "15s")
		time.Sleep(writeTimeout + 2*time.Second)
		go c.read()
		time.Sleep(3 * time.Second)
		c.expect("headers 1 200")
		c.expect(fmt.Sprintf("goaway 1 %s", http2.ErrCodeEnhanceYourCalm))
		c.expect("end")
	})
}

// TestStreamsEndDespiteTooManyControlFrames checks that a client whose frames have filled the queue of control frames
// is told the end of each of its requests: those in flight are answered, and those that wait are rejected.
func TestStreamsEndDespiteTooManyControlFrames(t *testing.T) {
	withOneInFlight := func(config *admission.Config) { config.MaxInFlight = 1 }
	runWithServer(t, withOneInFlight, func(s *testServer) {
		c := s.connectSilently()
		c.preface()
		c.request(1, "PUT", "/slow", true, "x-delay", "2s")
		c.request(3, "PUT", "/a", true)
		synctest.Wait() // the server waits for the client to read its first frames
		conn := s.onlyConn()
		conn.mu.Lock()
		for range maxControlFrames + 1 {
			conn.queueControlLocked(func() error { return nil })
		}
		conn.mu.Unlock()
		go c.read()
		c.expect("goaway 3 ENHANCE_YOUR_CALM")
		c.expect("rst 3 REFUSED_STREAM")
		c.expect("headers 1 200")
		c.expect("end")
	})
}

// TestIdleConnectionIsAskedToLeave checks that an idle connection ends by two GOAWAYs, and that a request which crosses
// the first one is answered.
func TestIdleConnectionIsAskedToLeave(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c := s.rawClient()
		time.Sleep(idleTimeout - time.Second)
		synctest.Wait()
		if c.received("goaway") {
			s.t.Error("a GOAWAY came before the connection was idle for long")
		}
		c.expect("goaway 2147483647 NO_ERROR")
		c.request(1, "GET", "/a", true)
		c.expect("headers 1 200")
		c.expect("goaway 1 NO_ERROR")
		c.expect("end")
	})
}

// TestDrainBeforePreface checks that a client whose preface is under way when the server drains is answered, and that
// one which sends nothing does not hold up the server.
func TestDrainBeforePreface(t *testing.T) {
	runWithServer(t, nil, func(s *testServer) {
		c, silent := s.connect(), s.connect()
		synctest.Wait()
		s.server.Drain()
		c.preface()
		c.request(1, "GET", "/a", true)
		c.expect("goaway 2147483647 NO_ERROR")
		c.expect("headers 1 200")
		c.expect("end")
		time.Sleep(goAwayInterval)
		synctest.Wait()
		if !silent.received("end") {
			s.t.Error("the connection of a silent client is open after the interval between the GOAWAYs")
		}
	})
}
