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
	Here State = iota
	Thin
	Suspected
	Dark
	Returning
)

var stateNames = [...]string{"here", "thin", "suspected", "dark", "returning"}

func (s State) String() string { return stateNames[s] }

// Sight is what a gateway sees of a node now.
type Sight struct {
	ID      string
	Room    int
	Size    float64       // share of what a usual node can do; 0 counts as 1
	Gone    bool          // it is listed as removed or draining: nobody expects an answer of it
	Waiting time.Duration // for how long its oldest attempt has been out; 0: none is
	Usual   time.Duration // that an answer takes there, as far as is known
	Heard   time.Duration // when anything came from it last, an answer or a refused connection; 0: never
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
	Sight
	state   State
	since   time.Duration
	tryAt   time.Duration // when the next request may try it
	tryStep time.Duration
}

// Room is what is believed of a room, and why.
type Room struct {
	State  State
	Since  time.Duration
	Flaps  int           // times it went dark again lately
	Calm   time.Duration // for which it must be heard before it counts as here
	Heard  float64       // share of its nodes, by size, that answer
	Silent float64       // share of those asked that don't
	Gone   float64       // share that is listed as gone
	Nodes  int

	SilentSince time.Duration // since when it is silent enough to be dark; 0: it is not
}

// Change tells that a room, or a node in it, is believed to be something else.
type Change struct {
	At       time.Duration
	Room     int
	Node     string // empty: the room
	From, To State
	Silent   float64
	Cut      bool // all rooms are silent at once: it is this gateway that is cut off
}

// View is what one gateway believes of all rooms.
type View struct {
	nodes map[string]*node
	rooms []Room
	cut   bool
}

// MostNodes bounds the nodes of which a View holds anything. What is beyond it is taken to be here.
const MostNodes = 1 << 16

// NewView makes a View of so many rooms, all of them here.
func NewView(rooms int) *View {
	v := &View{nodes: map[string]*node{}, rooms: make([]Room, max(rooms, 1))}
	for i := range v.rooms {
		v.rooms[i].Calm = calmFirst
	}
	return v
}

