package h2frontend

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
)

const (
	randomRuns = 150 // runs of TestEveryRequestEnds, each with its own seed
	randomStep = 40  // steps of a client in a run
)

// randomClient is a client that sends requests, gives some of them up and misbehaves, in a random order.
type randomClient struct {
	*rawClient
	random *rand.Rand
	nextID uint32
	open   map[uint32]bool // requests that were written and not given up
}

// Guards against a GOAWAY that names requests which were ignored as processed, so that their clients cannot know that
// nothing has run (docs/incidents/2026-12-04-goaway-names-ignored-requests.md).
//
// TestEveryRequestEnds checks, for many orders of requests, resets, violations, errors and drains, that a client is
// told the end of each request that it has written and not given up: by a response, by a reset, or by a GOAWAY whose
// last stream is before that of the request.
func TestEveryRequestEnds(t *testing.T) {
	for seed := range uint64(randomRuns) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			withRandomLimits := func(config *admission.Config) {
				config.MaxInFlight = 1 + random.IntN(20)
				config.PerConnection = 1 + random.IntN(20)
			}
			runWithServer(t, withRandomLimits, func(s *testServer) {
				c := &randomClient{rawClient: s.rawClient(), random: random, nextID: 1, open: map[uint32]bool{}}
				for range randomStep {
					c.step(s)
				}
				time.Sleep(time.Minute) // longer than all requests take one after the other
				c.expectEnds()
			})
		})
	}
}

// step makes the client do one thing, and often wait.
func (c *randomClient) step(s *testServer) {
	switch n := c.random.IntN(100); {
	case n < 60:
		c.sendRequest()
	case n < 75:
		c.giveUp()
	case n < 80:
		repeat(c.random.IntN(60), func() error { return c.framer.WritePing(false, [8]byte{}) })
	case n < 82:
		c.abuse()
	case n < 83:
		c.framer.WriteData(c.nextID+100, true, nil) // on an idle stream
	case n < 84:
		invalid := http2.HeadersFrameParam{StreamID: c.nextID, BlockFragment: []byte{0xff}, EndHeaders: true}
		c.framer.WriteHeaders(invalid)
		c.nextID += 2
	case n < 85:
		c.conn.Write([]byte{0xff, 0xff, 0xff, byte(http2.FrameData), 0, 0, 0, 0, 1}) // a frame that is too long
	case n < 86:
		s.server.Drain()
	}
	if c.random.IntN(3) == 0 {
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
	}
}

// sendRequest sends a request that takes up to two seconds.
func (c *randomClient) sendRequest() {
	delay := time.Duration(c.random.IntN(2000)) * time.Millisecond
	id := c.nextID
	c.nextID += 2
	if c.request(id, "GET", "/slow", true, "x-delay", delay.String()) == nil {
		c.open[id] = true
	}
}

// giveUp resets one of the client's requests.
func (c *randomClient) giveUp() {
	for id := uint32(1); id < c.nextID; id += 2 {
		if c.open[id] && c.random.IntN(4) == 0 {
			delete(c.open, id)
			c.framer.WriteRSTStream(id, http2.ErrCodeCancel)
			return
		}
	}
}

// expectEnds checks that the client has been told the end of each open request.
func (c *randomClient) expectEnds() {
	lastStream := c.lastProcessedStream()
	for id := range c.open {
		answered := c.received(fmt.Sprintf("headers %d ", id)) || c.received(fmt.Sprintf("rst %d ", id))
		if !answered && id <= lastStream {
			c.server.t.Errorf("nothing tells the end of request %d; the last stream is %d", id, lastStream)
		}
	}
}

// lastProcessedStream returns the last stream that the last GOAWAY names. It checks that no GOAWAY names a later one
// than those before it (RFC 9113, section 6.8).
func (c *randomClient) lastProcessedStream() (last uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last = maxStreamID
	for _, event := range c.events {
		if strings.HasPrefix(event, "goaway ") {
			before := last
			fmt.Sscanf(event, "goaway %d", &last)
			if last > before {
				c.server.t.Errorf("a GOAWAY names stream %d after one that named %d", last, before)
			}
		}
	}
	return last
}
