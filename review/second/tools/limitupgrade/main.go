// Command limitupgrade is the case on the limit of a volume across an upgrade: a new version is started beside the old
// process while the volume asks for more than its limit. Without the disruption the old process goes on alone.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review2/rig"
)

// The plan basic of the settings in WIRE, and what the sockets add to the slack: what the limit allows in 150 ms.
const (
	fill      = 49.0 // units a second
	most      = 67.0 // units in the store at the start, and at most
	slack     = 8.0
	onSockets = 0.15 * fill
)

const (
	clients  = 24
	units    = 2
	pause    = 180 * time.Millisecond // of a client between an answer and its next request
	deadline = 1500 * time.Millisecond
	alone    = 3 * time.Second // the old process alone, before and, without the disruption, after
	overlap  = 3 * time.Second // from the new process's yes to SIGTERM; the pages allow 6 s
	after    = 2 * time.Second
	volume   = "00000003b4d60021"
)

// store is the limit's store of the volume, as the storage node sees it: one for all gateways.
type store struct {
	rig *rig.Rig

	mu      sync.Mutex
	seen    map[string]bool
	level   float64
	at      time.Time
	lowest  float64
	arrived int
	noted   time.Time
}

// take takes the units of a request at its first attempt.
func (s *store) take(id, placement string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[id] {
		return
	}
	s.seen[id] = true
	text, _, _ := strings.Cut(strings.TrimPrefix(placement, "units="), ",")
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.rig.Cannot("X-Placement is %q", placement)
	}
	now := time.Now()
	s.level = min(most, s.level+fill*now.Sub(s.at).Seconds()) - n
	s.at = now
	s.arrived++
	s.lowest = min(s.lowest, s.level)
	if now.Sub(s.noted) >= 250*time.Millisecond {
		s.noted = now
		s.rig.Logf("node s-00000001: %d requests of the volume so far; the store holds %.1f units", s.arrived, s.level)
	}
}

func main() {
	r := rig.New()
	s := &store{rig: r, seen: map[string]bool{}, level: most, at: time.Now()}
	l := r.Listen()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		s.take(q.Header.Get("X-Request-Id"), q.Header.Get("X-Placement"))
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	}))
	discovery := r.NewDiscovery(rig.NewHost("s-00000001", l.Addr().String(), 0))
	config := r.Config(r.FreeAddress(), discovery)
	config["settings"].(map[string]any)["policies"] = []any{map[string]any{"name": "basic", "baseRate": 4.9, "cap": fill,
		"guaranteed": 0, "limitSlack": slack, "mostAtOnce": most, "price": 0.8, "proportion": 1}}
	config["console"] = r.FreeAddress()
	oldProcess := r.Start("old", config, "")
	r.WaitReady(oldProcess, "http://"+config["console"].(string)+"/control/ready")

	var count, served, refused atomic.Int64
	var stop atomic.Bool
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			// Half of the clients keep their connections; the others open a new one for each request.
			var c *rig.Client
			for !stop.Load() {
				if c == nil {
					c = r.NewClient(oldProcess.Listen, fmt.Sprintf("c%d", i))
				}
				n := count.Add(1)
				a, err := c.Do(rig.Request{Volume: volume, Data: fmt.Sprintf("%016x", n), ID: fmt.Sprintf("%016x", n),
					Class: "sheet-read", Plan: "basic", Deadline: deadline, Units: units})
				if err == nil && a.Status == http.StatusOK {
					served.Add(1)
				} else {
					refused.Add(1)
				}
				if err != nil || a.Close || i%2 == 1 {
					c.Close()
					c = nil
				}
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(alone)
	if r.Trouble {
		config["console"] = r.FreeAddress()
		newProcess := r.Start("new", config, "")
		r.WaitReady(newProcess, "http://"+config["console"].(string)+"/control/ready")
		time.Sleep(overlap)
		oldProcess.Signal(syscall.SIGTERM)
	} else {
		time.Sleep(overlap)
	}
	time.Sleep(after)
	stop.Store(true)
	running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("the store of the volume fell to %.1f units; the limit allows %.1f; sent %d, served %d", s.lowest,
		-slack-onSockets, count.Load(), served.Load())
	if s.lowest < -slack-onSockets {
		r.Finish(rig.Broken, "%s", text)
	}
	r.Finish(rig.Held, "%s", text)
}
