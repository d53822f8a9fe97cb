package httpbackend

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"reachpulley/scheduler"
)

// What a node sends beyond a response must not be taken for the response to the next request, whenever it arrives.
func TestUnsolicitedDataIsNotAResponse(t *testing.T) {
	for _, test := range []struct{ name, script string }{
		{
			"second response at once",
			`n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\noneHTTP/1.1 200 OK\nContent-Length: 3\n\ntwo
			n expect end`,
		},
		{
			"noise at once",
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
	// The next request waits already when the second response arrives, some milliseconds late. From then on, every
	// connection to the node is used for one request.
	t.Run("second response before the next request", func(t *testing.T) {
		runScenario(t, `
			backend send n
			n expect GET /x
			n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\none
			backend send n
			wait 3ms
			n expect nothing
			n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\ntwo
			n expect end
			wait 2ms
			n expect GET /x
			n send raw HTTP/1.1 200 OK\nContent-Length: 3\n\nown
			n expect end`, nil, scheduler.Served, scheduler.Served)
	})
}

// When the sockets are used up, idle connections to other nodes are closed, and attempts wait for capacity in order. An
// attempt that gets no socket says nothing about its node.
func TestSocketBudget(t *testing.T) {
	// Both sockets are used for m: one was taken from n, which was idle. An attempt at n waits.
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
			"waits in vain",
			`wait 2ms`,
			[]scheduler.Result{scheduler.Served, scheduler.NotSent, scheduler.Canceled, scheduler.Canceled},
		},
		{
			"gets the socket of a connection that becomes idle",
			`m send 200 one
			m expect end
			n expect GET /x
			n send 200 two`,
			[]scheduler.Result{scheduler.Served, scheduler.Served, scheduler.Served, scheduler.Canceled},
		},
		{
			"leaves its place to the next when it stops waiting",
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

// Nodes come and go with ever new ids: the pool must retain nothing of those that are no longer used.
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
			t.Errorf("%d nodes, %d connections, %d waiters", len(p.idle), p.connections, len(p.waiters))
		}
	})
}
