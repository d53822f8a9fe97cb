package httpbackend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/discovery"
	"reachpulley/internal/eventloop"
	"reachpulley/internal/exchange"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

// directory has a node n and a node m until one is told to drain.
type directory struct{ drained sync.Map }

func (d *directory) Lookup(node string) discovery.Endpoint {
	_, drained := d.drained.Load(node)
	return discovery.Endpoint{Address: node + ":1", Up: !drained}
}

func (d *directory) drain(node string) { d.drained.Store(node, true) }

// play runs a script before a Back with two sockets. "back send NODE" starts an attempt; the results, in order,
// must be those wanted.
func play(t *testing.T, script string, prepare func(s *scenariotest.Stage, d *directory), want ...scheduler.Result) {
	t.Helper()
	var got []scheduler.Result
	var mu sync.Mutex
	scenariotest.Run(t, script, func(s *scenariotest.Stage) func() {
		d := &directory{}
		b := New(Options{Directory: d, Sockets: 2,
			Allowed: scheduler.Allowed{ConnectTimeout: 250 * time.Millisecond, IdleTimeout: 15 * time.Second}, Dial: s.Network.Dial, Log: slog.New(slog.DiscardHandler)})
		ctx, cancel := context.WithCancel(context.Background())
		attempts, drop := context.WithCancel(context.Background())
		ended := make(chan bool)
		go func() { b.Run(ctx); close(ended) }()
		s.Server("n", "n:1", scenariotest.HTTP{})
		s.Server("m", "m:1", scenariotest.HTTP{})
		s.Control("back", "cancel", drop)
		for _, node := range []string{"n", "m"} {
			s.Control("back", node, func() {
				x := exchange.New(scheduler.Request{ID: "r"}, time.Now().Add(time.Second), &httpmsg.Request{
					Method: "GET", URL: &url.URL{Path: "/x"}, Header: http.Header{}})
				b.Start(attempts, eventloop.Attempt{Exchange: x, Node: node, Deadline: x.Deadline},
					func(r eventloop.Report) {
						mu.Lock()
						defer mu.Unlock()
						got = append(got, r.Result)
					})
			})
		}
		prepare(s, d)
		return func() { drop(); cancel(); <-ended; synctest.Wait() }
	})
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func nothing(*scenariotest.Stage, *directory) {}

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		does string
		want scheduler.Result
	}{
		"served":             {"n send 200 yes", scheduler.Served},
		"an error":           {"n send 500", scheduler.Errored},
		"turned away":        {"n send 503 X-Not-Run=1", scheduler.Overloaded},
		"over at the node":   {"n send 504 X-Not-Run=1", scheduler.Overloaded},
		"turned away by who": {"n send 503", scheduler.Errored},
		"anything else":      {"n send 404 X-Not-Run=1", scheduler.Errored},
		"broken":             {"n close", scheduler.ConnectionReset},
		"half an answer":     {"n send raw HTTP/1.1 200 OK\\nContent-Length: 9\\n\\nhalf\nn close", scheduler.ConnectionReset},
		"nonsense":           {"n send raw hello\\n\\n", scheduler.ConnectionReset},
		"half a MB":          {"n send raw HTTP/1.1 200 OK\\nContent-Length: 500000\\n\\n" + strings.Repeat("x", 500000), scheduler.Served},
		"an answer in pieces": {"n send raw HTTP/1.1 200 OK\\nContent-Length: 3\\n\\ny\nwait 90ms\nn send raw e\nwait 90ms\nn send raw s",
			scheduler.Served},
		"a 1xx answer ahead": {"n send raw HTTP/1.1 103 Early\\n\\nHTTP/1.1 200 OK\\nContent-Length: 1\\n\\ny", scheduler.Served},
		// Spoilt answers: nothing is served of them, and their connection goes, though the node would keep it.
		"1xx answers without end": {"n send raw " + strings.Repeat("HTTP/1.1 103 Early\\n\\n", 9) + "\nn expect end", scheduler.ConnectionReset},
		"a head without end":      {"n send raw HTTP/1.1 200 OK\\nX: " + strings.Repeat("x", mostHead) + "\nn expect end", scheduler.ConnectionReset},
		"a length below 0":        {"n send raw HTTP/1.1 200 OK\\nContent-Length: -1\\n\\n\nn expect end", scheduler.ConnectionReset},
		"two lengths":             {"n send raw HTTP/1.1 200 OK\\nContent-Length: 1\\nContent-Length: 2\\n\\nxx\nn expect end", scheduler.ConnectionReset},
		"a length and chunks":     {"n send raw HTTP/1.1 200 OK\\nContent-Length: 1\\nTransfer-Encoding: chunked\\n\\n0\\n\\n\nn expect end", scheduler.ConnectionReset},
		"3 GB claimed":            {"n send raw HTTP/1.1 200 OK\\nContent-Length: 3000000000\\n\\nxx\nn expect end\nwithin 1ms", scheduler.ConnectionReset},
		"chunks without end": {"n send raw HTTP/1.1 200 OK\\nTransfer-Encoding: chunked\\n\\n500000\\n" + strings.Repeat("x", 0x500000) +
			"\nn expect end", scheduler.ConnectionReset},
		"a length that is too much": {"n send raw HTTP/1.1 200 OK\\nContent-Length: 9\\n\\nhalf\nwait 101ms\nn expect end", scheduler.ConnectionReset},
		"half a head":               {"n send raw HTTP/1.1 200\nwait 101ms\nn expect end", scheduler.ConnectionReset},
		"another protocol":          {"n send raw HTTP/1.1 101 Go\\n\\n\nn expect end", scheduler.ConnectionReset},
		"called off":                {"back send cancel\nn expect end", scheduler.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, "back send n\nn expect GET /x\n"+c.does, nothing, c.want)
		})
	}
}

