package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"reachpulley/internal/config"
	"reachpulley/internal/zonefailover"
)

// A room that falls silent on real sockets: its connections stay open, and new ones come up, as the kernel takes them, and hear nothing. Nothing here is
// timed but by a bound on the whole.
func TestARoomFallsSilentOnSockets(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	var dark atomic.Bool
	var asked [2]atomic.Int64
	var list []string
	var nodes sync.WaitGroup
	for i, room := range []string{"a", "b"} {
		listener := listen()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked[i].Add(1)
			if i == 0 && dark.Load() {
				<-r.Context().Done() // until the gateway gives up
				panic(http.ErrAbortHandler)
			}
			io.WriteString(w, room)
		})}
		nodes.Go(func() { server.Serve(listener) })
		defer server.Close()
		list = append(list, fmt.Sprintf(`{"host":"%s","dial":"%s","site":"%s","block":%d,"health":"up","share":1,"born_ms":0}`, room, listener.Addr(), room, i))
	}
	front := listen()
	conf, err := config.Parse([]byte(`{"name":"g","listen":"`+front.Addr().String()+`","discovery":"127.0.0.1:1","seed":"1","known":{"seq":1,"whole":true,"hosts":[`+strings.Join(list, ",")+`]},"settings":`+
		strings.Replace(roomSettings, `"probes":true`, `"probes":false`, 1)+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	operator := config.DefaultOperator()
	operator.ZoneFailover.Settings = zonefailover.Settings{Tiers: []int{0, 1}, Spillover: 1000, Burst: 100, Siblings: 1}
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		ended <- Serve(stop, Options{Config: conf, Operator: operator, Listener: front, Log: slog.New(slog.DiscardHandler)})
	}()
	number := 0
	ask := func(shard int) (status int, room, after string) {
		number++
		method, class := "GET", "read"
		if shard < 0 {
			method, class = "PUT", "write"
		}
		r, _ := http.NewRequest(method, fmt.Sprintf("http://%s/api/%016x/%016x", front.Addr(), 1, number), nil)
		for name, value := range map[string]string{"X-Request-Id": fmt.Sprint(number), "X-Class": class, "X-Qos-Policy": "gold", "X-Deadline": "1000m", "Idempotency-Key": fmt.Sprint(number),
			"X-Placement": fmt.Sprintf("units=1,shard=%d,hosts=1", shard)} {
			r.Header.Set(name, value)
		}
		resp, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body), resp.Header.Get("Retry-After")
	}
	// until asks again and again, for so long that a slow machine does not matter.
	until := func(what string, good func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !good(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not within 30 s", what)
			}
		}
	}
	until("new objects stay at home", func() bool {
		status, room, _ := ask(-1)
		return status == http.StatusOK && room == "a"
	})
	dark.Store(true)
	until("what is bound to the dark is refused without being sent", func() bool {
		before := asked[0].Load()
		status, _, after := ask(0)
		return status == http.StatusServiceUnavailable && after != "" && asked[0].Load() == before
	})
	until("new objects spill", func() bool {
		status, room, _ := ask(-1)
		return status == http.StatusOK && room == "b"
	})
	dark.Store(false)
	until("the room serves again", func() bool {
		status, room, _ := ask(0)
		return status == http.StatusOK && room == "a"
	})
	until("new objects come home", func() bool {
		status, room, _ := ask(-1)
		return status == http.StatusOK && room == "a"
	})
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
