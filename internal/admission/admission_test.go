package admission

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Every run draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

var config = Config{MaxInFlight: 4, PerConnection: 3, PerClient: 3, Streams: 10, MinStreams: 2, Connections: 5, Memory: 1000, ConnectionMemory: 600,
	Stall: 5 * time.Second, Age: time.Hour, Requests: 1000}

func control(t testing.TB, change func(*Config)) *Controller {
	t.Helper()
	set := config
	if change != nil {
		change(&set)
	}
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func words(actions []Action) string {
	var all []string
	for _, a := range actions {
		word := fmt.Sprintf("%s %d", a.Kind, a.Connection)
		switch a.Kind {
		case StartStream, RejectStream, AbortStream:
			word += fmt.Sprintf("/%d", a.Stream)
		case LimitStreams:
			word += fmt.Sprintf(" to %d", a.Count)
		default:
			word += " " + a.Reason
		}
		all = append(all, word)
	}
	return strings.Join(all, ", ")
}

func expect(t *testing.T, what string, got []Action, want string) {
	t.Helper()
	if diff := cmp.Diff(want, words(got)); diff != "" {
		t.Errorf("%s: %s", what, diff)
	}
}

func TestFairAmongConnectionsThenClientsThenUrgency(t *testing.T) {
	c := control(t, func(set *Config) { set.MaxInFlight, set.Streams, set.MinStreams = 2, 100, 50 })
	c.Connect(0, 1, "a")
	c.Connect(0, 2, "b")
	expect(t, "greedy 1", c.Arrive(0, 1, 1, "x", 3), "start 1/1")
	expect(t, "greedy 2", c.Arrive(0, 1, 3, "x", 3), "start 1/3")
	expect(t, "greedy 3", c.Arrive(0, 1, 5, "x", 0), "")
	expect(t, "of another client", c.Arrive(0, 1, 7, "y", 7), "")
	expect(t, "of another connection", c.Arrive(0, 2, 1, "z", 7), "")
	expect(t, "the connection with fewest first", c.End(0, 1, 1, false), "start 2/1")
	expect(t, "then its client with fewest", c.End(0, 2, 1, false), "start 1/7")
	expect(t, "then the most urgent", c.End(0, 1, 7, false), "start 1/5")
}

// Whatever is fair and urgent: who waits for longest is started after a few others.
func TestNobodyStarves(t *testing.T) {
	c := control(t, func(set *Config) {
		set.MaxInFlight, set.PerConnection, set.PerClient, set.Streams, set.Requests = 1, 1, 10, 100, 0
	})
	c.Connect(0, 1, "a")
	c.Connect(0, 2, "b")
	c.Arrive(0, 2, 1, "x", 0)
	c.Arrive(0, 1, 1, "x", MaxUrgency)
	for i := range 3 * patience {
		for j := range 5 { // more urgent ones all the time
			c.Arrive(0, 2, StreamID(10*i+2*j+3), "x", 0)
		}
		var started []Action
		for sid, s := range c.conns[2].streams {
			if s.open {
				started = c.End(0, 2, sid, false)
				break
			}
		}
		if slices.Contains(started, Action{Kind: StartStream, Connection: 1, Stream: 1}) {
			return
		}
	}
	t.Error("a stream waits for good")
}

func TestMemoryGivesWayToWhatMoves(t *testing.T) {
	c := control(t, nil)
	for id := range ConnectionID(3) {
		c.Connect(0, id+1, "a")
		c.Arrive(0, id+1, 1, "x", 3)
	}
	hold := func(id ConnectionID, bytes int, want string, fails bool) {
		t.Helper()
		got, err := c.Reserve(0, id, 1, bytes)
		if (err != nil) != fails {
			t.Errorf("connection %d, %d bytes: %v", id, bytes, err)
		}
		expect(t, fmt.Sprint(id), got, want)
	}
	hold(1, 601, "", true) // more than one connection may have
	hold(1, 500, "", false)
	hold(2, 400, "", false)
	hold(3, 200, "", true) // nothing is stalled: nobody is hurt for it
	c.Progress(time.Second, 2, 1, false)
	hold(3, 200, "give up 2/1", false)
	hold(1, -500, "", false)
	if c.held != 200 {
		t.Errorf("%d bytes are held", c.held)
	}
}

func TestAShutWindowEndsItsStreamThenItsConnection(t *testing.T) {
	c := control(t, func(set *Config) { set.MaxInFlight, set.PerConnection, set.PerClient, set.Streams = 100, 100, 100, 100 })
	c.Connect(0, 1, "a")
	c.Connect(0, 2, "b")
	for i := range StreamID(mostFailures) {
		c.Arrive(0, 1, 2*i+1, "x", 3)
		c.Progress(0, 1, 2*i+1, false)
	}
	c.Arrive(0, 2, 1, "y", 3)
	c.Progress(0, 2, 1, false)
	c.Progress(time.Second, 2, 1, true)
	c.Progress(2*time.Second, 2, 1, false)
	expect(t, "too early", c.Tick(config.Stall-1), "")
	got := c.Tick(config.Stall + 1)
	if want := mostFailures + 1; len(got) != want || got[want-1].Kind != CloseConnection || got[want-1].Connection != 1 {
		t.Errorf("%s", words(got))
	}
	expect(t, "the neighbour has its own time", c.Tick(config.Stall+2*time.Second), "give up 2/1")
}

func TestRapidResetIsCutAndHonestResetsAreNot(t *testing.T) {
	c := control(t, nil)
	attack := func(id ConnectionID, address string, now time.Duration) (streams int) { // it goes on after GOAWAY
		if !c.Connect(now, id, address) {
			return -1
		}
		for sid := StreamID(1); ; sid += 2 {
			got := words(c.Arrive(now, id, sid, "x", 3)) + words(c.End(now, id, sid, true))
			if streams++; strings.Contains(got, "cut") || streams > 10_000 {
				c.Disconnect(now, id)
				return streams
			}
		}
	}
	for i := range banAfter {
		if n := attack(ConnectionID(i+1), "bad", 0); n > leaveAt+(cutAt-leaveAt)/0.25+2 {
			t.Errorf("%d streams until the cut", n)
		}
	}
	if c.Connect(banTime-1, 9, "bad") || !c.Connect(banTime, 10, "bad") {
		t.Error("an address is kept out for a while, and no longer")
	}
	c.Connect(0, 20, "good")
	for sid := StreamID(1); sid < 2000; sid += 4 { // one in two is reset: a person who moves on
		if got := words(slices.Concat(c.Arrive(0, 20, sid, "y", 3), c.End(0, 20, sid, true), c.Arrive(0, 20, sid+2, "y", 3),
			c.End(0, 20, sid+2, false))); strings.Contains(got, "leave 20 abuse") || strings.Contains(got, "cut") {
			t.Fatal(got)
		}
	}
}

func TestConnectionsLeaveByAgeAndByRequestsAtTimesOfTheirOwn(t *testing.T) {
	c := control(t, func(set *Config) { set.Connections, set.Requests = 100, 50 })
	for id := range ConnectionID(100) {
		c.Connect(0, id+1, "a")
	}
	early := len(c.Tick(config.Age * 9 / 10))
	late := len(c.Tick(config.Age * 12 / 10))
	if early < 10 || early > 40 || early+late != 100 {
		t.Errorf("%d have left early, %d late", early, late)
	}
	c = control(t, func(set *Config) { set.Requests = 50 })
	c.Connect(0, 1, "a")
	for sid := StreamID(1); ; sid += 2 {
		got := words(c.Arrive(0, 1, sid, "x", 3))
		c.End(0, 1, sid, false)
		if strings.HasSuffix(got, "leave 1 requests") {
			if n := int(sid+1) / 2; n < 40 || n > 60 {
				t.Errorf("left after %d requests", n)
			}
			break
		}
		if sid > 200 {
			t.Fatal("never left")
		}
	}
	expect(t, "what crosses it", c.Arrive(0, 1, 999, "x", 3), "start 1/999")
}

// Whatever happens: bounds are never exceeded, no connection has more than another that waits for its turn would allow,
// every stream is started or refused once, and nothing is left after churn.
func TestChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Config{MaxInFlight: rapid.IntRange(1, 5).Draw(t, "core"), PerConnection: rapid.IntRange(1, 4).Draw(t, "conn"),
			PerClient: rapid.IntRange(1, 4).Draw(t, "client"), Streams: 6, MinStreams: 2, Connections: 4, Memory: 300, ConnectionMemory: 200,
			Stall: time.Second, Age: 20 * time.Second, Requests: 30}
		c, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		type key struct {
			conn   ConnectionID
			stream StreamID
		}
		open, waiting, conns := map[key]bool{}, map[key]bool{}, map[ConnectionID]bool{}
		ended := func(k key) { delete(open, k); delete(waiting, k) }
		carry := func(actions []Action) {
			for _, a := range actions {
				k := key{a.Connection, a.Stream}
				switch a.Kind {
				case StartStream:
					if !waiting[k] || open[k] {
						t.Fatalf("%v is started, and does not wait", k)
					}
					delete(waiting, k)
					open[k] = true
				case AbortStream:
					ended(k)
				case RejectStream:
					delete(waiting, k)
				}
			}
		}
		next := StreamID(1)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			id := ConnectionID(rapid.IntRange(1, 6).Draw(t, "id"))
			any := key{}
			for k := range open {
				if any == (key{}) || k.stream < any.stream {
					any = k
				}
			}
			for k := range waiting {
				if any == (key{}) || k.stream < any.stream && rapid.Bool().Draw(t, "of waiting") {
					any = k
				}
			}
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				if c.Connect(now, id, "a") {
					conns[id] = true
				}
			case 1, 2, 3:
				if conns[id] {
					next += 2
					waiting[key{id, next}] = true
					carry(c.Arrive(now, id, next, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "who"), rapid.IntRange(0, 7).Draw(t, "urgency")))
				}
			case 4:
				got := c.End(now, any.conn, any.stream, rapid.Bool().Draw(t, "reset"))
				ended(any)
				carry(got)
			case 5:
				got := c.Disconnect(now, id)
				for k := range open {
					if k.conn == id {
						ended(k)
					}
				}
				for k := range waiting {
					if k.conn == id {
						ended(k)
					}
				}
				delete(conns, id)
				carry(got)
			case 6:
				c.Progress(now, any.conn, any.stream, rapid.Bool().Draw(t, "moves"))
				got, _ := c.Reserve(now, any.conn, any.stream, rapid.IntRange(0, 150).Draw(t, "bytes"))
				carry(got)
			case 7:
				carry(c.Tick(now))
			}
			per := map[ConnectionID]int{}
			for k := range open {
				per[k.conn]++
			}
			if len(open) != c.open || len(open) > set.MaxInFlight || c.held > set.Memory || c.held < 0 || len(c.conns) > set.Connections {
				t.Fatalf("%d open (%d counted), %d bytes, %d connections", len(open), c.open, c.held, len(c.conns))
			}
			for id, n := range per {
				if n > set.PerConnection {
					t.Fatalf("connection %d has %d streams at the core", id, n)
				}
			}
		}
		for id := range conns {
			for k := range waiting {
				if k.conn == id {
					ended(k)
				}
			}
			for k := range open {
				if k.conn == id {
					ended(k)
				}
			}
			carry(c.Disconnect(now, id))
		}
		c.Tick(now + time.Hour)
		if len(c.conns)+len(c.clients)+c.open+c.held+c.lines.all.Len()+len(c.lines.ready)+len(c.strikes) != 0 {
			t.Fatalf("something is left: %d connections, %d clients, %d open, %d bytes", len(c.conns), len(c.clients), c.open, c.held)
		}
	})
}

