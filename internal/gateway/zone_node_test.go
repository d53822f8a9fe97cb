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

// Speed of a zoneNode and the load that it tolerates, as zoneSettings describe them.
const (
	timePerUnit       = 20 * time.Millisecond // time in which one worker at full speed serves a unit
	nodeWorkers       = 2
	unitsPerSecond    = 100  // after the slow start: nodeWorkers / timePerUnit
	slowStartShare    = 0.18 // speed at the start, as a share of the full speed
	slowStartWindow   = 3 * time.Second
	slowStartDuration = 17 * time.Second
	slowStartMultiple = 4 // tolerated load within slowStartWindow, as a multiple of what the node can serve
)

// zoneNode is a stand-in for a node with two workers and a slow start. It can be silenced. Until it is restarted, it
// then neither responds nor accepts connections, and attempts to connect to it hang.
type zoneNode struct {
	name    string
	network *scenariotest.Network

	mu             sync.Mutex
	server         *http.Server
	startedAt      time.Time     // zero if the node was never restarted: it has its full speed
	silent         chan struct{} // closed once the node is silent; what it has accepted is never answered
	workers        chan struct{} // holds an element for each worker that is busy
	arrivals       []arrival
	newObjectUnits float64 // units of new objects that the node received
	served         int     // number of requests served since resetServed, or since the node was made
	maxLoad        float64 // maximum load in slow start, as a share of the tolerated load
}

// arrival is a request that a node received.
type arrival struct {
	at    time.Time
	units float64
}

// speed returns the current speed of the node, as a share of its full speed. It is called with mu held.
func (n *zoneNode) speed() float64 {
	if n.startedAt.IsZero() || time.Since(n.startedAt) >= slowStartDuration {
		return 1
	}
	return slowStartShare + (1-slowStartShare)*time.Since(n.startedAt).Seconds()/slowStartDuration.Seconds()
}

// start makes the node listen.
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

// fallSilent leaves the node's connections open without any response, and keeps new ones from being established.
func (n *zoneNode) fallSilent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.silent)
	n.network.Listen(n.name + ":1") // replaces the listener by one from which nobody accepts
}

// restart closes the connections from before and starts the node, with a slow start.
func (n *zoneNode) restart() {
	n.mu.Lock()
	n.startedAt = time.Now()
	previous := n.server
	n.mu.Unlock()
	previous.Close()
	n.start()
}

// sampleLoad updates maxLoad by the load within the last slowStartWindow, if the node is in slow start.
func (n *zoneNode) sampleLoad() {
	n.mu.Lock()
	defer n.mu.Unlock()
	speed := n.speed()
	if speed == 1 {
		return
	}
	units := 0.0
	for _, a := range n.arrivals {
		if time.Since(a.at) < slowStartWindow {
			units += a.units
		}
	}
	n.maxLoad = max(n.maxLoad, units/(slowStartMultiple*speed*unitsPerSecond*slowStartWindow.Seconds()))
}

// newObjects returns the units of new objects that the node received.
func (n *zoneNode) newObjects() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newObjectUnits
}

// resetServed resets the number of requests that the node has served.
func (n *zoneNode) resetServed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.served = 0
}

// check checks at the end of a test that the node was never overloaded in slow start, and that it has served at least
// ten requests since resetServed.
func (n *zoneNode) check(t *testing.T) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.maxLoad > 1 {
		t.Errorf("%s received %.2f times the load that it tolerates in slow start, want at most 1", n.name, n.maxLoad)
	}
	if n.served < 10 {
		t.Errorf("%s served %d requests at the end, want at least 10", n.name, n.served)
	}
}

func (n *zoneNode) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	silent, workers, speed := n.silent, n.workers, n.speed()
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
	time.Sleep(time.Duration(units * float64(timePerUnit) / speed))
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

// receive records a request and returns its units. It is called with mu held.
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
