package h2frontend

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"reachpulley/internal/admission"
	"reachpulley/internal/exchange"
	"reachpulley/internal/frontend/httpfrontend"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// The keys by which fakeEventLoop chooses its answer, and the part of the path before the key.
const (
	volumePath    = "/api/00000003b4d60021/"
	smallKey      = "7f3a9c21e0b4d655" // answered with smallBody
	bigKey        = "bf3a9c21e0b4d655" // answered with a body of 1 MiB
	unansweredKey = "cf3a9c21e0b4d655"
)

// smallBody is a response body of 512 bytes.
var smallBody = []byte(strings.Repeat("d", 512))

// fakeEventLoop answers each exchange at once, except those for unansweredKey, which it never answers.
type fakeEventLoop struct{}

func (fakeEventLoop) Open(x *exchange.Exchange) {
	body := smallBody
	switch x.Request.Key {
	case unansweredKey:
		return
	case bigKey:
		body = make([]byte, 1<<20)
	}
	reply := &httpmsg.Reply{Header: http.Header{}, Body: body}
	x.Finish(exchange.Answer{Verdict: exchange.Served, Reply: reply})
}

// benchHeaders are the platform's header fields that all requests have, apart from the request ID.
var benchHeaders = []struct{ name, value string }{
	{httpmsg.ClassHeader, "read"},
	{httpmsg.PlanHeader, "gold"},
	{httpmsg.DeadlineHeader, "10000m"},
	{httpmsg.PlacementHeader, "units=2,shard=5,hosts=3"},
}

// benchAdmission has limits so high that the benchmarks hardly reach them.
var benchAdmission = admission.Config{
	MaxInFlight:           100_000,
	PerConnection:         200,
	PerClient:             100_000,
	MaxStreams:            200,
	MinStreams:            200,
	MaxConnections:        5000,
	MemoryBytes:           1 << 30,
	ConnectionMemoryBytes: 64 << 20,
	Stall:                 time.Minute,
}

// startFrontends starts the HTTP/1.1 and the HTTP/2 frontend on loopback addresses, in front of the same event loop.
func startFrontends(b *testing.B) (http1Address, http2Address string, stop func()) {
	log := slog.New(slog.DiscardHandler)
	settings := scheduler.Settings{
		Classes: []scheduler.Class{{Name: "read", Deadline: time.Minute}},
		Plans:   []scheduler.Plan{{Name: "gold"}},
	}
	frontend := httpfrontend.New(httpfrontend.Options{Loop: fakeEventLoop{}, Log: log, Settings: settings})
	listener1, listener2 := listen(b), listen(b)
	server1 := httpfrontend.NewServer(frontend, listener1,
		httpfrontend.ServerLimits{Connections: 10_000, HeaderBytes: httpfrontend.DefaultMaxHeaderBytes}, log)
	server2, err := New(Options{
		Handler:        frontend,
		Admission:      benchAdmission,
		MaxHeaderBytes: testMaxHeaderBytes,
		Log:            log,
	})
	if err != nil {
		b.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() { server1.Serve() })
	serving.Go(func() { server2.Serve(listener2) })
	return listener1.Addr().String(), listener2.Addr().String(), func() {
		ctx, cancel := context.WithCancel(b.Context())
		cancel()
		server1.Shutdown(ctx)
		listener2.Close()
		server2.Shutdown(ctx)
		serving.Wait()
	}
}

// listen returns a listener on a free loopback port.
func listen(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}

// benchClient returns the HTTP/2 client of x/net, without the connection pool of net/http. Recorded results include the
// work of this client.
func benchClient() *http.Client {
	//lint:ignore SA1019 http.Transport allocates more for each request, so recorded results could not be compared
	return &http.Client{Transport: &http2.Transport{
		AllowHTTP:          true,
		DisableCompression: true,
		DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	}}
}

// requestSmallBody sends a request for smallKey and reads the response.
func requestSmallBody(b *testing.B, c *http.Client, address string) {
	r, err := http.NewRequest("GET", "http://"+address+volumePath+smallKey, nil)
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set(httpmsg.IDHeader, "1")
	for _, header := range benchHeaders {
		r.Header.Set(header.name, header.value)
	}
	resp, err := c.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// writeRequest writes the HEADERS frame of a request for a key.
func writeRequest(w *frameWriter, id uint32, key string) {
	fields := []string{strings.ToLower(httpmsg.IDHeader), fmt.Sprint(id)}
	for _, header := range benchHeaders {
		fields = append(fields, strings.ToLower(header.name), header.value)
	}
	w.request(id, "GET", volumePath+key, true, fields...)
}

// BenchmarkFrontends measures requests over loopback: by HTTP/1.1 on as many connections as they need, and by HTTP/2 on
// one connection. The results include the client's work.
func BenchmarkFrontends(b *testing.B) {
	http1Address, http2Address, stop := startFrontends(b)
	defer stop()
	http1Client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	for _, c := range []struct {
		name    string
		address string
		client  *http.Client
	}{
		{name: "http1", address: http1Address, client: http1Client},
		{name: "http2", address: http2Address, client: benchClient()},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(8)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					requestSmallBody(b, c.client, c.address)
				}
			})
			c.client.CloseIdleConnections()
		})
	}
}

