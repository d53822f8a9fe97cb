// Command coldupgrade is a probe: a cold storage node comes up while both processes of an upgrade serve. Without the
// disruption the old process is alone.
package main

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"review2/rig"
)

// Figures of the settings.
const (
	window    = 3 * time.Second  // overloadForMs
	warm      = 17 * time.Second // warmWithinMs
	coldFrom  = 0.18
	allowance = 76.0 // youngLimit, in units
	meanUnits = 2.0
	units     = 2
)

const (
	clients = 32
	length  = 5 * time.Second // from the start of the cold node; the pages allow 6 s from the yes to SIGTERM
)

// cold is the storage node that comes up.
type cold struct {
	mu sync.Mutex
	at []time.Duration // arrivals, from its start
	up time.Time
}

// worst returns the window with the largest excess over N + 2 root N + 2 (N under 30: N + 3 root N + 3).
func (n *cold) worst() (count int, limit float64, end time.Duration, excess float64) {
	excess = math.Inf(-1)
	for i, last := range n.at {
		inWindow := 0
		for _, at := range n.at[:i+1] {
			if at > last-window {
				inWindow++
			}
		}
		capacity := coldFrom + (1-coldFrom)*min(1, last.Seconds()/warm.Seconds()) // at the end of the window
		allowed := allowance / meanUnits * capacity / coldFrom
		bound := allowed + 2*math.Sqrt(allowed) + 2
		if allowed < 30 {
			bound = allowed + 3*math.Sqrt(allowed) + 3
		}
		if over := float64(inWindow) - bound; over > excess {
			count, limit, end, excess = inWindow, bound, last, over
		}
	}
	return count, limit, end, excess
}

func main() {
	r := rig.New()
	node := &cold{}
	serve := func(isCold bool) string {
		l := r.Listen()
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			io.Copy(io.Discard, q.Body)
			if isCold {
				node.mu.Lock()
				node.at = append(node.at, time.Since(node.up))
				r.Logf("node s-00000002: arrival %d, %.3f s after its start", len(node.at), node.at[len(node.at)-1].Seconds())
				node.mu.Unlock()
			}
			time.Sleep(40 * time.Millisecond)
			w.WriteHeader(http.StatusOK)
		}))
		return l.Addr().String()
	}
	discovery := r.NewDiscovery(rig.NewHost("s-00000001", serve(false), 0))
	config := r.Config(r.FreeAddress(), discovery)
	config["console"] = r.FreeAddress()
	oldProcess := r.Start("old", config, "")
	r.WaitReady(oldProcess, "http://"+config["console"].(string)+"/control/ready")
	if r.Trouble {
		config["console"] = r.FreeAddress()
		newProcess := r.Start("new", config, "")
		r.WaitReady(newProcess, "http://"+config["console"].(string)+"/control/ready")
	}
	time.Sleep(500 * time.Millisecond)
	host := rig.NewHost("s-00000002", serve(true), 1)
	node.up = time.Now()
	host.BornMs = node.up.UnixMilli()
	discovery.Update(host)
	time.Sleep(100 * time.Millisecond)
	var count atomic.Int64
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			c := r.NewClient(oldProcess.Listen, fmt.Sprintf("c%d", i))
			for time.Since(node.up) < length {
				n := count.Add(1)
				a, err := c.Do(rig.Request{Volume: fmt.Sprintf("%016x", i%6+1), Data: fmt.Sprintf("%016x", n),
					ID: fmt.Sprintf("%016x", n), Class: "sheet-read", Deadline: 1500 * time.Millisecond, Units: units, Shard: 1})
				if err != nil || a.Close {
					c.Close()
					c = r.NewClient(oldProcess.Listen, fmt.Sprintf("c%d", i))
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	running.Wait()
	node.mu.Lock()
	defer node.mu.Unlock()
	got, limit, end, excess := node.worst()
	text := fmt.Sprintf("the cold node got %d requests of mean work in the 3 s up to %.2f s after its start; allowed are %.1f",
		got, end.Seconds(), limit)
	if excess > 0 {
		r.Finish(rig.Broken, "%s", text)
	}
	r.Finish(rig.Held, "%s", text)
}
