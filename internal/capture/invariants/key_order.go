package invariants

// checkKeyOrder checks that all earlier requests of the same ordered key have ended when a request is sent.
func (c *Checker) checkKeyOrder(r *request) {
	if !r.class.Ordered {
		return
	}
	for _, earlier := range c.orderedKeys[r.Key] {
		if earlier == r {
			return
		}
		ended := earlier.answered && len(earlier.inFlight) == 0
		c.check(RuleKeyOrder, ended, r.ID, "",
			"sent before the earlier request %q of the same data key has ended", earlier.ID)
	}
}
