package ratelimit

import (
	"math/bits"
	"time"
	"unsafe"
)

const (
	ways      = 8                // slots in which a key may stand
	rows      = 4                // of shared cells
	cellShare = 8                // exact keys for each cell of a row
	mostGrace = 10 * time.Second // for which a key that came again keeps its slot at rest
	graceEach = 20               // or for so many of its requests' times
	tried     = 2                // requests after which a key counts as one that comes again
)

// entry is what is counted of one key.
type entry struct {
	hash  uint64
	due   time.Duration // theoretical arrival of the next request; now or earlier: the burst is full again
	share float64       // of the parent's used requests, by the parent's scale
	epoch uint32        // of the parent, to which share belongs
	open  int32
	seen  uint32
}

// drain tells of a parent how what it has used shrinks: one scale for the parts of all its children.
type drain struct {
	scale, level float64
	epoch        uint32
}

// cell is shared by the keys that found no slot. Each key has one in every row and counts by the least of them.
type cell struct {
	due  time.Duration
	open int32
}

// table holds the keys of one limit in memory that never grows. A key stands in one of eight slots by its hash. A slot
// whose key is at rest is as good as empty, so nothing has to be swept and no timer runs. Where all eight are taken,
// the key counts in shared cells (a count-min sketch with conservative update): never less than it used, maybe more.
type table struct {
	def     Definition
	each    time.Duration // a request's time by the rate
	ahead   time.Duration // what the burst allows
	grace   time.Duration
	slots   []entry
	drains  []drain // of a limit that is a parent, by slot
	cells   [rows][]cell
	scratch entry // stands for the key at hand where it has no slot
}

// place is where a key is counted.
type place struct {
	*entry
	drain *drain // nil where the limit is no parent, or the key has no slot
	exact bool
}

func newTable(d Definition, parent bool) *table {
	size := 1 << bits.Len(uint(d.Keys-1))
	t := &table{def: d, each: span(d.Rate), slots: make([]entry, size)}
	t.ahead = time.Duration((d.Burst - 1) * float64(t.each))
	t.grace = min(mostGrace, graceEach*t.each)
	if parent {
		t.drains = make([]drain, size)
	}
	for i := range t.cells {
		t.cells[i] = make([]cell, max(MinKeys, size/cellShare))
	}
	return t
}

func (t *table) bytes() int {
	return len(t.slots)*int(unsafe.Sizeof(entry{})) + len(t.drains)*int(unsafe.Sizeof(drain{})) +
		rows*len(t.cells[0])*int(unsafe.Sizeof(cell{}))
}

func (e *entry) rests(now time.Duration) bool { return e.due <= now && e.open == 0 }

// find gives the place of a key; a slot is taken over for it where one is free. What is found holds until the next call
// for the same table.
func (t *table) find(hash uint64, now time.Duration) place {
	first := int(hash) & (len(t.slots) - 1) &^ (ways - 1)
	free := -1
	for i := first; i < first+ways; i++ {
		e := &t.slots[i]
		if e.hash == hash && (e.seen > 0) {
			return t.at(i)
		}
		// A key that comes again keeps its slot for a while: whoever invents keys must not push it out.
		if e.rests(now) && (e.seen < tried || e.due+t.grace <= now) && (free < 0 || e.due < t.slots[free].due) {
			free = i
		}
	}
	if free >= 0 {
		t.slots[free] = entry{hash: hash}
		if t.drains != nil {
			t.drains[free] = drain{}
		}
		return t.at(free)
	}
	return place{entry: t.shared(hash)}
}

// shared gives what the cells tell of a key.
func (t *table) shared(hash uint64) *entry {
	t.scratch = entry{hash: hash, due: 1<<63 - 1, open: 1<<31 - 1}
	for row := range t.cells {
		c := t.cell(row, hash)
		t.scratch.due, t.scratch.open = min(t.scratch.due, c.due), min(t.scratch.open, c.open)
	}
	return &t.scratch
}

func (t *table) at(i int) place {
	p := place{entry: &t.slots[i], exact: true}
	if t.drains != nil {
		p.drain = &t.drains[i]
	}
	return p
}

// cell gives a key's cell of a row. Rows use different bits of a mixed hash, so that two keys rarely share all four.
func (t *table) cell(row int, hash uint64) *cell {
	mixed := (hash ^ uint64(row+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	cells := t.cells[row]
	return &cells[(mixed>>32)%uint64(len(cells))]
}

// spread counts a request of a key without a slot.
func (t *table) spread(e *entry) {
	for row := range t.cells {
		c := t.cell(row, e.hash)
		if c.due = max(c.due, e.due); t.def.Open > 0 {
			c.open++
		}
	}
}

// release ends an open request of a key.
func (t *table) release(hash uint64, exact bool) {
	if t.def.Open == 0 { // a slot that counted what is open would not be at rest before its end
		return
	}
	if !exact {
		for row := range t.cells {
			t.cell(row, hash).open--
		}
		return
	}
	first := int(hash) & (len(t.slots) - 1) &^ (ways - 1)
	for i := first; i < first+ways; i++ {
		if e := &t.slots[i]; e.hash == hash && e.open > 0 {
			e.open--
			return
		}
	}
}

// live counts the slots whose key is not at rest.
func (t *table) live(now time.Duration) (n int) {
	for i := range t.slots {
		if !t.slots[i].rests(now) {
			n++
		}
	}
	return n
}
