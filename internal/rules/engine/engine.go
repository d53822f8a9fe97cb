// Package engine holds the rules that are in force: the set by which requests are evaluated, an optional shadow set
// whose results are compared but not applied, the rate limits, and counts of faults, rejections and shadow differences.
// An Engine may be used by many goroutines at once. Packages rules and ratelimit make the decisions; this package holds
// their state and guards it by a lock.
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

// maxLoggedSamples is the number of requests for which a difference between the results of the shadow set and of the
// rules in force is logged at once. After these, one is logged only if reportInterval has passed since the last one.
const maxLoggedSamples = 5

// Engine evaluates requests by the rules in force, which Swap replaces.
type Engine struct {
	log     *slog.Logger
	current atomic.Pointer[generation] // nil until the first Swap
	clock   func() time.Duration       // time since the Engine was made

	mu      sync.Mutex // protects the fields below
	limiter *ratelimit.Limiter
	counts  map[countKey]int
	sample  rate.Sometimes // limits how often shadow differences are logged
}

// generation holds the rules by which a request is evaluated from its beginning to its end. A request keeps its set
// because claims refer to the limits of the set that made them.
type generation struct {
	set    *rules.Set // nil: there are no rules
	shadow *rules.Set // nil: there is no shadow
}

// New returns an Engine without rules.
func New(log *slog.Logger) *Engine {
	limiter, err := ratelimit.New(nil)
	if err != nil {
		panic(err) // This can't happen: there is no definition that could be faulty.
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

// Swap replaces all rules at once; a nil set means that there are no rules. Requests in flight keep the rules that they
// began with. A limit whose definition does not change keeps its counts.
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

// hashOf returns the hash by which the log names a set, or "none".
func hashOf(set *rules.Set) string {
	if set == nil {
		return "none"
	}
	return set.Hash
}

// active returns the rules in force, or nil if there are none.
func (e *Engine) active() *generation {
	g := e.current.Load()
	if g == nil || g.set == nil {
		return nil
	}
	return g
}

// InForce reports whether any rules are in force.
func (e *Engine) InForce() bool { return e.active() != nil }

// Begin evaluates a request and returns what the rules set for it. An error means that the request must be rejected.
// The caller must release the Request even after an error. The Request is nil if there are no rules.
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

// Admit identifies the client by the rules and counts the request by the limits. It is for frontends that know class,
// plan and volume themselves. An error means that the request must be rejected. The caller must release the Request
// even after an error. The Request is nil if there are no rules.
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

// Client returns the name of the client that the first stage of the rules sets, or "" if it sets none or rejects the
// request. It does not count faults, because Begin evaluates the same request again and counts them.
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

// compareShadow evaluates a request by the shadow set, counts the fields in which its result differs and logs some of
// the differences. The result of the shadow set is not applied.
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

// countFaults counts faults by rule and cause: those for which rules were skipped, and err if the request is rejected
// for a fault.
func (e *Engine) countFaults(faults []rules.RuleFault, err error) {
	var rejecting rules.RuleFault
	if errors.As(err, &rejecting) {
		faults = append(slices.Clip(faults), rejecting)
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