// An attempt's connection is up, and what was true when it was sent no longer is: not a byte of it may go out.
func TestNothingBeginsTooLate(t *testing.T) {
	for name, does := range map[string]func(x *exchange.Exchange, a *eventloop.Attempt){
		"the client has left":      func(x *exchange.Exchange, _ *eventloop.Attempt) { x.Disconnect() },
		"repeats are not dropped":  func(_ *exchange.Exchange, a *eventloop.Attempt) { a.BeginBefore = time.Now() },
		"nobody waits any more":    func(_ *exchange.Exchange, a *eventloop.Attempt) { a.Deadline = time.Now() },
		"nothing of this has come": nil,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			x := exchange.New(scheduler.Request{ID: "r"}, time.Now().Add(time.Minute), &httpmsg.Request{Method: "GET", URL: &url.URL{Path: "/x"}, Header: http.Header{}})
			a := eventloop.Attempt{Exchange: x, Node: "n", Deadline: x.Deadline}
			up, change := make(chan bool), make(chan bool)
			b := New(Options{Directory: &directory{}, Sockets: 2, Allowed: scheduler.Allowed{ConnectTimeout: time.Minute, IdleTimeout: time.Minute}, Log: slog.New(slog.DiscardHandler),
				Dial: func(context.Context, string, string) (net.Conn, error) {
					c, err := net.Dial("tcp", l.Addr().String())
					up <- true
					<-change
					return c, err
				}})
			reported := make(chan eventloop.Report, 1)
			if does == nil {
				b.Start(t.Context(), a, func(r eventloop.Report) { reported <- r })
			} else {
				does(x, &a) // the attempt is a value: what is to pass meanwhile is in it from the begin
				b.Start(t.Context(), a, func(r eventloop.Report) { reported <- r })
			}
			<-up
			close(change)
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if does == nil {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				if r := <-reported; r.Result != scheduler.Served {
					t.Error(r.Result)
				}
				return
			}
			if r := <-reported; r.Result != scheduler.NotSent {
				t.Errorf("result %v, want that it was not sent", r.Result)
			}
			b.pool.end()
			if n, _ := c.Read(make([]byte, 1)); n > 0 {
				t.Error("something was sent")
			}
		})
	}
}

