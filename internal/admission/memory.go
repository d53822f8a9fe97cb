package admission

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// ErrMemory means that there is not enough memory left for a reservation.
var ErrMemory = errors.New("admission: not enough memory left for the stream")

// maxAborts is the number of streams aborted in a row at which their connection is closed.
const maxAborts = 8

// Reserve reserves bytes for a stream, or releases them if bytes is negative. If the memory of the frontend is used up,
// other stalled streams are aborted. The first to be aborted are those of the connection with the most reserved bytes,
// of these the one that has been stalled longest, and among equal ones the oldest. The error is ErrMemory, also if the
// stream is unknown.
func (c *Controller) Reserve(now time.Duration, id ConnectionID, sid StreamID, bytes int) ([]Action, error) {
	c.begin(now)
	conn := c.connections[id]
	if conn == nil || conn.streams[sid] == nil {
		return nil, ErrMemory
	}
	s := conn.streams[sid]
	if bytes > 0 && conn.memory+bytes > c.config.ConnectionMemoryBytes {
		return nil, ErrMemory
	}
	for bytes > 0 && c.memory+bytes > c.config.MemoryBytes {
		victim := c.stalledVictim(s)
		if victim == nil {
			return c.actions, ErrMemory
		}
		c.abort(victim)
	}
	s.memory += bytes
	conn.memory += bytes
	c.memory += bytes
	return c.actions, nil
}

// stalledVictim returns the stalled stream with reserved memory that is to be aborted first, or nil. It never returns
// the excepted stream.
func (c *Controller) stalledVictim(except *stream) (victim *stream) {
	for _, conn := range c.connections {
		for _, s := range conn.streams {
			if s == except || s.stalledSince == 0 || s.memory == 0 {
				continue
			}
			if victim == nil || compareVictims(s, victim) > 0 {
				victim = s
			}
		}
	}
	return victim
}

// compareVictims compares two stalled streams. It returns a positive number if a is to be aborted before b.
func compareVictims(a, b *stream) int {
	return cmp.Or(
		cmp.Compare(a.connection.memory, b.connection.memory),
		cmp.Compare(b.stalledSince, a.stalledSince),
		cmp.Compare(b.arrival, a.arrival))
}

// Progress records that a stream's response makes progress, or, if progressing is false, that it waits for the client's
// flow-control window.
func (c *Controller) Progress(now time.Duration, id ConnectionID, sid StreamID, progressing bool) {
	c.begin(now)
	conn := c.connections[id]
	if conn == nil || conn.streams[sid] == nil {
		return
	}
	s := conn.streams[sid]
	switch {
	case progressing:
		s.stalledSince = 0
	case s.stalledSince == 0:
		s.stalledSince = max(c.now, 1) // 0 would mean progress
	}
}

// abortStalled aborts the streams of a connection that have been stalled for too long, in the order of their arrival.
func (c *Controller) abortStalled(conn *connection) {
	var stalled []*stream
	for _, s := range conn.streams {
		if s.stalledSince > 0 && c.now-s.stalledSince >= c.config.Stall {
			stalled = append(stalled, s)
		}
	}
	slices.SortFunc(stalled, func(a, b *stream) int { return cmp.Compare(a.arrival, b.arrival) })
	for _, s := range stalled {
		if conn.streams[s.id] == s { // it was not rejected meanwhile, by the close of its connection
			c.abort(s)
		}
	}
}

// abort aborts a stalled stream. After maxAborts in a row it closes the connection: the client does not read.
func (c *Controller) abort(s *stream) {
	conn := s.connection
	c.emit(Action{Kind: AbortStream, Connection: conn.id, Stream: s.id})
	c.release(s)
	if conn.aborts++; conn.aborts >= maxAborts {
		c.closeConnection(conn, reasonStalled)
	}
	c.closeIfDrained(conn)
}
