package admission

import (
	"fmt"
	"testing"
)

// Streams whose nodes hang must not use up any of the limits: those for other destinations are still started.
func TestReserveForIdleDestinations(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Config)
	}{
		{"limit over all connections", func(c *Config) { c.MaxInFlight = 20 }},
		{"limit of a connection", func(c *Config) { c.PerConnection = 20 }},
		{"limit of a client", func(c *Config) { c.PerClient = 20 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newController(t, func(config *Config) {
				config.MaxInFlight, config.PerConnection, config.PerClient, config.MaxStreams = 100, 100, 100, 100
				test.change(config)
			})
			c.Connect(0, 1, "a")
			started := 0
			for sid := range StreamID(40) {
				request := Request{Client: "x", Destination: fmt.Sprint("hanging", sid%2)}
				started += len(c.Admit(0, 1, sid+1, request))
			}
			if started != 15 { // three quarters of 20
				t.Errorf("%d streams for two destinations are started, want 15", started)
			}
			sound := Request{Client: "x", Destination: "sound"}
			for sid := StreamID(100); sid < 104; sid++ {
				expect(t, "a stream for another destination", c.Admit(0, 1, sid, sound), fmt.Sprintf("start 1/%d", sid))
			}
			expect(t, "one for a destination with many streams in flight", c.Admit(0, 1, 104, sound), "")
			expect(t, "one without a destination", c.Admit(0, 1, 105, Request{Client: "x"}), "start 1/105")
			expect(t, "after the end of a stream", c.End(0, 1, 100, false), "start 1/104")
		})
	}
}

// A stream is rejected if it may not wait any longer, but not once it has been started.
func TestExpiry(t *testing.T) {
	c := newController(t, func(config *Config) { config.MaxInFlight = 1 })
	c.Connect(0, 1, "a")
	c.Arrive(0, 1, 1, "x", 3)
	c.Arrive(0, 1, 3, "x", 3)
	c.Arrive(0, 1, 5, "x", 3)
	expect(t, "a stream in flight", c.Expire(0, 1, 1), "")
	expect(t, "a waiting stream", c.Expire(0, 1, 3), "expire 1/3")
	expect(t, "the same again", c.Expire(0, 1, 3), "")
	expect(t, "an unknown connection", c.Expire(0, 2, 1), "")
	expect(t, "the end of the first stream", c.End(0, 1, 1, false), "start 1/5")
}
