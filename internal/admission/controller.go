package admission

import (
	"cmp"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Urgencies of RFC 9218, section 4.1. 0 is the most urgent.
const (
	MaxUrgency     = 7
	DefaultUrgency = 3
)

// Controller makes the decisions for one frontend. It owns the state of the connections and streams. Disconnect
// releases everything that belongs to a connection.
type Controller struct {
	config       Config
	now          time.Duration
	random       *rand.Rand
	connections  map[ConnectionID]*connection
	clients      map[string]*client
	destinations map[string]*destination
	waiting      waitingStreams
	inFlight     int                       // number of streams in flight
	memory       int                       // bytes reserved for all streams
	started      uint64                    // streams started so far
	arrived      uint64                    // streams accepted so far
	actions      []Action                  // actions that the current event has caused so far
	abuse        map[string]abusiveAddress // connections recently closed for abuse, by address
}

// client counts the streams of a client over all connections. It is removed with its last stream.
type client struct{ streams, inFlight int }

// connection is the state of a connection.
type connection struct {
	id      ConnectionID
	address string
	streams map[StreamID]*stream
	queues  map[queueKey]*streamQueue // queues of its waiting streams

	waiting     int // number of waiting streams
	inFlight    int // number of streams in flight
	memory      int // bytes reserved for its streams
	streamLimit int // last announced limit of streams
	requests    int // streams accepted so far
	aborts      int // streams aborted since a stream was last answered

	goAwayAt    time.Duration // 0: never
	maxRequests int           // 0: any number
	goingAway   bool          // the client was asked to go away, or the connection is being closed
	rejecting   bool          // new streams are rejected because of abuse, or because the connection is being closed
	closing     *closing      // nil: the connection is not being closed
	score       score

	heapIndex   int    // index among the ready connections, or notReady
	lastStarted uint64 // value of Controller.started when one of its streams was last started
}

// notReady is the heapIndex of a connection that has no stream to start.
const notReady = -1

// stream is the state of a stream.
type stream struct {
	id         StreamID
	connection *connection
	Request
	destination  *destination  // that of the Request; nil: none
	arrival      uint64        // position in the order of arrival
	byArrival    *list.Element // while it waits: its element among all waiting streams
	byUrgency    *list.Element // while it waits: its element in its streamQueue
	inFlight     bool
	memory       int           // bytes reserved
	stalledSince time.Duration // when its response last stopped making progress; 0: it makes progress
}

// New makes a Controller. The seed spreads the times at which connections are asked to go away.
func New(config Config, seed uint64) (*Controller, error) {
	if err := config.check(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	return &Controller{
		config:       config,
		random:       rand.New(rand.NewPCG(seed, 0)),
		connections:  map[ConnectionID]*connection{},
		clients:      map[string]*client{},
		destinations: map[string]*destination{},
		abuse:        map[string]abusiveAddress{},
	}, nil
}

// begin starts the handling of an event: it sets the time and clears the actions.
func (c *Controller) begin(now time.Duration) {
	c.now = max(c.now, now)
	c.actions = nil
}

// emit adds an action to those of the current event.
func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// jitter returns a value changed at random by at most a fifth.
func (c *Controller) jitter(value float64) float64 { return value * (0.8 + 0.4*c.random.Float64()) }

// Connect adds a connection from an address. It reports false if the connection is not accepted and must be closed.
func (c *Controller) Connect(now time.Duration, id ConnectionID, address string) bool {
	c.begin(now)
	if len(c.connections) >= c.config.MaxConnections || c.connections[id] != nil || c.banned(address) {
		return false
	}
	conn := &connection{
		id:          id,
		address:     address,
		streams:     map[StreamID]*stream{},
		queues:      map[queueKey]*streamQueue{},
		heapIndex:   notReady,
		streamLimit: c.config.MaxStreams,
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

// Request is what the order of streams depends on.
type Request struct {
	Client      string
	Urgency     int
	Destination string // the nodes that can serve the request; empty: any, or unknown
}

// Arrive adds a stream without a destination. Otherwise it is like Admit.
func (c *Controller) Arrive(now time.Duration, id ConnectionID, sid StreamID, clientID string, urgency int) []Action {
	return c.Admit(now, id, sid, Request{Client: clientID, Urgency: urgency})
}

// Admit adds a stream whose request has been received in full, or rejects it. An added stream waits until it is
// started. An unknown connection is ignored.
func (c *Controller) Admit(now time.Duration, id ConnectionID, sid StreamID, request Request) []Action {
	c.begin(now)
	conn := c.connections[id]
	if conn == nil {
		return nil
	}
	// A client may open streams before it receives a lowered limit, so the original limit, Config.MaxStreams, applies
	// here. It may also open a few streams before it receives a GOAWAY. A rejected stream counts as a small violation,
	// so that a client that opens further streams after a GOAWAY for abuse loses the connection in the end.
	if conn.rejecting || conn.streams[sid] != nil || len(conn.streams) >= c.config.MaxStreams {
		c.emit(Action{Kind: RejectStream, Connection: id, Stream: sid})
		c.recordViolation(conn, RejectedStream)
		return c.actions
	}
	c.enqueue(c.newStream(conn, sid, request))
	c.dispatch()
	if conn.maxRequests > 0 && conn.requests >= conn.maxRequests {
		c.goAway(conn, reasonRequests)
	}
	return c.actions
}

// newStream adds a stream to its connection, its client and its destination.
func (c *Controller) newStream(conn *connection, id StreamID, request Request) *stream {
	c.arrived++
	s := &stream{
		id:         id,
		connection: conn,
		Request:    request,
		arrival:    c.arrived,
	}
	s.Urgency = min(max(s.Urgency, 0), MaxUrgency)
	conn.streams[id] = s
	conn.requests++
	if c.clients[s.Client] == nil {
		c.clients[s.Client] = &client{}
	}
	c.clients[s.Client].streams++
	c.joinDestination(s)
	return s
}

// Expire reports that a stream may not wait any longer. It has no effect on a stream that has been started.
func (c *Controller) Expire(now time.Duration, id ConnectionID, sid StreamID) []Action {
	c.begin(now)
	conn := c.connections[id]
	if conn == nil || conn.streams[sid] == nil || conn.streams[sid].inFlight {
		return nil
	}
	c.release(conn.streams[sid])
	c.emit(Action{Kind: ExpireStream, Connection: id, Stream: sid})
	return c.actions
}

// End reports that a stream has ended, because its response has been sent or because the client has reset it. Reset
// streams count against the connection, and answered ones in its favour.
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
	c.closeIfDrained(conn)
	c.dispatch()
	return c.actions
}

// Disconnect reports that a connection has ended. It releases everything that belongs to the connection.
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

// release releases everything that belongs to a stream.
func (c *Controller) release(s *stream) {
	conn := s.connection
	owner := c.clients[s.Client]
	if s.inFlight {
		conn.inFlight--
		c.inFlight--
		owner.inFlight--
		s.destination.addInFlight(-1)
		c.updateReady(conn)
	} else {
		c.dequeue(s)
	}
	conn.memory -= s.memory
	c.memory -= s.memory
	if owner.streams--; owner.streams == 0 {
		delete(c.clients, s.Client)
	}
	c.leaveDestination(s)
	delete(conn.streams, s.id)
}

// dispatch starts waiting streams while fewer than MaxInFlight are in flight.
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

// start puts a stream in flight that has left its queues.
func (c *Controller) start(s *stream) {
	conn := s.connection
	c.started++
	s.inFlight = true
	conn.lastStarted = c.started
	conn.inFlight++
	c.inFlight++
	c.clients[s.Client].inFlight++
	s.destination.addInFlight(1)
	c.updateReady(conn)
	c.emit(Action{Kind: StartStream, Connection: conn.id, Stream: s.id})
}

// goAway asks a connection to go away, unless that has been done already.
func (c *Controller) goAway(conn *connection, reason string) {
	if conn.goingAway {
		return
	}
	conn.goingAway = true
	c.emit(Action{Kind: GoAway, Connection: conn.id, Reason: reason})
}

// Tick handles what depends on time: it aborts stalled streams, asks old connections to go away, ends the time of
// connections that are being closed, and adjusts the limits of streams to the load. It is called a few times a second.
func (c *Controller) Tick(now time.Duration) []Action {
	c.begin(now)
	for _, conn := range c.sortedConnections() {
		c.abortStalled(conn)
		if conn.goAwayAt > 0 && c.now >= conn.goAwayAt {
			c.goAway(conn, reasonAge)
		}
		c.dropIfOverdue(conn)
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

// sortedConnections returns the connections by ID, so that the same events always cause the same actions.
func (c *Controller) sortedConnections() []*connection {
	all := make([]*connection, 0, len(c.connections))
	for _, conn := range c.connections {
		all = append(all, conn)
	}
	slices.SortFunc(all, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	return all
}
