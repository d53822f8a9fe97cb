package config

import (
	"time"

	"reachpulley/internal/admission"
)

// H2C is the table [h2c]: the front for HTTP/2 without TLS.
type H2C struct {
	Enabled          bool          `toml:"enabled"`
	Listen           string        `toml:"listen"`
	Connections      int           `toml:"connections"`
	Streams          int           `toml:"streams"`        // that a connection may have open
	MinStreams       int           `toml:"least_streams"`  // that it is told it may have under pressure
	MaxInFlight      int           `toml:"at_core"`        // requests that are being decided on or carried, over all connections
	PerConnection    int           `toml:"per_connection"` // of them
	PerClient        int           `toml:"per_client"`     // of them, by address
	Head             int           `toml:"head"`           // bytes of a field section
	Memory           int           `toml:"memory_kb"`      // for answers on their way out
	ConnectionMemory int           `toml:"connection_kb"`  // for one connection, in each direction
	Stall            time.Duration `toml:"stall"`          // for which an answer may not move
	Age              time.Duration `toml:"age"`            // after which a connection is told to leave; 0s: never
	Requests         int           `toml:"requests"`       // after which it is told to leave; 0: never
}

var defaultH2C = H2C{Connections: 128, Streams: 100, MinStreams: 4, MaxInFlight: 256, PerConnection: 100, PerClient: 128, Head: 16 << 10,
	Memory: 8 << 10, ConnectionMemory: 1 << 10, Stall: 10 * time.Second, Age: time.Hour, Requests: 100_000}

const mostH2C = 1 << 20 // of any number in the table

func (h *H2C) check(c checker) {
	c.address("listen", h.Listen)
	for key, n := range map[string]int{"connections": h.Connections, "streams": h.Streams, "least_streams": h.MinStreams, "at_core": h.MaxInFlight,
		"per_connection": h.PerConnection, "per_client": h.PerClient, "memory_kb": h.Memory, "connection_kb": h.ConnectionMemory} {
		c.unless(n >= 1 && n <= mostH2C, key, "%d is not from 1 to %d", n, mostH2C)
	}
	c.unless(h.MinStreams <= h.Streams, "least_streams", "%d are more than streams, %d", h.MinStreams, h.Streams)
	c.unless(h.ConnectionMemory <= h.Memory, "connection_kb", "%d is more than memory_kb, %d", h.ConnectionMemory, h.Memory)
	c.unless(h.Head >= 4<<10 && h.Head <= 1<<20, "head", "%d is not from %d to %d", h.Head, 4<<10, 1<<20)
	c.unless(h.Stall > 0, "stall", "is not above 0s")
	c.unless(h.Requests >= 0, "requests", "%d is below 0", h.Requests)
}

// Admission gives the table in the terms of the admission.
func (h *H2C) Admission() admission.Config {
	return admission.Config{MaxInFlight: h.MaxInFlight, PerConnection: h.PerConnection, PerClient: h.PerClient, Streams: h.Streams, MinStreams: h.MinStreams,
		Connections: h.Connections, Memory: h.Memory << 10, ConnectionMemory: h.ConnectionMemory << 10, Stall: h.Stall, Age: h.Age, Requests: h.Requests}
}
