package h2frontend

import (
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/admission"
)

// Guards against requests that are lost because their connection is closed unread, although their client cannot know
// that nothing has run (docs/incidents/2026-12-04-rejected-connections-closed-unread.md).
func TestRejectedConnectionSaysThatNothingRuns(t *testing.T) {
	for _, test := range []struct {
		name     string
		saturate func(s *testServer) // makes the server reject the next connection
	}{
		{
			name:     "too many connections",
			saturate: func(s *testServer) { s.rawClient() },
		},
		{
			name: "banned address",
			saturate: func(s *testServer) {
				for range 3 {
					c := s.rawClient()
					c.abuse()
					c.expect("end")
				}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			withOneConnection := func(config *admission.Config) { config.MaxConnections = 1 }
			runWithServer(t, withOneConnection, func(s *testServer) {
				test.saturate(s)
				c := s.connect()
				go func() {
					c.preface()
					c.request(1, "PUT", "/a", true)
				}()
				c.expect("settings")
				c.expect("goaway 0 ENHANCE_YOUR_CALM")
				c.expect("end")
				if n := s.handler.handled["/a"]; n != 0 {
					s.t.Errorf("the request was handled %d times, want none", n)
				}
			})
		})
	}
}

// TestRejectedConnectionsAreBounded checks that clients which are rejected and stay occupy few connections, and those
// only for a short time.
func TestRejectedConnectionsAreBounded(t *testing.T) {
	withOneConnection := func(config *admission.Config) { config.MaxConnections = 1 }
	runWithServer(t, withOneConnection, func(s *testServer) {
		s.rawClient()
		var rejected []*rawClient
		for range 2 * MaxRejectedConns {
			rejected = append(rejected, s.connectSilently())
		}
		synctest.Wait()
		s.server.mu.Lock()
		count := s.server.rejectedConns
		s.server.mu.Unlock()
		if count != MaxRejectedConns {
			s.t.Errorf("%d connections are being rejected, want %d", count, MaxRejectedConns)
		}
		time.Sleep(2 * time.Second)
		for i, c := range rejected {
			if _, err := c.conn.Write([]byte{0}); err == nil {
				s.t.Errorf("connection %d is open 2s after its rejection", i)
			}
		}
	})
}
