package invariants

import (
	"slices"
	"time"
)

// retryBudget holds the times that the budget of retries depends on.
type retryBudget struct {
	arrivedAt []time.Duration // times of the arrivals within the budget's window
	retriedAt []time.Duration // times of the retries within the budget's window
}

func (b *retryBudget) requestArrived(now time.Duration) {
	b.arrivedAt = append(b.arrivedAt, now)
}

// dropBefore drops the arrivals and retries up to the start of the window.
func (b *retryBudget) dropBefore(start time.Duration) {
	outside := func(at time.Duration) bool { return at <= start }
	b.arrivedAt = slices.DeleteFunc(b.arrivedAt, outside)
	b.retriedAt = slices.DeleteFunc(b.retriedAt, outside)
}

// checkRetryBudget checks that an attempt, if it is a retry, is within the budget of retries.
func (c *Checker) checkRetryBudget(r *request) {
	rules := &c.settings.Rules
	window := rules.RetryBudgetWindow
	if window == 0 {
		return
	}
	c.budget.dropBefore(c.now - window)
	if r.attempts == 0 {
		return
	}
	c.budget.retriedAt = append(c.budget.retriedAt, c.now)
	retries := len(c.budget.retriedAt)
	allowed := rules.RetryBudgetBase + rules.RetryBudgetShare*float64(len(c.budget.arrivedAt))
	c.check(RuleRetryBudget, float64(retries) <= allowed, r.ID, "",
		"%d retries within %v, but only %.1f are allowed", retries, window, allowed)
}
