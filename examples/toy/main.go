// Toy is a storage node and its discovery in one small program, to try reachpulley with. It keeps pieces of data
// in memory, serves one shard, and drains and comes back on SIGUSR1.
package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	nodeAddress      = "127.0.0.1:9001"
	discoveryAddress = "127.0.0.1:8500"
	heartbeat        = 2 * time.Second
	mostBody         = 64 << 10
)

type toy struct {
	mu       sync.Mutex
	pieces   map[string][]byte
	seq      int
	draining bool
	changed  chan struct{} // closed at the next change of the list
}

func main() {
	t := &toy{pieces: map[string][]byte{}, seq: 1, changed: make(chan struct{})}
	usr1 := make(chan os.Signal, 1)
	signal.Notify(usr1, syscall.SIGUSR1)
	go func() {
		for range usr1 {
			t.toggle()
		}
	}()
	node := http.NewServeMux()
	node.HandleFunc("GET /api/{volume}/{key}", t.read)
	node.HandleFunc("PUT /api/{volume}/{key}", t.write)
	node.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	discovery := http.NewServeMux()
	discovery.HandleFunc("GET /v1/endpoints", t.list)
	failed := make(chan error)
	go func() { failed <- http.ListenAndServe(nodeAddress, node) }()
	go func() { failed <- http.ListenAndServe(discoveryAddress, discovery) }()
	log.Printf("node on %s, discovery on %s", nodeAddress, discoveryAddress)
	log.Fatal(errors.Join(errors.New("toy"), <-failed))
}

func (t *toy) toggle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = !t.draining
	t.seq++
	close(t.changed)
	t.changed = make(chan struct{})
	log.Printf("draining: %v", t.draining)
}

func (t *toy) read(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	piece, ok := t.pieces[r.URL.Path]
	t.mu.Unlock()
	if !ok {
		http.Error(w, "no such piece", http.StatusInternalServerError)
		return
	}
	w.Write(piece)
}

func (t *toy) write(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBody))
	if err != nil {
		return
	}
	t.mu.Lock()
	t.pieces[r.URL.Path] = body
	t.mu.Unlock()
}

// list gives the list of nodes and, to a watch, what becomes of it.
func (t *toy) list(w http.ResponseWriter, r *http.Request) {
	for {
		t.mu.Lock()
		health, seq, changed := "up", t.seq, t.changed
		if t.draining {
			health = "draining"
		}
		t.mu.Unlock()
		fmt.Fprintf(w, `{"seq":%d,"whole":true,"hosts":[{"host":"toy","dial":"%s","site":"room-a","class":"toy",`+
			`"block":0,"health":"%s","share":1.0,"born_ms":0}]}`+"\n", seq, nodeAddress, health)
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
