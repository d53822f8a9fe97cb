package config

import (
	"time"

	"reachpulley/internal/admission"
)

// H2C is the table [h2c]: the frontend for HTTP/2 without TLS.
type H2C struct {
	Enabled            bool          `toml:"enabled"`
	Listen             string        `toml:"listen"`
	Connections        int           `toml:"connections"`    // maximum number of open connections
	Streams            int           `toml:"streams"`        // maximum number of open streams of a connection
	MinStreams         int           `toml:"least_streams"`  // minimum to which Streams is lowered under load
	MaxInFlight        int           `toml:"at_core"`        // maximum number of requests queued or in flight, in total
	PerConnection      int           `toml:"per_connection"` // maximum number of requests in flight of one connection
	PerClient          int           `toml:"per_client"`     // maximum number of requests in flight of a client address
	MaxHeaderBytes     int           `toml:"head"`           // maximum size of a field section, in bytes
	MemoryKB           int           `toml:"memory_kb"`      // memory for buffered responses
	ConnectionMemoryKB int           `toml:"connection_kb"`  // memory for one connection, in each direction
	Stall              time.Duration `toml:"stall"`          // time after which a response without progress is canceled
	// Age and Requests are the age of a connection and the number of its requests, each plus or minus a fifth, at which
	// it is shut down gracefully. 0: never.
	Age      time.Duration `toml:"age"`
	Requests int           `toml:"requests"`
}

var defaultH2C = H2C{
	Connections:        128,
	Streams:            100,
	MinStreams:         4,
	MaxInFlight:        256,
	PerConnection:      100,
	PerClient:          128,
	MaxHeaderBytes:     16 << 10,
	MemoryKB:           8 << 10,
	ConnectionMemoryKB: 1 << 10,
	Stall:              10 * time.Second,
	Age:                time.Hour,
	Requests:           100_000,
}

// maxH2CValue is the maximum of each number in the table except head, which has its own, and requests, which has none.
const maxH2CValue = 1 << 20

func (h *H2C) validate(v tableValidator) {
	v.requireAddress("listen", h.Listen)
	v.requireRange("connections", h.Connections, 1, maxH2CValue)
	v.requireRange("streams", h.Streams, 1, maxH2CValue)
	v.requireRange("least_streams", h.MinStreams, 1, maxH2CValue)
	v.requireRange("at_core", h.MaxInFlight, 1, maxH2CValue)
	v.requireRange("per_connection", h.PerConnection, 1, maxH2CValue)
	v.requireRange("per_client", h.PerClient, 1, maxH2CValue)
	v.requireRange("memory_kb", h.MemoryKB, 1, maxH2CValue)
	v.requireRange("connection_kb", h.ConnectionMemoryKB, 1, maxH2CValue)
	v.require(h.MinStreams <= h.Streams, "least_streams",
		"%d is more than streams (%d)", h.MinStreams, h.Streams)
	v.require(h.ConnectionMemoryKB <= h.MemoryKB, "connection_kb",
		"%d is more than memory_kb (%d)", h.ConnectionMemoryKB, h.MemoryKB)
	v.requireRange("head", h.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	v.require(h.Stall > 0, "stall", "%v is not above 0s", h.Stall)
	v.require(h.Requests >= 0, "requests", "%d is below 0", h.Requests)
}

// Admission converts the table to the configuration of admission control.
func (h *H2C) Admission() admission.Config {
	return admission.Config{
		MaxInFlight:           h.MaxInFlight,
		PerConnection:         h.PerConnection,
		PerClient:             h.PerClient,
		MaxStreams:            h.Streams,
		MinStreams:            h.MinStreams,
		MaxConnections:        h.Connections,
		MemoryBytes:           h.MemoryKB << 10,
		ConnectionMemoryBytes: h.ConnectionMemoryKB << 10,
		Stall:                 h.Stall,
		Age:                   h.Age,
		Requests:              h.Requests,
	}
}
