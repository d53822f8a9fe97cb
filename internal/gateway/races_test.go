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

// The tests in this file are races of two events over loopback sockets; docs/design/race-conditions.md lists them. The
// order of events is forced by what each side receives, never by a sleep.

// A client sends two requests at once and disconnects while the first is in flight. The attempt of the first must be
// canceled, and the second must not be forwarded. http.Server alone would not notice the disconnection, as the second
// request is still unread before the end of the connection.
func TestClientDisconnectsWithPipelinedRequest(t *testing.T) {
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
	node.wantRequest("r3") // r2 was never forwarded
	node.write(responseText("three"))
	other.wantResponse(200, "three")
}

// A client disconnects at the moment at which the connection to the node for its request is established. Its request
// must not be forwarded, and that of the next client must be served.
func TestClientDisconnectsDuringDial(t *testing.T) {
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
	// The second request is sent over the first connection, to which nothing was written, or over a new one.
	serving := make(chan *peer, 2)
	receive := func(node *peer) {
		request, err := http.ReadRequest(node.reader)
		if err != nil {
			return
		}
		if id := request.Header.Get("X-Request-Id"); id != "r2" {
			t.Errorf("request %s was forwarded, want only r2", id)
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

// The connection for the retry of a keyed request is established only when nodes no longer deduplicate the request. The
// retry must not be sent.
func TestRetryWindowEndsDuringDial(t *testing.T) {
	const window = 300 * time.Millisecond
	dials := make(chan time.Time, 2)
	shortWindow := func(settings string) string {
		settings = replaceSetting(t, settings, `"windowMs": 4000`, fmt.Sprintf(`"windowMs": %d`, window.Milliseconds()))
		return replaceSetting(t, settings, `"dialTimeoutMs": 250`, `"dialTimeoutMs": 1000`)
	}
	g := startGateway(t, gatewaySetup{settings: shortWindow, gateway: func(g *testGateway, _ *config.Config) {
		g.dialNode = func(_ context.Context, address string) (net.Conn, error) {
			select {
			case began := <-dials: // the second connection: it is established when the window is over
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
	g.stop() // the stop ends the second connection
	g.accept(g.node).wantEnd()
}

// The time to the deadline of a request that waits behind another one runs from the arrival of the request. The node
// must be given no more than the time that is left.
func TestDeadlineOfPipelinedRequestCountsFromArrival(t *testing.T) {
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
	// The second request arrived together with the first one, and the first one had arrived before the node received
	// it. It gets a connection of its own, as the first one may not be reused yet.
	node = g.accept(g.node)
	deadline := node.wantRequest("r2").Header.Get("X-Deadline")
	micros, err := strconv.ParseInt(strings.TrimSuffix(deadline, "u"), 10, 64)
	// The request has a deadline of 1400 ms, of which 200 ms have passed. The other 100 ms are a tolerance.
	const maxDeadline = 1400*time.Millisecond - 200*time.Millisecond + 100*time.Millisecond
	if err != nil || time.Duration(micros)*time.Microsecond > maxDeadline {
		t.Errorf("the node was given the deadline %q, want %v at most: error %v", deadline, maxDeadline, err)
	}
	node.write(responseText("two"))
	client.wantResponse(200, "one")
	client.wantResponse(200, "two")
}

// A stop crosses requests of clients. An idle connection is closed, and a request that arrives after that is not
// forwarded. A connection over which a request has begun to arrive gets a response, although the request is complete
// only after the stop. http.Server would drop such a request with its connection.
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
	settling := node // the connection of r1 may not be reused yet
	node = g.accept(g.node)
	node.wantRequest("r2")
	g.stop()
	idle.wantEnd() // the stop has closed idle connections by now
	idle.write(requestText("r4", "once", ""))
	node.write(responseText("two"))
	active.wantResponse(200, "two")
	active.write(unfinished[len(unfinished)-2:])
	active.wantResponse(503, "")
	active.wantEnd()
	node.wantEnd() // neither r3 nor r4 was forwarded
	settling.wantEnd()
}

// A gateway must end although one client keeps its connection and sends data without end, another waits for a response,
// and a node hangs. A second stop changes nothing.
func TestStopWithHungNodesAndClients(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	idle, waiting := g.client(), g.client()
	waiting.write(requestText("r1", "once", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	go func() { // the idle client ignores the stop and sends data that nobody reads
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

// A watch of discovery falls silent in the middle of a list. The next watch returns a list with the node draining, in
// two pieces and over several lines. The incomplete list must have no effect, and the complete one must be followed.
func TestSilentWatchIsReopened(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	watch := g.accept(g.discovery)
	if request := watch.request(); request.URL.RequestURI() != watchPath+"1" {
		t.Fatalf("the first watch is for %s, want %s", request.URL, watchPath+"1")
	}
	watch.write(chunkedResponse + chunk(g.list(2, true, "up")+"\n"+g.list(3, false, "draining")[:30]))
	second := g.accept(g.discovery)
	watch.wantEnd()
	if request := second.request(); request.URL.RequestURI() != watchPath+"2" {
		t.Fatalf("the second watch is for %s, want %s", request.URL, watchPath+"2")
	}
	client := g.client()
	client.write(requestText("r1", "read", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	text := strings.ReplaceAll(g.list(3, false, "draining"), ",", ",\n  ") + "\n"
	second.write(chunkedResponse + chunk(text[:25]) + chunk(text[25:]))
	// The list must take effect although no other line follows it: from then on requests are rejected.
	node.write(responseText("one"))
	client.wantResponse(200, "one")
	g.waitUntil("requests are rejected, as the only node is draining",
		func(id string) bool { return g.served(node, id) == http.StatusServiceUnavailable })
}

// A reload moves discovery while the last line of the old watch is being sent. The rest of the line arrives after the
// new discovery has been called, and must have no effect.
func TestDiscoveryMovesWithinLine(t *testing.T) {
	g := startGateway(t, gatewaySetup{})
	watch := g.accept(g.discovery)
	watch.request()
	line := g.list(9, false, "draining") + "\n"
	watch.write(chunkedResponse + fmt.Sprintf("%x\r\n%s", len(line), line[:40]))
	g.reloads <- syscall.SIGHUP
	moved := g.accept(g.moved)
	if request := moved.request(); request.URL.RequestURI() != watchPath+"0" {
		t.Fatalf("the watch of the new discovery is for %s, want %s", request.URL, watchPath+"0")
	}
	io.WriteString(watch, line[40:]+"\r\n") // the connection may be closed by now
	client := g.client()
	client.write(requestText("r1", "read", ""))
	node := g.accept(g.node)
	node.wantRequest("r1")
	node.write(responseText("one"))
	client.wantResponse(200, "one")
	// The new discovery counts versions of its list by itself; its version is below that of the old one.
	moved.write(chunkedResponse + chunk(g.list(1, true, "draining")+"\n"))
	g.waitUntil("requests are rejected, as the only node is draining in the list of the new discovery",
		func(id string) bool { return g.served(node, id) == http.StatusServiceUnavailable })
}

// Idle clients take all file descriptors that are available to clients while discovery is down. New clients must still
// be accepted, discovery must be followed as soon as it is back, and nodes must be reached.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
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

// A response without a length is passed on if its connection ends normally, and not if its connection is reset.
func TestResponseWithoutLengthIsReset(t *testing.T) {
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

// Half a line arrives from a node over an idle connection, before the next request. It must not be taken for the
// response to that request.
func TestHalfALineOnIdleConnection(t *testing.T) {
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

// While discovery is down, its agent on this machine does not respond to calls. The gateway must call it again within
// the grace period of a drain. The second call returns a list with the node draining, and the gateway must then send
// nothing new to the node.
func TestSilentAgentIsCalledAgain(t *testing.T) {
	g := startGateway(t, gatewaySetup{settings: func(settings string) string {
		return replaceSetting(t, settings, `"membershipMode": "ask"`, `"membershipMode": "push"`)
	}})
	first := g.accept(g.discovery)
	first.request()
	second := g.accept(g.discovery) // before the grace period of a drain has passed
	first.wantEnd()
	second.request()
	second.write(chunkedResponse + chunk(g.list(2, false, "draining")+"\n"))
	g.waitUntil("requests are rejected, as the only node is draining", func(id string) bool {
		client := g.client()
		client.write(requestText(id, "read", ""))
		response, err := http.ReadResponse(client.reader, nil)
		return err == nil && response.StatusCode == http.StatusServiceUnavailable
	})
}
