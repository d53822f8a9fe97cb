package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"reachpulley/internal/config"
)

// Crossings of two events, over loopback sockets: docs/design/crossings.md lists them. The order of events is forced by what each side hears, never by a
// sleep; patience only bounds how long a test that fails may take.
const patience = 20 * time.Second

// rig is a whole gateway on loopback with stand-ins that the test plays line by line.
type rig struct {
	t         *testing.T
	address   string
	discovery net.Listener
	moved     net.Listener // where discovery moves to at a reload
	node      net.Listener
	reloads   chan os.Signal
	dial      func(ctx context.Context, address string) (net.Conn, error) // nil: the network
	mu        sync.Mutex
	stop      context.CancelFunc
	ended     chan error
	log       bytes.Buffer
}

// newRig starts a gateway that knows one node; change may alter its settings.
func newRig(t *testing.T, change func(settings string) string, options ...func(*rig, *config.Config)) *rig {
	t.Helper()
	r := &rig{t: t, reloads: make(chan os.Signal, 1), ended: make(chan error, 1)}
	for _, l := range []*net.Listener{&r.discovery, &r.moved, &r.node} {
		var err error
		if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { (*l).Close() })
	}
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = front.Addr().String()
	set := settings
	if change != nil {
		set = change(set)
	}
	c, err := config.Parse([]byte(fmt.Sprintf(`{"listen":"%s","discovery":"%s","seed":"1","known":%s,"settings":%s}`,
		r.address, r.discovery.Addr(), r.list(1, true, "up"), set)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range options {
		o(r, c)
	}
	next := *c
	next.Discovery = r.moved.Addr().String()
	operator := config.DefaultOperator()
	var stop context.Context
	stop, r.stop = context.WithCancel(context.Background())
	go func() {
		r.ended <- Serve(stop, Options{Config: c, Operator: operator, Listener: front, Reloads: r.reloads,
			Log:    slog.New(slog.NewJSONHandler(writer{r}, &slog.HandlerOptions{Level: slog.LevelDebug})),
			Reload: func() (*config.Config, *config.Operator, error) { return &next, operator, nil },
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				if r.dial != nil && address == r.node.Addr().String() {
					return r.dial(ctx, address)
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}})
	}()
	t.Cleanup(func() {
		r.stop()
		select {
		case err := <-r.ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(patience):
			t.Error("the gateway does not end")
		}
		if t.Failed() {
			r.mu.Lock()
			defer r.mu.Unlock()
			t.Log(r.log.String())
		}
	})
	return r
}

// writer keeps the gateway's log for a test that fails.
type writer struct{ *rig }

func (w writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log.Write(p)
}

// list words discovery's list of the one node.
func (r *rig) list(seq int, whole bool, state string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[{"host":"n","dial":"%s","site":"a","block":0,"health":"%s","born_ms":0}]}`, seq, whole, r.node.Addr(), state)
}

// peer is one end of a connection.
type peer struct {
	t *testing.T
	*net.TCPConn
	r *bufio.Reader
}

func (r *rig) peer(c net.Conn, err error) *peer {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	r.t.Cleanup(func() { c.Close() })
	return &peer{r.t, c.(*net.TCPConn), bufio.NewReader(c)}
}

func (r *rig) client() *peer { r.t.Helper(); return r.peer(net.Dial("tcp", r.address)) }

func (r *rig) accept(l net.Listener) *peer {
	r.t.Helper()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	return r.peer(l.Accept())
}

func (p *peer) write(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatal(err)
	}
}

// request reads a request and gives it without its body.
func (p *peer) request() *http.Request {
	p.t.Helper()
	q, err := http.ReadRequest(p.r)
	if err != nil {
		p.t.Fatal("no request: ", err)
	}
	io.Copy(io.Discard, q.Body)
	return q
}

func (p *peer) wantRequest(id string) *http.Request {
	p.t.Helper()
	q := p.request()
	if got := q.Header.Get("X-Request-Id"); got != id {
		p.t.Fatalf("request %s came, want %s", got, id)
	}
	return q
}

// wantAnswer reads an answer.
func (p *peer) wantAnswer(status int, body string) *http.Response {
	p.t.Helper()
	resp, err := http.ReadResponse(p.r, nil)
	if err != nil {
		p.t.Fatalf("no answer, want %d: %v", status, err)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || string(got) != body {
		p.t.Fatalf("%d %q, %v; want %d %q", resp.StatusCode, got, err, status, body)
	}
	return resp
}

// wantEnd reads on to the connection's end, by which nothing more has come.
func (p *peer) wantEnd() {
	p.t.Helper()
	rest, err := io.ReadAll(p.r)
	if len(rest) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		p.t.Fatalf("%q, %v before the end", rest, err)
	}
}

func answer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// ask words a request; more is added to its head.
func ask(id, class, more string) string {
	method, body := "GET", ""
	if class != "read" {
		method, body = "PUT", "hello"
		more += "Content-Length: 5\r\n"
	}
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: " + class + "\r\nX-Qos-Policy: gold\r\nX-Deadline: 1400m\r\nIdempotency-Key: " + id +
		"\r\nX-Placement: units=1,shard=0,hosts=1\r\n" + more + "\r\n" + body
}

const (
	streaming = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	watchPath = "/v1/endpoints?stream=1&index="
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// A client sends two requests at once and leaves while the first is out. http.Server does not notice: a byte of the second waits before the end.
func TestClientLeavesBehindAPipelinedRequest(t *testing.T) {
	r := newRig(t, func(s string) string { return strings.Replace(s, `"deadlineMs":1500`, `"deadlineMs":60000`, 1) })
	c := r.client()
	c.write(strings.ReplaceAll(ask("r1", "read", "")+ask("r2", "read", ""), "1400m", "60000m"))
	n := r.accept(r.node)
	n.wantRequest("r1")
	c.Close()
	n.wantEnd() // the attempt is given up
	other := r.client()
	other.write(ask("r3", "read", ""))
	n = r.accept(r.node)
	n.wantRequest("r3") // and r2 was never sent on
	n.write(answer("three"))
	other.wantAnswer(200, "three")
}

// A client leaves while the connection for its request comes up; it is up in the same moment.
func TestClientLeavesWhileAConnectionComesUp(t *testing.T) {
	dialing, left := make(chan bool), make(chan bool)
	r := newRig(t, nil, func(r *rig, _ *config.Config) {
		r.dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			select {
			case dialing <- true:
				<-ctx.Done()
				close(left)
			case <-left:
			}
			return conn, err
		}
	})
	c := r.client()
	c.write(ask("r1", "once", ""))
	<-dialing
	c.Close()
	<-left
	first := r.accept(r.node)
	other := r.client()
	other.write(ask("r2", "read", ""))
	// It goes over the first connection, which nothing was written to, or a new one.
	got := make(chan *peer, 2)
	serve := func(n *peer) {
		q, err := http.ReadRequest(n.r)
		if err == nil && q.Header.Get("X-Request-Id") != "r2" {
			t.Errorf("%s was sent on", q.Header.Get("X-Request-Id"))
		}
		if err == nil {
			got <- n
		}
	}
	go serve(first)
	go func() {
		if conn, err := r.node.Accept(); err == nil {
			serve(r.peer(conn, nil))
		}
	}()
	(<-got).write(answer("two"))
	other.wantAnswer(200, "two")
	r.node.Close()
}

// The further attempt of a keyed request waits for its connection until nodes no longer discard repeats.
func TestRepeatWindowEndsWhileAConnectionComesUp(t *testing.T) {
	const window = 300 * time.Millisecond
	dials := make(chan time.Time, 2)
	r := newRig(t, func(s string) string {
		s = strings.Replace(s, `"windowMs":4000`, fmt.Sprintf(`"windowMs":%d`, window.Milliseconds()), 1)
		return strings.Replace(s, `"dialTimeoutMs":250`, `"dialTimeoutMs":1000`, 1)
	}, func(r *rig, _ *config.Config) {
		r.dial = func(_ context.Context, address string) (net.Conn, error) {
			select {
			case began := <-dials: // this is the second; it is up when the window is over
				for dials <- began; time.Since(began) < window; {
					time.Sleep(time.Millisecond)
				}
			default:
			}
			dials <- time.Now()
			return net.Dial("tcp", address)
		}
	})
	c := r.client()
	c.write(ask("r1", "write", ""))
	n := r.accept(r.node)
	n.wantRequest("r1")
	n.SetLinger(0)
	n.Close() // a reset: it may have run
	c.wantAnswer(502, "")
	if len(dials) != 2 {
		t.Fatalf("%d connections, want 2", len(dials))
	}
	r.stop() // which ends the second connection
	r.accept(r.node).wantEnd()
}

// The time of a request that waits behind another one runs from its arrival, and its node is told no more than what is left.
func TestTimeOfAPipelinedRequestRunsFromItsArrival(t *testing.T) {
	r := newRig(t, nil)
	c := r.client()
	before := time.Now()
	c.write(ask("r1", "read", "") + ask("r2", "read", ""))
	n := r.accept(r.node)
	n.wantRequest("r1")
	for time.Since(before) < 200*time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	n.write(answer("one"))
	// The second request's bytes came together with the first one's, which were here when the node heard of them.
	told := n.wantRequest("r2").Header.Get("X-Deadline")
	micros, err := strconv.ParseInt(strings.TrimSuffix(told, "u"), 10, 64)
	if most := 1400*time.Millisecond - 200*time.Millisecond + 100*time.Millisecond; err != nil || time.Duration(micros)*time.Microsecond > most {
		t.Errorf("the node was told %s, want %v at most", told, most)
	}
	n.write(answer("two"))
	c.wantAnswer(200, "one")
	c.wantAnswer(200, "two")
}

// A stop crosses what comes over connections: one that rests is ended, and what comes behind its end is not sent on; one over which a request has begun gets an
// answer, though the request is whole only after the stop. http.Server drops such a request with its connection.
func TestStopCrossesRequests(t *testing.T) {
	r := newRig(t, nil)
	resting, begun := r.client(), r.client()
	resting.write(ask("r1", "read", ""))
	n := r.accept(r.node)
	n.wantRequest("r1")
	n.write(answer("one"))
	resting.wantAnswer(200, "one")
	whole := ask("r3", "once", "")
	begun.write(ask("r2", "read", "") + whole[:len(whole)-2])
	n.wantRequest("r2")
	r.stop()
	resting.wantEnd() // the stop has come so far
	resting.write(ask("r4", "once", ""))
	n.write(answer("two"))
	begun.wantAnswer(200, "two")
	begun.write(whole[len(whole)-2:])
	begun.wantAnswer(503, "")
	begun.wantEnd()
	n.wantEnd() // and neither r3 nor r4 came
}

// A gateway ends though a client rests on its connection, another sends without end and a node hangs; a second call for a stop changes nothing.
func TestStopBeforeHungNodesAndClients(t *testing.T) {
	r := newRig(t, nil)
	resting, waiting := r.client(), r.client()
	waiting.write(ask("r1", "once", ""))
	n := r.accept(r.node)
	n.wantRequest("r1")
	go func() { // whoever rests takes no notice, and sends what nobody reads
		for {
			if _, err := io.WriteString(resting, "x"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	r.stop()
	r.stop()
	waiting.wantAnswer(502, "")
	waiting.wantEnd()
	n.wantEnd()
	r.ended <- <-r.ended
}

// A watch falls silent in the middle of a list; the next one brings the drain in pieces, over several lines. What half the first one said counts for nothing.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	r := newRig(t, nil)
	d := r.accept(r.discovery)
	if q := d.request(); q.URL.RequestURI() != watchPath+"1" {
		t.Fatal(q.URL)
	}
	d.write(streaming + chunk(r.list(2, true, "up")+"\n"+r.list(3, false, "draining")[:30]))
	again := r.accept(r.discovery)
	d.wantEnd()
	if q := again.request(); q.URL.RequestURI() != watchPath+"2" {
		t.Fatal(q.URL)
	}
	c := r.client()
	c.write(ask("r1", "read", ""))
	n := r.accept(r.node)
	n.wantRequest("r1")
	text := strings.ReplaceAll(r.list(3, false, "draining"), ",", ",\n  ") + "\n"
	again.write(streaming + chunk(text[:25]) + chunk(text[25:]))
	// No line follows, and yet it counts: requests are refused once it was heard.
	n.write(answer("one"))
	c.wantAnswer(200, "one")
	r.until("the drain is kept", func(id string) bool { return r.served(n, id) == http.StatusServiceUnavailable })
}

// served asks for something and answers at the node if it comes there.
func (r *rig) served(n *peer, id string) int {
	c := r.client()
	defer c.Close()
	c.write(ask(id, "read", ""))
	status := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	go func() {
		if q, err := http.ReadRequest(n.r); err == nil && q.Header.Get("X-Request-Id") == id {
			io.WriteString(n, answer(id))
		}
	}()
	return <-status
}

// until tries again and again.
func (r *rig) until(what string, good func(id string) bool) {
	r.t.Helper()
	for number, end := 0, time.Now().Add(patience); !good(fmt.Sprint("try", number)); number++ {
		if time.Now().After(end) {
			r.t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// A reload moves discovery while the old watch's last line is under way. The rest of it comes when the new discovery has been asked, and counts for nothing.
func TestDiscoveryMovesWithinALine(t *testing.T) {
	r := newRig(t, nil)
	d := r.accept(r.discovery)
	d.request()
	line := r.list(9, false, "draining") + "\n"
	d.write(streaming + fmt.Sprintf("%x\r\n%s", len(line), line[:40]))
	r.reloads <- syscall.SIGHUP
	moved := r.accept(r.moved)
	if q := moved.request(); q.URL.RequestURI() != watchPath+"0" {
		t.Fatal(q.URL)
	}
	io.WriteString(d, line[40:]+"\r\n") // it may be closed by now
	c := r.client()
	c.write(ask("r1", "read", ""))
	n := r.accept(r.node)
	n.wantRequest("r1")
	n.write(answer("one"))
	c.wantAnswer(200, "one")
	moved.write(streaming + chunk(r.list(1, true, "draining")+"\n")) // its own count, below the old one's
	r.until("the new discovery is heard", func(id string) bool { return r.served(n, id) == http.StatusServiceUnavailable })
}

// Idle clients take all descriptors that there are for clients while discovery is down. New clients are heard, discovery is as soon as it is back, and nodes are reached.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	r := newRig(t, nil, func(r *rig, c *config.Config) {
		c.Limits.Sockets = 80
		c.Discovery = r.moved.Addr().String()
		r.moved.Close() // refused from the first moment
	})
	var idle []*peer
	for range 60 {
		idle = append(idle, r.client())
	}
	ready := r.client()
	ready.write("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	ready.wantAnswer(200, "")
	c := r.client()
	c.write(ask("r1", "read", ""))
	n := r.accept(r.node)
	n.wantRequest("r1")
	back, err := net.Listen("tcp", r.moved.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	d := r.accept(back)
	d.request()
	d.write(streaming + chunk(r.list(2, true, "up")+"\n"))
	n.write(answer("one"))
	c.wantAnswer(200, "one")
	for _, p := range idle {
		p.Close()
	}
}

// A node's answer without a length that is reset on the way is none; one that ends is.
func TestAnswerWithoutLengthIsReset(t *testing.T) {
	r := newRig(t, nil)
	c := r.client()
	c.write(ask("r1", "once", ""))
	n := r.accept(r.node)
	n.wantRequest("r1")
	n.write("HTTP/1.1 200 OK\r\n\r\nha")
	n.SetLinger(0)
	n.Close()
	c.wantAnswer(502, "")
	c.write(ask("r2", "once", ""))
	n = r.accept(r.node)
	n.wantRequest("r2")
	n.write("HTTP/1.1 200 OK\r\n\r\nwhole")
	n.CloseWrite()
	c.wantAnswer(200, "whole")
}

// A connection to a node rests, and half a line comes over it before the next request: it must not be taken for that one's answer.
func TestHalfALineOnARestingConnection(t *testing.T) {
	r := newRig(t, nil)
	c := r.client()
	c.write(ask("r1", "read", ""))
	n := r.accept(r.node)
	n.wantRequest("r1")
	n.write(answer("one") + "HTTP/1.1 200")
	c.wantAnswer(200, "one")
	n.wantEnd()
	c.write(ask("r2", "read", ""))
	n = r.accept(r.node)
	n.wantRequest("r2")
	n.write(answer("two"))
	c.wantAnswer(200, "two")
}

// An agent that pushes lists is silent while discovery is down: a call to it hears nothing, and the next one brings a drain, which is kept from then on.
func TestSilentAgentIsAskedAgain(t *testing.T) {
	r := newRig(t, func(s string) string {
		return strings.Replace(s, `"membershipMode":"ask"`, `"membershipMode":"push"`, 1)
	})
	d := r.accept(r.discovery)
	d.request()
	again := r.accept(r.discovery) // before the time for a drain has passed
	d.wantEnd()
	again.request()
	again.write(streaming + chunk(r.list(2, false, "draining")+"\n"))
	r.until("the drain is kept", func(id string) bool {
		c := r.client()
		c.write(ask(id, "read", ""))
		resp, err := http.ReadResponse(c.r, nil)
		return err == nil && resp.StatusCode == http.StatusServiceUnavailable
	})
}
