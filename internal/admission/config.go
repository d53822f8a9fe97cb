package admission

import (
	"fmt"
	"time"
)

// Config holds the limits of a frontend.
type Config struct {
	MaxInFlight           int           // streams in flight, over all connections
	PerConnection         int           // streams in flight of one connection
	PerClient             int           // streams in flight of one client, over all its connections
	MaxStreams            int           // streams of a connection in flight or waiting: SETTINGS_MAX_CONCURRENT_STREAMS
	MinStreams            int           // lowest limit of streams of a connection, under load or after many violations
	MaxConnections        int           // open connections
	MemoryBytes           int           // bytes of requests and responses in memory, for all connections
	ConnectionMemoryBytes int           // bytes of requests and responses in memory, for one connection
	Stall                 time.Duration // how long a response may make no progress before its stream is aborted
	Age                   time.Duration // age at which a connection is asked to go away, plus or minus 20%; 0: never
	Requests              int           // requests until a connection is asked to go away, plus or minus 20%; 0: never
	// CloseTimeout is how long a connection that is to be closed may stay open for the answers to its streams in
	// flight; 0: until they are answered.
	CloseTimeout time.Duration
}

// check returns an error that names the first invalid field, or nil.
func (c Config) check() error {
	for _, bound := range []struct {
		name     string
		value    int
		minValue int
	}{
		{"max in flight", c.MaxInFlight, 1},
		{"per connection", c.PerConnection, 1},
		{"per client", c.PerClient, 1},
		{"min streams", c.MinStreams, 1},
		{"streams", c.MaxStreams, c.MinStreams},
		{"connections", c.MaxConnections, 1},
		{"memory per connection", c.ConnectionMemoryBytes, 1},
		{"memory", c.MemoryBytes, c.ConnectionMemoryBytes},
		{"stall", int(c.Stall), 1},
		{"age", int(c.Age), 0},
		{"requests", c.Requests, 0},
		{"close timeout", int(c.CloseTimeout), 0},
	} {
		if bound.value < bound.minValue {
			return fmt.Errorf("%s: %d is below %d", bound.name, bound.value, bound.minValue)
		}
	}
	return nil
}
