package discovery

import (
	"sync"

	"reachpulley/scheduler"
)

// EndpointLookup returns a node's address and whether the node accepts new attempts.
type EndpointLookup interface {
	Lookup(node string) Endpoint
}

// Endpoint is a node's entry in the [Directory].
type Endpoint struct {
	Address string // host and port
	Up      bool   // new attempts may be sent to the node
}

// Directory holds the address of each node and whether new attempts may be sent to it. The [Client] updates it before
// it reports a change to the event loop, so that a backend can still stop an attempt before sending its first byte.
type Directory struct {
	mu    sync.RWMutex
	nodes map[string]Endpoint
}

// Lookup returns a node's endpoint, or the zero Endpoint if the node is not listed.
func (d *Directory) Lookup(node string) Endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.nodes[node]
}

// update applies a list. It deletes the nodes that were removed: node IDs are never reused, so the map would otherwise
// grow without bound.
func (d *Directory) update(list *List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list.Whole || d.nodes == nil {
		d.nodes = make(map[string]Endpoint, len(list.Hosts))
	}
	for _, host := range list.Hosts {
		phase := phases[host.Health]
		if phase == scheduler.Removed {
			delete(d.nodes, host.ID)
			continue
		}
		d.nodes[host.ID] = Endpoint{Address: host.Address, Up: phase == scheduler.Up}
	}
}
