// Package registry holds the descriptions that are in force. It finds the operation of each request, limits and counts
// the calls that no description has, and may be used by many goroutines. Packages catalog and ratelimit decide; this
// package owns their state and its lock.
package registry

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/ratelimit"
)

// Options say how calls that no description has are handled.
type Options struct {
	RejectUndescribed bool    // they are rejected; otherwise they are admitted and never retried
	Rate              float64 // how many are admitted each second; 0: no limit
	Burst             float64 // how many are admitted at once
	Open              int     // how many may be in flight; 0: no limit
}

// limited reports whether there is a limit.
func (o *Options) limited() bool { return o.Rate > 0 || o.Open > 0 }

// definitions returns the limit of undescribed calls, if there is one.
func (o *Options) definitions() []ratelimit.Definition {
	if !o.limited() {
		return nil
	}
	return []ratelimit.Definition{{
		Name:  catalog.UndescribedName,
		Rate:  o.Rate,
		Burst: max(1, o.Burst),
		Open:  o.Open,
		Keys:  ratelimit.MinKeys,
	}}
}

// maxLoggedSamples is how many undescribed calls are logged one by one in each report interval.
const maxLoggedSamples = 5

// Registry finds operations by the descriptions in force, which Swap replaces.
type Registry struct {
	log     *slog.Logger
	current atomic.Pointer[catalog.Catalog] // nil: no descriptions are in force
	clock   func() time.Duration

	mu         sync.Mutex // protects the fields below
	options    Options
	limiter    *ratelimit.Limiter
	counts     Counts
	logSampler rate.Sometimes
}

// New returns a Registry without descriptions.
func New(o Options, log *slog.Logger) (*Registry, error) {
	limiter, err := ratelimit.New(o.definitions())
	if err != nil {
		return nil, err
	}
	started := time.Now()
	return &Registry{
		log:        log,
		clock:      func() time.Duration { return time.Since(started) },
		options:    o,
		limiter:    limiter,
		logSampler: rate.Sometimes{First: maxLoggedSamples, Interval: reportInterval},
	}, nil
}

// Swap replaces the descriptions as a whole; nil means that there are none. Requests in flight keep theirs.
func (r *Registry) Swap(next *catalog.Catalog, rejectUndescribed bool) {
	r.mu.Lock()
	r.options.RejectUndescribed = rejectUndescribed
	r.mu.Unlock()
	previous := r.current.Swap(next)
	if next != nil && next != previous {
		r.log.Info("contracts loaded", "operations", len(next.Entries()), "classes", len(next.GeneratedClasses))
	}
}

// active returns the catalog in force; nil if there is none. A nil Registry has none.
func (r *Registry) active() *catalog.Catalog {
	if r == nil {
		return nil
	}
	return r.current.Load()
}

// InForce reports whether there are descriptions.
func (r *Registry) InForce() bool { return r.active() != nil }

// ErrUndescribed rejects a call that no description has.
var ErrUndescribed = errors.New("no description has this operation")

// RateLimitedError rejects a call that exceeds the limit of calls that no description has.
type RateLimitedError struct{ RetryAfter time.Duration }

// Error is meant for the client.
func (e RateLimitedError) Error() string {
	return "too many requests of operations that no description has"
}

// Match is what the descriptions say of one request.
type Match struct {
	*catalog.Entry
	Call       contract.Call
	Parameters []string // the values of the path's parameters

	registry *Registry
	grant    ratelimit.Grant
	hasGrant bool
}

// Begin finds the operation of a request. The error is ErrUndescribed or a RateLimitedError. The Match must be released
// in either case; it is nil if no descriptions are in force.
func (r *Registry) Begin(call contract.Call) (*Match, error) {
	current := r.active()
	if current == nil {
		return nil, nil
	}
	match := &Match{Call: call, registry: r}
	match.Entry, match.Parameters = current.Lookup(&match.Call, nil)
	if match.Operation != nil {
		return match, nil
	}
	return match, r.admitUndescribed(match)
}

// Release returns what the request holds. It is called once, when the request is answered or its client has
// disconnected. A nil Match holds nothing.
func (m *Match) Release() {
	if m == nil || !m.hasGrant {
		return
	}
	m.registry.mu.Lock()
	defer m.registry.mu.Unlock()
	m.registry.limiter.Release(m.grant)
}

// Command returns what the descriptions say of a READ or WRITE of the iSCSI frontend; nil if they describe no command.
func (r *Registry) Command(lun int, write bool) *catalog.Entry {
	current := r.active()
	if current == nil {
		return nil
	}
	entry := current.Command(lun, write)
	if entry != nil && entry.Operation == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.countUndescribed(fmt.Sprintf("iscsi lun %d, write %v", lun, write))
	}
	return entry
}

// admitUndescribed counts a call that no description has, and decides whether it is admitted.
func (r *Registry) admitUndescribed(match *Match) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	call := &match.Call
	path := call.Path[:min(len(call.Path), maxSampleBytes)]
	r.countUndescribed(call.Method + " " + path)
	r.logSampler.Do(func() {
		r.log.Warn("undescribed operation called", "method", call.Method, "path", path, "host", call.Host)
	})
	if r.options.RejectUndescribed {
		return ErrUndescribed
	}
	if !r.options.limited() {
		return nil
	}
	claim := ratelimit.Claim{Limit: 0, Key: catalog.UndescribedName}
	decision := r.limiter.Take(r.clock(), []ratelimit.Claim{claim})
	if !decision.Admitted {
		r.counts.RateLimited++
		return RateLimitedError{RetryAfter: decision.RetryAfter}
	}
	match.grant = decision.Grant
	match.hasGrant = true
	return nil
}
