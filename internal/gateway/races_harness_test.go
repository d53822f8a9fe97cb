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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"reachpulley/internal/config"
)

// waitLimit is how long a test waits for an event before it fails. A test that passes never waits that long.
const waitLimit = 20 * time.Second

// testGateway is a whole gateway on loopback. The test itself acts as discovery and as the only node, step by step.
type testGateway struct {
	t         *testing.T
	address   string
	discovery net.Listener
	moved     net.Listener // the address to which a reload moves discovery
	node      net.Listener
	reloads   chan os.Signal
	dialNode  func(ctx context.Context, address string) (net.Conn, error) // nil: the real network
	stop      context.CancelFunc
	ended     chan error

	mu  sync.Mutex
	log bytes.Buffer
}

// gatewaySetup changes a testGateway before it starts.
type gatewaySetup struct {
	settings func(settings string) string // nil: testSettings as they are
	gateway  func(*testGateway, *config.Config)
}

// startGateway starts a gateway that knows one node.
func startGateway(t *testing.T, setup gatewaySetup) *testGateway {
	t.Helper()
	g := &testGateway{t: t, reloads: make(chan os.Signal, 1), ended: make(chan error, 1)}
	for _, listener := range []*net.Listener{&g.discovery, &g.moved, &g.node} {
		*listener = listenLoopback(t)
		t.Cleanup(func() { (*listener).Close() })
	}
	frontend := listenLoopback(t)
	g.address = frontend.Addr().String()
	settings := testSettings
	if setup.settings != nil {
		settings = setup.settings(settings)
	}
	text := fmt.Sprintf(`{"listen":"%s","discovery":"%s","seed":"1","known":%s,"settings":%s}`,
		g.address, g.discovery.Addr(), g.list(1, true, "up"), settings)
	configuration, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if setup.gateway != nil {
		setup.gateway(g, configuration)
	}
	options := g.options(configuration, frontend)
	var stop context.Context
	stop, g.stop = context.WithCancel(context.Background())
	go func() { g.ended <- Serve(stop, options) }()
	t.Cleanup(g.close)
	return g
}

func (g *testGateway) options(configuration *config.Config, frontend net.Listener) Options {
	operator := config.DefaultOperator()
	next := *configuration
	next.Discovery = g.moved.Addr().String()
	return Options{
		Config:   configuration,
		Operator: operator,
		Listener: frontend,
		Log:      slog.New(slog.NewJSONHandler(logWriter{g}, &slog.HandlerOptions{Level: slog.LevelDebug})),
		Dial:     g.dial,
		Reloads:  g.reloads,
		Reload:   func() (*config.Config, *config.Operator, error) { return &next, operator, nil },
	}
}

func (g *testGateway) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if g.dialNode != nil && address == g.node.Addr().String() {
		return g.dialNode(ctx, address)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// close stops the gateway and, if the test has failed, logs the gateway's log.
func (g *testGateway) close() {
	g.stop()
	select {
	case err := <-g.ended:
		if err != nil {
			g.t.Errorf("the gateway ended with an error: %v", err)
		}
	case <-time.After(waitLimit):
		g.t.Errorf("the gateway has not ended within %v", waitLimit)
	}
	if g.t.Failed() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.t.Log(g.log.String())
	}
}

// logWriter collects the log of a testGateway.
type logWriter struct{ *testGateway }

func (w logWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log.Write(p)
}

// list formats a list of discovery with version seq, in which the test's only node has the given state. If whole is
// set, the list replaces all earlier ones; otherwise it is a change.
func (g *testGateway) list(seq int, whole bool, state string) string {
	return fmt.Sprintf(
		`{"seq":%d,"whole":%v,"hosts":[{"host":"n","dial":"%s","site":"a","block":0,"health":"%s","born_ms":0}]}`,
		seq, whole, g.node.Addr(), state)
}

