package h2frontend

import (
	"slices"
	"testing"

	"golang.org/x/net/http2"
)

// conformanceCase tests a requirement of RFC 9113 or RFC 7541. Its name begins with the number of the RFC and the
// section.
type conformanceCase struct {
	name string
	send func(c *rawClient) // writes what the client sends, in TestConformance after the preface
	want string             // an event that the client must receive, in the form of rawClient.expect
}

// minimalRequest contains the names and values of the fields that every request must have.
var minimalRequest = []string{":method", "GET", ":scheme", "http", ":path", "/"}

// TestConformance runs the cases in which the client has sent a valid preface.
func TestConformance(t *testing.T) {
	cases := slices.Concat(connectionConformance, frameConformance, messageConformance, hpackConformance)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithServer(t, nil, func(s *testServer) {
				client := s.rawClient()
				c.send(client)
				client.expect(c.want)
			})
		})
	}
}

// TestPreface runs the cases in which the client's connection preface is invalid or incomplete.
func TestPreface(t *testing.T) {
	for _, c := range []conformanceCase{
		{
			name: "9113-3.4 zero bytes in place of the preface",
			send: func(c *rawClient) { c.conn.Write(make([]byte, 24)) },
			want: "end",
		},
		{
			name: "9113-3.4 an incomplete preface",
			send: func(c *rawClient) { c.conn.Write([]byte("PRI")) },
			want: "end",
		},
		{
			name: "9113-3.4 the first frame is not SETTINGS",
			send: func(c *rawClient) {
				c.conn.Write([]byte(http2.ClientPreface))
				c.framer.WritePing(false, [8]byte{})
			},
			want: "goaway 0 PROTOCOL_ERROR",
		},
		{
			name: "9113-3.4 an acknowledgement in place of the first SETTINGS",
			send: func(c *rawClient) {
				c.conn.Write([]byte(http2.ClientPreface))
				c.framer.WriteSettingsAck()
			},
			want: "goaway 0 PROTOCOL_ERROR",
		},
		{
			name: "9113-3.4 no SETTINGS after the preface",
			send: func(c *rawClient) { c.conn.Write([]byte(http2.ClientPreface)) },
			want: "end",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithServer(t, nil, func(s *testServer) {
				client := s.connect()
				c.send(client)
				client.expect(c.want)
			})
		})
	}
}
