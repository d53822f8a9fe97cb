package admission

import (
	"slices"
	"testing"
)

func TestFairAmongConnectionsThenClientsThenUrgency(t *testing.T) {
	c := newController(t, func(config *Config) {
		config.MaxInFlight = 2
		config.MaxStreams = 100
		config.MinStreams = 50
	})
	c.Connect(0, 1, "a")
	c.Connect(0, 2, "b")
	expect(t, "first stream of client x", c.Arrive(0, 1, 1, "x", 3), "start 1/1")
	expect(t, "second stream of client x", c.Arrive(0, 1, 3, "x", 3), "start 1/3")
	expect(t, "urgent third stream of client x", c.Arrive(0, 1, 5, "x", 0), "")
	expect(t, "stream of another client", c.Arrive(0, 1, 7, "y", 7), "")
	expect(t, "stream of another connection", c.Arrive(0, 2, 1, "z", 7), "")
	expect(t, "the connection with the fewest streams in flight comes first", c.End(0, 1, 1, false), "start 2/1")
	expect(t, "then the client with the fewest streams in flight", c.End(0, 2, 1, false), "start 1/7")
	expect(t, "then the most urgent stream", c.End(0, 1, 7, false), "start 1/5")
}

// The stream that has waited longest is started after a few others, even if more urgent ones keep arriving.
func TestNoStreamStarves(t *testing.T) {
	c := newController(t, func(config *Config) {
		config.MaxInFlight = 1
		config.PerConnection = 1
		config.PerClient = 10
		config.MaxStreams = 100
		config.Requests = 0
	})
	c.Connect(0, 1, "a")
	c.Connect(0, 2, "b")
	c.Arrive(0, 2, 1, "x", 0)
	c.Arrive(0, 1, 1, "x", MaxUrgency)
	for i := range 3 * oldestFirstInterval {
		for j := range 5 { // more urgent streams on another connection
			c.Arrive(0, 2, StreamID(10*i+2*j+3), "x", 0)
		}
		var actions []Action
		for id, s := range c.connections[2].streams {
			if s.inFlight {
				actions = c.End(0, 2, id, false)
				break
			}
		}
		if slices.Contains(actions, Action{Kind: StartStream, Connection: 1, Stream: 1}) {
			return
		}
	}
	t.Errorf("stream 1/1 is not started among %d others", 3*oldestFirstInterval)
}
