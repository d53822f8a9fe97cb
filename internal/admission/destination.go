package admission

// Bounds of the reserve. Nodes that hang keep the streams in flight that are sent to them. Without a reserve these
// would use up the limits, and streams for other nodes would wait until they end. So a part of each limit is kept for
// destinations with few streams in flight, as those whose nodes answer have.
const (
	reservedDivisor = 4 // 1/4 of each limit is reserved
	fewInFlight     = 4 // streams in flight below which a destination may use the reserved part
)

// destination counts the streams for the same nodes over all connections. It is removed with its last stream. A nil
// destination stands for streams that any node may serve; these may use the reserved part, too.
type destination struct{ streams, inFlight int }

// joinDestination counts a new stream for its destination.
func (c *Controller) joinDestination(s *stream) {
	if s.Destination == "" {
		return
	}
	s.destination = c.destinations[s.Destination]
	if s.destination == nil {
		s.destination = &destination{}
		c.destinations[s.Destination] = s.destination
	}
	s.destination.streams++
}

// leaveDestination removes a stream from its destination.
func (c *Controller) leaveDestination(s *stream) {
	if s.destination == nil {
		return
	}
	if s.destination.streams--; s.destination.streams == 0 {
		delete(c.destinations, s.Destination)
	}
}

// addInFlight changes the number of streams in flight.
func (d *destination) addInFlight(change int) {
	if d != nil {
		d.inFlight += change
	}
}

// limit returns the part of a limit that streams for the destination may use.
func (d *destination) limit(limit int) int {
	if d == nil || d.inFlight < fewInFlight {
		return limit
	}
	return limit - limit/reservedDivisor
}

// mayStart reports whether another stream may be started for a client on a connection and for a destination.
func (c *Controller) mayStart(conn *connection, owner *client, d *destination) bool {
	return c.inFlight < d.limit(c.config.MaxInFlight) &&
		conn.inFlight < d.limit(c.config.PerConnection) &&
		owner.inFlight < d.limit(c.config.PerClient)
}
