package zonefailover

import (
	"cmp"
	"slices"
	"time"
)

// TrackerState is the state of a Tracker in the form that snapshots store.
type TrackerState struct {
	_        struct{} `cbor:",toarray"`
	Nodes    []NodeState
	Zones    []ZoneHealth `json:"Rooms"`
	Isolated bool         `json:"Cut"`
}

// NodeState is the state of a node in the form that snapshots store.
type NodeState struct {
	_             struct{}    `cbor:",toarray"`
	Observation   Observation `json:"Sight"`
	State         State
	Since         time.Duration
	TrialAt       time.Duration `json:"TryAt"`
	TrialInterval time.Duration `json:"TryStep"`
}

// Snapshot returns the state of the Tracker, with the nodes ordered by ID.
func (t *Tracker) Snapshot() TrackerState {
	state := TrackerState{Zones: slices.Clone(t.zones), Isolated: t.isolated}
	for _, n := range t.nodes {
		state.Nodes = append(state.Nodes, NodeState{
			Observation:   n.Observation,
			State:         n.state,
			Since:         n.since,
			TrialAt:       n.trialAt,
			TrialInterval: n.trialInterval,
		})
	}
	slices.SortFunc(state.Nodes, func(a, b NodeState) int { return cmp.Compare(a.Observation.ID, b.Observation.ID) })
	return state
}

// Resume continues from a stored state. It reports false and changes nothing if the state has another number of zones
// than the Tracker, or more than MaxNodes nodes.
func (t *Tracker) Resume(from TrackerState) bool {
	if len(from.Zones) != len(t.zones) || len(from.Nodes) > MaxNodes {
		return false
	}
	for _, n := range from.Nodes {
		t.nodes[n.Observation.ID] = &node{
			Observation:   n.Observation,
			state:         n.State,
			since:         n.Since,
			trialAt:       n.TrialAt,
			trialInterval: n.TrialInterval,
		}
	}
	copy(t.zones, from.Zones)
	t.isolated = from.Isolated
	return true
}