// client connects to the gateway.
func (g *testGateway) client() *peer {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		g.t.Fatal(err)
	}
	return g.peer(conn)
}

// accept accepts a connection from the gateway.
func (g *testGateway) accept(listener net.Listener) *peer {
	g.t.Helper()
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(waitLimit))
	conn, err := listener.Accept()
	if err != nil {
		g.t.Fatal(err)
	}
	return g.peer(conn)
}

// served sends a read, and answers it as the node if it arrives there. It returns the status of the response, or 0 if
// there is none.
func (g *testGateway) served(node *peer, id string) (status int) {
	client := g.client()
	defer client.Close()
	client.write(requestText(id, "read", ""))
	statuses := make(chan int, 1)
	go func() {
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil {
			statuses <- 0
			return
		}
		statuses <- response.StatusCode
	}()
	go func() {
		request, err := http.ReadRequest(node.reader)
		if err == nil && request.Header.Get("X-Request-Id") == id {
			io.WriteString(node, responseText(id))
		}
	}()
	return <-statuses
}

// waitUntil checks a condition again and again until it holds, each time with a new request ID.
func (g *testGateway) waitUntil(what string, condition func(id string) bool) {
	g.t.Helper()
	end := time.Now().Add(waitLimit)
	for number := 0; !condition(fmt.Sprint("try", number)); number++ {
		if time.Now().After(end) {
			g.t.Fatalf("%s: not within %v", what, waitLimit)
		}
	}
}

// peer is the test's end of a connection with the gateway.
type peer struct {
	t *testing.T
	*net.TCPConn
	reader *bufio.Reader
}

func (g *testGateway) peer(conn net.Conn) *peer {
	conn.SetDeadline(time.Now().Add(waitLimit))
	g.t.Cleanup(func() { conn.Close() })
	return &peer{t: g.t, TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func (p *peer) write(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatal(err)
	}
}

// request reads a request and its body.
func (p *peer) request() *http.Request {
	p.t.Helper()
	request, err := http.ReadRequest(p.reader)
	if err != nil {
		p.t.Fatal("no request: ", err)
	}
	io.Copy(io.Discard, request.Body)
	return request
}

// wantRequest reads a request, which must have the given ID.
func (p *peer) wantRequest(id string) *http.Request {
	p.t.Helper()
	request := p.request()
	if got := request.Header.Get("X-Request-Id"); got != id {
		p.t.Fatalf("received request %s, want %s", got, id)
	}
	return request
}

// wantResponse reads a response, which must have the given status and body.
func (p *peer) wantResponse(status int, body string) {
	p.t.Helper()
	response, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		p.t.Fatalf("no response, want %d: %v", status, err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status || string(got) != body {
		p.t.Fatalf("response %d %q, %v; want %d %q", response.StatusCode, got, err, status, body)
	}
}

// wantEnd reads to the end of the connection, before which nothing more may arrive.
func (p *peer) wantEnd() {
	p.t.Helper()
	rest, err := io.ReadAll(p.reader)
	if len(rest) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		p.t.Fatalf("received %q, %v before the end of the connection", rest, err)
	}
}

// responseText formats a node's response.
func responseText(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// requestText formats a client's request. The lines in headers are added to its header.
func requestText(id, class, headers string) string {
	method, body := "GET", ""
	if class != "read" {
		method, body = "PUT", "hello"
		headers += "Content-Length: 5\r\n"
	}
	return strings.Join([]string{
		method + " " + objectPath + " HTTP/1.1",
		"Host: h",
		"X-Request-Id: " + id,
		"X-Class: " + class,
		"X-Qos-Policy: gold",
		"X-Deadline: 1400m",
		"Idempotency-Key: " + id,
		"X-Placement: units=1,shard=0,hosts=1",
		headers,
	}, "\r\n") + "\r\n" + body
}

const (
	chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	watchPath       = "/v1/endpoints?stream=1&index="
)

// chunk formats a chunk of a chunkedResponse.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
