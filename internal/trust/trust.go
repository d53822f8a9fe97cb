// Package trust decides how far nodes are believed to do what descriptions say of them: for each operation and node it is trusted, doubted,
// distrusted or on probation. It has no clock, no lock and does no I/O; its caller passes the time and calls from one goroutine at a time.
//
// Evidence is of two kinds. What no client can bring about, as an effect of a call that is said not to have run, is hard: it weighs much and only time
// lightens it. The rest is soft, as it may have to do with what a client asks for: a cumulative sum (E. S. Page, "Continuous inspection schemes",
// Biometrika 41, 1954) against answers that fit, in which no client alone can reach a doubt.
package trust

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"reachpulley/scheduler"
)

// Evidence is what an answer tells of a node.
type Evidence int

// The kinds of Evidence.
const (
	Conforms            Evidence = iota // it does what is described
	UnknownStatus                       // a status that no description has
	UnknownMediaType                    // a media type that no description has
	SchemaViolation                     // a body that breaks its schema
	Slow                                // it took longer than described
	IgnoredRetryAfter                   // it refused again after the time that it had told
	ResponsesDiffer                     // two answers to the same safe call differ where they must not
	RepeatExecuted                      // a repeat with the same key was not discarded
	ExecutedAfterDenial                 // an answer tells of an effect, and that the call has not run
	KeyKnownAfterDenial                 // it knew a key of which it had said that its call has not run; another gateway may have sent it meanwhile
	EffectOfIdempotent                  // a call that is said to change nothing created something
	kinds
)

var kindNames = [kinds]string{"fits", "status-unknown", "type-unknown", "schema-broken", "slow", "retry-after-hollow", "repeat-differs", "repeat-ran", "not-run-ran",
	"not-run-known", "safe-created"}

func (e Evidence) String() string { return kindNames[e] }

// weights of Evidence; negative: it speaks for the node.
var weights = [kinds]float64{Conforms: -tolerated, UnknownStatus: 1, UnknownMediaType: 1, SchemaViolation: 1, Slow: 0.25, IgnoredRetryAfter: 0.25, ResponsesDiffer: 1, RepeatExecuted: 4,
	ExecutedAfterDenial: 6, KeyKnownAfterDenial: 2, EffectOfIdempotent: 4}

// hard tells which Evidence no client can bring about.
var hard = [kinds]bool{RepeatExecuted: true, ExecutedAfterDenial: true, EffectOfIdempotent: true}

// State is how far a node is believed.
type State int

// The States, by what they cost.
const (
	Trusted    State = iota
	Suspect          // no second copies
	Probation        // no repeats, and nobody believes that a call has not run
	Distrusted       // nothing new while another node may take it
)

var stateNames = [...]string{"trusted", "doubted", "on probation", "distrusted"}

func (s State) String() string { return stateNames[s] }

// levels are what States cost.
var levels = [...]scheduler.RestrictionLevel{Trusted: scheduler.Unrestricted, Suspect: scheduler.NoHedging, Probation: scheduler.NoRetries, Distrusted: scheduler.AvoidNode}

// Tuned values, all ours.
const (
	tolerated   = 0.02             // share of contradictions that soft evidence bears
	doubtAt     = 3.0              // weight at which a node is doubted
	distrustAt  = 8.0              // and distrusted
	clearAt     = 1.0              // weight at which a doubt ends
	mostSoft    = 12.0             // weight that soft evidence may have
	mostHard    = 24.0             // and hard
	fadeTime    = 30 * time.Second // in which all weight fades by e
	calm        = 10 * time.Second // a state but distrust lasts so long at least before it gets better
	perClient   = 0.45             // part of doubtAt that one client's soft evidence may weigh
	holdFirst   = 30 * time.Second // first distrust
	holdMost    = 10 * time.Minute
	holdForget  = 30 * time.Minute // of trust after which an earlier distrust counts no more
	proofs      = 20               // answers that fit, which end a probation
	clients     = 8                // whose part is followed at a time
	fleetLeast  = 3                // nodes of a version that must be known before they can be a majority
	fleetKnown  = 5                // answers from which a node is known
	fleetEnds   = 0.25             // share of nodes in doubt below which a description is believed again
	mostVersion = 64               // bytes
)

