package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"reachpulley/scheduler"
)

// List is a version of the list of nodes, or what changed in it, as discovery writes it.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

var phases = map[string]scheduler.Phase{"up": scheduler.Up, "draining": scheduler.Draining, "removed": scheduler.Removed}

// ParseList reads a list and names what is wrong with it.
func ParseList(text []byte) (*List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, err
	}
	for i, h := range l.Hosts {
		if h.Host == "" {
			return nil, fmt.Errorf("hosts[%d].host is missing", i)
		}
		phase, ok := phases[h.Health]
		if !ok {
			return nil, fmt.Errorf("hosts[%d].health: unknown state %q", i, h.Health)
		}
		if _, _, err := net.SplitHostPort(h.Dial); err != nil && phase != scheduler.Removed {
			return nil, fmt.Errorf("hosts[%d].dial: %w", i, err)
		}
	}
	return &l, nil
}

// nodes turns a list into the core's terms. A node's start is converted to the core's clock here, once.
func (l *List) nodes(zones []string, startedAt func(unixMilli int64) time.Duration) []scheduler.Node {
	nodes := make([]scheduler.Node, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		nodes = append(nodes, scheduler.Node{
			ID: h.Host, Zone: slices.Index(zones, h.Site), Shard: h.Block, Phase: phases[h.Health],
			Size: h.Share, StartedAt: startedAt(h.BornMs),
		})
	}
	return nodes
}
