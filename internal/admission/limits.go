package admission

// adjustStreamLimits sets the stream limit of each connection. While at least MaxInFlight streams wait, it lowers the
// limits of connections with more streams than fairStreamLimit. Once no stream waits and at most half of MaxInFlight
// are in flight, it sets the limits back to MaxStreams. A connection whose score is at least minLimitScore gets
// MinStreams. As this is a pass over all connections, only Tick calls it.
func (c *Controller) adjustStreamLimits() {
	share := c.fairStreamLimit()
	for _, conn := range c.sortedConnections() {
		limit := c.streamLimitOf(conn, share)
		if limit != conn.streamLimit && !conn.goingAway {
			conn.streamLimit = limit
			c.emit(Action{Kind: LimitStreams, Connection: conn.id, Count: limit})
		}
	}
}

// fairStreamLimit returns the limit at which the connections with streams may together have twice as many streams as
// can be in flight, but at least MinStreams.
func (c *Controller) fairStreamLimit() int {
	busy := 0
	for _, conn := range c.connections {
		if len(conn.streams) > 0 {
			busy++
		}
	}
	return max(c.config.MinStreams, 2*c.config.MaxInFlight/max(1, busy))
}

// streamLimitOf returns the limit of streams that a connection should have now. The share is that of fairStreamLimit.
func (c *Controller) streamLimitOf(conn *connection, share int) int {
	if conn.score.value(c.now) >= minLimitScore {
		return c.config.MinStreams
	}
	waiting := c.waiting.byArrival.Len()
	switch {
	case waiting >= c.config.MaxInFlight && len(conn.streams) > share:
		return min(conn.streamLimit, share)
	case waiting == 0 && c.inFlight <= c.config.MaxInFlight/2:
		return c.config.MaxStreams
	}
	return conn.streamLimit
}
