// Package demo is a small deployment within one process, to try the gateway with: storage nodes that keep pieces of
// data in memory, and the discovery that lists them. It listens on loopback only.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 2 * time.Second
	mostBody  = 64 << 10
)

// Nodes are storage nodes, each with a shard of its own, and their discovery. It owns their listeners and gives them
// back in Close.
type Nodes struct {
	Discovery string   // address
	Dials     []string // addresses of the nodes, by shard

	mu       sync.Mutex
	pieces   map[string][]byte
	seq      int
	draining []bool
	changed  chan struct{} // closed at the next change of the list
	servers  []*http.Server
}

// StartNodes starts count nodes and discovery, which listens at an address of loopback.
func StartNodes(count int, discovery, zone string) (*Nodes, error) {
	n := &Nodes{pieces: map[string][]byte{}, seq: 1, draining: make([]bool, count), changed: make(chan struct{})}
	for shard := range count {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /api/", n.read) // old clients' paths, too
		mux.HandleFunc("PUT /api/", n.write)
		mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
		mux.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) { n.toggle(shard) })
		at, err := n.serve("127.0.0.1:0", mux)
		if err != nil {
			return nil, errors.Join(err, n.Close())
		}
		n.Dials = append(n.Dials, at)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { n.list(w, r, zone) })
	var err error
	if n.Discovery, err = n.serve(discovery, mux); err != nil {
		return nil, errors.Join(err, n.Close())
	}
	return n, nil
}

func (n *Nodes) serve(address string, h http.Handler) (at string, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	if host, ok := l.Addr().(*net.TCPAddr); !ok || !host.IP.IsLoopback() {
		return "", errors.Join(fmt.Errorf("%s is not on loopback", address), l.Close())
	}
	// A request ends with the server, watches too.
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return ctx }}
	server.RegisterOnShutdown(cancel)
	n.servers = append(n.servers, server)
	go server.Serve(l)
	return l.Addr().String(), nil
}

// Close ends nodes and discovery, and what is under way with them.
func (n *Nodes) Close() error {
	var errs []error
	for _, s := range n.servers {
		within, done := context.WithTimeout(context.Background(), time.Second)
		errs = append(errs, s.Shutdown(within), s.Close())
		done()
	}
	return errors.Join(errs...)
}

// toggle begins or ends a drain.
func (n *Nodes) toggle(shard int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining[shard] = !n.draining[shard]
	n.seq++
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Nodes) read(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	piece, ok := n.pieces[r.URL.Path]
	n.mu.Unlock()
	if !ok {
		http.Error(w, "no such piece", http.StatusInternalServerError)
		return
	}
	w.Write(piece)
}

func (n *Nodes) write(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBody))
	if err != nil {
		return
	}
	n.mu.Lock()
	n.pieces[r.URL.Path] = body
	n.mu.Unlock()
}

type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
}

// list gives the list of nodes and, to a watch, what becomes of it.
func (n *Nodes) list(w http.ResponseWriter, r *http.Request, zone string) {
	for {
		n.mu.Lock()
		seq, changed := n.seq, n.changed
		hosts := make([]host, len(n.Dials))
		for i, dial := range n.Dials {
			hosts[i] = host{Host: "demo-" + strconv.Itoa(i), Dial: dial, Site: zone, Block: i, Health: "up", Share: 1}
			if n.draining[i] {
				hosts[i].Health = "draining"
			}
		}
		n.mu.Unlock()
		json.NewEncoder(w).Encode(map[string]any{"seq": seq, "whole": true, "hosts": hosts})
		if r.FormValue("stream") == "" {
			return
		}
		for waiting := true; waiting; {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-changed:
				waiting = false
			case <-time.After(heartbeat):
				fmt.Fprintln(w)
			}
		}
	}
}
