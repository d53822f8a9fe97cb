package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"reachpulley/scheduler"
)

// List is a version of the list of nodes, or a change to the previous version, as discovery sends it.
type List struct {
	Seq   int64  `json:"seq"`   // the version
	Whole bool   `json:"whole"` // true: all nodes; false: only those that changed
	Hosts []host `json:"hosts"`
}

// host is a node in a List.
type host struct {
	ID          string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	Shard       int     `json:"block"`
	Health      string  `json:"health"`  // a key of phases
	Share       float64 `json:"share"`   // capacity relative to a usual node; 0 counts as 1
	StartedAtMs int64   `json:"born_ms"` // Unix time; 0: long ago
}

// healthDraining is the health of a host that finishes its work and takes nothing new.
const healthDraining = "draining"

// phases maps the values of a host's health to the scheduler's phases.
var phases = map[string]scheduler.Phase{
	"up":           scheduler.Up,
	healthDraining: scheduler.Draining,
	"removed":      scheduler.Removed,
}

// ParseList parses a list in JSON and checks it. If the check fails, the error names the JSON field and, unless the
// node has no ID, the node.
func ParseList(text []byte) (*List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	for i, host := range list.Hosts {
		if host.ID == "" {
			return nil, fmt.Errorf("hosts[%d].host: is missing", i)
		}
		phase, ok := phases[host.Health]
		if !ok {
			return nil, fmt.Errorf("hosts[%d].health: unknown state %q of node %q", i, host.Health, host.ID)
		}
		if _, _, err := net.SplitHostPort(host.Address); err != nil && phase != scheduler.Removed {
			return nil, fmt.Errorf("hosts[%d].dial: node %q: %w", i, host.ID, err)
		}
	}
	return &list, nil
}

// nodes converts a list to the scheduler's nodes. This is the only place where a node's start time is converted to the
// event loop's clock.
func (l *List) nodes(zones []string, clockTime func(unixMilli int64) time.Duration) []scheduler.Node {
	nodes := make([]scheduler.Node, 0, len(l.Hosts))
	for _, host := range l.Hosts {
		nodes = append(nodes, scheduler.Node{
			ID:        host.ID,
			Zone:      slices.Index(zones, host.Zone),
			Shard:     host.Shard,
			Phase:     phases[host.Health],
			Size:      host.Share,
			StartedAt: clockTime(host.StartedAtMs),
		})
	}
	return nodes
}
