package admission

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any sequence of events, no limit is exceeded, a stream is started only while it waits, no connection is closed
// before its streams are answered, and nothing is left after all connections have ended.
func TestRandomEventsKeepLimitsAndLeaveNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newChurn(t)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			p.step()
			p.expectBounds()
		}
		p.disconnectAll()
		p.expectNothingLeft()
	})
}

type streamKey struct {
	connection ConnectionID
	stream     StreamID
}

// churn plays random events on a Controller and tracks the streams by the returned actions.
type churn struct {
	t           *rapid.T
	config      Config
	controller  *Controller
	now         time.Duration
	lastStream  StreamID
	inFlight    map[streamKey]bool
	waiting     map[streamKey]bool
	connections map[ConnectionID]bool
	closing     map[ConnectionID]bool // connections that take no more streams
}

func newChurn(t *rapid.T) *churn {
	config := Config{
		MaxInFlight:           rapid.IntRange(1, 5).Draw(t, "maxInFlight"),
		PerConnection:         rapid.IntRange(1, 4).Draw(t, "perConnection"),
		PerClient:             rapid.IntRange(1, 4).Draw(t, "perClient"),
		MaxStreams:            6,
		MinStreams:            2,
		MaxConnections:        4,
		MemoryBytes:           300,
		ConnectionMemoryBytes: 200,
		Stall:                 time.Second,
		Age:                   20 * time.Second,
		Requests:              30,
		CloseTimeout:          time.Duration(rapid.IntRange(0, 2).Draw(t, "closeTimeout")) * time.Second,
	}
	controller, err := New(config, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &churn{
		t:           t,
		config:      config,
		controller:  controller,
		lastStream:  1,
		inFlight:    map[streamKey]bool{},
		waiting:     map[streamKey]bool{},
		connections: map[ConnectionID]bool{},
		closing:     map[ConnectionID]bool{},
	}
}

// step plays one random event.
func (p *churn) step() {
	p.now += time.Duration(rapid.IntRange(0, 500).Draw(p.t, "ms")) * time.Millisecond
	id := ConnectionID(rapid.IntRange(1, 6).Draw(p.t, "connection"))
	some := p.someStream()
	switch rapid.IntRange(0, 10).Draw(p.t, "event") {
	case 0:
		if p.controller.Connect(p.now, id, "a") {
			p.connections[id] = true
		}
	case 1, 2, 3:
		p.arrive(id)
	case 4:
		actions := p.controller.End(p.now, some.connection, some.stream, rapid.Bool().Draw(p.t, "reset"))
		p.ended(some)
		p.carryOut(actions)
	case 5:
		actions := p.controller.Disconnect(p.now, id)
		p.endedAll(id)
		delete(p.connections, id)
		delete(p.closing, id)
		p.carryOut(actions)
	case 6:
		p.controller.Progress(p.now, some.connection, some.stream, rapid.Bool().Draw(p.t, "progressing"))
		bytes := rapid.IntRange(0, 150).Draw(p.t, "bytes")
		actions, _ := p.controller.Reserve(p.now, some.connection, some.stream, bytes)
		p.carryOut(actions)
	case 7:
		p.carryOut(p.controller.Tick(p.now))
	case 8:
		p.carryOut(p.controller.Close(p.now, id, "error"))
	case 9:
		p.carryOut(p.controller.RecordViolation(p.now, id, OversizedHeader))
	case 10:
		p.carryOut(p.controller.Expire(p.now, some.connection, some.stream))
	}
}

// someStream returns the stream in flight with the lowest ID, or at random a waiting one with a lower ID.
func (p *churn) someStream() (some streamKey) {
	for key := range p.inFlight {
		if some == (streamKey{}) || key.stream < some.stream {
			some = key
		}
	}
	// The keys are sorted so that the draws are reproducible.
	for _, key := range slices.SortedFunc(maps.Keys(p.waiting), compareStreamKeys) {
		if some == (streamKey{}) || key.stream < some.stream && rapid.Bool().Draw(p.t, "take a waiting stream") {
			some = key
		}
	}
	return some
}

func compareStreamKeys(a, b streamKey) int { return cmp.Compare(a.stream, b.stream) }

// arrive opens a stream on a connection, if the connection exists.
func (p *churn) arrive(id ConnectionID) {
	if !p.connections[id] {
		return
	}
	p.lastStream += 2
	p.waiting[streamKey{id, p.lastStream}] = true
	p.carryOut(p.controller.Admit(p.now, id, p.lastStream, Request{
		Client:      rapid.SampledFrom([]string{"x", "y", "z"}).Draw(p.t, "client"),
		Urgency:     rapid.IntRange(0, MaxUrgency).Draw(p.t, "urgency"),
		Destination: rapid.SampledFrom([]string{"", "0", "1"}).Draw(p.t, "destination"),
	}))
}

// carryOut tracks the streams by the actions of an event.
func (p *churn) carryOut(actions []Action) {
	for _, action := range actions {
		key := streamKey{action.Connection, action.Stream}
		switch action.Kind {
		case StartStream:
			if !p.waiting[key] || p.inFlight[key] {
				p.t.Fatalf("stream %v is started although it does not wait", key)
			}
			if p.closing[key.connection] {
				p.t.Fatalf("stream %v is started although its connection is being closed", key)
			}
			delete(p.waiting, key)
			p.inFlight[key] = true
		case AbortStream:
			p.ended(key)
		case RejectStream, ExpireStream:
			if p.inFlight[key] {
				p.t.Fatalf("stream %v is rejected although it is in flight", key)
			}
			delete(p.waiting, key)
		case DrainConnection:
			p.closing[key.connection] = true
		case CloseConnection:
			p.closing[key.connection] = true
			p.expectNoStreams(key.connection)
		}
	}
}

// expectNoStreams checks that a connection has no streams.
func (p *churn) expectNoStreams(id ConnectionID) {
	p.t.Helper()
	for _, keys := range []map[streamKey]bool{p.inFlight, p.waiting} {
		for key := range keys {
			if key.connection == id {
				p.t.Fatalf("connection %d is closed although its stream %d has no response", id, key.stream)
			}
		}
	}
}

func (p *churn) ended(key streamKey) {
	delete(p.inFlight, key)
	delete(p.waiting, key)
}

// endedAll ends all streams of a connection.
func (p *churn) endedAll(id ConnectionID) {
	for _, keys := range []map[streamKey]bool{p.inFlight, p.waiting} {
		for key := range keys {
			if key.connection == id {
				p.ended(key)
			}
		}
	}
}

func (p *churn) disconnectAll() {
	for id := range p.connections {
		p.endedAll(id)
		p.carryOut(p.controller.Disconnect(p.now, id))
	}
}

func (p *churn) expectBounds() {
	p.t.Helper()
	c := p.controller
	if len(p.inFlight) != c.inFlight || len(p.inFlight) > p.config.MaxInFlight || c.memory > p.config.MemoryBytes ||
		c.memory < 0 || len(c.connections) > p.config.MaxConnections {
		p.t.Fatalf("%d streams in flight (%d counted), limit %d; %d bytes reserved, limit %d; %d connections, limit %d",
			len(p.inFlight), c.inFlight, p.config.MaxInFlight, c.memory, p.config.MemoryBytes,
			len(c.connections), p.config.MaxConnections)
	}
	perConnection := map[ConnectionID]int{}
	for key := range p.inFlight {
		perConnection[key.connection]++
	}
	for id, streams := range perConnection {
		if streams > p.config.PerConnection {
			p.t.Fatalf("connection %d has %d streams in flight, its limit is %d",
				id, streams, p.config.PerConnection)
		}
	}
}

func (p *churn) expectNothingLeft() {
	p.t.Helper()
	c := p.controller
	c.Tick(p.now + time.Hour)
	left := len(c.connections) + len(c.clients) + len(c.destinations) + c.inFlight + c.memory +
		c.waiting.byArrival.Len() + len(c.waiting.ready) + len(c.abuse)
	if left != 0 {
		p.t.Fatalf("want nothing left, got %d connections (%d ready), %d clients, %d destinations, "+
			"%d streams in flight, %d waiting, %d bytes, %d addresses",
			len(c.connections), len(c.waiting.ready), len(c.clients), len(c.destinations),
			c.inFlight, c.waiting.byArrival.Len(), c.memory, len(c.abuse))
	}
}
