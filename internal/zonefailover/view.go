// Package zonefailover decides what is believed of rooms of storage nodes and how much may go where: which room seems dark, which comes back, which rooms new
// work prefers, and how much of it may spill into another one. It has no clock, no lock and does no I/O; its caller passes the time.
//
// What a gateway sees of a room is what it sees of its way there. A cut on that way and a dark room look alike, and so they are handled alike: this
// gateway sends nothing where nothing answers. What can be told is whether only one node is silent, most of a room, or all rooms at once: then it is
// the gateway that is cut off, and no room is called dark.
package zonefailover

import (
	"cmp"
	"slices"
	"time"
)

// State is what is believed of a node or a room.
type State int

// The States. A room is thin where a part of it is gone or dark.
const (
	Available State = iota
	Degraded
	Suspect
	Unavailable
	Recovering
)

var stateNames = [...]string{"here", "thin", "suspected", "dark", "returning"}

func (s State) String() string { return stateNames[s] }

// Observation is what a gateway sees of a node now.
type Observation struct {
	ID            string
	Zone          int           `json:"Room"`
	Size          float64       // share of what a usual node can do; 0 counts as 1
	Removed       bool          `json:"Gone"`    // it is listed as removed or draining: nobody expects an answer of it
	UnansweredFor time.Duration `json:"Waiting"` // for how long its oldest attempt has been out; 0: none is
	UsualLatency  time.Duration `json:"Usual"`   // that an answer takes there, as far as is known
	LastResponse  time.Duration `json:"Heard"`   // when anything came from it last, an answer or a refused connection; 0: never
}

// Tuned values, all ours.
const (
	silentTimes  = 4                      // usual times after which an attempt without an answer tells of silence
	silentLeast  = 120 * time.Millisecond // and this time at least: nodes stand still for as long now and then
	silentMost   = 400 * time.Millisecond // and at most
	suspectShare = 0.5                    // of a room's nodes with attempts out, by size, that are silent
	darkShare    = 0.8                    // and for it to be dark
	darkAfter    = 250 * time.Millisecond // for which it must be so
	darkOld      = 2 * time.Second        // of being dark, after which a node tells nothing more of its room while others answer
	thinShare    = 0.2                    // of a room's nodes, by size, that are gone or dark, which make it thin
	backShare    = 0.5                    // of a dark room's nodes that must be heard before it counts as back in whole
	calmFirst    = time.Second            // for which a room that returns must be heard without a break
	calmMost     = 64 * time.Second       // it doubles with each time the room goes dark again
	calmForget   = 5 * time.Minute        // of being here, after which earlier flaps count no more
	tryFirst     = 100 * time.Millisecond // between two requests that try whether a dark node answers
	tryMost      = 3200 * time.Millisecond
)

// node is what is held of a node.
type node struct {
	Observation
	state   State
	since   time.Duration
	tryAt   time.Duration // when the next request may try it
	tryStep time.Duration
}

// Zone is what is believed of a room, and why.
type ZoneHealth struct {
	State           State
	Since           time.Duration
	Flaps           int           // times it went dark again lately
	RecoveryTime    time.Duration `json:"Calm"`   // for which it must be heard before it counts as here
	RespondingShare float64       `json:"Heard"`  // share of its nodes, by size, that answer
	SilentShare     float64       `json:"Silent"` // share of those asked that don't
	RemovedShare    float64       `json:"Gone"`   // share that is listed as gone
	Nodes           int

	SilentSince time.Duration // since when it is silent enough to be dark; 0: it is not
}

// Change tells that a room, or a node in it, is believed to be something else.
type Change struct {
	At          time.Duration
	Zone        int
	Node        string // empty: the room
	From, To    State
	SilentShare float64
	Isolated    bool // all rooms are silent at once: it is this gateway that is cut off
}

// Tracker is what one gateway believes of all rooms.
type Tracker struct {
	nodes map[string]*node
	rooms []ZoneHealth
	cut   bool
}

// MaxNodes bounds the nodes of which a View holds anything. What is beyond it is taken to be here.
const MaxNodes = 1 << 16

// NewTracker makes a View of so many rooms, all of them here.
func NewTracker(rooms int) *Tracker {
	v := &Tracker{nodes: map[string]*node{}, rooms: make([]ZoneHealth, max(rooms, 1))}
	for i := range v.rooms {
		v.rooms[i].RecoveryTime = calmFirst
	}
	return v
}

