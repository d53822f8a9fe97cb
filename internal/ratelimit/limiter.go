// Package ratelimit limits the requests of each key, such as a client: requests a second with a burst, and requests
// open at a time. The caller computes the keys. New keys take no memory beyond what was reserved at the start.
//
// The package reads no clock, takes no lock and does no I/O: its caller passes the time and calls from one goroutine at
// a time.
//
// The parts of the package:
//
//   - Definition defines a limit, and Check finds invalid definitions.
//   - Limiter admits or rejects requests under several limits at once.
//   - A table (table.go) counts the requests of each key of one limit: exactly if the key has a slot of the table,
//     otherwise in a sketch, whose counters several keys share.
//   - fairshare.go divides the burst of a parent limit among the keys of its children.
package ratelimit

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OpenRetryAfter is the Retry-After of a request that is rejected because too many are open. It is a constant, because
// it is unknown when one of them will end.
const OpenRetryAfter = time.Second

// MaxClaims is the largest number of limits that a request may be subject to.
const MaxClaims = 8

// Claim names a limit that a request is subject to, and the key that it counts for.
type Claim struct {
	Limit int    // index among the definitions
	Key   string // the empty string is a key like any other
}

// Decision says whether a request is within its limits and, if not, when a retry may be admitted.
type Decision struct {
	Admitted   bool
	Limit      int           // if rejected: index of the limit that makes the request wait longest
	RetryAfter time.Duration // if rejected: time until a retry may be admitted
	Grant      Grant         // if admitted: to be passed to Release once, at the end of the request
}

// rejectUntil makes the Decision a rejection by a limit if that limit makes the request wait longer than those before.
func (d *Decision) rejectUntil(limit int, wait time.Duration) {
	if wait > d.RetryAfter {
		*d = Decision{Limit: limit, RetryAfter: wait}
	}
}

// Grant holds the reservations of an admitted request. It stays valid when the limits are replaced.
type Grant struct {
	reservations [MaxClaims]reservation
	count        int
}

// reservation says where a request is counted by one limit.
type reservation struct {
	table *table
	limit int
	hash  uint64 // hash of the key
	exact bool   // the request is counted in a slot, not in the sketch
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
	parents    []int             // index of each limit's parent, or noLimit
	tables     []*table          // table of each limit
	byIdentity map[string]*table // tables by definition and whether it is a parent, for Replace
	now        time.Duration     // latest time that Take was given
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

// Take admits a request if all claimed limits admit it. Otherwise it rejects the request, and no limit counts it. If
// the parent of a limit is among the claims as well, the keys of the limit share that parent fairly. Each limit is
// claimed at most once, and there are at most MaxClaims claims. If the time steps back, it counts as unchanged.
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

// Release reports that an admitted request has ended and is no longer open. Each grant is released once.
func (l *Limiter) Release(grant Grant) {
	for _, reserved := range grant.reservations[:grant.count] {
		reserved.table.release(reserved.hash, reserved.exact)
	}
}

// ActiveKeys returns how many keys of the limit with this index are counted exactly and are not idle.
func (l *Limiter) ActiveKeys(limit int) int { return l.tables[limit].activeKeys(l.now) }

// Bytes returns the size of all tables in memory.
func (l *Limiter) Bytes() (sum int) {
	for _, table := range l.tables {
		sum += table.bytes()
	}
	return sum
}
