// Package registry holds the rules that are in force: the set by which requests are taken, a second one in its shadow,
// the limits and what went wrong. It is for many goroutines; the decisions themselves are in packages rules and limits.
package engine

import (
	"context"
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

const (
	reportEvery = time.Minute
	mostCounts  = 4096 // pairs of a rule and a cause, or of a rule and a shadow's difference
	samples     = 5    // differences of the shadow that are logged at once
)

// Engine are in force from one Swap to the next.
type Engine struct {
	log     *slog.Logger
	current atomic.Pointer[generation]
	clock   func() time.Duration

	mu      sync.Mutex // for what is below
	limiter *ratelimit.Limiter
	counts  map[count]int
	sample  rate.Sometimes
}

// generation is what a request keeps from its begin to its end. The limits belong to it, as asks number them.
type generation struct{ set, shadow *rules.Set }

type count struct{ rule, what string }

// New makes Rules that hold none.
func New(log *slog.Logger) *Engine {
	began := time.Now()
	l, err := ratelimit.New(nil)
	if err != nil {
		panic(err) // there is nothing that could be faulty
	}
	return &Engine{log: log, limiter: l, counts: map[count]int{}, clock: func() time.Duration { return time.Since(began) },
		sample: rate.Sometimes{First: samples, Interval: reportEvery}}
}

// Swap puts a set in force, whole; nil: none. Requests under way keep theirs. Limits whose definition stays keep what
// they counted.
func (r *Engine) Swap(set, shadow *rules.Set) error {
	var defs []ratelimit.Definition
	if set != nil {
		defs = set.Limits()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.limiter.Replace(defs); err != nil {
		return err
	}
	old := r.current.Swap(&generation{set, shadow})
	before := "none"
	if old != nil {
		before = hash(old.set)
	}
	if now := hash(set); now != before || shadow != nil {
		r.log.Info("rules in force", "old", before, "new", now, "shadow", hash(shadow), "limits_bytes", r.limiter.Bytes())
	}
	return nil
}

func hash(s *rules.Set) string {
	if s == nil {
		return "none"
	}
	return s.Hash
}

// Request is one request's way through the rules that were in force when it came. End gives back what it holds.
type Request struct {
	home  *Engine
	eval  *rules.Evaluation
	set   *rules.Set
	grant ratelimit.Grant
	taken bool
}

// InForce tells whether there are rules.
func (r *Engine) InForce() bool {
	g := r.current.Load()
	return g != nil && g.set != nil
}

// Begin takes a request; nil where no rules are in force. What the rules say of it is in the result; the error says why
// it is to be refused. The request must be ended in either case.
func (r *Engine) Begin(f *expression.Facts) (*Request, rules.Result, error) {
	g := r.current.Load()
	if g == nil || g.set == nil {
		return nil, rules.Result{}, nil
	}
	q := &Request{home: r, eval: g.set.Begin(f), set: g.set}
	res, err := q.eval.Apply()
	r.note(res.Faults, err)
	if g.shadow != nil {
		r.compare(g.shadow, f, res, err)
	}
	return q, res, err
}

// Admit is Begin and Take for fronts that know class, plan and volume themselves: only who asks is found out by rules,
// and the limits are asked. The request must be ended in either case; it may be nil.
func (r *Engine) Admit(f *expression.Facts, class, plan, volume string) (*Request, error) {
	g := r.current.Load()
	if g == nil || g.set == nil {
		return nil, nil
	}
	q := &Request{home: r, eval: g.set.Begin(f), set: g.set}
	res, err := q.eval.Normalise()
	r.note(res.Faults, err)
	if err == nil {
		err = q.AcquireLimits(class, plan, volume)
	}
	return q, err
}

// Client tells who asks, by the first stage of the rules in force; empty where they don't tell. Nothing is counted: the
// request comes by again.
func (r *Engine) Client(f *expression.Facts) string {
	g := r.current.Load()
	if g == nil || g.set == nil {
		return ""
	}
	e := g.set.Begin(f)
	defer e.End()
	res, err := e.Normalise()
	if err != nil {
		return ""
	}
	return res.Client
}

// LimitError says that a limit refuses a request, and when it may return.
type LimitError struct {
	Limit      string
	RetryAfter time.Duration
}

// Error names the limit.
func (r LimitError) Error() string { return "limit " + r.Limit + " is reached" }

// AcquireLimits asks the limits. The error is a Refusal, or a rules.RuleFault where a limit's key can't be computed.
func (q *Request) AcquireLimits(class, plan, volume string) error {
	var held [ratelimit.MaxClaims]ratelimit.Claim
	asks, faults, err := q.eval.Claims(class, plan, volume, held[:0])
	q.evaluated()
	q.home.note(faults, err)
	if err != nil || len(asks) == 0 {
		return err
	}
	r := q.home
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.current.Load(); g == nil || g.set != q.set {
		return nil // the asks number the limits of a set that was replaced in this very moment
	}
	v := r.limiter.Take(r.clock(), asks)
	if !v.Admitted {
		name := q.set.Limits()[v.Limit].Name
		r.add(count{name, "refused"})
		return LimitError{name, v.RetryAfter}
	}
	q.grant, q.taken = v.Grant, true
	return nil
}

// Release gives back what the request holds. It is called once, when the request is answered or its client has left; a nil
// Request has nothing.
func (q *Request) Release() {
	if q == nil {
		return
	}
	q.evaluated()
	if q.taken {
		q.home.mu.Lock()
		q.home.limiter.Release(q.grant)
		q.home.mu.Unlock()
	}
}

// evaluated gives the evaluator back, as soon as nothing is left to evaluate.
func (q *Request) evaluated() {
	if q.eval != nil {
		q.eval.End()
		q.eval = nil
	}
}

// note counts faults by rule and cause.
func (r *Engine) note(faults []rules.RuleFault, err error) {
	var last rules.RuleFault
	if errors.As(err, &last) {
		faults = append(slices.Clip(faults), last)
	}
	if len(faults) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range faults {
		r.add(count{f.Rule.Name, string(f.Fault.Cause)})
	}
}

// add counts under the lock.
func (r *Engine) add(c count) {
	if _, known := r.counts[c]; !known && len(r.counts) >= mostCounts {
		c = count{"others", "others"}
	}
	r.counts[c]++
}

// compare has the shadow say what it would have given. It changes nothing but counts and the log.
func (r *Engine) compare(shadow *rules.Set, f *expression.Facts, live rules.Result, liveErr error) {
	differences := shadow.Differences(f, &live, liveErr)
	if len(differences) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range differences {
		r.add(count{d.Field, "shadow differs"})
	}
	r.sample.Do(func() {
		r.log.Info("the shadow's rules differ", "method", f.Method, "path", f.Path, "differences", differences)
	})
}

// Counts gives what was counted since the last call, by rule or limit and by what happened.
func (r *Engine) Counts() map[string]map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]map[string]int{}
	for c, n := range r.counts {
		if all[c.rule] == nil {
			all[c.rule] = map[string]int{}
		}
		all[c.rule][c.what] += n
	}
	clear(r.counts)
	return all
}

// Run logs the counts every minute in which there are any, until ctx ends.
func (r *Engine) Run(ctx context.Context) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if counts := r.Counts(); len(counts) > 0 {
				r.log.Info("rules counted", "counts", counts)
			}
		}
	}
}
