package zonefailover

import (
	"time"
)

// State is the health of a node or a zone.
type State int

// The States of zones. Nodes have all of them but Degraded.
const (
	Available   State = iota // it takes work
	Degraded                 // it takes work, but a part of the zone is removed or unavailable
	Suspect                  // a node is silent, or half of a zone, but not enough to be unavailable
	Unavailable              // it has been silent for too long and gets trial requests only
	Recovering               // it responds again, but not yet for long enough to be available
)

var stateNames = [...]string{
	Available:   "available",
	Degraded:    "degraded",
	Suspect:     "suspect",
	Unavailable: "unavailable",
	Recovering:  "recovering",
}

// String returns the name that commands and logs show for the state.
func (s State) String() string { return stateNames[s] }

// Change reports that a zone or a node has gone from one state to another.
type Change struct {
	At          time.Duration
	Zone        int
	Node        string // empty if the zone itself has changed
	From, To    State
	SilentShare float64 // as in ZoneHealth; for zones only
	Isolated    bool    // all zones are silent at once, so this gateway itself is cut off; for zones only
}

// Tracker tracks the health of all zones and nodes as one gateway observes it.
type Tracker struct {
	nodes    map[string]*node
	zones    []ZoneHealth
	isolated bool
}

// MaxNodes is the largest number of nodes that a Tracker tracks. Further nodes count as available.
const MaxNodes = 1 << 16

// NewTracker makes a Tracker for a number of zones, all of them available.
func NewTracker(zones int) *Tracker {
	t := &Tracker{nodes: map[string]*node{}, zones: make([]ZoneHealth, max(zones, 1))}
	for i := range t.zones {
		t.zones[i].RecoveryTime = minRecoveryTime
	}
	return t
}

// Update takes the observations of all listed nodes and returns the changes that they cause, those of nodes first. It
// ignores nodes of unknown zones and forgets nodes that are no longer listed. Its number of passes over the nodes does
// not depend on the number of zones.
func (t *Tracker) Update(now time.Duration, observations []Observation) (changes []Change) {
	totals := make([]zoneTotals, len(t.zones))
	observed := 0
	for i := range observations {
		observation := &observations[i]
		if observation.Zone < 0 || observation.Zone >= len(t.zones) {
			continue
		}
		n := t.track(now, observation.ID)
		if n == nil {
			continue
		}
		observed++
		if change := n.observe(now, observation); change != nil {
			changes = append(changes, *change)
		}
		totals[observation.Zone].add(now, n)
	}
	if observed < len(t.nodes) {
		t.forgetUnlisted(observations)
	}
	t.isolated = allSilent(totals)
	for zone := range t.zones {
		if change := t.zones[zone].observe(now, zone, &totals[zone], t.isolated); change != nil {
			changes = append(changes, *change)
		}
	}
	return changes
}

// track returns the node with an ID, which is added if it is new. It returns nil if too many nodes are tracked.
func (t *Tracker) track(now time.Duration, id string) *node {
	if n := t.nodes[id]; n != nil {
		return n
	}
	if len(t.nodes) >= MaxNodes {
		return nil
	}
	n := &node{since: now}
	t.nodes[id] = n
	return n
}

// forgetUnlisted forgets the nodes for which there is no observation.
func (t *Tracker) forgetUnlisted(observations []Observation) {
	listed := make(map[string]bool, len(observations))
	for i := range observations {
		listed[observations[i].ID] = true
	}
	for id := range t.nodes {
		if !listed[id] {
			delete(t.nodes, id)
		}
	}
}

// Zone returns the health of a zone. An unknown zone counts as available.
func (t *Tracker) Zone(zone int) ZoneHealth {
	if zone < 0 || zone >= len(t.zones) {
		return ZoneHealth{State: Available}
	}
	return t.zones[zone]
}

// Zones returns the number of zones.
func (t *Tracker) Zones() int { return len(t.zones) }

// Isolated reports whether this gateway seems to be cut off from all zones.
func (t *Tracker) Isolated() bool { return t.isolated }

// Node returns the state of a node. An unknown node counts as available.
func (t *Tracker) Node(id string) State {
	if n := t.nodes[id]; n != nil {
		return n.state
	}
	return Available
}

// AllowRequest reports whether a request may go to a node. An unavailable node gets single trial requests, at intervals
// that double: without any requests, the gateway would not notice that the node responds again. AllowRequest counts the
// request that it allows.
func (t *Tracker) AllowRequest(now time.Duration, id string) bool {
	n := t.nodes[id]
	if n == nil || n.state != Unavailable {
		return true
	}
	return n.takeTrial(now)
}

// TrialOverdue reports whether the trial request of an unavailable node has been due for longer than maxTrialInterval,
// because there was no request that could be risked on the node.
func (t *Tracker) TrialOverdue(now time.Duration, id string) bool {
	n := t.nodes[id]
	return n != nil && n.state == Unavailable && now-n.trialAt > maxTrialInterval
}

// UntilTrial returns the time until the next trial request may go to an unavailable node, and 0 for other nodes. Before
// that time, a retry by a rejected client is of no use.
func (t *Tracker) UntilTrial(now time.Duration, id string) time.Duration {
	if n := t.nodes[id]; n != nil && n.state == Unavailable {
		return max(0, n.trialAt-now)
	}
	return 0
}
