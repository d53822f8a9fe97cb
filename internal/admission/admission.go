// Package admission decides which streams of which connections are taken to the core and in what order, which connection
// is told to send less, to leave, or is cut, and what gives way when memory is short. It is for fronts on which one
// connection carries many requests. It has no clock, no lock and does no I/O: its caller passes the time, which only needs to
// advance, tells what happened and carries out the actions that come back.
package admission

import (
	"cmp"
	"container/list"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Config bounds a front.
type Config struct {
	MaxInFlight      int           // streams open at the core, over all connections
	PerConnection    int           // of them from one connection
	PerClient        int           // of them from one client, over all its connections
	Streams          int           // that a connection may have open, at the core or waiting: SETTINGS_MAX_CONCURRENT_STREAMS
	MinStreams       int           // what it is told under pressure
	Connections      int           // at a time
	Memory           int           // bytes held for all connections: requests coming in, answers going out
	ConnectionMemory int           // for one connection
	Stall            time.Duration // for which an answer may not move before its stream is given up
	Age              time.Duration // after which a connection is told to leave, give or take a fifth; 0: never
	Requests         int           // after which it is told to leave, give or take a fifth; 0: never
}

// check tells why a Config can't be used.
func (c Config) check() error {
	for _, one := range []struct {
		name         string
		value, least int
	}{{"at core", c.MaxInFlight, 1}, {"per connection", c.PerConnection, 1}, {"per client", c.PerClient, 1}, {"least streams", c.MinStreams, 1},
		{"streams", c.Streams, c.MinStreams}, {"connections", c.Connections, 1}, {"memory per connection", c.ConnectionMemory, 1},
		{"memory", c.Memory, c.ConnectionMemory}, {"stall", int(c.Stall), 1}, {"age", int(c.Age), 0}, {"requests", c.Requests, 0}} {
		if one.value < one.least {
			return fmt.Errorf("%s: %d is below %d", one.name, one.value, one.least)
		}
	}
	return nil
}

// Urgencies of RFC 9218, section 4.1: 0 is wanted first.
const (
	MaxUrgency     = 7
	DefaultUrgency = 3
)

// patience is how many streams may be started ahead of one that has waited for longest, whatever is fair otherwise.
const patience = 8

// ConnectionID names a connection; never twice the same.
type ConnectionID uint64

// StreamID names a stream of a connection.
type StreamID uint32

// ActionKind is what an Action calls for.
type ActionKind int

// The verbs.
const (
	StartStream     ActionKind = iota // take the stream to the core
	RejectStream                      // REFUSED_STREAM: it was certainly not taken, so it may be sent again (RFC 9113, section 8.7)
	AbortStream                       // reset the stream: its answer does not move
	LimitStreams                      // tell the connection how many streams it may have
	GoAway                            // GOAWAY: what is under way is answered, nothing new is taken
	CloseConnection                   // end the connection
)

func (v ActionKind) String() string {
	return [...]string{"start", "refuse", "give up", "limit", "leave", "cut"}[v]
}

// Action is to be carried out, in the order in which they come.
type Action struct {
	Kind       ActionKind
	Connection ConnectionID
	Stream     StreamID
	Count      int    // for Limit
	Reason     string // for Leave and Cut
}

// Controller decides for one front. It owns what it knows of connections and streams; all of it is given back in Gone.
type Controller struct {
	set     Config
	now     time.Duration
	random  *rand.Rand
	conns   map[ConnectionID]*conn
	clients map[string]*client
	open    int // at the core
	lines   lines
	held    int // bytes
	started uint64
	arrived uint64
	actions []Action
	strikes map[string]strike
}

// client is who is behind streams, over all connections: it is forgotten with its last stream.
type client struct{ streams, open int }

type conn struct {
	id       ConnectionID
	address  string
	streams  map[StreamID]*stream
	waiting  int
	open     int
	held     int
	told     int // streams that it may have
	requests int
	leaveAt  time.Duration // 0: never
	most     int           // requests; 0: any number
	leaving  bool          // it was told to
	refusing bool          // it is told to for abuse, or cut: nothing new is taken
	score    score
	queues   map[string]*queue // of waiting streams, by client
	index    int               // among the ready ones; -1: it is none
	served   uint64            // when one of its streams was last started
	failures int               // streams given up since one was answered
}

type stream struct {
	id      StreamID
	conn    *conn
	client  string
	urgency int
	number  uint64        // order of arrival
	inAll   *list.Element // where it waits
	inQueue *list.Element
	open    bool // at the core, or its answer on its way
	held    int
	stalled time.Duration // since when its answer does not move; 0: it does
}

// New makes a Control. The seed spreads the times at which connections leave.
func New(set Config, seed uint64) (*Controller, error) {
	if err := set.check(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	return &Controller{set: set, random: rand.New(rand.NewPCG(seed, 0)), conns: map[ConnectionID]*conn{}, clients: map[string]*client{},
		strikes: map[string]strike{}}, nil
}

// at takes the time and starts a list of actions.
func (c *Controller) at(now time.Duration) { c.now, c.actions = max(c.now, now), nil }

func (c *Controller) do(a Action) { c.actions = append(c.actions, a) }

// spread gives a figure less or more than x by a fifth at most.
func (c *Controller) spread(x float64) float64 { return x * (0.8 + 0.4*c.random.Float64()) }

// Connect takes a connection from an address; false: it is to be closed at once.
func (c *Controller) Connect(now time.Duration, id ConnectionID, address string) bool {
	c.at(now)
	if len(c.conns) >= c.set.Connections || c.conns[id] != nil || c.banned(address) {
		return false
	}
	n := &conn{id: id, address: address, streams: map[StreamID]*stream{}, queues: map[string]*queue{}, index: -1, told: c.set.Streams}
	if c.set.Age > 0 {
		n.leaveAt = c.now + time.Duration(c.spread(float64(c.set.Age)))
	}
	if c.set.Requests > 0 {
		n.most = max(1, int(c.spread(float64(c.set.Requests))))
	}
	c.conns[id] = n
	return true
}

// Arrive takes a whole request. It waits until it is started or refused.
func (c *Controller) Arrive(now time.Duration, id ConnectionID, sid StreamID, who string, urgency int) []Action {
	c.at(now)
	n := c.conns[id]
	switch {
	case n == nil:
		return nil
	case n.refusing || n.streams[sid] != nil || len(n.streams) >= c.set.Streams:
		// Streams that crossed a smaller limit on their way are still taken; more than was ever allowed are not. Some
		// cross a GOAWAY; who goes on after it is cut in the end.
		c.do(Action{Kind: RejectStream, Connection: id, Stream: sid})
		c.blame(n, RejectedStream)
		return c.actions
	}
	c.arrived++
	s := &stream{id: sid, conn: n, client: who, urgency: min(max(urgency, 0), MaxUrgency), number: c.arrived}
	n.streams[sid] = s
	n.requests++
	if c.clients[who] == nil {
		c.clients[who] = &client{}
	}
	c.clients[who].streams++
	c.enqueue(s)
	c.dispatch()
	if n.most > 0 && n.requests >= n.most {
		c.leave(n, "requests")
	}
	return c.actions
}

// End tells that a stream has ended: its answer is out, or its client has reset it. Reset streams count against the
// connection, answered ones for it.
func (c *Controller) End(now time.Duration, id ConnectionID, sid StreamID, reset bool) []Action {
	c.at(now)
	n := c.conns[id]
	if n == nil || n.streams[sid] == nil {
		return nil
	}
	c.forget(n.streams[sid])
	if reset {
		c.blame(n, StreamReset)
	} else {
		n.failures = 0
		n.score.forgive(c.now)
	}
	c.dispatch()
	return c.actions
}

// Disconnect tells that a connection has ended. Whatever it had is given back here.
func (c *Controller) Disconnect(now time.Duration, id ConnectionID) []Action {
	c.at(now)
	n := c.conns[id]
	if n == nil {
		return nil
	}
	for _, s := range n.streams {
		c.forget(s)
	}
	delete(c.conns, id)
	c.dispatch()
	return c.actions
}

// forget gives back what a stream had.
func (c *Controller) forget(s *stream) {
	n := s.conn
	if s.open {
		n.open--
		c.open--
		c.clients[s.client].open--
		c.place(n)
	} else {
		c.dequeue(s)
	}
	n.held -= s.held
	c.held -= s.held
	if c.clients[s.client].streams--; c.clients[s.client].streams == 0 {
		delete(c.clients, s.client)
	}
	delete(n.streams, s.id)
}

// dispatch starts waiting streams while there is room.
func (c *Controller) dispatch() {
	for c.open < c.set.MaxInFlight {
		s := c.next()
		if s == nil {
			return
		}
		c.dequeue(s)
		c.started++
		s.open, s.conn.served = true, c.started
		s.conn.open++
		c.open++
		c.clients[s.client].open++
		c.place(s.conn)
		c.do(Action{Kind: StartStream, Connection: s.conn.id, Stream: s.id})
	}
}

// leave tells a connection to go.
func (c *Controller) leave(n *conn, why string) {
	if !n.leaving {
		n.leaving = true
		c.do(Action{Kind: GoAway, Connection: n.id, Reason: why})
	}
}

// pressure tells connections to send less while more waits than the core takes, and more again once nothing waits. It
// looks at every connection, so it is for Tick alone.
func (c *Controller) pressure() {
	waiting, busy := c.lines.all.Len(), 0
	for _, n := range c.conns {
		if len(n.streams) > 0 {
			busy++
		}
	}
	for _, n := range c.sorted() {
		want := n.told
		switch share := max(c.set.MinStreams, 2*c.set.MaxInFlight/max(1, busy)); {
		case waiting >= c.set.MaxInFlight && len(n.streams) > share:
			want = min(n.told, share)
		case waiting == 0 && c.open <= c.set.MaxInFlight/2:
			want = c.set.Streams
		}
		if n.score.value(c.now) >= slowAt {
			want = c.set.MinStreams
		}
		if want != n.told && !n.leaving {
			n.told = want
			c.do(Action{Kind: LimitStreams, Connection: n.id, Count: want})
		}
	}
}

// sorted gives the connections in a fixed order, so that the same events give the same actions.
func (c *Controller) sorted() []*conn {
	all := make([]*conn, 0, len(c.conns))
	for _, n := range c.conns {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
	return all
}

// ErrMemory says that there is no room for what should be held.
var ErrMemory = errors.New("no memory is left for this stream")

// Reserve counts bytes that are kept for a stream; negative ones are given back. Where the front's memory is used up, streams
// whose answers do not move give way first, of the connection that holds most, the longest stalled first. The error is ErrMemory.
func (c *Controller) Reserve(now time.Duration, id ConnectionID, sid StreamID, bytes int) ([]Action, error) {
	c.at(now)
	n := c.conns[id]
	if n == nil || n.streams[sid] == nil {
		return nil, ErrMemory
	}
	s := n.streams[sid]
	if bytes > 0 && n.held+bytes > c.set.ConnectionMemory {
		return nil, ErrMemory
	}
	for bytes > 0 && c.held+bytes > c.set.Memory {
		victim := c.stalled(s)
		if victim == nil {
			return c.actions, ErrMemory
		}
		c.giveUp(victim)
	}
	s.held, n.held, c.held = s.held+bytes, n.held+bytes, c.held+bytes
	return c.actions, nil
}

// stalled finds who gives way first; not except.
func (c *Controller) stalled(except *stream) (worst *stream) {
	for _, n := range c.conns {
		for _, s := range n.streams {
			if s == except || s.stalled == 0 || s.held == 0 {
				continue
			}
			if worst == nil || cmp.Or(cmp.Compare(n.held, worst.conn.held), cmp.Compare(worst.stalled, s.stalled),
				cmp.Compare(worst.number, s.number)) > 0 {
				worst = s
			}
		}
	}
	return worst
}

// Progress tells whether a stream's answer moves, or waits for a window that is shut.
func (c *Controller) Progress(now time.Duration, id ConnectionID, sid StreamID, moves bool) {
	c.at(now)
	if n := c.conns[id]; n != nil && n.streams[sid] != nil {
		switch s := n.streams[sid]; {
		case moves:
			s.stalled = 0
		case s.stalled == 0:
			s.stalled = max(c.now, 1)
		}
	}
}

// mostFailures is how many streams of a connection may be given up in a row.
const mostFailures = 8

// giveUp ends a stream whose answer does not move, and with too many of them its connection.
func (c *Controller) giveUp(s *stream) {
	n := s.conn
	c.do(Action{Kind: AbortStream, Connection: n.id, Stream: s.id})
	c.forget(s)
	if n.failures++; n.failures >= mostFailures {
		c.cut(n, "nothing is read")
	}
}

// cut ends a connection; what it had is given back by Gone.
func (c *Controller) cut(n *conn, why string) {
	c.do(Action{Kind: CloseConnection, Connection: n.id, Reason: why})
	n.leaving, n.refusing = true, true
}

// Tick does what time brings: stalled streams are given up, old connections leave. It is called a few times a second.
func (c *Controller) Tick(now time.Duration) []Action {
	c.at(now)
	for _, n := range c.sorted() {
		var late []*stream
		for _, s := range n.streams {
			if s.stalled > 0 && c.now-s.stalled >= c.set.Stall {
				late = append(late, s)
			}
		}
		slices.SortFunc(late, func(a, b *stream) int { return cmp.Compare(a.number, b.number) })
		for _, s := range late {
			c.giveUp(s)
		}
		if n.leaveAt > 0 && c.now >= n.leaveAt {
			c.leave(n, "age")
		}
	}
	c.expire()
	c.dispatch()
	c.pressure()
	return c.actions
}

// Drain tells every connection to leave.
func (c *Controller) Drain(now time.Duration) []Action {
	c.at(now)
	for _, n := range c.sorted() {
		c.leave(n, "drain")
	}
	return c.actions
}
