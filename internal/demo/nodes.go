package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxBodyBytes    = 64 << 10
	shutdownTimeout = time.Second
)

// Nodes is a set of storage nodes, each with a shard of its own, and their discovery. All nodes hold the same objects.
// Nodes owns the listeners and servers, and ends them in Close.
type Nodes struct {
	Discovery string   // address of discovery
	Addresses []string // addresses of the nodes, by shard

	mu       sync.Mutex
	objects  map[string][]byte // by path
	seq      int               // version of the list of nodes
	draining []bool            // by shard
	changed  chan struct{}     // closed at the next change of the list
	servers  []*http.Server
}

// StartNodes starts count nodes on free ports, and their discovery, which listens at the given loopback address and
// lists the nodes in a zone.
func StartNodes(count int, discovery, zone string) (*Nodes, error) {
	n := &Nodes{
		objects:  map[string][]byte{},
		seq:      1,
		draining: make([]bool, count),
		changed:  make(chan struct{}),
	}
	for shard := range count {
		address, err := n.serve("127.0.0.1:0", n.nodeHandler(shard))
		if err != nil {
			return nil, errors.Join(err, n.Close())
		}
		n.Addresses = append(n.Addresses, address)
	}
	var err error
	n.Discovery, err = n.serve(discovery, n.discoveryHandler(zone))
	if err != nil {
		return nil, errors.Join(err, n.Close())
	}
	return n, nil
}

// nodeHandler returns the handler of a node. It serves the objects, also under the paths of old clients, and the path
// that begins and ends the drain of the node.
func (n *Nodes) nodeHandler(shard int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/", n.read)
	mux.HandleFunc("PUT /api/", n.write)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) { n.toggleDrain(shard) })
	return mux
}

// serve starts a server on loopback and returns the address at which it listens.
func (n *Nodes) serve(address string, handler http.Handler) (listening string, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	if tcp, ok := listener.Addr().(*net.TCPAddr); !ok || !tcp.IP.IsLoopback() {
		return "", errors.Join(fmt.Errorf("listen address %q: not a loopback address", address), listener.Close())
	}
	// Shutdown cancels the requests, so that it does not wait for watches, which otherwise never end.
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:     handler,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	server.RegisterOnShutdown(cancel)
	n.servers = append(n.servers, server)
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// Close ends nodes and discovery, and the requests that are in flight there.
func (n *Nodes) Close() error {
	var errs []error
	for _, server := range n.servers {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		errs = append(errs, server.Shutdown(ctx), server.Close())
		cancel()
	}
	return errors.Join(errs...)
}

// toggleDrain begins the drain of a node, or ends it if the node is draining.
func (n *Nodes) toggleDrain(shard int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining[shard] = !n.draining[shard]
	n.seq++
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Nodes) read(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	object, ok := n.objects[r.URL.Path]
	n.mu.Unlock()
	if !ok {
		http.Error(w, "no such piece", http.StatusInternalServerError)
		return
	}
	w.Write(object)
}

func (n *Nodes) write(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	n.mu.Lock()
	n.objects[r.URL.Path] = body
	n.mu.Unlock()
}