// Update takes what is seen of all listed nodes and gives what changes by it. What is not among them any more is forgotten. It costs one pass over the nodes, whatever
// the number of rooms.
func (v *Tracker) Update(now time.Duration, all []Observation) (changes []Change) {
	tallies := make([]tally, len(v.rooms))
	seen := 0
	for i := range all {
		s := &all[i]
		if s.Zone < 0 || s.Zone >= len(v.rooms) {
			continue
		}
		n := v.nodes[s.ID]
		if n == nil {
			if len(v.nodes) >= MaxNodes {
				continue
			}
			n = &node{since: now}
			v.nodes[s.ID] = n
		}
		seen++
		heard := s.LastResponse > n.LastResponse
		n.Observation = *s
		if c := n.step(now, heard); c != nil {
			changes = append(changes, *c)
		}
		tallies[s.Zone].add(now, n)
	}
	if seen < len(v.nodes) {
		v.forget(all)
	}
	v.cut = cutOff(tallies)
	for i := range v.rooms {
		if c := v.rooms[i].step(now, i, &tallies[i], v.cut); c != nil {
			changes = append(changes, *c)
		}
	}
	return changes
}

func (v *Tracker) forget(all []Observation) {
	listed := make(map[string]bool, len(all))
	for i := range all {
		listed[all[i].ID] = true
	}
	for id := range v.nodes {
		if !listed[id] {
			delete(v.nodes, id)
		}
	}
}

// silence is after what time an attempt without an answer tells of silence.
func (n *node) silence() time.Duration {
	return min(max(silentTimes*n.UsualLatency, silentLeast), silentMost)
}

// silent tells whether something is out for too long at a node from which nothing came meanwhile.
func (n *node) silent(now time.Duration) bool {
	return !n.Removed && n.UnansweredFor > n.silence() && now-n.LastResponse > n.silence()
}

func (n *node) step(now time.Duration, heard bool) *Change {
	from := n.state
	silent := n.silent(now)
	switch {
	case silent && n.UnansweredFor > n.silence()+darkAfter && n.state != Unavailable:
		n.state, n.tryStep, n.tryAt = Unavailable, tryFirst, now+tryFirst
	case silent && n.state == Available:
		n.state = Suspect
	case heard && n.state == Unavailable:
		n.state = Recovering
	case heard && n.state == Suspect, n.state == Recovering && now-n.since >= calmFirst && !silent:
		n.state = Available
	}
	if n.state == from {
		return nil
	}
	n.since = now
	return &Change{At: now, Zone: n.Zone, Node: n.ID, From: from, To: n.state}
}

// tally is what a room's nodes come to, by size.
type tally struct {
	all, gone, dark, asked, silent, heard float64
	old                                   float64 // of what is dark, so for long
	nodes                                 int
}

func (t *tally) add(now time.Duration, n *node) {
	size := cmp.Or(n.Size, 1)
	t.nodes++
	t.all += size
	switch {
	case n.Removed:
		t.gone += size
		return
	case n.state == Unavailable:
		if now-n.since > darkOld {
			t.old += size
		}
		t.dark += size
		t.asked += size
		t.silent += size
	case n.state == Suspect:
		t.asked += size
		t.silent += size
	case n.UnansweredFor > 0 || n.LastResponse > 0:
		t.asked += size
	}
	if n.state == Available || n.state == Recovering {
		t.heard += size
	}
}

// share of what was asked that is silent. What has been dark for long while others of its room answer is a matter of those nodes alone.
func (t *tally) share() float64 {
	asked, silent := t.asked, t.silent
	if t.heard > 0 {
		asked, silent = asked-t.old, silent-t.old
	}
	if asked <= 0 {
		return 0
	}
	return silent / asked
}

// cutOff tells whether all rooms that were asked are silent: then it is this gateway that hears nothing. With one room alone that can't be told.
func cutOff(all []tally) bool {
	asked := 0
	for i := range all {
		if all[i].asked > 0 {
			if asked++; all[i].share() < darkShare {
				return false
			}
		}
	}
	return asked > 1
}

func (r *ZoneHealth) step(now time.Duration, number int, t *tally, cut bool) *Change {
	from, share := r.State, t.share()
	r.SilentShare, r.Nodes = share, t.nodes
	r.RespondingShare, r.RemovedShare = 0, 0
	if t.all > 0 {
		r.RespondingShare, r.RemovedShare = t.heard/t.all, t.gone/t.all
	}
	if share >= darkShare && !cut {
		if r.SilentSince == 0 {
			r.SilentSince = now
		}
	} else {
		r.SilentSince = 0
	}
	down := r.SilentSince > 0 && now-r.SilentSince >= darkAfter
	thin := t.all > 0 && (t.gone+t.dark)/t.all >= thinShare
	switch r.State {
	case Available, Degraded:
		switch {
		case share >= suspectShare && !cut:
			r.State = Suspect
		case thin:
			r.State = Degraded
		default:
			r.State = Available
			if r.Flaps > 0 && now-r.Since >= calmForget {
				r.Flaps, r.RecoveryTime = 0, calmFirst
			}
		}
	case Suspect:
		switch {
		case down:
			r.goDark()
		case share < suspectShare || cut:
			r.State = Available
		}
	case Unavailable:
		if t.heard > 0 && share < darkShare {
			r.State = Recovering
		}
	case Recovering:
		switch {
		case down || share >= darkShare && !cut:
			r.goDark()
		case now-r.Since >= r.RecoveryTime && r.RespondingShare+r.RemovedShare >= backShare && share < suspectShare:
			if r.State = Available; thin {
				r.State = Degraded
			}
		}
	}
	if r.State == from {
		return nil
	}
	r.Since = now
	return &Change{At: now, Zone: number, From: from, To: r.State, SilentShare: share, Isolated: cut}
}

