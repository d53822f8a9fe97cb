// Package ratelimit bounds what each key may ask for: requests a second with a burst, and requests open at once. Keys
// are whatever an expression gives; ever new ones cost no more memory than was set aside. It has no clock, no lock and
// does no I/O: its caller passes the time and calls from one goroutine at a time.
package ratelimit

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Definition is one limit. Its key is computed elsewhere.
type Definition struct {
	Name   string
	Rate   float64 // requests a second; 0: no limit of the rate
	Burst  float64 // requests at once after a rest
	Open   int     // requests open at once; 0: no limit of them
	Parent string  // the limit that a request has to pass, too; empty: none
	Keys   int     // keys that are counted exactly at a time; the rest share cells
}

// Bounds of a definition.
const (
	MaxRate    = 1e6
	MaxBurst   = 1e6
	MaxOpen    = 1 << 20
	MinKeys    = 1 << 10
	MaxKeys    = 1 << 24
	mostDepth  = 4
	mostLimits = 256
)

// fairShare is the share of what is left of a parent that one key may hold. With n keys that take all they get, each
// holds 1/(n+1) of the parent's burst and as much is left for who asks less (the dynamic threshold of A. Choudhury and
// E. Hahne, IEEE/ACM Transactions on Networking 6(2), 1998).
const fairShare = 1.0

// OpenRetry is what a client is told where as many requests are open as may be: nobody knows when one will end.
const OpenRetry = time.Second

// Claim is what a request asks of one limit.
type Claim struct {
	Limit int    // its number among the definitions
	Key   string // empty is a key like any other
}

// Decision is the answer to asks.
type Decision struct {
	Admitted   bool
	Limit      int           // where not taken: the limit that refused
	RetryAfter time.Duration // and when coming back makes sense
	Grant      Grant         // where taken: to be given to Release once, at the request's end
}

// MaxClaims is how many limits a request may ask.
const MaxClaims = 8

// Grant tells what a taken request holds. It stays good when the limits are replaced.
type Grant struct {
	held  [MaxClaims]holding
	count int
}

type holding struct {
	table *table
	limit int
	hash  uint64
	exact bool
}

// Limiter counts for a list of limits. It owns all tables.
type Limiter struct {
	defs   []Definition
	parent []int // by limit; -1: none
	tables []*table
	kept   map[string]*table // by definition
	now    time.Duration
}

// New makes a Limiter. Its errors name the limit.
func New(defs []Definition) (*Limiter, error) {
	l := &Limiter{}
	return l, l.Replace(defs)
}

// Replace changes the limits. What was counted is kept for each limit whose definition stays as it was; on an error
// all stays.
func (l *Limiter) Replace(defs []Definition) error {
	if _, err := Check(defs); err != nil {
		return err
	}
	parents := parentsOf(defs)
	isParent := map[int]bool{}
	for _, p := range parents {
		isParent[p] = true
	}
	kept := map[string]*table{}
	tables := make([]*table, len(defs))
	for i, d := range defs {
		id := fmt.Sprintf("%+v %v", d, isParent[i])
		if kept[id] = l.kept[id]; kept[id] == nil {
			kept[id] = newTable(d, isParent[i])
		}
		tables[i] = kept[id]
	}
	l.defs, l.parent, l.tables, l.kept = defs, parents, tables, kept
	return nil
}

// Check tells which of the definitions is faulty and why.
func Check(defs []Definition) (number int, err error) {
	if len(defs) > mostLimits {
		return mostLimits, fmt.Errorf("%d limits are more than %d", len(defs), mostLimits)
	}
	names := map[string]bool{}
	for i, d := range defs {
		var wrong error
		switch {
		case d.Name == "" || names[d.Name]:
			wrong = errors.New("the name is missing or taken")
		case !(d.Rate >= 0 && d.Rate <= MaxRate):
			wrong = fmt.Errorf("rate: %v is not from 0 to %v", d.Rate, MaxRate)
		case d.Rate > 0 && !(d.Burst >= 1 && d.Burst <= MaxBurst):
			wrong = fmt.Errorf("burst: %v is not from 1 to %v", d.Burst, MaxBurst)
		case d.Open < 0 || d.Open > MaxOpen:
			wrong = fmt.Errorf("open: %d is not from 0 to %d", d.Open, MaxOpen)
		case d.Rate == 0 && d.Open == 0:
			wrong = errors.New("it bounds neither the rate nor what is open")
		case d.Keys < MinKeys || d.Keys > MaxKeys:
			wrong = fmt.Errorf("keys: %d is not from %d to %d", d.Keys, MinKeys, MaxKeys)
		}
		if wrong != nil {
			return i, fmt.Errorf("limit %q: %w", d.Name, wrong)
		}
		names[d.Name] = true
	}
	parents := parentsOf(defs)
	for i, d := range defs {
		if d.Parent != "" && !names[d.Parent] {
			return i, fmt.Errorf("limit %q: parent: there is no limit %q", d.Name, d.Parent)
		}
		depth := 0
		for p := i; p >= 0; p = parents[p] {
			if depth++; depth > mostDepth {
				return i, fmt.Errorf("limit %q: parent: it has itself above it, or more than %d limits", d.Name, mostDepth)
			}
		}
	}
	return 0, nil
}

