package invariants

// checkKeyOrder checks that all earlier requests of an ordered key have ended.
func (c *Checker) checkKeyOrder(r *request) {
	if !r.class.Ordered {
		return
	}
	for _, earlier := range c.orderedKeys[r.Key] {
		if earlier == r {
			return
		}
		ended := earlier.answered && len(earlier.inFlight) == 0
		c.check(RuleKeyOrder, ended, r.ID, "", "sent before request %q of its key has ended", earlier.ID)
	}
}
