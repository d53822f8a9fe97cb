// Command memory is the case on the memory limit: 300 requests a second whose bodies have 64 KiB and come at 64 kB a
// second. Without the disruption the bodies have 200 bytes.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review2/rig"
)

// Limits that the pages set.
const (
	memoryMB       = 32
	sockets        = 1024
	maxConnections = sockets / 3 // a third of the descriptors is held by clients for requests
	rate           = 300         // requests a second
	longBody       = 64 << 10    // bytes
	shortBody      = 200         // bytes
	bodyRate       = 64000       // bytes a second
	length         = 15 * time.Second
	nodes          = 10
	nodeTime       = 45 * time.Millisecond // what a storage node needs for a request
)

// client sends one request at a time over a connection that it keeps.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// run holds the counts of a run.
type run struct {
	rig     *rig.Rig
	gateway *rig.Gateway
	body    []byte

	idle        chan *client
	connections atomic.Int64

	sent, served, refused, failed, unanswered, left atomic.Int64

	largest atomic.Int64 // kB of anonymous memory
	killed  atomic.Bool
}

func main() {
	r := rig.New()
	var hosts []rig.Host
	for i := range nodes {
		l := r.Listen()
		hosts = append(hosts, rig.NewHost(fmt.Sprintf("s-%08x", i), l.Addr().String(), i))
		go http.Serve(l, http.HandlerFunc(serveNode))
	}
	config := r.Config(r.FreeAddress(), r.NewDiscovery(hosts...))
	config["limits"] = map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets}
	run := &run{rig: r, body: bytes.Repeat([]byte("s"), shortBody), idle: make(chan *client, maxConnections)}
	if r.Trouble {
		run.body = bytes.Repeat([]byte("l"), longBody)
	}
	run.gateway = r.Start("n1", config, "")
	r.WaitReady(run.gateway, "http://"+run.gateway.Listen+"/ready")
	go run.watchMemory()
	run.load()
	text := fmt.Sprintf("requests %d (%d kB each): served %d, refused %d, failed %d, without an answer %d, "+
		"not sent for want of a connection %d; largest memory %.1f MB, limit %d MB", run.sent.Load(), len(run.body)>>10,
		run.served.Load(), run.refused.Load(), run.failed.Load(), run.unanswered.Load(), run.left.Load(),
		float64(run.largest.Load())/1024, memoryMB)
	switch {
	case run.killed.Load():
		r.Finish(rig.Broken, "the gateway went over its memory limit and was killed; %s", text)
	case run.gateway.Ended():
		r.Finish(rig.Broken, "the gateway ended; %s", text)
	}
	r.Finish(rig.Held, "%s", text)
}

// serveNode is a sound storage node.
func serveNode(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	time.Sleep(nodeTime)
	w.Write([]byte(r.Header.Get("X-Request-Id")))
}

// watchMemory stands for the platform, which kills a gateway that goes over memory_mb. It counts only anonymous memory,
// without the pages of the program's file.
func (r *run) watchMemory() {
	for noted := int64(0); !r.gateway.Ended(); time.Sleep(10 * time.Millisecond) {
		kB := anonymousMemory(r.gateway.Pid())
		r.largest.Store(max(kB, r.largest.Load()))
		if kB >= noted+4096 {
			noted = kB
			r.rig.Logf("the gateway has %.1f MB of anonymous memory", float64(kB)/1024)
		}
		if kB > memoryMB*1024 {
			r.killed.Store(true)
			r.rig.Logf("%.1f MB are over the limit of %d MB", float64(kB)/1024, memoryMB)
			r.gateway.Signal(syscall.SIGKILL)
			return
		}
	}
}

// anonymousMemory returns the resident anonymous memory of a process in kB.
func anonymousMemory(pid int) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kB, _ := strconv.ParseInt(fields[1], 10, 64)
			return kB
		}
	}
	return 0
}

// load sends requests at the rate until the gateway has been killed or the time is over, and waits for their answers.
func (r *run) load() {
	var requests sync.WaitGroup
	tick := time.NewTicker(time.Second / rate)
	defer tick.Stop()
	for began := time.Now(); time.Since(began) < length && !r.killed.Load(); <-tick.C {
		c := r.takeClient()
		if c == nil {
			r.left.Add(1)
			continue
		}
		n := r.sent.Add(1)
		requests.Go(func() { r.request(c, n) })
	}
	requests.Wait()
}

// takeClient returns a client that is idle, or a new one; nil if there are as many as there may be.
func (r *run) takeClient() *client {
	select {
	case c := <-r.idle:
		return c
	default:
	}
	if r.connections.Add(1) > maxConnections {
		r.connections.Add(-1)
		return nil
	}
	conn, err := net.Dial("tcp", r.gateway.Listen)
	if err != nil {
		r.connections.Add(-1)
		return nil
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}
}

// request sends a request and counts its answer.
func (r *run) request(c *client, n int64) {
	status, reusable := r.exchange(c, n)
	switch {
	case status == http.StatusOK:
		r.served.Add(1)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.refused.Add(1)
	case status > 0:
		r.failed.Add(1)
	default:
		r.unanswered.Add(1)
	}
	if reusable {
		r.idle <- c
		return
	}
	c.conn.Close()
	r.connections.Add(-1)
}

// exchange sends a request in pieces of a twentieth of a second and reads its answer. The status is 0 if none came.
func (r *run) exchange(c *client, n int64) (status int, reusable bool) {
	id := fmt.Sprintf("%016x", n)
	c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	head := fmt.Sprintf("PUT /api/%016x/%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: entry-write\r\n"+
		"X-Qos-Policy: standard\r\nX-Deadline: 2500m\r\nIdempotency-Key: k%s\r\nX-Placement: units=2,shard=%d,hosts=1\r\n"+
		"Content-Length: %d\r\n\r\n", n%40+1, n, id, id, n%nodes, len(r.body))
	_, err := io.WriteString(c.conn, head)
	for rest := r.body; err == nil && len(rest) > 0; {
		piece := rest[:min(len(rest), bodyRate/20)]
		rest = rest[len(piece):]
		_, err = c.conn.Write(piece)
		if len(rest) > 0 {
			time.Sleep(time.Second / 20)
		}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.rig.Logf("request %s has no answer: %v", id, err)
		return 0, false
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false
	}
	if response.StatusCode == http.StatusOK && string(content) != id {
		r.rig.Logf("request %s has the answer %q", id, content)
	}
	return response.StatusCode, !response.Close
}
