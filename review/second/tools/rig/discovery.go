package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Host is a storage node in the list of discovery.
type Host struct {
	ID      string  `json:"host"`
	Address string  `json:"dial"`
	Zone    string  `json:"site"`
	Kind    string  `json:"class"`
	Shard   int     `json:"block"`
	Health  string  `json:"health"`
	Share   float64 `json:"share"`
	BornMs  int64   `json:"born_ms"`
}

// NewHost returns a storage node that is up for long.
func NewHost(id, address string, shard int) Host {
	return Host{ID: id, Address: address, Zone: "room-a", Kind: "full-speed", Shard: shard, Health: "up", Share: 1}
}

// Discovery is a stand-in for discovery: the whole list, and a watch with changes.
type Discovery struct {
	Address string

	mu      sync.Mutex
	changed *sync.Cond
	seq     int
	hosts   []Host
	log     []Host // every change, in order; change i has the version first+i
	first   int
}

// NewDiscovery starts a stand-in with a list.
func (r *Rig) NewDiscovery(hosts ...Host) *Discovery {
	l := r.Listen()
	d := &Discovery{Address: l.Addr().String(), seq: 41, first: 42, hosts: hosts}
	d.changed = sync.NewCond(&d.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serve)
	go http.Serve(l, mux)
	return d
}

// Update changes the entry of a storage node, or adds one.
func (d *Discovery) Update(host Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := false
	for i := range d.hosts {
		if d.hosts[i].ID == host.ID {
			d.hosts[i] = host
			found = true
		}
	}
	if !found {
		d.hosts = append(d.hosts, host)
	}
	d.seq++
	d.log = append(d.log, host)
	d.changed.Broadcast()
}

type list struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// List returns the whole list.
func (d *Discovery) List() any { return d.whole() }

func (d *Discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{Seq: d.seq, Whole: true, Hosts: append([]Host{}, d.hosts...)}
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	whole := d.whole()
	if r.URL.Query().Get("stream") != "1" {
		json.NewEncoder(w).Encode(whole)
		return
	}
	flush := http.NewResponseController(w).Flush
	json.NewEncoder(w).Encode(whole) // a line
	flush()
	seq := whole.Seq
	for quiet := time.Now(); r.Context().Err() == nil; time.Sleep(10 * time.Millisecond) {
		d.mu.Lock()
		change := list{Seq: d.seq, Hosts: append([]Host{}, d.log[seq+1-d.first:]...)}
		d.mu.Unlock()
		switch {
		case change.Seq > seq:
			seq = change.Seq
			json.NewEncoder(w).Encode(change)
		case time.Since(quiet) >= 2*time.Second:
			fmt.Fprintln(w)
		default:
			continue
		}
		quiet = time.Now()
		flush()
	}
}