// Bounds of what is held.
const (
	MaxCells     = 4096 // of an operation and a node
	mostVersions = 512  // of an operation and a version
)

// Report is one answer's evidence.
type Report struct {
	Operation, Node string
	Version         string // of the node's program; empty: it does not say
	Client          uint64 // who asked, as a hash
	Evidence        Evidence
	Sample          string // what was seen, for people
}

type key struct{ operation, node string }

// cell is what is held of an operation at a node.
type cell struct {
	key     key
	version string
	state   State
	since   time.Duration // when it came into that state
	at      time.Duration // to which the weights have faded
	heardAt time.Duration
	soft    float64
	hard    float64
	hold    time.Duration // the last distrust's; 0: there was none
	fits    int           // since the state began
	answers int
	counts  [kinds]int
	by      [clients]part
	sample  string // of the last contradiction
	worst   Evidence
}

// part is one client's part of the soft weight.
type part struct {
	client uint64
	weight float64
}

type fleetKey struct{ operation, version string }

// fleet is a version whose nodes contradict a description together.
type fleet struct {
	at    fleetKey
	since time.Duration // when most of them contradicted the description
}

// Change tells that an operation is to be handled otherwise.
type Change struct {
	At               time.Duration
	Operation        string
	Node             string // empty: all nodes
	Version          string
	From, To         State
	DescriptionWrong bool // most nodes of the version contradict the description, so it is what is wrong
	Level            scheduler.RestrictionLevel
	Worst            Evidence
	Counts           map[string]int // contradictions by kind, since the begin
	Answers          int
	Sample           string
}

// Tracker holds all trust.
type Tracker struct {
	most    scheduler.RestrictionLevel // that distrust may come to
	cells   map[key]*cell
	fleets  map[fleetKey]*fleet                // where a description is wrong, as it seems
	told    map[key]scheduler.RestrictionLevel // levels as last given out; node "" is for all
	dropped int
}

// New makes a Keeper whose levels are most at most.
func New(most scheduler.RestrictionLevel) *Tracker {
	return &Tracker{most: most, cells: map[key]*cell{}, fleets: map[fleetKey]*fleet{}, told: map[key]scheduler.RestrictionLevel{}}
}

// Observe takes an answer's evidence and gives what changes by it.
func (k *Tracker) Observe(now time.Duration, t Report) []Change {
	c := k.cell(now, key{t.Operation, t.Node})
	if c == nil {
		k.dropped++
		return nil
	}
	t.Version = t.Version[:min(len(t.Version), mostVersion)]
	from := c.state
	// A node that runs another program keeps its trust, and its doubts: otherwise it would shed them by another name.
	c.version = t.Version
	c.fade(now)
	c.heardAt = now
	c.add(t)
	c.step(now)
	return k.changes(now, c, from)
}

// Tick lets time pass: weights fade, holds end. It is called every second or so.
func (k *Tracker) Tick(now time.Duration) (all []Change) {
	for _, c := range k.sorted() {
		from := c.state
		c.fade(now)
		c.step(now)
		all = append(all, k.changes(now, c, from)...)
	}
	tallies := k.tally()
	for at := range k.fleets { // a version that no node runs any more
		tallies[at] = tallies[at].or(at)
	}
	for _, at := range slices.SortedFunc(maps.Keys(tallies), fleetKey.compare) {
		all = append(all, k.judge(now, tallies[at])...)
	}
	return all
}

// sorted gives all cells in an order of their own: what is given out must not follow a map's.
func (k *Tracker) sorted() []*cell {
	all := make([]*cell, 0, len(k.cells))
	for _, c := range k.cells {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *cell) int {
		return cmp.Or(cmp.Compare(a.key.operation, b.key.operation), cmp.Compare(a.key.node, b.key.node))
	})
	return all
}

// cell finds or makes one; nil where there is no room.
func (k *Tracker) cell(now time.Duration, at key) *cell {
	if c := k.cells[at]; c != nil {
		return c
	}
	if len(k.cells) >= MaxCells && !k.makeRoom() {
		return nil
	}
	c := &cell{key: at, since: now, at: now}
	k.cells[at] = c
	return c
}

