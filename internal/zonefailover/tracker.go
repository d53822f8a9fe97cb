package zonefailover

import (
	"time"
)

// State is the health of a node or a zone.
type State int

// The States of zones. Nodes have all of them but Degraded.
const (
	Available   State = iota // it takes work
	Degraded                 // it takes work, and a part of the zone is removed or unavailable
	Suspect                  // it is silent, not yet for long enough to be called unavailable
	Unavailable              // it has been silent for too long: it gets trial requests only
	Recovering               // it responds again, not yet for long enough to be called available
)

var stateNames = [...]string{
	Available:   "available",
	Degraded:    "degraded",
	Suspect:     "suspect",
	Unavailable: "unavailable",
	Recovering:  "recovering",
}

// String returns the name that commands and logs show.
func (s State) String() string { return stateNames[s] }

// Change is a change of the state of a zone or a node.
type Change struct {
	At          time.Duration
	Zone        int
	Node        string // empty: the zone itself
	From, To    State
	SilentShare float64 // as in ZoneHealth; of a zone only
	Isolated    bool    // all zones are silent at once, so it is this gateway that is cut off; of a zone only
}

// Tracker tracks the health of all zones and nodes, as one gateway observes it.
type Tracker struct {
	nodes    map[string]*node
	zones    []ZoneHealth
	isolated bool
}

// MaxNodes bounds the nodes that a Tracker tracks. Further ones count as available.
const MaxNodes = 1 << 16

// NewTracker makes a Tracker of so many zones, all of them available.
func NewTracker(zones int) *Tracker {
	t := &Tracker{nodes: map[string]*node{}, zones: make([]ZoneHealth, max(zones, 1))}
	for i := range t.zones {
		t.zones[i].RecoveryTime = minRecoveryTime
	}
	return t
}

// Update takes the observations of all listed nodes and returns the changes that they cause, those of nodes first. It
// forgets nodes that are no longer listed. It costs one pass over the nodes, whatever the number of zones.
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

// track returns the node of an ID, a new one if need be, or nil if too many nodes are tracked.
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

// forgetUnlisted forgets the nodes of which there is no observation.
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

// AllowTrial reports whether a request may go to a node. One that is unavailable gets one trial request at a time, at
// intervals that double, because without any request nobody would notice that it responds again. AllowTrial counts the
// request that it allows.
func (t *Tracker) AllowTrial(now time.Duration, id string) bool {
	n := t.nodes[id]
	if n == nil || n.state != Unavailable {
		return true
	}
	return n.takeTrial(now)
}

// TrialOverdue reports whether the trial request of an unavailable node is long overdue, because no request came that
// could be risked on it.
func (t *Tracker) TrialOverdue(now time.Duration, id string) bool {
	n := t.nodes[id]
	return n != nil && n.state == Unavailable && now-n.trialAt > maxTrialInterval
}

// UntilTrial returns the time until the next trial request of an unavailable node. A rejected client need not retry
// before.
func (t *Tracker) UntilTrial(now time.Duration, id string) time.Duration {
	if n := t.nodes[id]; n != nil && n.state == Unavailable {
		return max(0, n.trialAt-now)
	}
	return 0
}
