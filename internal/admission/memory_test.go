package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func TestStalledStreamIsAbortedForMemory(t *testing.T) {
	c := newController(t, nil)
	for id := range ConnectionID(3) {
		c.Connect(0, id+1, "a")
		c.Arrive(0, id+1, 1, "x", 3)
	}
	reserve := func(id ConnectionID, bytes int, wantActions string, wantErr error) {
		t.Helper()
		got, err := c.Reserve(0, id, 1, bytes)
		if !errors.Is(err, wantErr) {
			t.Errorf("connection %d, %d bytes: error %v, want %v", id, bytes, err, wantErr)
		}
		expect(t, fmt.Sprintf("connection %d, %d bytes", id, bytes), got, wantActions)
	}
	reserve(1, 601, "", ErrMemory) // above the limit of a connection, 600 bytes
	reserve(1, 500, "", nil)
	reserve(2, 400, "", nil)
	reserve(3, 200, "", ErrMemory) // no stream is stalled, so none is aborted
	c.Progress(time.Second, 2, 1, false)
	reserve(3, 200, "abort 2/1", nil)
	reserve(1, -500, "", nil)
	if c.memory != 200 {
		t.Errorf("%d bytes are reserved, want 200", c.memory)
	}
}

// The first stalled streams to be aborted are those of the connection with the most reserved memory, of these the one
// stalled longest, and among equal ones the oldest.
func TestOrderOfAbortedStreams(t *testing.T) {
	c := newController(t, func(config *Config) {
		config.MaxInFlight = 10
		config.MemoryBytes = 600
	})
	reserve := func(id ConnectionID, sid StreamID, bytes int, want string) {
		t.Helper()
		got, err := c.Reserve(0, id, sid, bytes)
		if err != nil {
			t.Errorf("%d bytes for stream %d/%d: error %v, want none", bytes, id, sid, err)
		}
		expect(t, fmt.Sprintf("%d bytes for stream %d/%d", bytes, id, sid), got, want)
	}
	for id := range ConnectionID(3) {
		c.Connect(0, id+1, "a")
		for sid := range StreamID(3) {
			c.Arrive(0, id+1, sid+1, fmt.Sprint("client", id), 3)
		}
	}
	for sid := range StreamID(3) {
		reserve(1, sid+1, 50, "")
		reserve(2, sid+1, 100, "")
	}
	c.Progress(time.Second, 1, 1, false)
	c.Progress(2*time.Second, 2, 1, false)
	c.Progress(time.Second, 2, 3, false) // the time does not step back, so 2/3 is stalled as long as 2/1
	reserve(3, 1, 200, "abort 2/1")
	reserve(3, 1, 100, "abort 2/3")
	reserve(3, 1, 100, "abort 1/1")
}

func TestConnectionIsClosedAfterMaxAborts(t *testing.T) {
	c := newController(t, func(config *Config) {
		config.MaxInFlight = 100
		config.PerConnection = 100
		config.PerClient = 100
		config.MaxStreams = 100
	})
	c.Connect(0, 1, "a")
	c.Connect(0, 2, "b")
	for i := range StreamID(maxAborts) {
		c.Arrive(0, 1, 2*i+1, "x", 3)
		c.Progress(0, 1, 2*i+1, false)
	}
	c.Arrive(0, 2, 1, "y", 3)
	c.Progress(0, 2, 1, false)
	c.Progress(time.Second, 2, 1, true)
	c.Progress(2*time.Second, 2, 1, false)
	expect(t, "before the stall time", c.Tick(testConfig.Stall-1), "")
	got := c.Tick(testConfig.Stall + 1)
	if want := maxAborts + 1; len(got) != want || got[want-1].Kind != CloseConnection || got[want-1].Connection != 1 {
		t.Errorf("after %d stalled streams: %q, want as many aborts and then the close of connection 1",
			maxAborts, describe(got))
	}
	expect(t, "the stalled stream of another connection", c.Tick(testConfig.Stall+2*time.Second), "abort 2/1")
}