// makeRoom forgets the sixteenth part of what is trusted that was heard of longest ago. Nothing in doubt is forgotten for want of room: that would be a
// way to regain trust.
func (k *Tracker) makeRoom() bool {
	var trusted []*cell
	for _, c := range k.cells {
		if c.state == Trusted && c.weight() < clearAt {
			trusted = append(trusted, c)
		}
	}
	slices.SortFunc(trusted, func(a, b *cell) int {
		return cmp.Or(cmp.Compare(a.heardAt, b.heardAt), cmp.Compare(a.key.operation, b.key.operation), cmp.Compare(a.key.node, b.key.node))
	})
	for _, c := range trusted[:min(len(trusted), MaxCells/16)] {
		delete(k.cells, c.key)
	}
	return len(trusted) > 0
}

func (c *cell) weight() float64 { return c.soft + c.hard }

// fade lightens all weight with time.
func (c *cell) fade(now time.Duration) {
	if now <= c.at {
		return
	}
	by := math.Exp(-(now - c.at).Seconds() / fadeTime.Seconds())
	c.at = now
	c.soft, c.hard = c.soft*by, c.hard*by
	for i := range c.by {
		c.by[i].weight *= by
	}
}

// add weighs evidence.
func (c *cell) add(t Report) {
	c.answers++
	c.counts[t.Evidence]++
	w := weights[t.Evidence]
	switch {
	case w < 0:
		c.fits++
		c.soft = max(0, c.soft+w)
	case hard[t.Evidence]:
		c.hard = min(mostHard, c.hard+w)
	default:
		w = min(c.room(t.Client, w), mostSoft-c.soft)
		c.soft += max(0, w)
	}
	if t.Evidence != Conforms {
		c.sample = t.Sample
		if weights[t.Evidence] >= weights[c.worst] || c.worst == Conforms {
			c.worst = t.Evidence
		}
	}
}

// room gives what one client's evidence may still weigh, and takes it. A client that is not followed takes the place of the lightest one, and with it
// that one's weight, so that ever new names gain nothing (the space-saving sketch of A. Metwally et al., ICDT 2005).
func (c *cell) room(client uint64, w float64) float64 {
	at := 0
	for i := range c.by {
		if c.by[i].client == client && c.by[i].weight > 0 {
			at = i
			break
		}
		if c.by[i].weight < c.by[at].weight {
			at = i
		}
	}
	c.by[at].client = client
	got := max(0, min(w, perClient*doubtAt-c.by[at].weight))
	c.by[at].weight += got
	return got
}

// step moves on to the state that weight and time call for. A state gets better only after a time, so that a node that wavers does not drag
// its traffic along.
func (c *cell) step(now time.Duration) {
	w := c.weight()
	switch c.state {
	case Trusted:
		if w >= doubtAt {
			c.enter(now, Suspect)
		} else if c.hold > 0 && now-c.since >= holdForget {
			c.hold = 0
		}
	case Suspect:
		if w >= distrustAt {
			c.distrust(now)
		} else if w <= clearAt && now-c.since >= calm {
			c.enter(now, Trusted)
		}
	case Probation:
		if w >= doubtAt {
			c.distrust(now)
		} else if w <= clearAt && c.fits >= proofs && now-c.since >= calm {
			c.enter(now, Trusted)
		}
	case Distrusted:
		if w < doubtAt/2 && now-c.since >= c.hold {
			c.enter(now, Probation)
		}
	}
}

func (c *cell) enter(now time.Duration, s State) { c.state, c.since, c.fits = s, now, 0 }

// distrust holds for longer each time.
func (c *cell) distrust(now time.Duration) {
	c.hold = min(max(2*c.hold, holdFirst), holdMost)
	c.enter(now, Distrusted)
}

// changes gives what is to be told after a cell was looked at.
func (k *Tracker) changes(now time.Duration, c *cell, from State) (all []Change) {
	if from != c.state {
		t := &tally{at: fleetKey{c.key.operation, c.version}}
		for _, other := range k.cells {
			if other.key.operation == t.at.operation && other.version == t.at.version {
				t.add(other)
			}
		}
		all = append(all, k.judge(now, t)...)
	}
	if one := k.level(now, c); one != nil {
		one.From = from
		all = append(all, *one)
	} else if from != c.state { // the same care, and another reason
		one := k.change(now, c)
		one.From = from
		all = append(all, one)
	}
	return all
}

