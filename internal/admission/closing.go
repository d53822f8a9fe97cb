package admission

import (
	"cmp"
	"slices"
	"time"
)

// closing is the state of a connection that is being closed. The connection takes no more streams. It is closed once
// its streams in flight are answered: their requests may have run, several clients may share the connection, and what
// one of them does must not cost another one its answer.
type closing struct {
	reason   string
	deadline time.Duration // when the connection is closed although streams are in flight; 0: never
	ended    bool          // CloseConnection or DropConnection was emitted
}

// Close reports that the frontend cannot use a connection any longer, for example because it cannot interpret what the
// client sends.
func (c *Controller) Close(now time.Duration, id ConnectionID, reason string) []Action {
	c.begin(now)
	if conn := c.connections[id]; conn != nil {
		c.closeConnection(conn, reason)
	}
	return c.actions
}

// closeConnection starts to close a connection, unless that has begun already. Waiting streams are rejected, as nothing
// has been done for them. Disconnect releases what belongs to the connection.
func (c *Controller) closeConnection(conn *connection, reason string) {
	if conn.closing != nil {
		return
	}
	conn.closing = &closing{reason: reason}
	if c.config.CloseTimeout > 0 {
		conn.closing.deadline = c.now + c.config.CloseTimeout
	}
	conn.goingAway = true
	conn.rejecting = true
	if len(conn.streams) > 0 {
		c.emit(Action{Kind: DrainConnection, Connection: conn.id, Reason: reason})
		c.rejectWaiting(conn)
	}
	c.closeIfDrained(conn)
}

// rejectWaiting rejects the waiting streams of a connection, in the order of their arrival.
func (c *Controller) rejectWaiting(conn *connection) {
	var waiting []*stream
	for _, s := range conn.streams {
		if !s.inFlight {
			waiting = append(waiting, s)
		}
	}
	slices.SortFunc(waiting, func(a, b *stream) int { return cmp.Compare(a.arrival, b.arrival) })
	for _, s := range waiting {
		c.release(s)
		c.emit(Action{Kind: RejectStream, Connection: conn.id, Stream: s.id})
	}
}

// closeIfDrained asks the caller to close a connection that is being closed and has no streams left.
func (c *Controller) closeIfDrained(conn *connection) {
	if conn.closing != nil && len(conn.streams) == 0 {
		c.endClosing(conn, CloseConnection)
	}
}

// dropIfOverdue asks the caller to close a connection whose streams were not answered within Config.CloseTimeout.
func (c *Controller) dropIfOverdue(conn *connection) {
	if conn.closing != nil && conn.closing.deadline > 0 && c.now >= conn.closing.deadline {
		c.endClosing(conn, DropConnection)
	}
}

// endClosing emits the last action on a connection.
func (c *Controller) endClosing(conn *connection, kind ActionKind) {
	if conn.closing.ended {
		return
	}
	conn.closing.ended = true
	c.emit(Action{Kind: kind, Connection: conn.id, Reason: conn.closing.reason})
}
