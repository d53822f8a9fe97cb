package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	zoneName          = "room-a"
	heartbeatInterval = 2 * time.Second // of a watch on discovery
	minServiceTime    = 28 * time.Millisecond
	maxServiceTime    = 46 * time.Millisecond
	nodeBodyLimit     = 64 << 10 // bytes
)

// NodeMode is how a storage node treats the requests that it gets.
type NodeMode int32

// The modes of a storage node.
const (
	Serving   NodeMode = iota // requests are served within maxServiceTime
	Hanging                   // requests are not answered until the mode changes
	Rejecting                 // requests are rejected unrun
)

// Node is a stand-in for a storage node. It holds one shard.
type Node struct {
	Name    string
	Shard   int
	Address string

	mode    atomic.Int32
	padding atomic.Int32 // bytes that each answer has beyond its usual content
	record  *Record
	server  *http.Server
}

// SetMode changes how the node treats requests from now on.
func (n *Node) SetMode(mode NodeMode) { n.mode.Store(int32(mode)) }

// SetPadding changes how many bytes each answer has beyond its usual content.
func (n *Node) SetPadding(bytes int) { n.padding.Store(int32(bytes)) }

// connStartKey is the context key of a connection's *connStart.
type connStartKey struct{}

// connStart holds when the first byte of the current request of a connection arrived.
type connStart struct{ at atomic.Pointer[time.Time] }

// startNode starts a storage node on a free port.
func startNode(shard int, record *Record) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{
		Name:    fmt.Sprintf("s-%08x", shard),
		Shard:   shard,
		Address: listener.Addr().String(),
		record:  record,
	}
	var starts sync.Map // *connStart by net.Conn
	n.server = &http.Server{
		Handler: http.HandlerFunc(n.serve),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			start := &connStart{}
			starts.Store(c, start)
			return context.WithValue(ctx, connStartKey{}, start)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateActive:
				if start, ok := starts.Load(c); ok {
					begunAt := timesOf(c).received
					start.(*connStart).at.Store(&begunAt)
				}
			case http.StateClosed, http.StateHijacked:
				starts.Delete(c)
			}
		},
	}
	go n.server.Serve(listener)
	return n, nil
}

// serve treats one request as the node's mode says.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.URL.Path == "/status/load" {
		io.WriteString(w, `{"rif":1,"q":0}`)
		return
	}
	begunAt := time.Now()
	if start, ok := r.Context().Value(connStartKey{}).(*connStart); ok {
		begunAt = *start.at.Load()
	}
	size, err := io.Copy(io.Discard, io.LimitReader(r.Body, nodeBodyLimit+1))
	attempt := Attempt{
		ID:       r.Header.Get("X-Request-Id"),
		Node:     n.Name,
		BegunAt:  begunAt,
		Deadline: r.Header.Get("X-Deadline"),
		Body:     int(size),
		Complete: err == nil,
	}
	mode := NodeMode(n.mode.Load())
	attempt.Ran = err == nil && mode != Rejecting
	n.record.addAttempt(attempt)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if mode == Rejecting {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !n.work(r.Context(), mode) {
		panic(http.ErrAbortHandler) // an attempt that was given up gets no answer
	}
	fmt.Fprintf(w, "%s %d", attempt.ID, size)
	w.Write(make([]byte, n.padding.Load()))
}

// work takes the time that a request needs, and reports whether it is to be answered.
func (n *Node) work(ctx context.Context, mode NodeMode) bool {
	wait := minServiceTime + rand.N(maxServiceTime-minServiceTime)
	if mode == Hanging {
		wait = time.Hour
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// endpoint is a node in discovery's list.
type endpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// endpointList is a message of discovery.
type endpointList struct {
	Seq   int        `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []endpoint `json:"hosts"`
}

// Discovery is a stand-in for discovery.
type Discovery struct {
	Address string

	mu          sync.Mutex
	list        endpointList
	changed     chan struct{} // closed at the next change
	notifiedSeq int           // version that was written last
	notifiedAt  time.Time     // when that was
	notified    chan struct{} // closed when a version is written
	server      *http.Server
}

// startDiscovery starts discovery on a free port, with all nodes up.
func startDiscovery(nodes []*Node) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Address:  listener.Addr().String(),
		list:     endpointList{Seq: 1, Whole: true},
		changed:  make(chan struct{}),
		notified: make(chan struct{}),
	}
	for _, n := range nodes {
		d.list.Hosts = append(d.list.Hosts, endpoint{
			Host:   n.Name,
			Dial:   n.Address,
			Site:   zoneName,
			Class:  "full-speed",
			Block:  n.Shard,
			Health: "up",
			Share:  1,
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.server = &http.Server{
		Handler:     http.HandlerFunc(d.serve),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	d.server.RegisterOnShutdown(cancel)
	go d.server.Serve(listener)
	return d, nil
}

// current returns the list and a channel that is closed when it changes.
func (d *Discovery) current() (endpointList, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.list
	list.Hosts = append([]endpoint(nil), d.list.Hosts...)
	return list, d.changed
}

// SetHealth changes the health of a node in the list.
func (d *Discovery) SetHealth(node *Node, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.list.Hosts {
		if d.list.Hosts[i].Host == node.Name {
			d.list.Hosts[i].Health = health
		}
	}
	d.list.Seq++
	close(d.changed)
	d.changed = make(chan struct{})
}

// maxNotifyTime is how long after a change the gateway counts as told of it, whether or not it was.
const maxNotifyTime = 6 * time.Second

// recordNotified records that a version of the list was written to the gateway.
func (d *Discovery) recordNotified(seq int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if seq <= d.notifiedSeq {
		return
	}
	d.notifiedSeq = seq
	d.notifiedAt = time.Now()
	close(d.notified)
	d.notified = make(chan struct{})
}

// awaitNotified waits until the gateway counts as told of the current version, and returns since when. It returns the
// current time if ctx ends before.
func (d *Discovery) awaitNotified(ctx context.Context) time.Time {
	d.mu.Lock()
	seq := d.list.Seq
	d.mu.Unlock()
	for countsAsTold := time.After(maxNotifyTime); ; {
		d.mu.Lock()
		done, at, next := d.notifiedSeq >= seq, d.notifiedAt, d.notified
		d.mu.Unlock()
		if done {
			return at
		}
		select {
		case <-next:
		case <-countsAsTold:
			return time.Now()
		case <-ctx.Done():
			return time.Now()
		}
	}
}

// serve answers a call for the list or a watch.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	for {
		list, changed := d.current()
		json.NewEncoder(w).Encode(list)
		w.(http.Flusher).Flush()
		d.recordNotified(list.Seq)
		if r.FormValue("stream") == "" {
			return
		}
		for waiting := true; waiting; {
			w.(http.Flusher).Flush()
			select {
			case <-changed:
				waiting = false
			case <-time.After(heartbeatInterval):
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
		}
	}
}
