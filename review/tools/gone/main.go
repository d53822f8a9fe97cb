// Command gone is a probe: a client sends more than 64 KiB of requests at once and closes its connection. The gateway
// does not notice the close and sends its next request to a storage node afterwards.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"standin/stage"
)

func main() { stage.Main(run) }

func run(root string, record *stage.Record, trouble bool) (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var closedAt time.Time
	var late, runs atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/api/") {
			io.WriteString(w, "{\"inflight\":1,\"queue\":0}")
			return
		}
		mu.Lock()
		c := closedAt
		mu.Unlock()
		runs.Add(1)
		if !c.IsZero() && time.Since(c) > 150*time.Millisecond {
			late.Add(1)
			record.Printf("node: %s begins %v after the client's close", r.Header.Get("X-Request-Id"), time.Since(c))
		} else {
			record.Printf("node: %s begins", r.Header.Get("X-Request-Id"))
		}
		io.Copy(io.Discard, r.Body)
		time.Sleep(250 * time.Millisecond)
		io.WriteString(w, "ok")
	})}
	go server.Serve(l)
	d, err := stage.NewDiscovery([]stage.Node{{Host: "s-0", Dial: l.Addr().String(), Site: "room-a", Class: "slower", Health: "up", Share: 1}}, record)
	if err != nil {
		return 0, err
	}
	g, err := stage.NewGateway(root, "g0", stage.Config(stage.Zagreb(1), d, 192, 1024), record)
	if err != nil {
		return 0, err
	}
	defer g.Remove()
	if err := g.Start(); err != nil {
		return 0, err
	}
	conn, err := net.Dial("tcp", g.Address)
	if err != nil {
		return 0, err
	}
	n := 5
	if trouble {
		n = 400
	}
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "PUT /api/00000003b4d60021/%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %016x\r\nX-Class: entry-write\r\nIdempotency-Key: k%d\r\n"+
			"X-Qos-Policy: standard\r\nX-Deadline: 2500m\r\nX-Placement: units=2,shard=0,hosts=1\r\nContent-Length: 5\r\n\r\nhello", i, i+1, i)
	}
	go io.WriteString(conn, b.String())
	time.Sleep(30 * time.Millisecond)
	conn.Close()
	mu.Lock()
	closedAt = time.Now()
	mu.Unlock()
	record.Printf("client: sent %d bytes, closed", b.Len())
	time.Sleep(4 * time.Second)
	record.Verdict("%d attempts, %d began over 0.15 s after the client's close", runs.Load(), late.Load())
	if late.Load() > 0 {
		return 1, nil
	}
	return 0, nil
}
