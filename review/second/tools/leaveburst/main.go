// Command leaveburst is the case on clients that leave in a burst over HTTP/2, while a write of the same connection is at
// its node. Without the disruption they wait for their answers. The classes are those of the second deployment.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"review2/rig"
)

const (
	nodes          = 8
	early          = 2  // exports that are given up one by one, before the burst
	burst          = 99 // exports that are given up at once; with the write, all 100 streams are open
	writeTime      = 2 * time.Second
	exportTime     = 400 * time.Millisecond
	writeDeadline  = 3 * time.Second
	exportDeadline = 6 * time.Second
)

const operator = "[h2c]\nenabled = true\nlisten = %q\n"

func main() {
	r := rig.New()
	var hosts []rig.Host
	for i := range nodes {
		l := r.Listen()
		id := fmt.Sprintf("s-%08x", i)
		hosts = append(hosts, rig.NewHost(id, l.Addr().String(), i))
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			io.Copy(io.Discard, q.Body)
			name := q.Header.Get("X-Request-Id")
			if q.Method == http.MethodPut {
				r.Logf("node %s: begins the write %s", id, name)
				time.Sleep(writeTime)
				r.Logf("node %s: has run the write %s", id, name)
			} else {
				time.Sleep(exportTime)
			}
			io.WriteString(w, name)
		}))
	}
	config := r.Config(r.FreeAddress(), r.NewDiscovery(hosts...))
	settings := config["settings"].(map[string]any)
	settings["classes"] = []any{
		map[string]any{"name": "export", "aimMs": 2000, "deadlineMs": 6000, "idempotency": "idempotent", "points": 1},
		map[string]any{"name": "new-order", "aimMs": 600, "deadlineMs": 3000, "idempotency": "at_most_once", "points": 2},
	}
	listen := r.FreeAddress()
	g := r.Start("n1", config, fmt.Sprintf(operator, listen))
	r.WaitReady(g, "http://"+g.Listen+"/ready")

	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols, MaxConnsPerHost: 1}}
	do := func(ctx context.Context, method, class, id string, shard int, deadline time.Duration) (int, error) {
		var body io.Reader
		if method == http.MethodPut {
			body = strings.NewReader("order")
		}
		url := fmt.Sprintf("http://%s/api/%016x/%s", listen, shard+1, id)
		q, err := http.NewRequestWithContext(ctx, method, url, body)
		r.Must(err)
		q.Header.Set("X-Request-Id", id)
		q.Header.Set("X-Class", class)
		q.Header.Set("X-Qos-Policy", "standard")
		q.Header.Set("X-Deadline", fmt.Sprintf("%dm", deadline.Milliseconds()))
		q.Header.Set("X-Placement", fmt.Sprintf("units=1,shard=%d,hosts=1", shard))
		response, err := client.Do(q)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	status, err := do(context.Background(), http.MethodGet, "export", fmt.Sprintf("%016x", 1), 0, exportDeadline)
	if err != nil || status != http.StatusOK {
		r.Cannot("the first export: %d, %v", status, err)
	}
	var exports sync.WaitGroup
	export := func(n int, stay time.Duration) {
		exports.Go(func() {
			ctx, cancel := context.Background(), context.CancelFunc(func() {})
			if r.Trouble {
				ctx, cancel = context.WithTimeout(ctx, stay)
			}
			defer cancel()
			status, err := do(ctx, http.MethodGet, "export", fmt.Sprintf("%016x", 0x100+n), n%nodes, exportDeadline)
			r.Logf("client: export %d: status %d, %v", n, status, err)
		})
	}
	var writeStatus int
	var writeErr error
	written := make(chan struct{})
	for n := range early {
		export(n, 100*time.Millisecond)
		time.Sleep(120 * time.Millisecond)
	}
	go func() {
		defer close(written)
		r.Logf("client: sends the write")
		writeStatus, writeErr = do(context.Background(), http.MethodPut, "new-order", "000000000000feed", 7, writeDeadline)
		r.Logf("client: the write: status %d, %v", writeStatus, writeErr)
	}()
	time.Sleep(100 * time.Millisecond)
	for n := range burst {
		export(early+n, 200*time.Millisecond)
	}
	exports.Wait()
	<-written
	time.Sleep(writeTime)
	if writeErr != nil {
		r.Finish(rig.Broken, "the node ran the write, and the gateway closed its connection without an answer: %v", writeErr)
	}
	r.Finish(rig.Held, "the write has the answer %d", writeStatus)
}
