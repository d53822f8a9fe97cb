// Command slowreaders is a case: clients take seconds to read long answers, and the gateway's memory grows over its
// limit, at which the platform kills it.
package main

import (
	"bufio"
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
	memoryMB    = 192     // limits.memory_mb, the most on scored days
	longLength  = 4000000 // bytes of a long answer; the page: up to 32 MB
	readers     = 100     // clients that ask for one long answer each
	arrivals    = 40 * time.Millisecond
	readFor     = 4 * time.Second // time that a slow client takes to read its answer
	playFor     = 8 * time.Second
	serviceTime = 30 * time.Millisecond
	volume      = "00000003b4d60021"
)

func main() { stage.Main(run) }

func run(root string, record *stage.Record, trouble bool) (int, error) {
	var nodes []stage.Node
	for shard := range 4 {
		address, closeNode, err := startNode(shard, record)
		if err != nil {
			return 0, err
		}
		defer closeNode()
		nodes = append(nodes, stage.Node{
			Host: fmt.Sprintf("s-%d", shard), Dial: address, Site: "room-a", Class: "full-speed", Block: shard, Health: "up",
			Share: 1,
		})
	}
	discovery, err := stage.NewDiscovery(nodes, record)
	if err != nil {
		return 0, err
	}
	defer discovery.Close()
	gateway, err := stage.NewGateway(root, "g0", stage.Config(stage.Zagreb(1), discovery, memoryMB, 1024), record)
	if err != nil {
		return 0, err
	}
	defer gateway.Remove()
	if err := gateway.Start(); err != nil {
		return 0, err
	}
	over := make(chan int64, 1)
	go watchMemory(gateway, record, over)

	c := &clients{record: record, address: gateway.Address, until: time.Now().Add(playFor)}
	var all sync.WaitGroup
	for shard := range 4 {
		all.Go(func() { c.playShort(shard) })
	}
	for i := range readers {
		time.Sleep(arrivals)
		pause := time.Duration(0)
		if trouble {
			pause = readFor
		}
		all.Go(func() { c.readLong(i, pause) })
	}
	all.Wait()
	_, peak := gateway.Memory()
	record.Verdict("short requests: %d served, %d refused or failed, %d without an answer; long ones: %d served, %d refused "+
		"or failed, %d without a whole answer", c.served.Load(), c.refused.Load(), c.lost.Load(), c.longServed.Load(),
		c.longRefused.Load(), c.longLost.Load())
	select {
	case now := <-over:
		record.Verdict("the gateway held %d MiB, its limit is %d MiB: it was killed", now>>20, memoryMB)
		return stage.Broken, nil
	default:
	}
	record.Verdict("the gateway held %d MiB at the peak, its limit is %d MiB", peak>>20, memoryMB)
	if c.longServed.Load() < readers/2 {
		return 0, fmt.Errorf("too few long answers for a verdict")
	}
	return stage.Held, nil
}

// watchMemory is the platform: over its limit the gateway is killed.
func watchMemory(gateway *stage.Gateway, record *stage.Record, over chan<- int64) {
	logged := int64(0)
	for !gateway.Ended() {
		now, _ := gateway.Memory()
		if now > logged+16<<20 {
			logged = now
			record.Printf("platform: the gateway holds %d MiB", now>>20)
		}
		if now > memoryMB<<20 {
			over <- now
			record.Printf("platform: the gateway holds %d MiB, over its limit of %d MiB", now>>20, memoryMB)
			gateway.Signal(syscall.SIGKILL)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// startNode starts a storage node that holds one shard.
func startNode(shard int, record *stage.Record) (address string, closeNode func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	long := strings.Repeat("x", longLength)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/api/") {
			io.WriteString(w, "{\"inflight\":1,\"queue\":0}")
			return
		}
		io.Copy(io.Discard, r.Body)
		body := "short\n"
		if strings.Contains(r.URL.Path, "/f") {
			body = long
		}
		record.Printf("node s-%d runs %s, %d bytes", shard, r.Header.Get("X-Request-Id"), len(body))
		time.Sleep(serviceTime)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		io.WriteString(w, body)
	})}
	go server.Serve(l)
	return l.Addr().String(), func() { server.Close() }, nil
}

// clients count how their requests end.
type clients struct {
	record  *stage.Record
	address string
	until   time.Time

	served, refused, lost             atomic.Int64
	longServed, longRefused, longLost atomic.Int64
}

func (c *clients) send(conn net.Conn, id, key string, shard int) error {
	_, err := fmt.Fprintf(conn, "GET /api/%s/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: sheet-read\r\n"+
		"X-Qos-Policy: standard\r\nX-Deadline: 1500m\r\nX-Placement: units=2,shard=%d,hosts=1\r\n\r\n", volume, key, id, shard)
	return err
}

// playShort sends reads of small objects, one at a time.
func (c *clients) playShort(shard int) {
	for i := 0; time.Now().Before(c.until); i++ {
		id := fmt.Sprintf("%08x%08x", shard+1, i)
		status, _, err := c.ask(id, fmt.Sprintf("%016x", i), shard, 0)
		switch {
		case err != nil:
			c.lost.Add(1)
			c.record.Printf("client: request %s: no answer: %v", id, err)
			if strings.Contains(err.Error(), "refused") {
				return
			}
		case status == http.StatusOK:
			c.served.Add(1)
		default:
			c.refused.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// readLong asks for one long object and takes the given time to read its answer.
func (c *clients) readLong(i int, readFor time.Duration) {
	id := fmt.Sprintf("f%015x", i)
	status, length, err := c.ask(id, id, i%4, readFor)
	c.record.Printf("client: long request %s: status %d, %d bytes, %v", id, status, length, err)
	switch {
	case err != nil || status == http.StatusOK && length != longLength:
		c.longLost.Add(1)
	case status == http.StatusOK:
		c.longServed.Add(1)
	default:
		c.longRefused.Add(1)
	}
}

// segment is the longest TCP segment that clients receive, as over Ethernet, in bytes.
const segment = 1448

// receiveBuffer is the receive buffer of a client's socket, in bytes.
const receiveBuffer = 64 << 10

// pieceLength is how many bytes a slow client reads at once.
const pieceLength = 40000

// ask sends a request on a new connection and reads its answer. A long answer takes it the time readFor.
func (c *clients) ask(id, key string, shard int, readFor time.Duration) (status, length int, err error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		})
	}}
	conn, err := dialer.Dial("tcp", c.address)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	if err := c.send(conn, id, key, shard); err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	piece := make([]byte, pieceLength)
	began := time.Now()
	for {
		n, err := response.Body.Read(piece)
		length += n
		if err == io.EOF {
			return response.StatusCode, length, nil
		}
		if err != nil {
			return response.StatusCode, length, err
		}
		time.Sleep(time.Until(began.Add(readFor * time.Duration(length) / longLength)))
	}
}
