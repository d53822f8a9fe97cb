package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"reachpulley/internal/config"
	"reachpulley/internal/zonefailover"
)

// socketZones is a gateway on real sockets in front of two zones with one node each. The node of zone a can be
// silenced. Its connections then stay open, new ones are established, as the kernel accepts them, and no request is
// answered.
type socketZones struct {
	t        *testing.T
	address  string
	silent   atomic.Bool
	received [2]atomic.Int64 // number of requests, by node
	sent     int             // number of requests sent by the test
	stop     context.CancelFunc
	ended    chan error
}

// startSocketZones starts the nodes and the gateway.
func startSocketZones(t *testing.T) *socketZones {
	z := &socketZones{t: t, ended: make(chan error)}
	var listed []string
	for shard, zone := range []string{"a", "b"} {
		listener := listenLoopback(t)
		server := &http.Server{Handler: z.node(shard, zone)}
		var serving sync.WaitGroup
		serving.Go(func() { server.Serve(listener) })
		t.Cleanup(func() {
			server.Close()
			serving.Wait()
		})
		listed = append(listed, listedNode(zone, listener.Addr().String(), zone, shard))
	}
	listener := listenLoopback(t)
	z.address = listener.Addr().String()
	settings := replaceSetting(t, zoneSettings, `"probes": true`, `"probes": false`)
	operator := config.DefaultOperator()
	operator.ZoneFailover.Settings = zonefailover.Settings{
		Tiers:     []int{0, 1},
		Spillover: 1000,
		Burst:     100,
		Siblings:  1,
	}
	options := Options{
		Config:   parseZoneConfig(t, z.address, "127.0.0.1:1", 1, settings, listed),
		Operator: operator,
		Listener: listener,
		Log:      slog.New(slog.DiscardHandler),
	}
	var stop context.Context
	stop, z.stop = context.WithCancel(context.Background())
	go func() { z.ended <- Serve(stop, options) }()
	return z
}

// listenLoopback listens on a free port of the loopback interface.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// node returns the handler of the node that serves a shard. The node answers with the name of its zone. While z.silent
// is set, the node of shard 0, which is that of zone a, does not answer.
func (z *socketZones) node(shard int, zone string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		z.received[shard].Add(1)
		if shard == 0 && z.silent.Load() {
			<-r.Context().Done() // until the gateway cancels the attempt
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, zone)
	})
}

// send sends a read from a shard or, for shard -1, a write of a new object. It returns the status, the zone that served
// the request, and Retry-After.
func (z *socketZones) send(shard int) (status int, zone, retryAfter string) {
	z.sent++
	class := "read"
	if shard < 0 {
		class = "write"
	}
	request, err := objectRequestTo(z.address, fmt.Sprint(z.sent), class, 1, z.sent, 1, shard)
	if err != nil {
		z.t.Fatal(err)
	}
	request.Header.Set("X-Deadline", "1000m")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		z.t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body), response.Header.Get("Retry-After")
}

// servedBy sends a request and reports whether the given zone served it.
func (z *socketZones) servedBy(zone string, shard int) bool {
	status, served, _ := z.send(shard)
	return status == http.StatusOK && served == zone
}

// rejectedUnsent sends a request for the silent node and reports whether it was rejected without being sent there.
func (z *socketZones) rejectedUnsent() bool {
	before := z.received[0].Load()
	status, _, retryAfter := z.send(0)
	return status == http.StatusServiceUnavailable && retryAfter != "" && z.received[0].Load() == before
}

// waitUntil checks a condition again and again until it holds. The limit is so long that a slow machine does not
// matter.
func (z *socketZones) waitUntil(what string, condition func() bool) {
	z.t.Helper()
	const limit = 30 * time.Second
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			z.t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

func (z *socketZones) close() {
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	z.stop()
	if err := <-z.ended; err != nil {
		z.t.Errorf("the gateway ended with an error: %v", err)
	}
}

// The first zone, on real sockets, falls silent and comes back. Meanwhile requests for its data must be rejected
// without being sent, and new objects must spill over to the second zone. Afterwards the first zone must serve both
// again. No step depends on timing, except that each has a long limit.
func TestZoneFallsSilentOnSockets(t *testing.T) {
	const newObject = -1
	z := startSocketZones(t)
	z.waitUntil("new objects stay in the first zone", func() bool { return z.servedBy("a", newObject) })
	z.silent.Store(true)
	z.waitUntil("requests for data on the silent node are rejected without being sent", z.rejectedUnsent)
	z.waitUntil("new objects spill over", func() bool { return z.servedBy("b", newObject) })
	z.silent.Store(false)
	z.waitUntil("the zone serves again", func() bool { return z.servedBy("a", 0) })
	z.waitUntil("new objects return to the first zone", func() bool { return z.servedBy("a", newObject) })
	z.close()
}
