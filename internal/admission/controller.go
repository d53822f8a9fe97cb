package admission

import (
	"cmp"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Urgencies of RFC 9218, section 4.1. 0 is the most urgent one.
const (
	MaxUrgency     = 7
	DefaultUrgency = 3
)

// Controller decides for one frontend. It owns the state of its connections and streams, and releases all that belongs
// to a connection in Disconnect.
type Controller struct {
	config      Config
	now         time.Duration
	random      *rand.Rand
	connections map[ConnectionID]*connection
	clients     map[string]*client
	waiting     waitingStreams
	inFlight    int // streams
	memory      int // bytes reserved for all streams
	started     uint64
	arrived     uint64
	actions     []Action                  // of the event at hand
	abuse       map[string]abusiveAddress // by address
}

// client counts the streams of a client over all connections. It is forgotten with its last stream.
type client struct{ streams, inFlight int }

// connection is the state of a connection.
type connection struct {
	id      ConnectionID
	address string
	streams map[StreamID]*stream
	queues  map[string]*clientQueue // of waiting streams, by client

	waiting     int // streams
	inFlight    int // streams
	memory      int // bytes reserved for its streams
	streamLimit int // as announced
	requests    int
	aborts      int // streams aborted since one was answered

	goAwayAt    time.Duration // 0: never
	maxRequests int           // 0: any number
	goingAway   bool          // it got GoAway or CloseConnection
	rejecting   bool          // new streams are rejected, because of abuse or because it is closed
	score       score

	heapIndex   int    // among the ready connections; notReady: it is none
	lastStarted uint64 // value of Controller.started when one of its streams was last started
}

// notReady is the heapIndex of a connection that has no stream to start.
const notReady = -1

// stream is the state of a stream.
type stream struct {
	id           StreamID
	connection   *connection
	client       string
	urgency      int
	arrival      uint64        // number in the order of arrival
	byArrival    *list.Element // while it waits: its place among all waiting streams
	byUrgency    *list.Element // while it waits: its place in its clientQueue
	inFlight     bool
	memory       int           // bytes reserved
	stalledSince time.Duration // 0: its response makes progress
}

// New makes a Controller. The seed spreads the times at which connections are asked to go away.
func New(config Config, seed uint64) (*Controller, error) {
	if err := config.check(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	return &Controller{
		config:      config,
		random:      rand.New(rand.NewPCG(seed, 0)),
		connections: map[ConnectionID]*connection{},
		clients:     map[string]*client{},
		abuse:       map[string]abusiveAddress{},
	}, nil
}

// begin begins an event at a time, with no actions.
func (c *Controller) begin(now time.Duration) {
	c.now = max(c.now, now)
	c.actions = nil
}

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// jitter returns a value that is less or more by a fifth at most.
func (c *Controller) jitter(value float64) float64 { return value * (0.8 + 0.4*c.random.Float64()) }

// Connect takes a connection from an address. It reports false if the connection is to be closed at once.
func (c *Controller) Connect(now time.Duration, id ConnectionID, address string) bool {
	c.begin(now)
	if len(c.connections) >= c.config.Connections || c.connections[id] != nil || c.banned(address) {
		return false
	}
	conn := &connection{
		id:          id,
		address:     address,
		streams:     map[StreamID]*stream{},
		queues:      map[string]*clientQueue{},
		heapIndex:   notReady,
		streamLimit: c.config.Streams,
	}
	if c.config.Age > 0 {
		conn.goAwayAt = c.now + time.Duration(c.jitter(float64(c.config.Age)))
	}
	if c.config.Requests > 0 {
		conn.maxRequests = max(1, int(c.jitter(float64(c.config.Requests))))
	}
	c.connections[id] = conn
	return true
}

// Arrive takes a whole request, which waits until it is started, or rejects it.
func (c *Controller) Arrive(now time.Duration, id ConnectionID, sid StreamID, who string, urgency int) []Action {
	c.begin(now)
	conn := c.connections[id]
	if conn == nil {
		return nil
	}
	// Streams that crossed a lowered limit are still taken. More than were ever allowed are not. Some streams cross a
	// GOAWAY. A client that goes on after it is closed in the end.
	if conn.rejecting || conn.streams[sid] != nil || len(conn.streams) >= c.config.Streams {
		c.emit(Action{Kind: RejectStream, Connection: id, Stream: sid})
		c.recordViolation(conn, RejectedStream)
		return c.actions
	}
	c.enqueue(c.newStream(conn, sid, who, urgency))
	c.dispatch()
	if conn.maxRequests > 0 && conn.requests >= conn.maxRequests {
		c.goAway(conn, reasonRequests)
	}
	return c.actions
}

// newStream adds a stream to its connection and its client.
func (c *Controller) newStream(conn *connection, id StreamID, who string, urgency int) *stream {
	c.arrived++
	s := &stream{
		id:         id,
		connection: conn,
		client:     who,
		urgency:    min(max(urgency, 0), MaxUrgency),
		arrival:    c.arrived,
	}
	conn.streams[id] = s
	conn.requests++
	if c.clients[who] == nil {
		c.clients[who] = &client{}
	}
	c.clients[who].streams++
	return s
}

// End reports that a stream has ended: its response is sent, or the client has reset it. Reset streams count against
// the connection, answered ones in its favour.
func (c *Controller) End(now time.Duration, id ConnectionID, sid StreamID, reset bool) []Action {
	c.begin(now)
	conn := c.connections[id]
	if conn == nil || conn.streams[sid] == nil {
		return nil
	}
	c.release(conn.streams[sid])
	if reset {
		c.recordViolation(conn, StreamReset)
	} else {
		conn.aborts = 0
		conn.score.creditAnswer(c.now)
	}
	c.dispatch()
	return c.actions
}

// Disconnect reports that a connection has ended. All that belongs to it is released here.
func (c *Controller) Disconnect(now time.Duration, id ConnectionID) []Action {
	c.begin(now)
	conn := c.connections[id]
	if conn == nil {
		return nil
	}
	for _, s := range conn.streams {
		c.release(s)
	}
	delete(c.connections, id)
	c.dispatch()
	return c.actions
}

// release releases all that belongs to a stream.
func (c *Controller) release(s *stream) {
	conn := s.connection
	who := c.clients[s.client]
	if s.inFlight {
		conn.inFlight--
		c.inFlight--
		who.inFlight--
		c.updateReady(conn)
	} else {
		c.dequeue(s)
	}
	conn.memory -= s.memory
	c.memory -= s.memory
	if who.streams--; who.streams == 0 {
		delete(c.clients, s.client)
	}
	delete(conn.streams, s.id)
}

// dispatch starts waiting streams while there is capacity.
func (c *Controller) dispatch() {
	for c.inFlight < c.config.MaxInFlight {
		s := c.next()
		if s == nil {
			return
		}
		c.dequeue(s)
		c.start(s)
	}
}

func (c *Controller) start(s *stream) {
	conn := s.connection
	c.started++
	s.inFlight = true
	conn.lastStarted = c.started
	conn.inFlight++
	c.inFlight++
	c.clients[s.client].inFlight++
	c.updateReady(conn)
	c.emit(Action{Kind: StartStream, Connection: conn.id, Stream: s.id})
}

// goAway asks a connection once to go away.
func (c *Controller) goAway(conn *connection, reason string) {
	if conn.goingAway {
		return
	}
	conn.goingAway = true
	c.emit(Action{Kind: GoAway, Connection: conn.id, Reason: reason})
}

// closeConnection closes a connection. What belongs to it is released by Disconnect.
func (c *Controller) closeConnection(conn *connection, reason string) {
	c.emit(Action{Kind: CloseConnection, Connection: conn.id, Reason: reason})
	conn.goingAway = true
	conn.rejecting = true
}

// Tick does what is due with time: stalled streams are aborted, old connections are asked to go away, and the limits of
// streams follow the load. It is called a few times a second.
func (c *Controller) Tick(now time.Duration) []Action {
	c.begin(now)
	for _, conn := range c.sortedConnections() {
		c.abortStalled(conn)
		if conn.goAwayAt > 0 && c.now >= conn.goAwayAt {
			c.goAway(conn, reasonAge)
		}
	}
	c.forgetOldAbuse()
	c.dispatch()
	c.adjustStreamLimits()
	return c.actions
}

// Drain asks every connection to go away.
func (c *Controller) Drain(now time.Duration) []Action {
	c.begin(now)
	for _, conn := range c.sortedConnections() {
		c.goAway(conn, reasonDrain)
	}
	return c.actions
}

// sortedConnections returns the connections in a fixed order, so that the same events give the same actions.
func (c *Controller) sortedConnections() []*connection {
	all := make([]*connection, 0, len(c.connections))
	for _, conn := range c.connections {
		all = append(all, conn)
	}
	slices.SortFunc(all, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	return all
}