// measureP99 sends 10,000 requests on one connection, 20 at a time, and returns the p99 of their durations in
// nanoseconds.
func measureP99(b *testing.B, address string) float64 {
	c := benchClient()
	defer c.CloseIdleConnections()
	var mu sync.Mutex
	var callers sync.WaitGroup
	var durations []time.Duration
	for range 20 {
		callers.Go(func() {
			for range 500 {
				startedAt := time.Now()
				requestSmallBody(b, c, address)
				took := time.Since(startedAt)
				mu.Lock()
				durations = append(durations, took)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	slices.Sort(durations)
	return float64(durations[len(durations)*99/100])
}

// reportP99 reports the p99 durations, given in nanoseconds, without and with the load of other clients, and their
// ratio.
func reportP99(b *testing.B, without, with float64) {
	b.ReportMetric(without/1e3, "us-p99-without")
	b.ReportMetric(with/1e3, "us-p99-with")
	b.ReportMetric(with/without, "ratio")
}

// BenchmarkRapidReset measures the p99 duration of requests without and with another client, which resets all its
// requests and connects again whenever its connection is closed.
func BenchmarkRapidReset(b *testing.B) {
	_, address, stop := startFrontends(b)
	defer stop()
	for b.Loop() {
		measureP99(b, address) // warm-up
		without := measureP99(b, address)
		ctx, cancel := context.WithCancel(b.Context())
		var attack sync.WaitGroup
		attack.Go(func() { attackByResets(ctx, address) })
		with := measureP99(b, address)
		cancel()
		attack.Wait()
		reportP99(b, without, with)
	}
}

// attackByResets sends requests and resets them until ctx is done or it cannot connect any more. Its source address
// differs from that of the other clients, since the server bans the address after some violations.
func attackByResets(ctx context.Context, address string) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	for ctx.Err() == nil {
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			return
		}
		w := newFrameWriter(conn)
		w.preface()
		for id := uint32(1); id < 2000 && ctx.Err() == nil; id += 2 {
			writeRequest(w, id, unansweredKey)
			if w.framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
				break
			}
		}
		conn.Close()
	}
}

// BenchmarkFloodBesideRequestsInFlight measures the p99 duration of requests without and with 16 connections that are
// closed for abuse, but stay open for a request in flight, while their clients go on sending frames.
func BenchmarkFloodBesideRequestsInFlight(b *testing.B) {
	_, address, stop := startFrontends(b)
	defer stop()
	for round := byte(2); b.Loop(); round++ { // part of the clients' address, which is banned after the round
		measureP99(b, address) // warm-up
		without := measureP99(b, address)
		ctx, cancel := context.WithCancel(b.Context())
		var flood sync.WaitGroup
		for range 16 {
			w := dialFramesFrom(b, net.IPv4(127, 0, 0, round), address)
			writeRequest(w, 1, unansweredKey)
			flood.Go(func() { floodWithPriorities(ctx, w) })
		}
		with := measureP99(b, address)
		cancel()
		flood.Wait()
		reportP99(b, without, with)
	}
}

// floodWithPriorities sends PRIORITY frames until ctx is done or the connection ends.
func floodWithPriorities(ctx context.Context, w *frameWriter) {
	stopWriting := context.AfterFunc(ctx, func() { w.conn.Close() })
	defer stopWriting()
	for w.framer.WritePriority(1, http2.PriorityParam{StreamDep: 3}) == nil {
	}
	<-ctx.Done()
}

// BenchmarkStalledClients measures the p99 duration of requests without and with ten other connections. On each of them
// a client asks for ten responses of 1 MiB and reads none.
func BenchmarkStalledClients(b *testing.B) {
	_, address, stop := startFrontends(b)
	defer stop()
	for b.Loop() {
		measureP99(b, address) // warm-up
		without := measureP99(b, address)
		var stalled []*frameWriter
		for range 10 {
			w := dialFrames(b, address)
			stalled = append(stalled, w)
			for id := uint32(1); id < 20; id += 2 {
				writeRequest(w, id, bigKey)
			}
		}
		time.Sleep(100 * time.Millisecond)
		with := measureP99(b, address)
		for _, w := range stalled {
			w.conn.Close()
		}
		reportP99(b, without, with)
	}
}

// dialFrames connects to a server and writes the preface.
func dialFrames(b *testing.B, address string) *frameWriter {
	return dialFramesFrom(b, net.IPv4(127, 0, 0, 1), address)
}

// dialFramesFrom connects to a server from a source address and writes the preface.
func dialFramesFrom(b *testing.B, source net.IP, address string) *frameWriter {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: source}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	w := newFrameWriter(conn)
	w.preface()
	return w
}

// BenchmarkMemory measures the memory of the process for each idle connection, and for each open stream with 100
// streams on each connection. The results include buffers, goroutines and the client's side.
func BenchmarkMemory(b *testing.B) {
	_, address, stop := startFrontends(b)
	defer stop()
	const connections, streams = 1000, 100
	for b.Loop() {
		before := usedMemory()
		var conns []net.Conn
		var clients []*frameWriter
		for range connections {
			w := dialFrames(b, address)
			conns = append(conns, w.conn)
			clients = append(clients, w)
		}
		time.Sleep(300 * time.Millisecond)
		idle := usedMemory()
		b.ReportMetric((idle-before)/connections, "B/idle-connection")
		for _, w := range clients {
			for i := range uint32(streams) {
				writeRequest(w, 2*i+1, unansweredKey)
			}
		}
		// The frame writers are not used from here on. The garbage collector frees them, and their memory is not
		// measured.
		time.Sleep(3 * time.Second)
		b.ReportMetric((usedMemory()-idle)/connections/streams, "B/open-stream")
		for _, conn := range conns {
			conn.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// usedMemory returns the bytes of heap and stacks that are in use after a garbage collection.
func usedMemory() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
