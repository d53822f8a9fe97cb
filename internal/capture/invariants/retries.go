package invariants

import "reachpulley/scheduler"

// allowedRetries returns the retry policy of a request: what both its class and its description allow.
func (c *Checker) allowedRetries(r scheduler.Request) scheduler.RetryPolicy {
	class := c.settings.Classes[r.Class]
	byClass := scheduler.RetryPolicy{
		Idempotency: class.Idempotency,
		Scope:       class.DedupScope,
		Window:      class.DedupWindow,
	}
	byDescription := r.RetryPolicy
	switch {
	case byDescription.Idempotency > byClass.Idempotency:
		return byDescription
	case byDescription.Idempotency < byClass.Idempotency:
		return byClass
	case byClass.Idempotency != scheduler.IdempotentWithKey:
		return byClass
	}
	both := byClass
	both.Window = min(byClass.Window, byDescription.Window)
	switch {
	case byClass.Scope == scheduler.ScopeAll:
		both.Scope = byDescription.Scope
	case byDescription.Scope != scheduler.ScopeAll && byDescription.Scope != byClass.Scope:
		return scheduler.RetryPolicy{Idempotency: scheduler.NonIdempotent}
	}
	return both
}

// restriction returns the level at which a request's operation is restricted at a node.
func (c *Checker) restriction(r *request, node string) scheduler.RestrictionLevel {
	if r.Operation == "" {
		return scheduler.Unrestricted
	}
	atAllNodes := c.restrictions[restrictionKey{r.Operation, ""}]
	atNode := c.restrictions[restrictionKey{r.Operation, node}]
	return max(atAllNodes, atNode)
}

// checkRetry checks that a request may have another attempt, at the given node, after its earlier attempts.
func (c *Checker) checkRetry(r *request, n *node) {
	if maxAttempts := c.settings.Allowed.MaxAttempts; maxAttempts > 0 {
		c.check(RuleRetries, r.attempts < maxAttempts, r.ID, n.ID, "attempt %d, but only %d are allowed",
			r.attempts+1, maxAttempts)
	}
	if r.attempts == 0 {
		return
	}
	c.check(RuleRetries, len(r.inFlight) == 0, r.ID, n.ID, "sent while an earlier attempt is in flight")
	for _, earlier := range r.mayHaveRun {
		unrestricted := c.restriction(r, earlier.node) < scheduler.NoRetries &&
			c.restriction(r, n.ID) < scheduler.NoRetries
		c.check(RuleRetries, unrestricted, r.ID, n.ID,
			"retry of operation %q, whose retries are restricted", r.Operation)
		c.check(RuleRetries, c.retryAllowed(r, earlier, n), r.ID, n.ID,
			"an attempt %v earlier may have run, and class %q or the operation's description forbids this retry",
			c.now-earlier.sentAt, r.class.Name)
	}
}

// retryAllowed reports whether a request may be sent to a node after an attempt that may have run.
func (c *Checker) retryAllowed(r *request, earlier attempt, n *node) bool {
	switch r.allowedRetries.Idempotency {
	case scheduler.NonIdempotent:
		return false
	case scheduler.IdempotentWithKey:
		return c.now < earlier.sentAt+r.allowedRetries.Window && sameScope(r.allowedRetries.Scope, earlier, n)
	}
	return true
}

// sameScope reports whether a node discards duplicates of an earlier attempt.
func sameScope(scope scheduler.DedupScope, earlier attempt, n *node) bool {
	switch scope {
	case scheduler.ScopeAll:
		return true
	case scheduler.ScopeZone:
		return earlier.zone == n.Zone
	case scheduler.ScopeShard:
		return earlier.shard == n.Shard
	}
	return false
}

// checkRejection checks that a client may retry a request that was rejected. A rejection promises that a retry is
// safe.
func (c *Checker) checkRejection(r *request) {
	allowed := r.allowedRetries
	safe := len(r.mayHaveRun) == 0 ||
		allowed.Idempotency == scheduler.Idempotent ||
		allowed.Idempotency == scheduler.IdempotentWithKey && allowed.Scope == scheduler.ScopeAll
	for _, earlier := range r.mayHaveRun {
		safe = safe && c.restriction(r, earlier.node) < scheduler.NoRetries
	}
	c.check(RuleRetries, safe, r.ID, "", "rejected although an attempt may have run")
}
