// Command h2drain is a case: a gateway is restarted as planned while a client on HTTP/2 reads its answers slowly, and
// the answers that the gateway has not got rid of by its end are lost.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"standin/stage"
)

const (
	exports     = 14    // large reads on the connection
	orders      = 6     // writes on the same connection, at most once each
	length      = 60000 // bytes of the answer to a large read; a body holds 64 KiB at most
	bytesPerS   = 300e3 // what the client's link carries
	serviceTime = 100 * time.Millisecond
	volume      = "00000003b4d60021"
)

func main() { stage.Main(run) }

func run(root string, record *stage.Record, trouble bool) (int, error) {
	n, err := startNode(record)
	if err != nil {
		return 0, err
	}
	defer n.server.Close()
	discovery, err := stage.NewDiscovery([]stage.Node{{
		Host: "s-0", Dial: n.address, Site: "hall-a", Class: "small-2c", Health: "up", Share: 1,
	}}, record)
	if err != nil {
		return 0, err
	}
	defer discovery.Close()
	gateway, err := stage.NewGateway(root, "g0", stage.Config(stage.Taoyuan(1), discovery, 192, 1024), record)
	if err != nil {
		return 0, err
	}
	defer gateway.Remove()
	h2, err := stage.FreeAddress()
	if err != nil {
		return 0, err
	}
	gateway.Operator = fmt.Sprintf("[log]\nlevel = \"info\"\n\n[h2c]\nenabled = true\nlisten = %q\n", h2)
	if err := gateway.Start(); err != nil {
		return 0, err
	}

	c := newClient(h2, record)
	if status, _, err := c.get("/ready", nil); err != nil || status != http.StatusOK {
		return 0, fmt.Errorf("HTTP/2: GET /ready: status %d, %w", status, err)
	}
	var all sync.WaitGroup
	for i := range exports + orders {
		all.Go(func() { c.request(i) })
		time.Sleep(time.Millisecond)
	}
	for deadline := time.Now().Add(2 * time.Second); n.runs.Load() < exports+orders; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return 0, fmt.Errorf("only %d requests reached the node", n.runs.Load())
		}
	}
	if trouble {
		gateway.Signal(syscall.SIGTERM)
	}
	all.Wait()
	if trouble {
		for deadline := time.Now().Add(3700 * time.Millisecond); !gateway.Ended() && time.Now().Before(deadline); {
			time.Sleep(10 * time.Millisecond)
		}
		record.Printf("gateway g0 has ended: %v", gateway.Ended())
	}
	record.Verdict("%d requests taken and run by the node: %d answered whole, %d refused or failed, %d lost (%d of them "+
		"writes)", exports+orders, c.served.Load(), c.failed.Load(), c.lost.Load(), c.lostWrites.Load())
	if c.lost.Load() > 0 {
		return stage.Broken, nil
	}
	return stage.Held, nil
}

// node is a storage node.
type node struct {
	address string
	server  *http.Server
	runs    atomic.Int64
}

func startNode(record *stage.Record) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{address: l.Addr().String()}
	n.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		record.Printf("node s-0 runs %s %s", id, r.Method)
		n.runs.Add(1)
		time.Sleep(serviceTime)
		body := "stored " + id
		if r.Method == http.MethodGet {
			body = strings.Repeat("x", length)
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		io.WriteString(w, body)
	})}
	go n.server.Serve(l)
	return n, nil
}

// client speaks HTTP/2 without TLS over one connection, whose link is slow.
type client struct {
	record  *stage.Record
	http    *http.Client
	address string

	served, failed, lost, lostWrites atomic.Int64
}

func newClient(address string, record *stage.Record) *client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	c := &client{record: record, address: address}
	c.http = &http.Client{Transport: &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			record.Printf("client: connection to %s: %v", address, err)
			return &slowConn{Conn: conn}, err
		},
	}}
	return c
}

// slowConn is a connection over a slow link: what it carries is read at bytesPerS.
type slowConn struct{ net.Conn }

// Read reads a small piece and takes the time that the link needs for it.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 4096)])
	time.Sleep(time.Duration(float64(n) / bytesPerS * float64(time.Second)))
	return n, err
}

func (c *client) get(path string, header map[string]string) (status, length int, err error) {
	return c.send(http.MethodGet, path, header, nil)
}

func (c *client) send(method, path string, header map[string]string, body io.Reader) (status, length int, err error) {
	request, err := http.NewRequest(method, "http://"+c.address+path, body)
	if err != nil {
		return 0, 0, err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	return response.StatusCode, int(n), err
}

// request sends one request and waits for its answer.
func (c *client) request(i int) {
	id := fmt.Sprintf("%016x", i+1)
	header := map[string]string{"X-Request-Id": id, "X-Qos-Policy": "standard", "X-Placement": "units=2,shard=0,hosts=1"}
	method, body := http.MethodGet, io.Reader(nil)
	if i < exports {
		header["X-Class"], header["X-Deadline"] = "export", "6000m"
	} else {
		method, body = http.MethodPut, strings.NewReader("an order")
		header["X-Class"], header["X-Deadline"] = "new-order", "3000m"
	}
	began := time.Now()
	status, n, err := c.send(method, "/api/"+volume+"/"+id, header, body)
	c.record.Printf("client: %s %s after %.3f s: status %d, %d bytes, %v", method, id, time.Since(began).Seconds(), status, n,
		err)
	switch {
	case err != nil:
		c.lost.Add(1)
		if method == http.MethodPut {
			c.lostWrites.Add(1)
		}
	case status == http.StatusOK:
		c.served.Add(1)
	default:
		c.failed.Add(1)
	}
}
