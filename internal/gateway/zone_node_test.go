package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"reachpulley/internal/scenariotest"
)

// What a zoneNode bears, as zoneSettings say.
const (
	timePerUnit       = 20 * time.Millisecond
	nodeWorkers       = 2
	unitsPerSecond    = 100 // of a warm node
	slowStartShare    = 0.18
	slowStartWindow   = 3 * time.Second
	slowStartDuration = 17 * time.Second
	slowStartMultiple = 4 // of what it can serve, that a node bears within a window
)

// zoneNode is a stand-in for a node: two workers, a slow start, and silence. Once silent it listens again only when
// it is restarted, so that connections hang meanwhile.
type zoneNode struct {
	name    string
	network *scenariotest.Network

	mu             sync.Mutex
	server         *http.Server
	startedAt      time.Time     // zero: long ago
	silent         chan struct{} // closed once the node is silent; what it has accepted is never answered
	workers        chan struct{}
	arrivals       []arrival
	newObjectUnits float64
	served         int
	maxLoad        float64 // while warming up, as a share of what the node bears
}

// arrival is a request that a node received.
type arrival struct {
	at    time.Time
	units float64
}

// warmth is the share of its full rate at which a node serves. It is called with mu held.
func (n *zoneNode) warmth() float64 {
	if n.startedAt.IsZero() || time.Since(n.startedAt) >= slowStartDuration {
		return 1
	}
	return slowStartShare + (1-slowStartShare)*time.Since(n.startedAt).Seconds()/slowStartDuration.Seconds()
}

// start has the node listen.
func (n *zoneNode) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = make(chan struct{})
	n.workers = make(chan struct{}, nodeWorkers)
	n.arrivals = nil
	n.server = &http.Server{Handler: n}
	server := n.server
	listener := n.network.Listen(n.name + ":1")
	go server.Serve(listener)
}

// fallSilent keeps the node's connections open and unanswered, and new ones from coming up.
func (n *zoneNode) fallSilent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.silent)
	n.network.Listen(n.name + ":1") // in place of the listener that accepts: nobody accepts from this one
}

// restart resets the connections of before and starts the node with a slow start.
func (n *zoneNode) restart() {
	n.mu.Lock()
	n.startedAt = time.Now()
	previous := n.server
	n.mu.Unlock()
	previous.Close()
	n.start()
}

// sampleLoad notes how much of what the node bears it received within the window, while it is warming up.
func (n *zoneNode) sampleLoad() {
	n.mu.Lock()
	defer n.mu.Unlock()
	warmth := n.warmth()
	if warmth == 1 {
		return
	}
	units := 0.0
	for _, a := range n.arrivals {
		if time.Since(a.at) < slowStartWindow {
			units += a.units
		}
	}
	n.maxLoad = max(n.maxLoad, units/(slowStartMultiple*warmth*unitsPerSecond*slowStartWindow.Seconds()))
}

// newObjects is the units of new objects that the node received.
func (n *zoneNode) newObjects() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newObjectUnits
}

// countFromNow forgets how many requests the node has served.
func (n *zoneNode) countFromNow() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.served = 0
}

// check checks, at the end, that the node was never overloaded while it was warming up, and that it serves.
func (n *zoneNode) check(t *testing.T) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.maxLoad > 1 {
		t.Errorf("%s got %.2f of what it bears while it was warming up", n.name, n.maxLoad)
	}
	if n.served < 10 {
		t.Errorf("%s serves %d requests at the end", n.name, n.served)
	}
}

func (n *zoneNode) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	silent, workers, warmth := n.silent, n.workers, n.warmth()
	units := n.receive(r.Header.Get("X-Placement"))
	n.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	hang := func() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-silent:
		hang()
	case workers <- struct{}{}:
	}
	time.Sleep(time.Duration(units * float64(timePerUnit) / warmth))
	<-workers
	select {
	case <-silent:
		hang()
	default:
		n.mu.Lock()
		n.served++
		n.mu.Unlock()
	}
}

// receive notes a request and returns its units. It is called with mu held.
func (n *zoneNode) receive(placement string) (units float64) {
	_, after, ok := strings.Cut(placement, "units=")
	if !ok {
		return 0
	}
	first, rest, _ := strings.Cut(after, ",")
	units, _ = strconv.ParseFloat(first, 64)
	if strings.HasPrefix(rest, "shard=-1") {
		n.newObjectUnits += units
	}
	n.arrivals = append(n.arrivals, arrival{time.Now(), units})
	return units
}
