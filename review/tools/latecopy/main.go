// Command latecopy is case 1: a storage node sends the answer to a request a second time, some milliseconds late, and
// the next client on the connection gets it.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"standin/stage"
)

const (
	shards      = 8
	playFor     = 10 * time.Second
	oneWay      = 2500 * time.Microsecond // between the gateway and the nodes; the site's page: 1.4 to 2.6 ms
	serviceTime = 30 * time.Millisecond   // of a request at a node; the site's page: 28 to 46 ms
	copyEvery   = 20                      // one answer of so many comes twice
	earliest    = 7 * time.Millisecond    // lateness of the second answer
	latest      = 9 * time.Millisecond
	volume      = "00000003b4d60021"
)

func main() { stage.Main(run) }

func run(root string, record *stage.Record, trouble bool) (int, error) {
	var nodes []stage.Node
	var standIns []*node
	for shard := range shards {
		n, err := newNode(shard, record, trouble)
		if err != nil {
			return 0, err
		}
		defer n.listener.Close()
		proxy, err := stage.NewDelay(n.listener.Addr().String(), oneWay)
		if err != nil {
			return 0, err
		}
		defer proxy.Close()
		standIns = append(standIns, n)
		nodes = append(nodes, stage.Node{
			Host: n.name, Dial: proxy.Address, Site: "room-b", Class: "full-speed", Block: shard, Health: "up", Share: 1,
		})
	}
	discovery, err := stage.NewDiscovery(nodes, record)
	if err != nil {
		return 0, err
	}
	defer discovery.Close()
	gateway, err := stage.NewGateway(root, "g0", stage.Config(stage.Zagreb(1), discovery, 192, 1024), record)
	if err != nil {
		return 0, err
	}
	defer gateway.Remove()
	if err := gateway.Start(); err != nil {
		return 0, err
	}
	clients := &clients{record: record, address: gateway.Address, until: time.Now().Add(playFor)}
	var all sync.WaitGroup
	for shard := range shards {
		all.Go(func() { clients.play(shard) })
	}
	all.Wait()
	var copies int64
	for _, n := range standIns {
		copies += n.copies.Load()
	}
	served, foreign := clients.served.Load(), clients.foreign.Load()
	record.Verdict("%d requests served, %d answered otherwise, %d answers sent twice by nodes; %d clients got the answer "+
		"to another request", served, clients.other.Load(), copies, foreign)
	switch {
	case foreign > 0:
		return stage.Broken, nil
	case served < 100 || trouble && copies == 0:
		return 0, fmt.Errorf("too little happened for a verdict")
	}
	return stage.Held, nil
}

// node is a storage node that holds one shard.
type node struct {
	name     string
	shard    int
	trouble  bool
	record   *stage.Record
	listener net.Listener
	answers  atomic.Int64
	copies   atomic.Int64
}

func newNode(shard int, record *stage.Record, trouble bool) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("s-%d", shard), shard: shard, trouble: trouble, record: record, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n, nil
}

// serve answers the requests of a connection one after the other.
func (n *node) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/health" || request.URL.Path == "/status/load" {
			io.WriteString(conn, answer(http.StatusOK, "{\"inflight\":1,\"queue\":0}"))
			continue
		}
		id := request.Header.Get("X-Request-Id")
		n.record.Printf("node %s runs %s %s %s", n.name, id, request.Method, request.URL.Path)
		time.Sleep(serviceTime)
		text := answer(http.StatusOK, content(request.URL.Path, id))
		io.WriteString(conn, text)
		if !n.trouble || n.answers.Add(1)%copyEvery != 0 {
			continue
		}
		late := earliest + rand.N(latest-earliest)
		conn.SetReadDeadline(time.Now().Add(late))
		_, err = reader.Peek(1)
		conn.SetReadDeadline(time.Time{})
		if err == nil {
			continue // the next request waits on the connection
		}
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			return
		}
		n.copies.Add(1)
		n.record.Printf("node %s sends the answer to %s a second time, %v late; nothing waits on the connection",
			n.name, id, late)
		io.WriteString(conn, text)
	}
}

func answer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// content is the body of the answer to a request.
func content(path, id string) string { return "object " + path + " for request " + id + "\n" }

// clients send requests, one at a time each, and check that each answer was made for its request.
type clients struct {
	record  *stage.Record
	address string
	until   time.Time
	served  atomic.Int64
	foreign atomic.Int64
	other   atomic.Int64
}

// play sends reads of one shard's data over a connection that it keeps.
func (c *clients) play(shard int) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; time.Now().Before(c.until); i++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", c.address); err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%08x%08x", shard+1, i)
		path := fmt.Sprintf("/api/%s/%08x%08x", volume, shard+1, i)
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: sheet-read\r\n"+
			"X-Qos-Policy: standard\r\nX-Deadline: 1500m\r\nX-Placement: units=2,shard=%d,hosts=1\r\n\r\n", path, id, shard)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		switch {
		case err != nil:
			c.other.Add(1)
			c.record.Printf("client: request %s: no answer: %v", id, err)
		case response.StatusCode != http.StatusOK:
			c.other.Add(1)
			c.record.Printf("client: request %s: %d", id, response.StatusCode)
		case !bytes.Equal(body, []byte(content(path, id))):
			c.foreign.Add(1)
			c.record.Printf("client: request %s for %s: 200 with FOREIGN body %q", id, path, body)
		default:
			c.served.Add(1)
			c.record.Printf("client: request %s: 200 with its own answer", id)
		}
		if err != nil || response.Close {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}
