package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"reachpulley/internal/config"
)

// Races of two events, over loopback sockets; docs/design/race-conditions.md lists them. What each side receives forces
// the order of events, never a sleep.

// A client sends two requests at once and disconnects while the first is in flight. http.Server does not notice: a byte
// of the second request waits before the end of the connection.
func TestClientLeavesBehindAPipelinedRequest(t *testing.T) {
	g := startGateway(t, gatewaySetup{settings: func(settings string) string {
		return replaceSetting(t, settings, `"deadlineMs": 1500`, `"deadlineMs": 60000`)
	}})
	client := g.client()
	requests := requestText("r1", "read", "") + requestText("r2", "read", "")
	client.write(strings.ReplaceAll(requests, "1400m", "60000m"))
	node := g.accept(g.node)
	node.wantRequest("r1")
	client.Close()
	node.wantEnd() // the attempt is canceled
	other := g.client()
	other.write(requestText("r3", "read", ""))
	node = g.accept(g.node)
	node.wantRequest("r3") // and r2 was never forwarded
	node.write(responseText("three"))
	other.wantResponse(200, "three")
}

// A client disconnects while the connection to the node for its request is being established; it is up in the same
// moment.
func TestClientLeavesWhileAConnectionComesUp(t *testing.T) {
	dialing, canceled := make(chan bool), make(chan bool)
	g := startGateway(t, gatewaySetup{gateway: func(g *testGateway, _ *config.Config) {
		g.dialNode = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			select {
			case dialing <- true:
				<-ctx.Done()
				close(canceled)
			case <-canceled:
			}
			return conn, err
		}
	}})
	client := g.client()
	client.write(requestText("r1", "once", ""))
	<-dialing
	client.Close()
	<-canceled
	first := g.accept(g.node)
	other := g.client()
	other.write(requestText("r2", "read", ""))
	// It is sent over the first connection, to which nothing was written, or over a new one.
	serving := make(chan *peer, 2)
	receive := func(node *peer) {
		request, err := http.ReadRequest(node.reader)
		if err != nil {
			return
		}
		if id := request.Header.Get("X-Request-Id"); id != "r2" {
			t.Errorf("%s was forwarded", id)
		}
		serving <- node
	}
	go receive(first)
	go func() {
		if conn, err := g.node.Accept(); err == nil {
			receive(g.peer(conn))
		}
	}()
	(<-serving).write(responseText("two"))
	other.wantResponse(200, "two")
	g.node.Close()
}