// goDark makes the room prove itself for longer each time, so that one that flaps does not drag traffic along.
func (r *ZoneHealth) goDark() {
	if r.State == Recovering || r.Flaps > 0 {
		r.Flaps++
		r.RecoveryTime = min(2*r.RecoveryTime, calmMost)
	} else {
		r.Flaps = 1
	}
	r.State = Unavailable
}

// Zone is what is believed of a room; one that is not known is here.
func (v *Tracker) Zone(number int) ZoneHealth {
	if number < 0 || number >= len(v.rooms) {
		return ZoneHealth{State: Available}
	}
	return v.rooms[number]
}

// Zones is how many there are.
func (v *Tracker) Zones() int { return len(v.rooms) }

// Isolated tells whether this gateway seems to be cut off from all rooms.
func (v *Tracker) Isolated() bool { return v.cut }

// Node is what is believed of a node; one that is not known is here.
func (v *Tracker) Node(id string) State {
	if n := v.nodes[id]; n != nil {
		return n.state
	}
	return Available
}

// AllowTrial tells whether a request may try a dark node, and takes the turn: one at a time, at intervals that double. Somebody has to, or nobody would hear that
// it is back.
func (v *Tracker) AllowTrial(now time.Duration, id string) bool {
	n := v.nodes[id]
	if n == nil || n.state != Unavailable {
		return true
	}
	if now < n.tryAt {
		return false
	}
	n.tryStep = min(2*n.tryStep, tryMost)
	n.tryAt = now + n.tryStep
	return true
}

// TrialOverdue tells whether a dark node should have been tried long ago: nobody came who could do it without a loss.
func (v *Tracker) TrialOverdue(now time.Duration, id string) bool {
	n := v.nodes[id]
	return n != nil && n.state == Unavailable && now-n.tryAt > tryMost
}

// UntilTrial is when a dark node is tried next: nobody who is refused need come back before.
func (v *Tracker) UntilTrial(now time.Duration, id string) time.Duration {
	if n := v.nodes[id]; n != nil && n.state == Unavailable {
		return max(0, n.tryAt-now)
	}
	return 0
}

// TrackerState is a View as plain data.
type TrackerState struct {
	_        struct{} `cbor:",toarray"`
	Nodes    []NodeState
	Zones    []ZoneHealth `json:"Rooms"`
	Isolated bool         `json:"Cut"`
}

// NodeState is what is held of a node.
type NodeState struct {
	_             struct{}    `cbor:",toarray"`
	Observation   Observation `json:"Sight"`
	State         State
	Since         time.Duration
	TrialAt       time.Duration `json:"TryAt"`
	TrialInterval time.Duration `json:"TryStep"`
}

// Snapshot gives the state.
func (v *Tracker) Snapshot() TrackerState {
	out := TrackerState{Zones: slices.Clone(v.rooms), Isolated: v.cut}
	for _, n := range v.nodes {
		out.Nodes = append(out.Nodes, NodeState{Observation: n.Observation, State: n.state, Since: n.since, TrialAt: n.tryAt, TrialInterval: n.tryStep})
	}
	slices.SortFunc(out.Nodes, func(a, b NodeState) int { return cmp.Compare(a.Observation.ID, b.Observation.ID) })
	return out
}

// Resume goes on from a state; it tells whether that is of as many rooms.
func (v *Tracker) Resume(from TrackerState) bool {
	if len(from.Zones) != len(v.rooms) || len(from.Nodes) > MaxNodes {
		return false
	}
	for _, n := range from.Nodes {
		v.nodes[n.Observation.ID] = &node{Observation: n.Observation, state: n.State, since: n.Since, tryAt: n.TrialAt, tryStep: n.TrialInterval}
	}
	copy(v.rooms, from.Zones)
	v.cut = from.Isolated
	return true
}
