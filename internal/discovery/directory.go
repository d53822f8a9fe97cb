package discovery

import (
	"sync"

	"reachpulley/scheduler"
)

// EndpointLookup tells where a node is.
type EndpointLookup interface {
	Lookup(node string) Endpoint
}

// Directory is the list of nodes as it was last told: where a node is and whether new work may go there. Discovery
// writes it before the core learns of a change, so that an attempt already handed to a back can still be
// stopped short of its first byte.
type Directory struct {
	mu    sync.RWMutex
	nodes map[string]Endpoint
}

// Endpoint is what the directory holds of a node.
type Endpoint struct {
	Address string
	Up      bool
}

// Lookup gives a node's place; a node that was never listed is not up.
func (d *Directory) Lookup(node string) Endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.nodes[node]
}

// update takes a list: one that is whole replaces what is held.
func (d *Directory) update(whole bool, hosts []host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if whole || d.nodes == nil {
		d.nodes = make(map[string]Endpoint, len(hosts))
	}
	for _, h := range hosts {
		if phases[h.Health] == scheduler.Removed { // ids are new all the time: what is gone must not pile up
			delete(d.nodes, h.Host)
			continue
		}
		d.nodes[h.Host] = Endpoint{Address: h.Dial, Up: phases[h.Health] == scheduler.Up}
	}
}
