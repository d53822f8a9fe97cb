package admission

// adjustStreamLimits lowers the stream limits of connections while more streams wait than can be in flight, and raises
// them once none waits. It costs a pass over all connections, so only Tick calls it.
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

// fairStreamLimit returns the limit with which the busy connections share twice the streams that can be in flight.
func (c *Controller) fairStreamLimit() int {
	busy := 0
	for _, conn := range c.connections {
		if len(conn.streams) > 0 {
			busy++
		}
	}
	return max(c.config.MinStreams, 2*c.config.MaxInFlight/max(1, busy))
}

func (c *Controller) streamLimitOf(conn *connection, share int) int {
	if conn.score.value(c.now) >= minLimitScore {
		return c.config.MinStreams
	}
	waiting := c.waiting.byArrival.Len()
	switch {
	case waiting >= c.config.MaxInFlight && len(conn.streams) > share:
		return min(conn.streamLimit, share)
	case waiting == 0 && c.inFlight <= c.config.MaxInFlight/2:
		return c.config.Streams
	}
	return conn.streamLimit
}
