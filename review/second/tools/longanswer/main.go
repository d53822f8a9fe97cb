// Command longanswer is the case on a long answer that its storage node gives in pieces over some seconds. Without the
// disruption the node gives it at once.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"review2/rig"
)

const (
	size     = 1 << 20 // bytes of the answer; the pages allow 32 MB
	pieces   = 60
	pause    = 50 * time.Millisecond // between two pieces
	deadline = 1500 * time.Millisecond
	requests = 3
)

func main() {
	r := rig.New()
	content := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	l := r.Listen()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Request-Id")
		began := time.Now()
		r.Logf("node s-00000001: begins the answer to %s", id)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		rest := content
		for len(rest) > 0 {
			n := min(len(rest), size/pieces+1)
			if _, err := w.Write(rest[:n]); err != nil {
				break
			}
			rest = rest[n:]
			if err := http.NewResponseController(w).Flush(); err != nil || q.Context().Err() != nil {
				break
			}
			if r.Trouble {
				time.Sleep(pause)
			}
		}
		r.Logf("node s-00000001: %d of %d bytes of the answer to %s given after %.3f s, cut off: %v", size-len(rest), size, id,
			time.Since(began).Seconds(), len(rest) > 0)
	}))
	discovery := r.NewDiscovery(rig.NewHost("s-00000001", l.Addr().String(), 0))
	g := r.Start("n1", r.Config(r.FreeAddress(), discovery), "")
	r.WaitReady(g, "http://"+g.Listen+"/ready")
	lost := 0
	for i := range requests {
		c := r.NewClient(g.Listen, "a")
		a, err := c.Do(rig.Request{Volume: "00000003b4d60021", Data: fmt.Sprintf("%016x", i), ID: fmt.Sprintf("%016x", i),
			Class: "sheet-read", Deadline: deadline})
		c.Close()
		if err != nil || a.Status != http.StatusOK || !bytes.Equal(a.Body, content) {
			lost++
		}
		time.Sleep(300 * time.Millisecond)
	}
	if lost > 0 {
		r.Finish(rig.Broken, "%d of %d answers of %d bytes were cut off while the storage node was still giving them", lost,
			requests, size)
	}
	r.Finish(rig.Held, "%d answers of %d bytes came whole", requests, size)
}
