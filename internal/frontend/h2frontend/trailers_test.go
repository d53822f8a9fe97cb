package h2frontend

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"golang.org/x/net/http2"
)

// Guards against trailers that complete a request which has been answered already: the server crashed, or passed on a
// part of a body (docs/incidents/2026-12-04-trailers-of-answered-request.md).
func TestTrailersOfAnsweredRequest(t *testing.T) {
	for _, test := range []struct {
		name string
		open func(c *rawClient)
		want string
	}{
		{
			name: "field section that is too long",
			open: func(c *rawClient) {
				fields := slices.Repeat([]string{"x-long", strings.Repeat("x", 3000)}, 10)
				c.request(1, "PUT", "/a", false, fields...)
			},
			want: "headers 1 431",
		},
		{
			name: "body that is too long",
			open: func(c *rawClient) {
				c.request(1, "PUT", "/a", false)
				for range 5 {
					c.framer.WriteData(1, false, make([]byte, 16<<10))
				}
			},
			want: "headers 1 413",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithServer(t, nil, func(s *testServer) {
				c := s.rawClient()
				c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
				test.open(c)
				c.expect(test.want)
				c.fields(1, true, "x-trailer", "1") // the body of the response waits for the window
				synctest.Wait()
				if n := s.handler.handled["/a"]; n != 0 {
					s.t.Errorf("the request was handled %d times, want none", n)
				}
				c.framer.WriteWindowUpdate(1, 1000)
				c.expect("data 1")
				c.request(3, "GET", "/b", true)
				c.expect("headers 3 200")
			})
		})
	}
}
