package h2frontend_test

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
	"reachpulley/internal/frontend/h2frontend"
	"reachpulley/internal/frontend/httpfrontend"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// prompt is a core that answers at once, with a megabyte to keys that begin with b, and never to those with c.
type prompt struct{}

var answer = []byte(strings.Repeat("d", 512))

func (prompt) Open(x *exchange.Exchange) {
	body := answer
	if strings.HasPrefix(x.Request.Key, "c") { // it never ends: its client leaves some day
		return
	}
	if strings.HasPrefix(x.Request.Key, "b") {
		body = make([]byte, 1<<20)
	}
	x.Finish(exchange.Answer{Verdict: exchange.Served, Reply: &httpmsg.Reply{Header: http.Header{}, Body: body}})
}

// fronts starts both HTTP fronts on loopback, before the same core.
func fronts(b *testing.B) (one, two string, stop func()) {
	log := slog.New(slog.DiscardHandler)
	front := httpfrontend.New(httpfrontend.Options{Loop: prompt{}, Log: log, Settings: scheduler.Settings{
		Classes: []scheduler.Class{{Name: "read", Deadline: time.Minute}}, Plans: []scheduler.Plan{{Name: "gold"}}}})
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		return l
	}
	l1, l2 := listen(), listen()
	first := httpfrontend.NewServer(front, l1, 10_000, httpfrontend.DefaultMaxHeaderBytes, log)
	second, err := h2frontend.New(h2frontend.Options{Carrier: front, MaxHeaderBytes: 16 << 10, Log: log, Admission: admission.Config{MaxInFlight: 100_000, PerConnection: 200,
		PerClient: 100_000, Streams: 200, MinStreams: 200, Connections: 5000, Memory: 1 << 30, ConnectionMemory: 64 << 20, Stall: time.Minute}})
	if err != nil {
		b.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() { first.Serve() })
	all.Go(func() { second.Serve(l2) })
	return l1.Addr().String(), l2.Addr().String(), func() {
		ctx, cancel := context.WithCancel(b.Context())
		cancel()
		first.Shutdown(ctx)
		l2.Close()
		second.Shutdown(ctx)
		all.Wait()
	}
}

func h2client() *http.Client {
	return &http.Client{Transport: &http2.Transport{AllowHTTP: true, DisableCompression: true,
		DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}}}
}

func call(b *testing.B, c *http.Client, address, key string) {
	r, err := http.NewRequest("GET", "http://"+address+"/api/00000003b4d60021/"+key, nil)
	if err != nil {
		b.Fatal(err)
	}
	for name, value := range map[string]string{httpmsg.IDHeader: "1", httpmsg.ClassHeader: "read", httpmsg.PlanHeader: "gold",
		httpmsg.DeadlineHeader: "10000m", httpmsg.PlacementHeader: "units=2,shard=5,hosts=3"} {
		r.Header.Set(name, value)
	}
	resp, err := c.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

const key = "7f3a9c21e0b4d655"

// BenchmarkFronts is a request over loopback by the first front, on as many connections as are needed, and by HTTP/2
// on one. Both sides' work is in it.
func BenchmarkFronts(b *testing.B) {
	one, two, stop := fronts(b)
	defer stop()
	for _, c := range []struct {
		name, address string
		client        *http.Client
	}{{"http1", one, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}}, {"http2", two, h2client()}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(8)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					call(b, c.client, c.address, key)
				}
			})
			c.client.CloseIdleConnections()
		})
	}
}

