// Package ratelimit limits what each key may request: requests a second with a burst, and requests open at a time.
// Keys are the values of an expression. New keys take no more memory than was reserved at the start.
//
// The package has no clock, no lock and does no I/O: its caller passes the time and calls from one goroutine at a time.
//
// The parts of the package:
//
//   - Definition is a limit, and Check finds faulty ones.
//   - Limiter admits or rejects requests under several limits at once.
//   - A table (table.go) counts the keys of one limit, exactly in slots or, without a free slot, in a sketch.
//   - fairshare.go divides the burst of a parent limit among the keys of its children.
package ratelimit

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OpenRetryAfter is the Retry-After where as many requests are open as are allowed: nobody knows when one will end.
const OpenRetryAfter = time.Second

// MaxClaims bounds the limits that a request may be under.
const MaxClaims = 8

// Claim is what a request needs from one limit.
type Claim struct {
	Limit int    // its number among the definitions
	Key   string // empty is a key like any other
}

// Decision is the result of Take.
type Decision struct {
	Admitted   bool
	Limit      int           // if rejected: the limit that makes the request wait for longest
	RetryAfter time.Duration // if rejected: when a retry makes sense
	Grant      Grant         // if admitted: to be passed to Release once, at the end of the request
}

// rejectUntil makes the Decision a rejection by a limit if that makes the request wait for longer than any other.
func (d *Decision) rejectUntil(limit int, wait time.Duration) {
	if wait > d.RetryAfter {
		*d = Decision{Limit: limit, RetryAfter: wait}
	}
}

// Grant is what an admitted request has reserved. It stays valid when the limits are replaced.
type Grant struct {
	reservations [MaxClaims]reservation
	count        int
}

// reservation is what a request has reserved of one limit.
type reservation struct {
	table *table
	limit int
	hash  uint64 // of the key
	exact bool   // it is counted in a slot, not in the sketch
}

// indexOf returns the index of the reservation of a limit, or -1.
func (g *Grant) indexOf(limit int) int {
	for i := range g.count {
		if g.reservations[i].limit == limit {
			return i
		}
	}
	return -1
}

// Limiter enforces a list of limits. It owns their tables.
type Limiter struct {
	parents    []int             // by limit, or noLimit
	tables     []*table          // by limit
	byIdentity map[string]*table // by all that a table depends on, for Replace
	now        time.Duration
}

// New makes a Limiter. The error is that of Check.
func New(definitions []Definition) (*Limiter, error) {
	l := &Limiter{}
	return l, l.Replace(definitions)
}

// Replace replaces the limits. A limit whose definition is unchanged keeps its counts. On an error nothing changes.
func (l *Limiter) Replace(definitions []Definition) error {
	if _, err := Check(definitions); err != nil {
		return err
	}
	parents := parentsOf(definitions)
	isParent := map[int]bool{}
	for _, parent := range parents {
		isParent[parent] = true
	}
	byIdentity := map[string]*table{}
	tables := make([]*table, len(definitions))
	for i, definition := range definitions {
		identity := fmt.Sprintf("%+v %v", definition, isParent[i])
		counts := l.byIdentity[identity]
		if counts == nil {
			counts = newTable(definition, isParent[i])
		}
		byIdentity[identity] = counts
		tables[i] = counts
	}
	l.parents = parents
	l.tables = tables
	l.byIdentity = byIdentity
	return nil
}

// Take admits a request if all claimed limits do. Otherwise it rejects the request and counts nothing. A limit whose
// parent is among the claims shares that parent fairly with its other keys. Each limit is claimed at most once, and
// there are at most MaxClaims claims. If the time steps back, it counts as unchanged.
func (l *Limiter) Take(now time.Duration, claims []Claim) Decision {
	l.now = max(l.now, now)
	var found [MaxClaims]lookup
	grant := Grant{count: len(claims)}
	rejection := Decision{Limit: noLimit}
	for i, claim := range claims {
		table := l.tables[claim.Limit]
		hash := xxhash.Sum64String(claim.Key)
		found[i] = table.find(hash, l.now)
		grant.reservations[i] = reservation{table: table, limit: claim.Limit, hash: hash, exact: found[i].exact}
		rejection.rejectUntil(claim.Limit, table.wait(found[i].entry, l.now))
	}
	for i, claim := range claims {
		parent := l.parents[claim.Limit]
		if p := grant.indexOf(parent); p >= 0 {
			rejection.rejectUntil(parent, l.tables[parent].fairWait(found[i], found[p], l.now))
		}
	}
	if rejection.Limit != noLimit {
		return rejection
	}
	for i := range claims {
		grant.reservations[i].table.count(found[i], l.now)
	}
	for i, claim := range claims {
		parent := l.parents[claim.Limit]
		if p := grant.indexOf(parent); p >= 0 {
			l.tables[parent].charge(found[i], found[p], l.now)
		}
	}
	return Decision{Admitted: true, Grant: grant}
}

// Release ends an admitted request: it is no longer open. A grant is released once.
func (l *Limiter) Release(grant Grant) {
	for _, reserved := range grant.reservations[:grant.count] {
		reserved.table.release(reserved.hash, reserved.exact)
	}
}

// ActiveKeys returns the number of keys of a limit that have a slot and are not idle.
func (l *Limiter) ActiveKeys(limit int) int { return l.tables[limit].activeKeys(l.now) }

// Bytes returns the memory that all tables take.
func (l *Limiter) Bytes() (sum int) {
	for _, table := range l.tables {
		sum += table.bytes()
	}
	return sum
}
