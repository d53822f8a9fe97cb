package httpbackend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/internal/eventloop"
	"reachpulley/scheduler"
)

// Data that a node sends after a response must never be taken for the response to the next request, however late it
// arrives.
func TestUnsolicitedDataIsNotAResponse(t *testing.T) {
	for _, test := range []struct{ name, script string }{
		{
			"second response at once",
			`n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\noneHTTP/1.1 200 OK\nContent-Length: 3\n\ntwo
			n expect end`,
		},
		{
			"other data at once",
			`n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\none%&/
			n expect end`,
		},
		{
			"second response later",
			`n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\none
			wait 1s
			n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\ntwo
			n expect end
			within 1s`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			script := "backend send n\nn expect GET /x\n" + test.script +
				"\nbackend send n\nn expect GET /x\nn send 200 own"
			runScenario(t, script, nil, scheduler.Served, scheduler.Served)
		})
	}
	// A second response arrives late, within the reuse delay. The next request is out over a connection of its own.
	// From then on, each connection to the node is used for only one request.
	t.Run("second response during the reuse delay", func(t *testing.T) {
		runScenario(t, `
			backend send n
			n expect GET /x
			n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\none
			wait 49ms
			n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\ntwo
			n expect end
			backend send n
			n expect GET /x
			n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\nown
			n expect end`, nil, scheduler.Served, scheduler.Served)
	})
}

// A request that comes within the reuse delay is not held back: it gets a new connection at once. Once the delay is
// over, the connections are used again.
func TestRequestWithinReuseDelayGetsNewConnection(t *testing.T) {
	dials := 0
	dial := func(context.Context, string, string) (net.Conn, error) {
		dials++
		near, far := net.Pipe()
		go answerAll(far)
		return near, nil
	}
	synctest.Test(t, func(t *testing.T) {
		timeouts := scheduler.Allowed{ConnectTimeout: time.Second, IdleTimeout: time.Minute}
		b := newTestBackend(&directory{}, dial, timeouts)
		send := func() {
			t.Helper()
			began := time.Now()
			reported := make(chan eventloop.Report, 1)
			b.Start(t.Context(), newAttempt("n", time.Second, getRequest()), func(r eventloop.Report) { reported <- r })
			if report := <-reported; report.Result != scheduler.Served || time.Since(began) > 0 {
				t.Errorf("result %v after %v, want %v at once", report.Result, time.Since(began), scheduler.Served)
			}
		}
		send()
		send()
		time.Sleep(reuseDelay)
		send()
		send()
		if dials != 2 {
			t.Errorf("%d connections were opened, want 2", dials)
		}
		b.pool.close()
	})
}

// answerAll answers each request on a connection at once, until the connection ends.
func answerAll(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// When the socket budget is used up, idle connections to other nodes are closed, and attempts wait for capacity in
// order. An attempt that gets no connection ends as NotSent, which does not count against its node.
func TestSocketBudget(t *testing.T) {
	// Both connections are in use for m: for the second one, the idle connection to n was closed. An attempt at n
	// waits.
	const bothInUse = `
		backend send n
		n expect GET /x
		n send 200 one
		backend send m
		m expect GET /x
		backend send m
		n expect end
		m expect GET /x
		backend send n
		wait 249ms
		n expect nothing
		`
	for _, test := range []struct {
		name   string
		script string
		want   []scheduler.Result
	}{
		{
			"waits until the connect timeout",
			`wait 2ms`,
			[]scheduler.Result{scheduler.Served, scheduler.NotSent, scheduler.Canceled, scheduler.Canceled},
		},
		{
			"gets the place of a connection that becomes idle",
			`m send 200 one
			m expect end
			n expect GET /x
			n send 200 two`,
			[]scheduler.Result{scheduler.Served, scheduler.Served, scheduler.Served, scheduler.Canceled},
		},
		{
			"stops waiting, and the next attempt gets the place",
			`backend send n
			wait 2ms
			n expect nothing
			m send 200 one
			m expect end
			n expect GET /x`,
			[]scheduler.Result{
				scheduler.Served, scheduler.NotSent, scheduler.Served, scheduler.Canceled, scheduler.Canceled,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			runScenario(t, bothInUse+test.script, nil, test.want...)
		})
	}
}

// Nodes come and go, always with new IDs: the pool must keep nothing of those that are no longer used.
func TestPoolReleasesUnusedNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go io.Copy(io.Discard, far)
			return near, nil
		}
		p := newPool(poolOptions{
			dial:           dial,
			connectTimeout: time.Second,
			idleTimeout:    time.Second,
			maxConnections: 9,
		})
		for i := range 100 {
			c, err := p.get(t.Context(), fmt.Sprint(i), "n:1")
			if err != nil {
				t.Fatal(err)
			}
			p.put(c)
		}
		time.Sleep(time.Second)
		p.sweep()
		if len(p.idle) != 0 || p.connections != 0 || len(p.waiters) != 0 {
			t.Errorf("pool holds %d nodes, %d connections and %d waiters, want none",
				len(p.idle), p.connections, len(p.waiters))
		}
	})
}
