package engine

import (
	"time"

	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/expression"
)

// Request is a request under the rules that were in force when it arrived. Release returns what it holds.
type Request struct {
	engine     *Engine
	evaluation *rules.Evaluation // nil once nothing is left to evaluate
	set        *rules.Set
	grant      ratelimit.Grant
	hasGrant   bool
}

func (e *Engine) newRequest(g *generation, f *expression.Facts) *Request {
	return &Request{engine: e, evaluation: g.set.Begin(f), set: g.set}
}

// LimitError reports that a limit rejects a request.
type LimitError struct {
	Limit      string
	RetryAfter time.Duration
}

// Error names the limit.
func (e LimitError) Error() string { return "limit " + e.Limit + " is reached" }

// AcquireLimits counts the request by the limits that apply to it, all of them or none. The error is a LimitError, or a
// rules.RuleFault if the key of a limit can't be computed.
func (r *Request) AcquireLimits(class, plan, volume string) error {
	var buffer [ratelimit.MaxClaims]ratelimit.Claim
	claims, faults, err := r.evaluation.Claims(class, plan, volume, buffer[:0])
	r.endEvaluation()
	e := r.engine
	e.countFaults(faults, err)
	if err != nil || len(claims) == 0 {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.active(); g == nil || g.set != r.set {
		return nil // The claims number the limits of a set that has just been replaced.
	}
	decision := e.limiter.Take(e.clock(), claims)
	if !decision.Admitted {
		name := r.set.Limits()[decision.Limit].Name
		e.count(countKey{name, eventRejected})
		return LimitError{Limit: name, RetryAfter: decision.RetryAfter}
	}
	r.grant = decision.Grant
	r.hasGrant = true
	return nil
}

// Release returns what the request holds. It is called once, when the request is answered or its client has
// disconnected. A nil Request holds nothing.
func (r *Request) Release() {
	if r == nil {
		return
	}
	r.endEvaluation()
	if !r.hasGrant {
		return
	}
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.engine.limiter.Release(r.grant)
}

// endEvaluation returns the evaluator to its pool as soon as nothing is left to evaluate.
func (r *Request) endEvaluation() {
	if r.evaluation != nil {
		r.evaluation.End()
		r.evaluation = nil
	}
}
