package ratelimit

import (
	"math"
	"math/bits"
	"time"
	"unsafe"
)

const (
	slotsPerBucket    = 8 // slots in which a key may be stored, by its hash
	sketchRows        = 4 // rows of the sketch, each with one cell for a key
	keysPerSketchCell = 8 // slots of the table for each cell in a row of the sketch

	// An idle returning key keeps its slot for graceIntervals emission intervals, but no longer than maxGrace.
	graceIntervals = 20
	maxGrace       = 10 * time.Second

	minReturningRequests = 2 // a key with at least so many requests is a returning one
)

// entry counts the requests of one key.
type entry struct {
	hash uint64
	// theoreticalArrival is when the next request would arrive at the limit's rate (see table.wait). If this is not in
	// the future, the whole burst is free.
	theoreticalArrival time.Duration
	parentShare        float64 // used requests of the parent that belong to this key, divided by the parent's scale
	epoch              uint32  // epoch of the parent in which parentShare is valid; in others, the share is 0
	open               int32   // open requests
	seen               uint32  // requests so far, up to math.MaxUint32
}

// idle reports whether a key has its whole burst and no open request, so that it can be forgotten without any loss.
func (e *entry) idle(now time.Duration) bool { return e.theoreticalArrival <= now && e.open == 0 }

// sketchCell counts the requests of all keys that share it.
type sketchCell struct {
	theoreticalArrival time.Duration
	open               int32
}

// table counts the requests of the keys of one limit, in memory that never grows. A key is stored in one of eight slots
// that its hash selects. A slot whose key is idle can be reused, so neither sweeps nor timers are needed. If all eight
// slots are in use, the key is counted in a sketch (count-min with conservative update), which never charges a key less
// than it used, but maybe more.
type table struct {
	definition     Definition
	interval       time.Duration // emission interval: the time between two requests at the limit's rate
	burstTolerance time.Duration
	grace          time.Duration // time for which an idle returning key keeps its slot
	slots          []entry
	usage          []parentUsage // usage of the key in each slot; nil if the limit is no parent
	sketch         [sketchRows][]sketchCell
	scratch        entry // estimate for the key that was looked up last of those without a slot
}

// lookup is the result of looking up a key in a table.
type lookup struct {
	*entry
	usage *parentUsage // nil if the limit is no parent or the key has no slot
	exact bool         // the entry is a slot, not an estimate of the sketch
}

func newTable(definition Definition, isParent bool) *table {
	size := 1 << bits.Len(uint(definition.Keys-1))
	t := &table{
		definition: definition,
		interval:   emissionInterval(definition.Rate),
		slots:      make([]entry, size),
	}
	t.burstTolerance = time.Duration((definition.Burst - 1) * float64(t.interval))
	t.grace = min(maxGrace, graceIntervals*t.interval)
	if isParent {
		t.usage = make([]parentUsage, size)
	}
	for row := range t.sketch {
		t.sketch[row] = make([]sketchCell, max(MinKeys, size/keysPerSketchCell))
	}
	return t
}

// emissionInterval returns the time between two requests at a rate, or 0 if the rate is 0, which means no limit.
func emissionInterval(rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(math.Round(float64(time.Second) / rate))
}

func (t *table) bytes() int {
	return len(t.slots)*int(unsafe.Sizeof(entry{})) +
		len(t.usage)*int(unsafe.Sizeof(parentUsage{})) +
		sketchRows*len(t.sketch[0])*int(unsafe.Sizeof(sketchCell{}))
}

// find looks up a key by its hash, and gives a new key a slot if one is free. The result is valid until the next find
// in the same table.
func (t *table) find(hash uint64, now time.Duration) lookup {
	first := t.firstSlot(hash)
	free := -1
	for i := first; i < first+slotsPerBucket; i++ {
		e := &t.slots[i]
		if e.hash == hash && e.seen > 0 {
			return t.slot(i)
		}
		if t.replaceable(e, now) && (free < 0 || e.theoreticalArrival < t.slots[free].theoreticalArrival) {
			free = i
		}
	}
	if free < 0 {
		return lookup{entry: t.estimate(hash)}
	}
	t.slots[free] = entry{hash: hash}
	if t.usage != nil {
		t.usage[free] = parentUsage{}
	}
	return t.slot(free)
}

