package engine

import (
	"time"

	"reachpulley/internal/ratelimit"
	"reachpulley/internal/rules"
	"reachpulley/internal/rules/expression"
)

// Request is the evaluation of one request by the rules that were in force when it arrived, and what it has acquired
// from limits. Release gives up both.
type Request struct {
	engine     *Engine
	evaluation *rules.Evaluation // nil once nothing is left to evaluate
	set        *rules.Set        // the rules by which the request is evaluated
	grant      ratelimit.Grant   // what the request has acquired from limits
	hasGrant   bool
}

// newRequest starts the evaluation of a request.
func (e *Engine) newRequest(g *generation, f *expression.Facts) *Request {
	return &Request{engine: e, evaluation: g.set.Begin(f), set: g.set}
}

// LimitError reports that a limit rejects a request.
type LimitError struct {
	Limit      string
	RetryAfter time.Duration
}

// Error tells the client which limit rejects the request.
func (e LimitError) Error() string { return "limit " + e.Limit + " is reached" }

// AcquireLimits counts the request by all limits that apply to it, or by none if one of them rejects it. If the rules
// have been replaced since the request arrived, it is admitted without being counted. The error is a LimitError, or a
// rules.RuleFault if the condition or the key of a limit can't be evaluated. AcquireLimits must be called at most once.
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
		return nil // The claims refer to the limits of a set that has been replaced in the meantime.
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

// Release returns the evaluator of the request to its pool and the grant of the request to the limits. It must be
// called exactly once, when the request has been answered or its client has disconnected. A nil Request holds nothing.
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

// endEvaluation returns the evaluator to its pool, unless that has been done before.
func (r *Request) endEvaluation() {
	if r.evaluation != nil {
		r.evaluation.End()
		r.evaluation = nil
	}
}
