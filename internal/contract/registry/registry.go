// Package registry holds the catalog in force. It finds the operation of each request, and limits and counts
// undescribed calls. It is safe for concurrent use: packages catalog and ratelimit make the decisions, and this package
// owns their state and the lock that protects it.
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

// Options specify how undescribed calls are handled.
type Options struct {
	RejectUndescribed bool    // whether to reject them; if not, they are not retried once they may have run
	Rate              float64 // admitted calls per second; 0: no limit
	Burst             float64 // calls admitted at once after an idle time; less than 1: 1
	MaxInFlight       int     // calls in flight; 0: no limit
}

// limited reports whether undescribed calls are limited.
func (o *Options) limited() bool { return o.Rate > 0 || o.MaxInFlight > 0 }

// definitions returns the definition of the limit of undescribed calls, if there is a limit.
func (o *Options) definitions() []ratelimit.Definition {
	if !o.limited() {
		return nil
	}
	return []ratelimit.Definition{{
		Name:        catalog.UndescribedName,
		Rate:        o.Rate,
		Burst:       max(1, o.Burst),
		Concurrency: o.MaxInFlight,
		Keys:        ratelimit.MinKeys,
	}}
}

// maxLoggedSamples is the number of undescribed calls that are logged individually at first. After these, a call is
// logged only if reportInterval has passed since the last one was.
const maxLoggedSamples = 5

// Registry finds operations in the catalog in force, which Swap replaces.
type Registry struct {
	log     *slog.Logger
	current atomic.Pointer[catalog.Catalog] // nil: no descriptions are in force
	clock   func() time.Duration            // the time since New

	mu         sync.Mutex // protects the fields below
	options    Options
	limiter    *ratelimit.Limiter
	counts     Counts
	logSampler rate.Sometimes
}

// New returns a Registry without a catalog.
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

// Swap replaces the catalog, and sets whether undescribed calls are rejected. If next is nil, no descriptions are in
// force. Requests in flight keep the entry that they have.
func (r *Registry) Swap(next *catalog.Catalog, rejectUndescribed bool) {
	r.mu.Lock()
	r.options.RejectUndescribed = rejectUndescribed
	r.mu.Unlock()
	previous := r.current.Swap(next)
	if next != nil && next != previous {
		r.log.Info("contracts loaded", "operations", len(next.Entries()), "classes", len(next.GeneratedClasses))
	}
}

// active returns the catalog in force; nil if there is none or if r is nil.
func (r *Registry) active() *catalog.Catalog {
	if r == nil {
		return nil
	}
	return r.current.Load()
}

// InForce reports whether descriptions are in force.
func (r *Registry) InForce() bool { return r.active() != nil }

// ErrUndescribed is the error for an undescribed call that is rejected. Clients see its text.
var ErrUndescribed = errors.New("no description has this operation")

// RateLimitedError is the error for an undescribed call that exceeds the limit of such calls.
type RateLimitedError struct{ RetryAfter time.Duration }

// Error returns the text that is sent to the client.
func (e RateLimitedError) Error() string {
	return "too many requests of operations that no description has"
}

// Match is the result of looking up one request in the catalog.
type Match struct {
	*catalog.Entry
	Call       contract.Call
	Parameters []string // the values of the path parameters

	registry *Registry
	grant    ratelimit.Grant
	hasGrant bool
}

// Begin finds the operation of a request. Its error is ErrUndescribed or a RateLimitedError. The caller must release
// the Match even after an error. The Match is nil if no descriptions are in force.
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

// Release returns the grant of the request to the rate limiter. It must be called once, when the response has been sent
// or the client has disconnected. A nil Match has no grant.
func (m *Match) Release() {
	if m == nil || !m.hasGrant {
		return
	}
	m.registry.mu.Lock()
	defer m.registry.mu.Unlock()
	m.registry.limiter.Release(m.grant)
}

// Command returns the entry of a READ or WRITE command of the iSCSI frontend; nil if no commands are described.
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

// admitUndescribed counts an undescribed call, may log it, and returns an error if it is not admitted.
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