// What a node sends beyond an answer must not be taken for the answer to the next request, whenever it comes.
func TestNothingIsLeftOnAConnection(t *testing.T) {
	answer := "HTTP/1.1 200 OK\\nContent-Length: 3\\n\\n"
	for name, script := range map[string]string{
		"a second copy right behind": "n send raw " + answer + "one" + answer + "two\nn expect end",
		"noise right behind":         "n send raw " + answer + "one%&/\nn expect end",
		"a second copy later":        "n send raw " + answer + "one\nwait 1s\nn send raw " + answer + "two\nn expect end\nwithin 1s",
	} {
		t.Run(name, func(t *testing.T) {
			play(t, "back send n\nn expect GET /x\n"+script+"\nback send n\nn expect GET /x\nn send 200 own", nothing,
				scheduler.Served, scheduler.Served)
		})
	}
	// The next request is there when the second copy comes, some milliseconds late. From then on the node's connections are used once.
	play(t, "back send n\nn expect GET /x\nn send raw "+answer+"one\nback send n\nwait 3ms\nn expect nothing\nn send raw "+answer+"two\nn expect end\n"+
		"wait 2ms\nn expect GET /x\nn send raw "+answer+"own\nn expect end", nothing, scheduler.Served, scheduler.Served)
}

func TestNothingBegins(t *testing.T) {
	t.Run("no node", func(t *testing.T) {
		play(t, "back send n", func(s *scenariotest.Stage, d *directory) { s.Network.Listen("n:1").Close() }, scheduler.ConnectFailed)
	})
	t.Run("a drain", func(t *testing.T) {
		play(t, "back send n\nn expect nothing", func(s *scenariotest.Stage, d *directory) { d.drain("n") }, scheduler.ConnectFailed)
	})
	// The dial outlasts the notice of a drain: the send would count from its first byte, after it.
	t.Run("a drain while the connection comes up", func(t *testing.T) {
		play(t, "back send n\nwait 50ms\ndirectory send drain\nwait 100ms\nn expect nothing", func(s *scenariotest.Stage, d *directory) {
			s.Network.Delay = 100 * time.Millisecond
			s.Control("directory", "drain", func() { d.drain("n") })
		}, scheduler.ConnectFailed)
	})
	t.Run("a connection that never comes up", func(t *testing.T) {
		play(t, "back send n\nwait 251ms\nn expect nothing", func(s *scenariotest.Stage, d *directory) { s.Network.Delay = time.Minute }, scheduler.ConnectFailed)
	})
}

// Sockets run out cleanly: what is idle elsewhere makes room, others wait for their turn, and a node that none was left
// for is not taken for one that is down or full.
func TestSocketBudget(t *testing.T) {
	const both = `
		back send n
		n expect GET /x
		n send 200 one
		back send m
		m expect GET /x
		back send m
		n expect end
		m expect GET /x
		back send n
		wait 249ms
		n expect nothing
		`
	play(t, both+`wait 2ms`, nothing, scheduler.Served, scheduler.NotSent, scheduler.Canceled, scheduler.Canceled)
	play(t, both+`m send 200 one
		m expect end
		n expect GET /x
		n send 200 two`, nothing, scheduler.Served, scheduler.Served, scheduler.Served, scheduler.Canceled)
	// One that gives its turn up leaves it to the next.
	play(t, both+`back send n
		wait 2ms
		n expect nothing
		m send 200 one
		m expect end
		n expect GET /x`, nothing, scheduler.Served, scheduler.NotSent, scheduler.Served, scheduler.Canceled, scheduler.Canceled)
}

// Nodes come with ever new ids: nothing is kept of those that are not used any more.
func TestPoolForgetsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { // it hears whatever comes, and the end
				io.Copy(io.Discard, far)
			}()
			return near, nil
		}
		p := newPool(dial, time.Second, time.Second, 9)
		for i := range 100 {
			c, err := p.get(t.Context(), fmt.Sprint(i), "n:1")
			if err != nil {
				t.Fatal(err)
			}
			p.put(c)
		}
		time.Sleep(time.Second)
		if p.sweep(); len(p.idle) != 0 || p.count != 0 || len(p.waiting) != 0 {
			t.Errorf("%d nodes, %d connections, %d waiting", len(p.idle), p.count, len(p.waiting))
		}
	})
}

