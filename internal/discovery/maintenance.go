package discovery

import (
	"errors"
	"time"

	"reachpulley/scheduler"
)

// maxKnownNodes bounds the number of node IDs that are remembered. Nodes that are not listed any more are forgotten
// first.
const maxKnownNodes = 1 << 14

// ErrUnknownNode means that a node was never listed.
var ErrUnknownNode = errors.New("node was never listed")

// maintenance holds the nodes that operators have taken offline, apart from what discovery says of them. The Client
// guards it with its lock.
type maintenance struct {
	listed  map[string]host // the current list
	known   map[string]bool // IDs that are listed or were
	offline map[string]bool
}

func newMaintenance() *maintenance {
	return &maintenance{listed: map[string]host{}, known: map[string]bool{}, offline: map[string]bool{}}
}

// update takes over a list and returns the list that holds under the maintenance: nodes that are offline are draining.
func (m *maintenance) update(list *List) *List {
	if list.Whole {
		clear(m.listed)
	}
	effective := *list
	effective.Hosts = make([]host, 0, len(list.Hosts))
	for _, entry := range list.Hosts {
		if phases[entry.Health] == scheduler.Removed {
			delete(m.listed, entry.ID)
		} else {
			m.listed[entry.ID] = entry
		}
		m.known[entry.ID] = true
		effective.Hosts = append(effective.Hosts, m.entry(entry))
	}
	if len(m.known) > maxKnownNodes {
		m.forgetUnlisted()
	}
	return &effective
}

// entry returns the entry of a node that holds under the maintenance.
func (m *maintenance) entry(entry host) host {
	if m.offline[entry.ID] && phases[entry.Health] == scheduler.Up {
		entry.Health = healthDraining
	}
	return entry
}

// forgetUnlisted forgets the nodes that are neither listed nor offline.
func (m *maintenance) forgetUnlisted() {
	for id := range m.known {
		if _, listed := m.listed[id]; !listed && !m.offline[id] {
			delete(m.known, id)
		}
	}
}

// TakeOffline excludes a node from new work until TakeOnline, whatever discovery says. It may be repeated.
func (c *Client) TakeOffline(node string) error { return c.setOffline(node, true) }

// TakeOnline ends the exclusion of a node, which counts as just started: it was in maintenance.
func (c *Client) TakeOnline(node string) error { return c.setOffline(node, false) }

func (c *Client) setOffline(node string, offline bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.maintenance
	switch {
	case !m.known[node]:
		return ErrUnknownNode
	case m.offline[node] == offline:
		return nil
	case offline:
		m.offline[node] = true
	default:
		delete(m.offline, node)
	}
	c.applyMaintenance(node)
	return nil
}

// SetOffline makes exactly these nodes offline, known or not: the state of another process of the same gateway.
func (c *Client) SetOffline(nodes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.maintenance
	next := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		next[node] = true
		m.known[node] = true
	}
	previous := m.offline
	m.offline = next
	for node := range previous {
		if !next[node] {
			c.applyMaintenance(node)
		}
	}
	for node := range next {
		if !previous[node] {
			c.applyMaintenance(node)
		}
	}
}

// Offline returns the nodes that are offline.
func (c *Client) Offline() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := make([]string, 0, len(c.maintenance.offline))
	for node := range c.maintenance.offline {
		nodes = append(nodes, node)
	}
	return nodes
}

// applyMaintenance reports the changed state of a node. The caller holds mu.
func (c *Client) applyMaintenance(node string) {
	entry, listed := c.maintenance.listed[node]
	if !listed {
		return // it is reported once it is listed
	}
	if !c.maintenance.offline[node] {
		entry.StartedAtMs = max(entry.StartedAtMs, time.Now().UnixMilli())
		c.maintenance.listed[node] = entry
	}
	change := &List{Hosts: []host{c.maintenance.entry(entry)}}
	c.directory.update(change)
	c.notify(scheduler.Membership{Kind: scheduler.DeltaList, Nodes: change.nodes(c.zones, c.clockTime)})
}

// HasList reports whether any list of nodes is known.
func (c *Client) HasList() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasList
}
