// Command orderupgrade is the case on the order of a key across an upgrade: a new version is started beside the old
// process while writes are in progress. Without the disruption the old process goes on alone.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"review2/rig"
)

const (
	keys     = 3
	slow     = 1500 * time.Millisecond // what the node needs for the first write of a key
	second   = 800 * time.Millisecond  // from SIGTERM, or from the first writes, to the second ones
	deadline = 2500 * time.Millisecond
)

// node is a storage node that notes which writes of a key run at the same time.
type node struct {
	rig *rig.Rig

	mu      sync.Mutex
	running map[string]string // id of the write that runs, by key
	overlap []string
	stored  map[string]string // id of the write that ended last, by key
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id, key := r.Header.Get("X-Request-Id"), r.URL.Path
	n.mu.Lock()
	n.rig.Logf("node s-00000001: begins %s of %s; running: %q", id, key, n.running[key])
	if other := n.running[key]; other != "" {
		n.overlap = append(n.overlap, fmt.Sprintf("%s beside %s of %s", id, other, key))
	}
	n.running[key] = id
	n.mu.Unlock()
	if strings.HasPrefix(id, "f") {
		time.Sleep(slow)
	} else {
		time.Sleep(40 * time.Millisecond)
	}
	n.mu.Lock()
	if n.running[key] == id {
		n.running[key] = ""
	}
	n.stored[key] = id
	n.rig.Logf("node s-00000001: ends %s of %s", id, key)
	n.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func main() {
	r := rig.New()
	n := &node{rig: r, running: map[string]string{}, stored: map[string]string{}}
	l := r.Listen()
	go http.Serve(l, n)
	discovery := r.NewDiscovery(rig.NewHost("s-00000001", l.Addr().String(), 0))
	config := r.Config(r.FreeAddress(), discovery)
	settings := config["settings"].(map[string]any)
	settings["classes"].([]any)[1].(map[string]any)["inTurn"] = true
	settings["contract"].(map[string]any)["turnGapMs"] = 300
	config["console"] = r.FreeAddress()
	oldProcess := r.Start("old", config, "")
	r.WaitReady(oldProcess, "http://"+config["console"].(string)+"/control/ready")
	var clients []*rig.Client
	for i := range keys {
		clients = append(clients, r.NewClient(oldProcess.Listen, fmt.Sprintf("a%d", i)))
	}
	if r.Trouble {
		config["console"] = r.FreeAddress()
		newProcess := r.Start("new", config, "")
		r.WaitReady(newProcess, "http://"+config["console"].(string)+"/control/ready")
	}
	var requests sync.WaitGroup
	write := func(c *rig.Client, i int, id string) {
		requests.Go(func() {
			c.Do(rig.Request{Write: true, Volume: "00000003b4d60021", Data: fmt.Sprintf("%016x", 0x70+i), ID: id,
				Class: "entry-write", Key: "k" + id, Deadline: deadline, Body: []byte(id)})
		})
	}
	for i, c := range clients {
		write(c, i, fmt.Sprintf("f%015x", i))
	}
	time.Sleep(50 * time.Millisecond)
	if r.Trouble {
		oldProcess.Signal(syscall.SIGTERM)
	}
	time.Sleep(second)
	for i := range clients {
		write(r.NewClient(oldProcess.Listen, fmt.Sprintf("b%d", i)), i, fmt.Sprintf("2%015x", i))
	}
	requests.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	older := 0
	for _, id := range n.stored {
		if strings.HasPrefix(id, "f") {
			older++
		}
	}
	if len(n.overlap) > 0 {
		r.Finish(rig.Broken, "%d of %d keys had two writes at the node at once, and %d hold the older one at the end: %s",
			len(n.overlap), keys, older, strings.Join(n.overlap, "; "))
	}
	r.Finish(rig.Held, "the writes of each of %d keys ran one at a time", keys)
}
