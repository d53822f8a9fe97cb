// Command admissionwait is the case on HTTP/2 requests that wait in the gateway while half of the storage nodes hang.
// Without the disruption all nodes answer.
package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"review2/rig"
)

const (
	nodes          = 16 // the first half of them hangs
	exports        = 128
	reads          = 24
	exportDeadline = 6 * time.Second
	readDeadline   = 2 * time.Second
	// late is how long after its time an answer still counts: half a second, and 50 ms on sockets.
	late = 550 * time.Millisecond
)

// operator turns the frontend for HTTP/2 on and leaves everything else at its default.
const operator = "[h2c]\nenabled = true\nlisten = %q\n"

// settings are those of the second deployment: its classes, its plan premium and its figures of the rules.
func settings() map[string]any {
	s := rig.Settings()
	s["membershipMode"] = "push"
	class := func(name string, aim, deadline int, idempotency string, points float64) map[string]any {
		return map[string]any{"name": name, "aimMs": aim, "deadlineMs": deadline, "idempotency": idempotency,
			"points": points, "lateShare": 0.2}
	}
	s["classes"] = []any{class("read", 300, 2000, "idempotent", 2), class("new-order", 600, 3000, "at_most_once", 2),
		class("export", 2000, 6000, "idempotent", 1)}
	s["policies"] = []any{map[string]any{"name": "standard", "baseRate": 120, "guaranteed": 144, "price": 1.4, "proportion": 1}}
	info := s["familyInfo"].(map[string]any)
	info["changesData"] = []any{false, true, false}
	info["mostUnits"] = 6
	ceilings := s["ceilings"].(map[string]any)
	ceilings["maxAttempts"], ceilings["secondCopies"], ceilings["probes"] = 3, false, false
	return s
}

func main() {
	r := rig.New()
	stop := make(chan struct{})
	var hosts []rig.Host
	for i := range nodes {
		l := r.Listen()
		id := fmt.Sprintf("s-%08x", i)
		hosts = append(hosts, rig.NewHost(id, l.Addr().String(), i))
		hangs := r.Trouble && i < nodes/2
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			r.Logf("node %s: has %s, hangs: %v", id, q.Header.Get("X-Request-Id"), hangs)
			if hangs {
				<-stop
			}
			time.Sleep(40 * time.Millisecond)
			io.WriteString(w, q.Header.Get("X-Request-Id"))
		}))
	}
	config := r.Config(r.FreeAddress(), r.NewDiscovery(hosts...))
	config["settings"] = settings()
	listen := r.FreeAddress()
	g := r.Start("n1", config, fmt.Sprintf(operator, listen))
	r.WaitReady(g, "http://"+g.Listen+"/ready")

	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
	var mu sync.Mutex
	var lost, served, refused int
	var worst time.Duration
	var requests sync.WaitGroup
	get := func(class string, n, shard int, deadline time.Duration) {
		id := fmt.Sprintf("%08x%08x", shard, n)
		q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/api/%016x/%016x", listen, shard+1, n), nil)
		r.Must(err)
		q.Header.Set("X-Request-Id", id)
		q.Header.Set("X-Class", class)
		q.Header.Set("X-Qos-Policy", "standard")
		q.Header.Set("X-Deadline", fmt.Sprintf("%dm", deadline.Milliseconds()))
		q.Header.Set("X-Placement", fmt.Sprintf("units=1,shard=%d,hosts=1", shard))
		// The time counts from the last byte of the request: the client itself may hold a request back.
		written := make(chan time.Time, 8)
		connections := make(chan string, 8)
		trace := &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { connections <- info.Conn.LocalAddr().String() },
			WroteRequest: func(info httptrace.WroteRequestInfo) {
				if info.Err == nil {
					written <- time.Now()
				}
			},
		}
		wanted := time.Now()
		response, err := client.Do(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
		ended := time.Now()
		if len(written) != 1 || len(connections) != 1 {
			r.Cannot("request %s was written %d times: %v", id, len(written), err)
		}
		sent := <-written
		took := ended.Sub(sent)
		r.Logf("client: %s %s for shard %d was written %.4f s after it was wanted, on connection %s", class, id, shard,
			sent.Sub(wanted).Seconds(), <-connections)
		if err != nil {
			r.Logf("client: no answer to %s: %v", id, err)
		} else {
			response.Body.Close()
			r.Logf("client: the answer to %s %s is %d, after %.3f s of %.3f s", class, id, response.StatusCode, took.Seconds(),
				deadline.Seconds())
		}
		mu.Lock()
		defer mu.Unlock()
		worst = max(worst, took-deadline)
		switch {
		case err != nil || took > deadline+late:
			lost++
		case response.StatusCode == http.StatusOK:
			served++
		default:
			refused++
		}
	}
	for i := range exports {
		requests.Go(func() { get("export", i, i%(nodes/2), exportDeadline) })
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range reads {
		requests.Go(func() { get("read", exports+i, nodes/2+i%(nodes/2), readDeadline) })
		time.Sleep(5 * time.Millisecond)
	}
	requests.Wait()
	close(stop)
	text := fmt.Sprintf("%d of %d requests got their answer over %v after their time, the latest %.3f s after it; "+
		"served in time %d, refused or failed in time %d", lost, exports+reads, late, worst.Seconds(), served, refused)
	if lost > 0 {
		r.Finish(rig.Broken, "%s", text)
	}
	r.Finish(rig.Held, "%s", text)
}