func TestConfig(t *testing.T) {
	for _, change := range []func(*Config){func(c *Config) { c.MaxInFlight = 0 }, func(c *Config) { c.MinStreams = 11 },
		func(c *Config) { c.Memory = 1 }, func(c *Config) { c.Age = -1 }} {
		set := config
		change(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%+v is taken", set)
		}
	}
}

// BenchmarkArrive is a request's way through the admission beside 1,000 connections of 100 streams.
func BenchmarkArrive(b *testing.B) {
	for _, conns := range []int{1, 1000} {
		b.Run(fmt.Sprintf("connections=%d", conns), func(b *testing.B) {
			c, err := New(Config{MaxInFlight: 64, PerConnection: 32, PerClient: 64, Streams: 200, MinStreams: 200, Connections: 2000, Memory: 1 << 20,
				ConnectionMemory: 1 << 20, Stall: time.Second}, 1)
			if err != nil {
				b.Fatal(err)
			}
			for id := range conns {
				c.Connect(0, ConnectionID(id), "a")
				for s := range 99 {
					c.Arrive(0, ConnectionID(id), StreamID(s+1), "x", s%8)
				}
			}
			for i := 0; b.Loop(); i++ {
				sid := StreamID(1000 + i)
				c.Arrive(0, 0, sid, "y", 3)
				c.End(0, 0, sid, false)
			}
		})
	}
}