// firstSlot returns the index of the first slot in which a key may be stored.
func (t *table) firstSlot(hash uint64) int {
	return int(hash) & (len(t.slots) - 1) &^ (slotsPerBucket - 1)
}

// replaceable reports whether another key may take a slot. A returning key keeps its slot for a while, so that a flood
// of keys that come only once does not evict it.
func (t *table) replaceable(e *entry, now time.Duration) bool {
	return e.idle(now) && (e.seen < minReturningRequests || e.theoreticalArrival+t.grace <= now)
}

// slot returns the lookup of the key in a slot.
func (t *table) slot(i int) lookup {
	found := lookup{entry: &t.slots[i], exact: true}
	if t.usage != nil {
		found.usage = &t.usage[i]
	}
	return found
}

// estimate returns the sketch's estimate for a key: the lowest value of each count among the key's cells.
func (t *table) estimate(hash uint64) *entry {
	t.scratch = entry{hash: hash, theoreticalArrival: math.MaxInt64, open: math.MaxInt32}
	for row := range t.sketch {
		cell := t.cell(row, hash)
		t.scratch.theoreticalArrival = min(t.scratch.theoreticalArrival, cell.theoreticalArrival)
		t.scratch.open = min(t.scratch.open, cell.open)
	}
	return &t.scratch
}

// cell returns the cell of a key in a row of the sketch. Each row mixes the hash differently, so that two keys rarely
// share all their cells.
func (t *table) cell(row int, hash uint64) *sketchCell {
	mixed := (hash ^ uint64(row+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	cells := t.sketch[row]
	return &cells[(mixed>>32)%uint64(len(cells))]
}

// wait returns the time until the table's limit admits another request of a key. 0 means that it does now. If too many
// requests are open, the time is unknown, and wait returns OpenRetryAfter.
func (t *table) wait(e *entry, now time.Duration) time.Duration {
	if t.definition.Concurrency > 0 && int(e.open) >= t.definition.Concurrency {
		return OpenRetryAfter
	}
	if t.definition.Rate == 0 {
		return 0
	}
	// The generic cell rate algorithm (ITU-T I.371): a request is admitted if its theoretical arrival is at most the
	// burst tolerance ahead.
	return max(0, e.theoreticalArrival-now-t.burstTolerance)
}

// used returns how many requests of a key's burst are in use.
func (t *table) used(e *entry, now time.Duration) float64 {
	return max(0, float64(e.theoreticalArrival-now)/float64(t.interval))
}

// count adds an admitted request to the counts of its key.
func (t *table) count(found lookup, now time.Duration) {
	if t.definition.Rate > 0 {
		found.theoreticalArrival = max(found.theoreticalArrival, now) + t.interval
	}
	if found.seen < math.MaxUint32 {
		found.seen++
	}
	switch {
	case !found.exact:
		t.countInSketch(found.entry)
	case t.definition.Concurrency > 0:
		found.open++
	}
}

// countInSketch counts a request of a key without a slot. It raises each cell to the theoretical arrival of the key and
// no further.
func (t *table) countInSketch(e *entry) {
	for row := range t.sketch {
		cell := t.cell(row, e.hash)
		cell.theoreticalArrival = max(cell.theoreticalArrival, e.theoreticalArrival)
		if t.definition.Concurrency > 0 {
			cell.open++
		}
	}
}

// release ends an open request of a key.
func (t *table) release(hash uint64, exact bool) {
	if t.definition.Concurrency == 0 { // open requests are not counted
		return
	}
	if !exact {
		for row := range t.sketch {
			t.cell(row, hash).open--
		}
		return
	}
	first := t.firstSlot(hash)
	for i := first; i < first+slotsPerBucket; i++ {
		if e := &t.slots[i]; e.hash == hash && e.open > 0 {
			e.open--
			return
		}
	}
}

// activeKeys counts the slots whose key is not idle.
func (t *table) activeKeys(now time.Duration) (n int) {
	for i := range t.slots {
		if !t.slots[i].idle(now) {
			n++
		}
	}
	return n
}
