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
	MaxEntries       = 4096 // pairs of an operation and a node
	maxWrongVersions = 512  // pairs of an operation and a version for which its description is wrong
	maxVersionBytes  = 64   // bytes of the name of a version
)

// maxEvicted is how many entries are evicted at most when room for a new one is needed.
const maxEvicted = MaxEntries / 16

// allNodes stands in place of a node for all nodes of an operation.
const allNodes = ""

// Change reports a change of the trust in a node or in a description, or of the restriction that follows from it.
type Change struct {
	At            time.Duration
	Operation     string
	Node          string // empty: all nodes
	Version       string
	From, To      State
	OfDescription bool // the change concerns the description, which now counts as wrong unless To is Trusted
	Level         scheduler.RestrictionLevel
	Worst         Evidence
	Counts        map[string]int // number of contradictions so far, by kind
	Responses     int            // responses so far
	Sample        string         // description of the last contradiction
}

// Tracker tracks the trust in all nodes for all operations.
type Tracker struct {
	maxLevel   scheduler.RestrictionLevel
	entries    map[entryKey]*entry
	wrongSince map[versionKey]time.Duration            // since when a description has been wrong for a version
	levels     map[entryKey]scheduler.RestrictionLevel // as last reported; Unrestricted is left out
	dropped    int                                     // number of reports that were dropped
}

// New makes a Tracker whose restrictions never go beyond maxLevel.
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
	// A node that runs another version keeps its state. Otherwise it could lose a bad state by changing the name of its
	// version.
	e.version = report.Version[:min(len(report.Version), maxVersionBytes)]
	e.decay(now)
	e.observedAt = now
	e.add(report)
	e.step(now)
	return t.changesOf(now, e, from)
}

// Tick handles what depends on time alone, such as the decay of weights and the end of holds, and assesses all
// descriptions. It returns the changes that this causes. It is called about once a second.
func (t *Tracker) Tick(now time.Duration) (changes []Change) {
	for _, e := range t.sortedEntries() {
		from := e.state
		e.decay(now)
		e.step(now)
		changes = append(changes, t.changesOf(now, e, from)...)
	}
	totals := t.totalsByVersion()
	for _, key := range slices.SortedFunc(maps.Keys(totals), compareVersionKeys) {
		changes = append(changes, t.assessDescription(now, totals[key])...)
	}
	return changes
}

// Dropped returns how many reports were dropped because too many entries are tracked.
func (t *Tracker) Dropped() int { return t.dropped }

// sortedEntries returns all entries in a fixed order, so that the order of changes does not depend on that of a map.
func (t *Tracker) sortedEntries() []*entry {
	return slices.SortedFunc(maps.Values(t.entries), compareEntries)
}

func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.key.operation, b.key.operation), cmp.Compare(a.key.node, b.key.node))
}

// track returns the entry of a key and adds it if there is none. If MaxEntries are tracked already, it evicts entries
// to make room, and returns nil if none can be evicted.
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

// evict removes up to maxEvicted entries, those observed longest ago first, and reports whether it found any. It
// removes only trusted entries with little weight, because otherwise a node could regain trust by being evicted.
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

// changesOf returns the changes that a step of an entry causes. From is the state that the entry had before the step.
func (t *Tracker) changesOf(now time.Duration, e *entry, from State) (changes []Change) {
	if e.state != from {
		changes = t.assessDescription(now, t.totalsOf(e.versionKey()))
	}
	change := t.updateLevel(now, e)
	if change == nil && e.state != from { // another state with the same restriction
		change = t.changeOf(now, e)
	}
	if change != nil {
		change.From = from
		changes = append(changes, *change)
	}
	return changes
}

// updateLevel sets the restriction level of an entry's node by its state and by whether the description is wrong. It
// returns the change, or nil if the level is as last reported.
func (t *Tracker) updateLevel(now time.Duration, e *entry) *Change {
	level := min(stateLevels[e.state], t.maxLevel)
	if _, wrong := t.wrongSince[e.versionKey()]; wrong {
		level = min(level, scheduler.NoRetries) // avoiding the node would not help: the others are no better
	}
	if t.levels[e.key] == level {
		return nil
	}
	t.setLevel(e.key, level)
	return t.changeOf(now, e)
}

// setLevel stores the level that is reported for a key.
func (t *Tracker) setLevel(key entryKey, level scheduler.RestrictionLevel) {
	if level == scheduler.Unrestricted {
		delete(t.levels, key)
		return
	}
	t.levels[key] = level
}

// changeOf returns a Change with the figures of an entry. Its From and To are both the state of the entry.
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
		Responses: e.responses,
		Sample:    e.sample,
	}
}
