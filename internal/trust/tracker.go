package trust

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"reachpulley/scheduler"
)

// Bounds of what a Tracker tracks.
const (
	MaxEntries       = 4096 // entries, each of an operation and a node
	maxWrongVersions = 512  // versions, each of an operation, for which the description is wrong
	maxVersionBytes  = 64   // of the name of a version
)

// maxEvicted is how many entries are evicted at a time.
const maxEvicted = MaxEntries / 16

// allNodes is the node of what holds for an operation at all nodes.
const allNodes = ""

// Change is a change of the trust in a node, or in a description.
type Change struct {
	At               time.Duration
	Operation        string
	Node             string // empty: all nodes
	Version          string
	From, To         State
	DescriptionWrong bool // most nodes of the version contradict the description, so it is taken to be wrong
	Level            scheduler.RestrictionLevel
	Worst            Evidence
	Counts           map[string]int // of contradictions by kind, since the start
	Answers          int
	Sample           string
}

// Tracker tracks the trust in all nodes for all operations.
type Tracker struct {
	maxLevel   scheduler.RestrictionLevel
	entries    map[entryKey]*entry
	wrongSince map[versionKey]time.Duration            // since when the description is wrong for a version
	levels     map[entryKey]scheduler.RestrictionLevel // as last reported; unrestricted ones are left out
	dropped    int
}

// New makes a Tracker whose restrictions are at most of a level.
func New(maxLevel scheduler.RestrictionLevel) *Tracker {
	return &Tracker{
		maxLevel:   maxLevel,
		entries:    map[entryKey]*entry{},
		wrongSince: map[versionKey]time.Duration{},
		levels:     map[entryKey]scheduler.RestrictionLevel{},
	}
}

// Observe takes the evidence of a response and returns the changes that it causes.
func (t *Tracker) Observe(now time.Duration, report Report) []Change {
	e := t.track(now, entryKey{report.Operation, report.Node})
	if e == nil {
		t.dropped++
		return nil
	}
	from := e.state
	// A node that runs another version keeps its state. Otherwise it could lose a bad one by another name.
	e.version = report.Version[:min(len(report.Version), maxVersionBytes)]
	e.decay(now)
	e.observedAt = now
	e.add(report)
	e.step(now)
	return t.changesOf(now, e, from)
}

// Tick lets time pass, so that weights decay and holds end. It is called about every second.
func (t *Tracker) Tick(now time.Duration) (changes []Change) {
	for _, e := range t.sortedEntries() {
		from := e.state
		e.decay(now)
		e.step(now)
		changes = append(changes, t.changesOf(now, e, from)...)
	}
	totals := t.totalsByVersion()
	for _, key := range slices.SortedFunc(maps.Keys(totals), compareVersionKeys) {
		changes = append(changes, t.judgeDescription(now, totals[key])...)
	}
	return changes
}

// Dropped returns how many reports were dropped because too many entries are tracked.
func (t *Tracker) Dropped() int { return t.dropped }

// sortedEntries returns all entries in a fixed order, so that changes do not follow the order of a map.
func (t *Tracker) sortedEntries() []*entry {
	return slices.SortedFunc(maps.Values(t.entries), compareEntries)
}

func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.key.operation, b.key.operation), cmp.Compare(a.key.node, b.key.node))
}

// track returns the entry of a key, a new one if need be, or nil if too many are tracked.
func (t *Tracker) track(now time.Duration, key entryKey) *entry {
	if e := t.entries[key]; e != nil {
		return e
	}
	if len(t.entries) >= MaxEntries && !t.evict() {
		return nil
	}
	e := &entry{key: key, since: now, decayedTo: now}
	t.entries[key] = e
	return e
}

// evict forgets a part of the entries, the ones observed longest ago, and reports whether it found any. It evicts only
// what is trusted and clear: otherwise eviction would be a way to regain trust.
func (t *Tracker) evict() bool {
	var evictable []*entry
	for _, e := range t.entries {
		if e.state == Trusted && e.weight() < clearedWeight {
			evictable = append(evictable, e)
		}
	}
	slices.SortFunc(evictable, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.observedAt, b.observedAt), compareEntries(a, b))
	})
	for _, e := range evictable[:min(len(evictable), maxEvicted)] {
		delete(t.entries, e.key)
	}
	return len(evictable) > 0
}

// changesOf returns the changes to report after a step of an entry.
func (t *Tracker) changesOf(now time.Duration, e *entry, from State) (changes []Change) {
	if e.state != from {
		changes = t.judgeDescription(now, t.totalsOf(e.versionKey()))
	}
	change := t.updateLevel(now, e)
	if change == nil && e.state != from { // the same restriction, for another reason
		change = t.changeOf(now, e)
	}
	if change != nil {
		change.From = from
		changes = append(changes, *change)
	}
	return changes
}

// updateLevel returns the change of a node's restriction, or nil if it is as last reported.
func (t *Tracker) updateLevel(now time.Duration, e *entry) *Change {
	level := min(stateLevels[e.state], t.maxLevel)
	if _, wrong := t.wrongSince[e.versionKey()]; wrong {
		level = min(level, scheduler.NoRetries) // avoiding the node helps nobody: the others are no better
	}
	if t.levels[e.key] == level {
		return nil
	}
	t.setLevel(e.key, level)
	return t.changeOf(now, e)
}

// setLevel sets the level that is reported for a key.
func (t *Tracker) setLevel(key entryKey, level scheduler.RestrictionLevel) {
	if level == scheduler.Unrestricted {
		delete(t.levels, key)
		return
	}
	t.levels[key] = level
}

// changeOf describes an entry as a change from its state to itself.
func (t *Tracker) changeOf(now time.Duration, e *entry) *Change {
	return &Change{
		At:        now,
		Operation: e.key.operation,
		Node:      e.key.node,
		Version:   e.version,
		From:      e.state,
		To:        e.state,
		Level:     t.levels[e.key],
		Worst:     e.worst,
		Counts:    e.contradictions(),
		Answers:   e.answers,
		Sample:    e.sample,
	}
}