// The retry of a keyed request waits for its connection until nodes no longer deduplicate.
func TestRetryWindowEndsWhileAConnectionComesUp(t *testing.T) {
	const window = 300 * time.Millisecond
	dials := make(chan time.Time, 2)
	shortWindow := func(settings string) string {
		settings = replaceSetting(t, settings, `"windowMs": 4000`, fmt.Sprintf(`"windowMs": %d`, window.Milliseconds()))
		return replaceSetting(t, settings, `"dialTimeoutMs": 250`, `"dialTimeoutMs": 1000`)
	}
	g := startGateway(t, gatewaySetup{settings: shortWindow, gateway: func(g *testGateway, _ *config.Config) {
		g.dialNode = func(_ context.Context, address string) (net.Conn, error) {
			select {
			case began := <-dials: // this is the second connection; it is up when the window is over
				for dials <- began; time.Since(began) < window; {
					time.Sleep(time.Millisecond)
				}
			default:
			}
			dials <- time.Now()
			return net.Dial("tcp", address)
		}
	}})
	client := g.client()
	client.write(requestText("r1", "write", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	node.SetLinger(0)
	node.Close() // a reset: the request may have run
	client.wantResponse(502, "")
	if len(dials) != 2 {
		t.Fatalf("%d connections, want 2", len(dials))
	}
	g.stop() // which ends the second connection
	g.accept(g.node).wantEnd()
}

// The deadline of a request that waits behind another one runs from its arrival, and its node is given no more than
// what is left.
func TestTimeOfAPipelinedRequestRunsFromItsArrival(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	client := g.client()
	before := time.Now()
	client.write(requestText("r1", "read", "") + requestText("r2", "read", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	for time.Since(before) < 200*time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	node.write(responseText("one"))
	// The second request arrived together with the first one, which had arrived when the node received it.
	deadline := node.wantRequest("r2").Header.Get("X-Deadline")
	micros, err := strconv.ParseInt(strings.TrimSuffix(deadline, "u"), 10, 64)
	const maxDeadline = 1400*time.Millisecond - 200*time.Millisecond + 100*time.Millisecond
	if err != nil || time.Duration(micros)*time.Microsecond > maxDeadline {
		t.Errorf("the node was given %s, want %v at most", deadline, maxDeadline)
	}
	node.write(responseText("two"))
	client.wantResponse(200, "one")
	client.wantResponse(200, "two")
}

// A stop races with what arrives over connections. An idle one is closed, and what arrives after its end is not
// forwarded. One over which a request has begun gets an answer, though the request is complete only after the stop;
// http.Server drops such a request with its connection.
func TestStopCrossesRequests(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	idle, active := g.client(), g.client()
	idle.write(requestText("r1", "read", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	node.write(responseText("one"))
	idle.wantResponse(200, "one")
	unfinished := requestText("r3", "once", "")
	active.write(requestText("r2", "read", "") + unfinished[:len(unfinished)-2])
	node.wantRequest("r2")
	g.stop()
	idle.wantEnd() // the stop has come so far
	idle.write(requestText("r4", "once", ""))
	node.write(responseText("two"))
	active.wantResponse(200, "two")
	active.write(unfinished[len(unfinished)-2:])
	active.wantResponse(503, "")
	active.wantEnd()
	node.wantEnd() // and neither r3 nor r4 came
}

// A gateway ends though one client stays idle on its connection, another sends without end and a node hangs; a second
// stop changes nothing.
func TestStopBeforeHungNodesAndClients(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	idle, waiting := g.client(), g.client()
	waiting.write(requestText("r1", "once", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	go func() { // the idle client takes no notice of the stop, and sends what nobody reads
		for {
			if _, err := io.WriteString(idle, "x"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	g.stop()
	g.stop()
	waiting.wantResponse(502, "")
	waiting.wantEnd()
	node.wantEnd()
	g.ended <- <-g.ended // it has ended; close reads the result again
}

// A watch falls silent in the middle of a list; the next one brings the drain in pieces, over several lines. The half
// list of the first one counts for nothing.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	watch := g.accept(g.discovery)
	if request := watch.request(); request.URL.RequestURI() != watchPath+"1" {
		t.Fatal(request.URL)
	}
	watch.write(chunkedResponse + chunk(g.list(2, true, "up")+"\n"+g.list(3, false, "draining")[:30]))
	second := g.accept(g.discovery)
	watch.wantEnd()
	if request := second.request(); request.URL.RequestURI() != watchPath+"2" {
		t.Fatal(request.URL)
	}
	client := g.client()
	client.write(requestText("r1", "read", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	text := strings.ReplaceAll(g.list(3, false, "draining"), ",", ",\n  ") + "\n"
	second.write(chunkedResponse + chunk(text[:25]) + chunk(text[25:]))
	// No line follows, and yet the drain counts: requests are rejected once it was received.
	node.write(responseText("one"))
	client.wantResponse(200, "one")
	g.until("the drain is followed",
		func(id string) bool { return g.served(node, id) == http.StatusServiceUnavailable })
}

// A reload moves discovery while the last line of the old watch is being sent. The rest of it arrives when the new
// discovery has been called, and counts for nothing.
func TestDiscoveryMovesWithinALine(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	watch := g.accept(g.discovery)
	watch.request()
	line := g.list(9, false, "draining") + "\n"
	watch.write(chunkedResponse + fmt.Sprintf("%x\r\n%s", len(line), line[:40]))
	g.reloads <- syscall.SIGHUP
	moved := g.accept(g.moved)
	if request := moved.request(); request.URL.RequestURI() != watchPath+"0" {
		t.Fatal(request.URL)
	}
	io.WriteString(watch, line[40:]+"\r\n") // it may be closed by now
	client := g.client()
	client.write(requestText("r1", "read", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	node.write(responseText("one"))
	client.wantResponse(200, "one")
	// The new discovery has its own count, which is below the old one's.
	moved.write(chunkedResponse + chunk(g.list(1, true, "draining")+"\n"))
	g.until("the new discovery is followed",
		func(id string) bool { return g.served(node, id) == http.StatusServiceUnavailable })
}

// Idle clients take all descriptors that there are for clients while discovery is down. New clients are accepted
// all the same, discovery is followed as soon as it is back, and nodes are reached.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	g := startGateway(t, gatewaySetup{gateway: func(g *testGateway, c *config.Config) {
		c.Limits.Sockets = 80
		c.Discovery = g.moved.Addr().String()
		g.moved.Close() // connections are refused from the start
	}})
	var idle []*peer
	for range 60 {
		idle = append(idle, g.client())
	}
	ready := g.client()
	ready.write("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	ready.wantResponse(200, "")
	client := g.client()
	client.write(requestText("r1", "read", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	discovery, err := net.Listen("tcp", g.moved.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	watch := g.accept(discovery)
	watch.request()
	watch.write(chunkedResponse + chunk(g.list(2, true, "up")+"\n"))
	node.write(responseText("one"))
	client.wantResponse(200, "one")
	for _, p := range idle {
		p.Close()
	}
}

// A response without a length that is reset on the way is none; one that ends is.
func TestAnswerWithoutLengthIsReset(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	client := g.client()
	client.write(requestText("r1", "once", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	node.write("HTTP/1.1 200 OK\r\n\r\nha")
	node.SetLinger(0)
	node.Close()
	client.wantResponse(502, "")
	client.write(requestText("r2", "once", ""))
	node = g.accept(g.node)
	node.wantRequest("r2")
	node.write("HTTP/1.1 200 OK\r\n\r\nwhole")
	node.CloseWrite()
	client.wantResponse(200, "whole")
}

// A connection to a node is idle, and half a line arrives over it before the next request: it must not be taken for the
// response to that request.
func TestHalfALineOnAnIdleConnection(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	client := g.client()
	client.write(requestText("r1", "read", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	node.write(responseText("one") + "HTTP/1.1 200")
	client.wantResponse(200, "one")
	node.wantEnd()
	client.write(requestText("r2", "read", ""))
	node = g.accept(g.node)
	node.wantRequest("r2")
	node.write(responseText("two"))
	client.wantResponse(200, "two")
}

// An agent that pushes lists is silent while discovery is down: a call to it gets no response, and the next one
// brings a drain, which is followed from then on.
func TestSilentAgentIsCalledAnew(t *testing.T) {
	g := startGateway(t, gatewaySetup{settings: func(settings string) string {
		return replaceSetting(t, settings, `"membershipMode": "ask"`, `"membershipMode": "push"`)
	}})
	first := g.accept(g.discovery)
	first.request()
	second := g.accept(g.discovery) // before the time for a drain has passed
	first.wantEnd()
	second.request()
	second.write(chunkedResponse + chunk(g.list(2, false, "draining")+"\n"))
	g.until("the drain is followed", func(id string) bool {
		client := g.client()
		client.write(requestText(id, "read", ""))
		response, err := http.ReadResponse(client.reader, nil)
		return err == nil && response.StatusCode == http.StatusServiceUnavailable
	})
}
