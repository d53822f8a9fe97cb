package demo

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// heartbeatInterval is how often a watch without changes gets an empty line, which tells its client that discovery is
// alive.
const heartbeatInterval = 2 * time.Second

// endpointList is the list of nodes in a response of discovery.
type endpointList struct {
	Hosts []host `json:"hosts"`
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
}

// host is a node in an endpointList.
type host struct {
	ID      string  `json:"host"`
	Address string  `json:"dial"`
	Zone    string  `json:"site"`
	Shard   int     `json:"block"`
	Health  string  `json:"health"`
	Share   float64 `json:"share"`
}

// discoveryHandler returns a handler that serves the list of nodes, all of them in one zone.
func (n *Nodes) discoveryHandler(zone string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { n.serveEndpoints(w, r, zone) })
	return mux
}

// serveEndpoints writes the list of nodes. To a watch, it writes the list again after each change.
func (n *Nodes) serveEndpoints(w http.ResponseWriter, r *http.Request, zone string) {
	for {
		list, changed := n.endpoints(zone)
		json.NewEncoder(w).Encode(list)
		if r.FormValue("stream") == "" {
			return
		}
		if !awaitChange(w, r, changed) {
			return
		}
	}
}

// endpoints returns the list of nodes and a channel that is closed when it changes.
func (n *Nodes) endpoints(zone string) (endpointList, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts := make([]host, len(n.Addresses))
	for shard, address := range n.Addresses {
		health := "up"
		if n.draining[shard] {
			health = "draining"
		}
		hosts[shard] = host{
			ID:      "demo-" + strconv.Itoa(shard),
			Address: address,
			Zone:    zone,
			Shard:   shard,
			Health:  health,
			Share:   1,
		}
	}
	return endpointList{Hosts: hosts, Seq: n.seq, Whole: true}, n.changed
}

// awaitChange writes heartbeats to a watch until changed is closed or the request ends. It reports whether changed was
// closed.
func awaitChange(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) bool {
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
			return true
		case <-time.After(heartbeatInterval):
			fmt.Fprintln(w)
		}
	}
}
