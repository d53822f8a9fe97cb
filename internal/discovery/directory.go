package discovery

import (
	"sync"

	"reachpulley/scheduler"
)

// EndpointLookup finds where a node is.
type EndpointLookup interface {
	Lookup(node string) Endpoint
}

// Endpoint is what the [Directory] holds about a node.
type Endpoint struct {
	Address string
	Up      bool // new attempts may go there
}

// Directory holds the address of each node and whether new attempts may go there. The [Client] updates it before the
// event loop learns of a change, so that a backend can still stop an attempt before its first byte.
type Directory struct {
	mu    sync.RWMutex
	nodes map[string]Endpoint
}

// Lookup returns a node's endpoint. A node that is not listed is not up.
func (d *Directory) Lookup(node string) Endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.nodes[node]
}

// update applies a list. Nodes that were removed are deleted: node IDs are never reused, so the map would grow for
// ever.
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
