// Command busyretry is the case on a WRITE that hangs at its node until its time is over: the nodes speak HTTP, the
// clients iSCSI. Without the disruption the node answers at once.
package main

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"review2/rig"
	"review2/wire"
)

const (
	keyWindow = 4 * time.Second // for which nodes drop a repeat with the same key
	hang      = 3 * time.Second // the deadline of the class is 2.5 s
)

// node is a storage node that drops repeats of a key within the window, as the pages say.
type node struct {
	rig *rig.Rig

	mu    sync.Mutex
	keys  map[string]time.Time
	runs  map[string]int // by the body of the write
	hangs map[string]bool
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	name := string(bytes.TrimRight(body, "\x00"))
	key := r.Header.Get("Idempotency-Key")
	n.mu.Lock()
	_, repeat := n.keys[key]
	repeat = repeat && time.Since(n.keys[key]) < keyWindow
	if !repeat {
		n.keys[key] = time.Now()
		n.runs[name]++
	}
	hangs := n.rig.Trouble && name == "record-3" && !n.hangs[name]
	n.hangs[name] = true
	n.rig.Logf("node s-00000001: PUT %s id %s key %s %q: dropped as a repeat: %v, hangs: %v", r.URL.Path,
		r.Header.Get("X-Request-Id"), key, name, repeat, hangs)
	n.mu.Unlock()
	if hangs {
		time.Sleep(hang)
		n.rig.Logf("node s-00000001: has run %q with key %s to its end", name, key)
	}
	w.WriteHeader(http.StatusOK)
}

func main() {
	r := rig.New()
	n := &node{rig: r, keys: map[string]time.Time{}, runs: map[string]int{}, hangs: map[string]bool{}}
	l := r.Listen()
	go http.Serve(l, n)
	discovery := r.NewDiscovery(rig.NewHost("s-00000001", l.Addr().String(), 0))
	listen := r.FreeAddress()
	config := r.Config(r.FreeAddress(), discovery)
	settings := config["settings"].(map[string]any)
	settings["classes"].([]any)[1].(map[string]any)["keyScope"] = "all"
	g := r.Start("n1", config, rig.Operator(listen, "http"))
	r.WaitReady(g, "http://"+g.Listen+"/ready")
	client := r.NewInitiator(listen, "scan")
	refused := 0
	for i := range 6 {
		block := make([]byte, rig.BlockSize)
		copy(block, "record-"+string(rune('0'+i)))
		for range 3 { // a client repeats a command that was answered BUSY or TASK SET FULL
			status, err := client.Write(uint32(100+i), block)
			if err != nil {
				r.Cannot("the session ended: %v", err)
			}
			if status != wire.Busy && status != wire.TaskSetFull {
				break
			}
			refused++
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, count := range n.runs {
		if count > 1 {
			r.Finish(rig.Broken, "the client was told BUSY, repeated %q, and the node ran it %d times", name, count)
		}
	}
	r.Finish(rig.Held, "the node ran each of %d WRITEs once; refusals: %d", len(n.runs), refused)
}