// BenchmarkRapidReset gives the p99 of requests beside a client that connects anew whenever it is cut, and resets all that it
// asks for, as a ratio to the p99 without it.
func BenchmarkRapidReset(b *testing.B) {
	_, two, stop := fronts(b)
	defer stop()
	for b.Loop() {
		quantile(b, two) // warm
		without := quantile(b, two)
		ctx, cancel := context.WithCancel(b.Context())
		var attack sync.WaitGroup
		// Its address is kept out after three cuts, so it has one of its own.
		elsewhere := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
		attack.Go(func() {
			for ctx.Err() == nil {
				conn, err := elsewhere.Dial("tcp", two)
				if err != nil {
					return
				}
				c := h2frontend.NewFrames(conn)
				for id := uint32(1); id < 2000 && ctx.Err() == nil; id += 2 {
					ask(c, id, "c"+key[1:])
					if c.Reset(id) != nil {
						break
					}
				}
				conn.Close()
			}
		})
		with := quantile(b, two)
		cancel()
		attack.Wait()
		b.ReportMetric(without/1e3, "us-p99-without")
		b.ReportMetric(with/1e3, "us-p99-with")
		b.ReportMetric(with/without, "ratio")
	}
}

// quantile gives the p99 of 10,000 requests on one connection, 20 at a time.
func quantile(b *testing.B, address string) float64 {
	c := h2client()
	defer c.CloseIdleConnections()
	var mu sync.Mutex
	var all sync.WaitGroup
	var times []time.Duration
	for range 20 {
		all.Go(func() {
			for range 500 {
				began := time.Now()
				call(b, c, address, key)
				took := time.Since(began)
				mu.Lock()
				times = append(times, took)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	slices.Sort(times)
	return float64(times[len(times)*99/100])
}

// BenchmarkNeighbours gives the p99 of requests beside ten connections that ask for a megabyte and don't read it, as
// a ratio to the p99 without them.
func BenchmarkNeighbours(b *testing.B) {
	_, two, stop := fronts(b)
	defer stop()
	for b.Loop() {
		quantile(b, two) // warm
		without := quantile(b, two)
		var slow []net.Conn
		for range 10 {
			conn, err := net.Dial("tcp", two)
			if err != nil {
				b.Fatal(err)
			}
			slow = append(slow, conn)
			c := h2frontend.NewFrames(conn)
			for id := uint32(1); id < 20; id += 2 {
				ask(c, id, "b"+key[1:])
			}
		}
		time.Sleep(100 * time.Millisecond)
		with := quantile(b, two)
		for _, conn := range slow {
			conn.Close()
		}
		b.ReportMetric(without/1e3, "us-p99-without")
		b.ReportMetric(with/1e3, "us-p99-with")
		b.ReportMetric(with/without, "ratio")
	}
}

// ask writes a request for a key.
func ask(c *h2frontend.Frames, id uint32, key string) {
	c.Request(id, "GET", "/api/00000003b4d60021/"+key, httpmsg.IDHeader, fmt.Sprint(id), httpmsg.ClassHeader, "read",
		httpmsg.PlanHeader, "gold", httpmsg.DeadlineHeader, "10000m", httpmsg.PlacementHeader, "units=2,shard=5,hosts=3")
}

// BenchmarkMemory is what a connection takes of the process, buffers, goroutines and the other side's socket included: idle,
// and with 100 streams at the core, by stream.
func BenchmarkMemory(b *testing.B) {
	_, two, stop := fronts(b)
	defer stop()
	used := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse)
	}
	const n = 1000
	for b.Loop() {
		before := used()
		var conns []net.Conn
		var frames []*h2frontend.Frames
		for range n {
			conn, err := net.Dial("tcp", two)
			if err != nil {
				b.Fatal(err)
			}
			frames = append(frames, h2frontend.NewFrames(conn))
			conns = append(conns, conn)
		}
		time.Sleep(300 * time.Millisecond)
		idle := used()
		b.ReportMetric((idle-before)/n, "B/idle-connection")
		for _, f := range frames {
			for id := range uint32(100) {
				ask(f, 2*id+1, "c"+key[1:])
			}
		}
		time.Sleep(3 * time.Second)
		b.ReportMetric((used()-idle)/n/100, "B/open-stream")
		for _, conn := range conns {
			conn.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
}
