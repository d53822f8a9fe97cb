// Command coldkill is a probe: gateways are killed and restarted while a storage node is cold, and send it their part of
// what a cold node bears a second time. RATE is the number of requests a second, SHARE the share of its capacity at which
// the node starts, KILL the number of the three gateways that are killed.
package main

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"standin/stage"
)

const gateways = 3

type node struct {
	addr  string
	mu    sync.Mutex
	born  time.Time
	share float64
	at    []time.Time
	cores chan bool
}

func (n *node) speed() float64 {
	return min(1, n.share+(1-n.share)*time.Since(n.born).Seconds()/17)
}

func newNode(record *stage.Record, share float64, cold bool) *node {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	n := &node{addr: l.Addr().String(), born: time.Now(), share: share, cores: make(chan bool, 2)}
	go (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/api/") {
			io.WriteString(w, "{\"inflight\":1,\"queue\":0}")
			return
		}
		io.Copy(io.Discard, r.Body)
		n.mu.Lock()
		n.at = append(n.at, time.Now())
		n.mu.Unlock()
		if cold {
			record.Printf("cold node: arrives %s", r.Header.Get("X-Request-Id"))
		}
		select {
		case n.cores <- true:
		case <-r.Context().Done():
			return
		}
		time.Sleep(time.Duration(37e6 / n.speed()))
		<-n.cores
		io.WriteString(w, "ok")
	})}).Serve(l)
	return n
}

func main() { stage.Main(run) }

func run(root string, record *stage.Record, trouble bool) (int, error) {
	rate, _ := strconv.ParseFloat(os.Getenv("RATE"), 64)
	share, _ := strconv.ParseFloat(os.Getenv("SHARE"), 64)
	kill, _ := strconv.Atoi(os.Getenv("KILL"))
	old := newNode(record, 1, false)
	entry := stage.Node{Host: "s-0", Dial: old.addr, Site: "room-a", Class: "slower", Health: "up", Share: 1}
	d, err := stage.NewDiscovery([]stage.Node{entry}, record)
	if err != nil {
		return 0, err
	}
	var gs []*stage.Gateway
	for i := range gateways {
		s := stage.Zagreb(gateways)
		s["me"] = i
		g, err := stage.NewGateway(root, fmt.Sprintf("g%d", i), stage.Config(s, d, 192, 1024), record)
		if err != nil {
			return 0, err
		}
		defer g.Remove()
		if err := g.Start(); err != nil {
			return 0, err
		}
		gs = append(gs, g)
	}
	var served, refused, failed, lost atomic.Int64
	until := time.Now().Add(9 * time.Second)
	var wg sync.WaitGroup
	for gi, g := range gs {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: 3 * time.Second}
		wg.Go(func() {
			for k := 0; time.Now().Before(until); k++ {
				time.Sleep(time.Duration(float64(time.Second) / rate * gateways))
				wg.Go(func() {
					id := fmt.Sprintf("%08x%08x", gi+1, k)
					r, _ := http.NewRequest("GET", "http://"+g.Address+"/api/00000003b4d60021/"+id, nil)
					r.Header.Set("X-Request-Id", id)
					r.Header.Set("X-Class", "sheet-read")
					r.Header.Set("X-Qos-Policy", "standard")
					r.Header.Set("X-Deadline", "1500m")
					r.Header.Set("X-Placement", "units=2,shard=0,hosts=3")
					resp, err := client.Do(r)
					if err != nil {
						lost.Add(1)
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					switch resp.StatusCode {
					case 200:
						served.Add(1)
					case 503:
						refused.Add(1)
					default:
						failed.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	cold := newNode(record, share, true)
	removed := entry
	removed.Health = "removed"
	d.Change(removed)
	d.Change(stage.Node{Host: "s-9", Dial: cold.addr, Site: "room-a", Class: "slower", Health: "up", Share: 1, BornMs: cold.born.UnixMilli()})
	if trouble {
		time.Sleep(1300 * time.Millisecond)
		for _, g := range gs[:kill] {
			g.Signal(syscall.SIGKILL)
		}
		for _, g := range gs[:kill] {
			g.Kill()
			wg.Go(func() { g.Start() })
		}
	}
	wg.Wait()
	worst, worstAt, worstN, worstLimit := -1e9, 0.0, 0, 0.0
	for i := range cold.at {
		n := 0
		for j := i; j >= 0 && cold.at[i].Sub(cold.at[j]) < 3*time.Second; j-- {
			n++
		}
		age := cold.at[i].Sub(cold.born).Seconds()
		N := 38 * (0.18 + 0.82*age/17) / 0.18
		limit := N + 2*math.Sqrt(N) + 2
		if d := float64(n) - limit; d > worst {
			worst, worstAt, worstN, worstLimit = d, age, n, limit
		}
	}
	record.Verdict("served %d refused %d failed %d lost %d; cold got %d; worst: at age %.2f s %d requests in 3 s, limit %.1f", served.Load(), refused.Load(), failed.Load(), lost.Load(), len(cold.at), worstAt, worstN, worstLimit)
	if worst > 0 {
		return 1, nil
	}
	return 0, nil
}