func (k *Tracker) change(now time.Duration, c *cell) Change {
	return Change{At: now, Operation: c.key.operation, Node: c.key.node, Version: c.version, From: c.state, To: c.state, Level: k.told[c.key], Worst: c.worst, Counts: c.contradictions(), Answers: c.answers,
		Sample: c.sample}
}

// level gives a node's change where its level is another than was told.
func (k *Tracker) level(now time.Duration, c *cell) *Change {
	level := min(levels[c.state], k.most)
	if f := k.fleets[fleetKey{c.key.operation, c.version}]; f != nil {
		level = min(level, scheduler.NoRetries) // there is no other node to go to
	}
	if k.told[c.key] == level {
		return nil
	}
	if k.told[c.key] = level; level == scheduler.Unrestricted {
		delete(k.told, c.key)
	}
	one := k.change(now, c)
	return &one
}

// tally is what the nodes of a version come to.
type tally struct {
	at         fleetKey
	known, bad int
	worst      *cell
}

func (t *tally) or(at fleetKey) *tally {
	if t == nil {
		return &tally{at: at}
	}
	return t
}

func (a fleetKey) compare(b fleetKey) int {
	return cmp.Or(cmp.Compare(a.operation, b.operation), cmp.Compare(a.version, b.version))
}

func (t *tally) add(c *cell) {
	if c.answers < fleetKnown && c.state == Trusted {
		return
	}
	if t.known++; c.state == Trusted {
		return
	}
	t.bad++
	if t.worst == nil || cmp.Or(cmp.Compare(c.weight(), t.worst.weight()), cmp.Compare(t.worst.key.node, c.key.node)) > 0 {
		t.worst = c
	}
}

// tally looks at all cells.
func (k *Tracker) tally() map[fleetKey]*tally {
	all := map[fleetKey]*tally{}
	for _, c := range k.cells {
		at := fleetKey{c.key.operation, c.version}
		all[at] = all[at].or(at)
		all[at].add(c)
	}
	return all
}

// judge looks at all nodes of a version together: where most of them contradict a description, the description is wrong. Nobody is avoided then, and
// nothing is repeated.
func (k *Tracker) judge(now time.Duration, t *tally) (all []Change) {
	f := k.fleets[t.at]
	wrong := f != nil
	switch {
	case !wrong && t.known >= fleetLeast && 2*t.bad > t.known && len(k.fleets) < mostVersions:
		k.fleets[t.at] = &fleet{at: t.at, since: now}
	case wrong && (t.known == 0 || float64(t.bad) < fleetEnds*float64(t.known)) && now-f.since >= calm:
		delete(k.fleets, t.at)
	default:
		return nil
	}
	all = append(all, k.wide(now, t))
	for _, c := range k.sorted() {
		if c.key.operation == t.at.operation && c.version == t.at.version {
			if one := k.level(now, c); one != nil {
				all = append(all, *one)
			}
		}
	}
	return all
}

// wide gives an operation's change at all nodes: it is careful as long as any version contradicts its description.
func (k *Tracker) wide(now time.Duration, t *tally) Change {
	level := scheduler.Unrestricted
	for at := range k.fleets {
		if at.operation == t.at.operation {
			level = min(scheduler.NoRetries, k.most)
		}
	}
	everywhere := key{t.at.operation, ""}
	if k.told[everywhere] = level; level == scheduler.Unrestricted {
		delete(k.told, everywhere)
	}
	one := Change{At: now, Operation: t.at.operation, Version: t.at.version, DescriptionWrong: true, Level: level, From: Probation, To: Trusted}
	if k.fleets[t.at] != nil {
		one.From, one.To = Trusted, Probation
	}
	if c := t.worst; c != nil {
		one.Worst, one.Counts, one.Answers, one.Sample = c.worst, c.contradictions(), c.answers, c.sample
	}
	return one
}

func (c *cell) contradictions() map[string]int {
	out := map[string]int{}
	for e := Conforms + 1; e < kinds; e++ {
		if c.counts[e] > 0 {
			out[e.String()] = c.counts[e]
		}
	}
	return out
}
