// Package engine holds the rules that are in force: the set by which requests are evaluated, a second set that shadows
// it, the rate limits, and counts of faults and rejections. It may be used by many goroutines. Packages rules and
// ratelimit decide; this package owns their state and its lock.
package engine

import (
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/expression"
)

// maxLoggedSamples is how many differences of the shadow are logged in each report interval.
const maxLoggedSamples = 5

// Engine evaluates requests by the rules in force, which Swap replaces.
type Engine struct {
	log     *slog.Logger
	current atomic.Pointer[generation]
	clock   func() time.Duration

	mu      sync.Mutex // protects the fields below
	limiter *ratelimit.Limiter
	counts  map[countKey]int
	sample  rate.Sometimes
}

// generation is the rules that a request keeps from its beginning to its end. The claims of a set number the limits of
// the same set.
type generation struct {
	set    *rules.Set // nil: there are no rules
	shadow *rules.Set // nil: there is no shadow
}

// New returns an Engine without rules.
func New(log *slog.Logger) *Engine {
	limiter, err := ratelimit.New(nil)
	if err != nil {
		panic(err) // No definition can be faulty, as there is none.
	}
	started := time.Now()
	return &Engine{
		log:     log,
		clock:   func() time.Duration { return time.Since(started) },
		limiter: limiter,
		counts:  map[countKey]int{},
		sample:  rate.Sometimes{First: maxLoggedSamples, Interval: reportInterval},
	}
}

// Swap replaces the rules as a whole; a nil set means that there are none. Requests in flight keep theirs. A limit
// whose definition does not change keeps its counts.
func (e *Engine) Swap(set, shadow *rules.Set) error {
	var definitions []ratelimit.Definition
	if set != nil {
		definitions = set.Limits()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.limiter.Replace(definitions); err != nil {
		return err
	}
	old := hashOf(nil)
	if previous := e.current.Swap(&generation{set: set, shadow: shadow}); previous != nil {
		old = hashOf(previous.set)
	}
	if hashOf(set) != old || shadow != nil {
		e.log.Info("rules loaded",
			"old", old,
			"new", hashOf(set),
			"shadow", hashOf(shadow),
			"limits_bytes", e.limiter.Bytes(),
		)
	}
	return nil
}

// hashOf names a set in the log.
func hashOf(set *rules.Set) string {
	if set == nil {
		return "none"
	}
	return set.Hash
}

// active returns the rules in force; nil if there are none.
func (e *Engine) active() *generation {
	g := e.current.Load()
	if g == nil || g.set == nil {
		return nil
	}
	return g
}

// InForce reports whether there are rules.
func (e *Engine) InForce() bool { return e.active() != nil }

// Begin evaluates a request and returns what the rules set for it. The error says why the request must be rejected. The
// Request must be released in either case; it is nil if there are no rules.
func (e *Engine) Begin(f *expression.Facts) (*Request, rules.Result, error) {
	g := e.active()
	if g == nil {
		return nil, rules.Result{}, nil
	}
	request := e.newRequest(g, f)
	result, err := request.evaluation.Apply()
	e.countFaults(result.Faults, err)
	if g.shadow != nil {
		e.compareShadow(g.shadow, f, &result, err)
	}
	return request, result, err
}

// Admit identifies the client by the rules and acquires the limits. It serves frontends that know class, plan and
// volume themselves. The Request must be released in either case; it is nil if there are no rules.
func (e *Engine) Admit(f *expression.Facts, class, plan, volume string) (*Request, error) {
	g := e.active()
	if g == nil {
		return nil, nil
	}
	request := e.newRequest(g, f)
	result, err := request.evaluation.Normalise()
	e.countFaults(result.Faults, err)
	if err == nil {
		err = request.AcquireLimits(class, plan, volume)
	}
	return request, err
}

// Client returns the name of the client by the first stage of the rules; empty if they set none. It counts nothing, as
// the request is evaluated once more.
func (e *Engine) Client(f *expression.Facts) string {
	g := e.active()
	if g == nil {
		return ""
	}
	evaluation := g.set.Begin(f)
	defer evaluation.End()
	result, err := evaluation.Normalise()
	if err != nil {
		return ""
	}
	return result.Client
}

// compareShadow evaluates a request by the shadow and counts how its result differs. Nothing of it is applied.
func (e *Engine) compareShadow(shadow *rules.Set, f *expression.Facts, result *rules.Result, resultErr error) {
	differences := shadow.Differences(f, result, resultErr)
	if len(differences) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, difference := range differences {
		e.count(countKey{difference.Field, eventShadowDiffers})
	}
	e.sample.Do(func() {
		e.log.Info("shadow rules differ", "method", f.Method, "path", f.Path, "differences", differences)
	})
}

// countFaults counts faults by rule and cause. The error is the fault, if any, for which the request is rejected.
func (e *Engine) countFaults(faults []rules.RuleFault, err error) {
	var last rules.RuleFault
	if errors.As(err, &last) {
		faults = append(slices.Clip(faults), last)
	}
	if len(faults) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, fault := range faults {
		e.count(countKey{fault.Rule.Name, string(fault.Fault.Cause)})
	}
}