// parentsOf gives the number of each definition's parent; -1 where it has none.
func parentsOf(defs []Definition) []int {
	number := map[string]int{}
	for i, d := range defs {
		number[d.Name] = i
	}
	parents := make([]int, len(defs))
	for i, d := range defs {
		parents[i] = -1
		if p, ok := number[d.Parent]; ok && d.Parent != "" {
			parents[i] = p
		}
	}
	return parents
}

// Take asks several limits at once: all of them take the request, or none does and nothing is counted. A limit whose
// parent is among the asks shares that parent fairly with its other keys. Each limit is asked once at most, and no more
// than MaxClaims are. The clock only needs to advance; a step back counts as no time.
func (l *Limiter) Take(now time.Duration, asks []Claim) Decision {
	l.now = max(l.now, now)
	var found [MaxClaims]place
	var grant Grant
	grant.count = len(asks)
	refused := Decision{Limit: -1}
	refuse := func(limit int, wait time.Duration) {
		if wait > refused.RetryAfter {
			refused = Decision{Limit: limit, RetryAfter: wait}
		}
	}
	for i, a := range asks {
		t, hash := l.tables[a.Limit], xxhash.Sum64String(a.Key)
		found[i] = t.find(hash, l.now)
		grant.held[i] = holding{t, a.Limit, hash, found[i].exact}
		refuse(a.Limit, t.wait(found[i].entry, l.now))
	}
	for i, a := range asks {
		if p := grant.indexOf(l.parent[a.Limit]); p >= 0 {
			refuse(l.parent[a.Limit], l.tables[l.parent[a.Limit]].fairWait(found[i], found[p], l.now))
		}
	}
	if refused.Limit >= 0 {
		return refused
	}
	for i := range asks {
		grant.held[i].table.take(found[i], l.now)
	}
	for i, a := range asks {
		if p := grant.indexOf(l.parent[a.Limit]); p >= 0 {
			l.tables[l.parent[a.Limit]].charge(found[i], found[p], l.now)
		}
	}
	return Decision{Admitted: true, Grant: grant}
}

// indexOf finds the holding of a limit; -1 where there is none.
func (g *Grant) indexOf(limit int) int {
	for i := range g.count {
		if g.held[i].limit == limit {
			return i
		}
	}
	return -1
}

// Release ends a taken request: it is no longer open. A grant is released once.
func (l *Limiter) Release(g Grant) {
	for _, h := range g.held[:g.count] {
		h.table.release(h.hash, h.exact)
	}
}

// wait is how long until a key's own limit takes one more; 0: it does now.
func (t *table) wait(e *entry, now time.Duration) time.Duration {
	if t.def.Open > 0 && int(e.open) >= t.def.Open {
		return OpenRetry
	}
	if t.def.Rate == 0 {
		return 0
	}
	// The generic cell rate algorithm (ITU-T I.371): a request is taken if its theoretical arrival is no more than the
	// burst ahead.
	return max(0, e.due-now-t.ahead)
}

// used is how many requests of a key's burst are used up.
func (t *table) used(e *entry, now time.Duration) float64 {
	return max(0, float64(e.due-now)/float64(t.each))
}

// take counts a request.
func (t *table) take(p place, now time.Duration) {
	if t.def.Rate > 0 {
		p.due = max(p.due, now) + t.each
	}
	if p.seen++; p.seen == 0 {
		p.seen--
	}
	if !p.exact {
		t.spread(p.entry)
	} else if t.def.Open > 0 {
		p.open++
	}
}

// fairWait is how long until a child may have one more of what is left of its parent.
func (t *table) fairWait(child, parent place, now time.Duration) time.Duration {
	if t.def.Rate == 0 || parent.drain == nil {
		return 0
	}
	used := t.used(parent.entry, now)
	held := parent.drain.part(child.entry, used)
	if held+1 <= max(1, fairShare*(t.def.Burst-used)) {
		return 0
	}
	// What is used drains by the rate, and each key's part of it in proportion.
	enough := fairShare * t.def.Burst / (fairShare + (held+1)/max(used, 1))
	return time.Duration(max(0, used-enough)/t.def.Rate*float64(time.Second)) + t.each
}

// charge adds a taken request to a child's part of its parent.
func (t *table) charge(child, parent place, now time.Duration) {
	if t.def.Rate == 0 || parent.drain == nil {
		return
	}
	used := t.used(parent.entry, now) // with this request
	held := parent.drain.part(child.entry, max(0, used-1))
	child.share, child.epoch = (held+1)/parent.drain.scale, parent.drain.epoch
	parent.drain.level = used
}

// part is what a child holds of the parent's used requests. All parts shrink together as the parent drains, so that
// one scale serves them.
func (d *drain) part(child *entry, used float64) float64 {
	switch {
	case used <= 0 || d.scale < 1e-100:
		d.epoch, d.scale, d.level = d.epoch+1, 1, used // nothing is held any more
	case used < d.level:
		d.scale, d.level = d.scale*used/d.level, used
	}
	if child.epoch != d.epoch {
		return 0
	}
	return min(child.share*d.scale, used)
}

// Live counts the keys of a limit that have a slot and are not at rest.
func (l *Limiter) Live(limit int) int { return l.tables[limit].live(l.now) }

// Bytes is the memory that all tables take.
func (l *Limiter) Bytes() (sum int) {
	for _, t := range l.tables {
		sum += t.bytes()
	}
	return sum
}

func span(rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(math.Round(float64(time.Second) / rate))
}
