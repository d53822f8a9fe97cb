package httpbackend

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/eventloop"
	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

func init() { flag.Set("rapid.seed", "1") }

const (
	// maxLateness bounds the lateness of a second response, which is "some milliseconds".
	maxLateness = 49 * time.Millisecond
	// maxOneWayDelay is several times the longest one between two zones of the known sites, 2.6 ms.
	maxOneWayDelay = 10 * time.Millisecond
)

// exchangePlan is what happens with one request, or one probe, of the test.
type exchangePlan struct {
	After       time.Duration // since the start of the one before
	Probe       bool
	ServiceTime time.Duration // at the node
	Copy        bool          // the node sends the response twice if it has received nothing further by then
	Lateness    time.Duration // of the second response
}

// Guards against a second response, some milliseconds late, being taken for the response to the next request or probe
// (docs/incidents/2026-12-04-late-second-response.md).
func TestLateSecondResponseIsNeverTheNextOne(t *testing.T) {
	plan := rapid.Custom(func(t *rapid.T) exchangePlan {
		return exchangePlan{
			After:       drawDuration(t, "after", 120*time.Millisecond),
			Probe:       rapid.IntRange(0, 4).Draw(t, "probe") == 0,
			ServiceTime: drawDuration(t, "service time", 60*time.Millisecond),
			Copy:        rapid.Bool().Draw(t, "copy"),
			Lateness:    drawDuration(t, "lateness", maxLateness),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		oneWay := drawDuration(rt, "one way", maxOneWayDelay)
		plans := rapid.SliceOfN(plan, 2, 30).Draw(rt, "exchanges")
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = playSecondResponses(oneWay, plans) })
		if len(faults) > 0 {
			rt.Fatalf("%q", faults)
		}
	})
}

// drawDuration draws a whole number of microseconds.
func drawDuration(t *rapid.T, label string, longest time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(longest/time.Microsecond)).Draw(t, label)) * time.Microsecond
}

// playSecondResponses sends the requests and probes of the plans to a node and returns what each of them got wrong.
func playSecondResponses(oneWay time.Duration, plans []exchangePlan) (faults []string) {
	network := scenariotest.Network{OneWayDelay: oneWay}
	listener := network.Listen("n:1")
	node := &duplicatingNode{plans: plans}
	go node.accept(listener)
	b := New(Options{
		Directory:      &directory{},
		Allowed:        scheduler.Allowed{ConnectTimeout: time.Second, IdleTimeout: time.Minute},
		MaxConnections: len(plans),
		Dial:           network.Dial,
		Log:            slog.New(slog.DiscardHandler),
	})
	var mu sync.Mutex
	var all sync.WaitGroup
	fault := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		faults = append(faults, fmt.Sprintf(format, args...))
	}
	loads := map[float64]bool{}
	for i, plan := range plans {
		time.Sleep(plan.After)
		all.Add(1)
		if plan.Probe {
			b.Probe("n", func(result scheduler.ProbeResult) {
				defer all.Done()
				if result.Load == nil {
					fault("probe %d: served %v without a load report", i, result.Served)
					return
				}
				mu.Lock()
				repeated := loads[result.Load.InFlight]
				loads[result.Load.InFlight] = true
				mu.Unlock()
				if repeated {
					fault("probe %d got the load report of another one", i)
				}
			})
			continue
		}
		path := fmt.Sprintf("/object/%d", i)
		request := &httpmsg.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Header: http.Header{}}
		b.Start(context.Background(), newAttempt("n", time.Minute, request), func(report eventloop.Report) {
			defer all.Done()
			reply, ok := report.Reply.(*httpmsg.Reply)
			if !ok || string(reply.Body) != path {
				fault("request %d: result %v, reply %+v", i, report.Result, report.Reply)
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second) // the last second responses arrive
	b.pool.close()
	listener.Close()
	time.Sleep(time.Second) // the network passes on the ends of the connections
	return faults
}

// duplicatingNode is a storage node that sends responses a second time, late, while it has received nothing further.
// The body of a response is the path of its request; load reports are numbered.
type duplicatingNode struct {
	plans []exchangePlan

	mu     sync.Mutex
	served int
}

func (n *duplicatingNode) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go n.serve(c)
	}
}

// serve handles the requests of a connection, one after the other, by the plans in the order of their arrival.
func (n *duplicatingNode) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n.mu.Lock()
		number := n.served
		n.served++
		n.mu.Unlock()
		plan := n.plans[number]
		time.Sleep(plan.ServiceTime)
		body := request.URL.Path
		if body == httpmsg.LoadPath {
			body = fmt.Sprintf(`{"inflight":%d}`, number)
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		io.WriteString(c, response)
		if plan.Copy && waitsSilently(c, reader, plan.Lateness) {
			io.WriteString(c, response)
		}
	}
}

// waitsSilently waits for a time and reports whether nothing was received in it.
func waitsSilently(c net.Conn, reader *bufio.Reader, wait time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(wait))
	defer c.SetReadDeadline(time.Time{})
	_, err := reader.Peek(1)
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