// Look takes what is seen of all listed nodes and gives what changes by it. What is not among them any more is forgotten. It costs one pass over the nodes, whatever
// the number of rooms.
func (v *View) Look(now time.Duration, all []Sight) (changes []Change) {
	tallies := make([]tally, len(v.rooms))
	seen := 0
	for i := range all {
		s := &all[i]
		if s.Room < 0 || s.Room >= len(v.rooms) {
			continue
		}
		n := v.nodes[s.ID]
		if n == nil {
			if len(v.nodes) >= MostNodes {
				continue
			}
			n = &node{since: now}
			v.nodes[s.ID] = n
		}
		seen++
		heard := s.Heard > n.Heard
		n.Sight = *s
		if c := n.step(now, heard); c != nil {
			changes = append(changes, *c)
		}
		tallies[s.Room].add(now, n)
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

func (v *View) forget(all []Sight) {
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
	return min(max(silentTimes*n.Usual, silentLeast), silentMost)
}

// silent tells whether something is out for too long at a node from which nothing came meanwhile.
func (n *node) silent(now time.Duration) bool {
	return !n.Gone && n.Waiting > n.silence() && now-n.Heard > n.silence()
}

func (n *node) step(now time.Duration, heard bool) *Change {
	from := n.state
	silent := n.silent(now)
	switch {
	case silent && n.Waiting > n.silence()+darkAfter && n.state != Dark:
		n.state, n.tryStep, n.tryAt = Dark, tryFirst, now+tryFirst
	case silent && n.state == Here:
		n.state = Suspected
	case heard && n.state == Dark:
		n.state = Returning
	case heard && n.state == Suspected, n.state == Returning && now-n.since >= calmFirst && !silent:
		n.state = Here
	}
	if n.state == from {
		return nil
	}
	n.since = now
	return &Change{At: now, Room: n.Room, Node: n.ID, From: from, To: n.state}
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
	case n.Gone:
		t.gone += size
		return
	case n.state == Dark:
		if now-n.since > darkOld {
			t.old += size
		}
		t.dark += size
		t.asked += size
		t.silent += size
	case n.state == Suspected:
		t.asked += size
		t.silent += size
	case n.Waiting > 0 || n.Heard > 0:
		t.asked += size
	}
	if n.state == Here || n.state == Returning {
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

func (r *Room) step(now time.Duration, number int, t *tally, cut bool) *Change {
	from, share := r.State, t.share()
	r.Silent, r.Nodes = share, t.nodes
	r.Heard, r.Gone = 0, 0
	if t.all > 0 {
		r.Heard, r.Gone = t.heard/t.all, t.gone/t.all
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
	case Here, Thin:
		switch {
		case share >= suspectShare && !cut:
			r.State = Suspected
		case thin:
			r.State = Thin
		default:
			r.State = Here
			if r.Flaps > 0 && now-r.Since >= calmForget {
				r.Flaps, r.Calm = 0, calmFirst
			}
		}
	case Suspected:
		switch {
		case down:
			r.goDark()
		case share < suspectShare || cut:
			r.State = Here
		}
	case Dark:
		if t.heard > 0 && share < darkShare {
			r.State = Returning
		}
	case Returning:
		switch {
		case down || share >= darkShare && !cut:
			r.goDark()
		case now-r.Since >= r.Calm && r.Heard+r.Gone >= backShare && share < suspectShare:
			if r.State = Here; thin {
				r.State = Thin
			}
		}
	}
	if r.State == from {
		return nil
	}
	r.Since = now
	return &Change{At: now, Room: number, From: from, To: r.State, Silent: share, Cut: cut}
}

// goDark makes the room prove itself for longer each time, so that one that flaps does not drag traffic along.
func (r *Room) goDark() {
	if r.State == Returning || r.Flaps > 0 {
		r.Flaps++
		r.Calm = min(2*r.Calm, calmMost)
	} else {
		r.Flaps = 1
	}
	r.State = Dark
}

// Room is what is believed of a room; one that is not known is here.
func (v *View) Room(number int) Room {
	if number < 0 || number >= len(v.rooms) {
		return Room{State: Here}
	}
	return v.rooms[number]
}

// Rooms is how many there are.
func (v *View) Rooms() int { return len(v.rooms) }

// Cut tells whether this gateway seems to be cut off from all rooms.
func (v *View) Cut() bool { return v.cut }

// Node is what is believed of a node; one that is not known is here.
func (v *View) Node(id string) State {
	if n := v.nodes[id]; n != nil {
		return n.state
	}
	return Here
}

// Try tells whether a request may try a dark node, and takes the turn: one at a time, at intervals that double. Somebody has to, or nobody would hear that
// it is back.
func (v *View) Try(now time.Duration, id string) bool {
	n := v.nodes[id]
	if n == nil || n.state != Dark {
		return true
	}
	if now < n.tryAt {
		return false
	}
	n.tryStep = min(2*n.tryStep, tryMost)
	n.tryAt = now + n.tryStep
	return true
}

// Overdue tells whether a dark node should have been tried long ago: nobody came who could do it without a loss.
func (v *View) Overdue(now time.Duration, id string) bool {
	n := v.nodes[id]
	return n != nil && n.state == Dark && now-n.tryAt > tryMost
}

// Until is when a dark node is tried next: nobody who is refused need come back before.
func (v *View) Until(now time.Duration, id string) time.Duration {
	if n := v.nodes[id]; n != nil && n.state == Dark {
		return max(0, n.tryAt-now)
	}
	return 0
}

// ViewState is a View as plain data.
type ViewState struct {
	_     struct{} `cbor:",toarray"`
	Nodes []NodeState
	Rooms []Room
	Cut   bool
}

// NodeState is what is held of a node.
type NodeState struct {
	_       struct{} `cbor:",toarray"`
	Sight   Sight
	State   State
	Since   time.Duration
	TryAt   time.Duration
	TryStep time.Duration
}

// Snapshot gives the state.
func (v *View) Snapshot() ViewState {
	out := ViewState{Rooms: slices.Clone(v.rooms), Cut: v.cut}
	for _, n := range v.nodes {
		out.Nodes = append(out.Nodes, NodeState{Sight: n.Sight, State: n.state, Since: n.since, TryAt: n.tryAt, TryStep: n.tryStep})
	}
	slices.SortFunc(out.Nodes, func(a, b NodeState) int { return cmp.Compare(a.Sight.ID, b.Sight.ID) })
	return out
}

// Resume goes on from a state; it tells whether that is of as many rooms.
func (v *View) Resume(from ViewState) bool {
	if len(from.Rooms) != len(v.rooms) || len(from.Nodes) > MostNodes {
		return false
	}
	for _, n := range from.Nodes {
		v.nodes[n.Sight.ID] = &node{Sight: n.Sight, state: n.State, since: n.Since, tryAt: n.TryAt, tryStep: n.TryStep}
	}
	copy(v.rooms, from.Rooms)
	v.cut = from.Cut
	return true
}