// A slow way to a node is not the node's latency.
func TestTookLeavesTheWayOut(t *testing.T) {
	var r eventloop.Report
	scenariotest.Run(t, "back send n\nwait 100ms\nn expect GET /x\nwait 50ms\nn send 200 yes", func(s *scenariotest.Stage) func() {
		s.Network.Delay = 100 * time.Millisecond
		b := New(Options{Directory: &directory{}, Sockets: 2, Dial: s.Network.Dial, Log: slog.New(slog.DiscardHandler),
			Allowed: scheduler.Allowed{ConnectTimeout: time.Second, IdleTimeout: time.Second}})
		s.Server("n", "n:1", scenariotest.HTTP{})
		s.Control("back", "n", func() {
			x := exchange.New(scheduler.Request{}, time.Now().Add(time.Second), &httpmsg.Request{Method: "GET",
				URL: &url.URL{Path: "/x"}, Header: http.Header{}})
			b.Start(context.Background(), eventloop.Attempt{Exchange: x, Node: "n", Deadline: x.Deadline}, func(got eventloop.Report) { r = got })
		})
		return b.pool.end
	})
	if r.ServiceTime != 50*time.Millisecond {
		t.Errorf("took %v", r.ServiceTime)
	}
}

func TestWhatANodeTells(t *testing.T) {
	h := http.Header{}
	h.Set(httpmsg.UsedHeader, "85")
	h.Set(httpmsg.OthersHeader, "3")
	h.Set(httpmsg.LoadHeader, `{"inflight":7,"queue":2}`)
	got := answer(&http.Response{StatusCode: 200, Header: h}, nil, nil)
	want := eventloop.Report{Result: scheduler.Served, Reply: &httpmsg.Reply{Header: h}, VolumeUse: 0.85, OtherUnits: 3,
		Load: &scheduler.Load{InFlight: 7, Queued: 2, Busy: -1}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for text, want := range map[string]*scheduler.Load{
		`{"inflight":0}`:              {Queued: -1, Busy: -1},
		`{"inflight":-3,"queue":2}`:   nil,
		`{"inflight":1,"queue":1e99}`: nil,
		`{"inflight":NaN}`:            nil,
		`{"inflight":"7"}`:            nil,
		`{"inflight":7`:               nil,
	} {
		if diff := cmp.Diff(want, parseLoad([]byte(text))); diff != "" {
			t.Errorf("%s: %s", text, diff)
		}
	}
	for _, figure := range []string{"NaN", "-Inf", "Inf", "1e400", "-5", "5 percent", ""} {
		if got := httpmsg.HeaderNumber(http.Header{httpmsg.UsedHeader: {figure}}, httpmsg.UsedHeader, -1); got != -1 {
			t.Errorf("%q is read as %v", figure, got)
		}
	}
	if silent := answer(&http.Response{StatusCode: 500, Header: http.Header{}}, nil, nil); silent.VolumeUse >= 0 || silent.Load != nil {
		t.Errorf("%+v of a node that tells nothing", silent)
	}
}

// The connection breaks between the write of a request's last byte and the word to the sender that it is out. The
// request may have run, though the sender cannot know yet that all of it was written.
func TestBrokenRightAfterTheLastByte(t *testing.T) {
	for name, body := range map[string]string{"no body": "", "a short body": "hello.", "a long body": strings.Repeat("x", 9000) + "."} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial := func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					return &breaking{near, far, body[max(0, len(body)-1):]}, nil
				}
				b := New(Options{Directory: &directory{}, Sockets: 1, Dial: dial, Log: slog.New(slog.DiscardHandler),
					Allowed: scheduler.Allowed{ConnectTimeout: time.Second, IdleTimeout: time.Second}})
				x := exchange.New(scheduler.Request{}, time.Now().Add(time.Minute), &httpmsg.Request{
					Method: "PUT", URL: &url.URL{Path: "/x"}, Header: http.Header{}, Body: []byte(body)})
				got := make(chan scheduler.Result, 1)
				b.Start(t.Context(), eventloop.Attempt{Exchange: x, Node: "n", Deadline: x.Deadline},
					func(r eventloop.Report) { got <- r.Result })
				if r := <-got; r != scheduler.ConnectionReset {
					t.Errorf("result %v, want %v", r, scheduler.ConnectionReset)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// breaking is a connection whose node takes a request, to the end of its body, and closes before the write of that returns.
type breaking struct {
	net.Conn
	far net.Conn
	end string // of the body
}

func (b *breaking) Write(p []byte) (int, error) {
	if strings.HasSuffix(string(p), b.end) {
		b.far.Close()
		time.Sleep(time.Second)
	}
	return len(p), nil
}
