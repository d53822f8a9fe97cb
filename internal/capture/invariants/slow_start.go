package invariants

import "slices"

// checkSlowStart checks that a node that has just started gets no more units than slow start allows. It compares what
// this host alone sent within the window with what all hosts together may send. The scheduler keeps to this host's
// share of that, which the checker does not know. So a reported violation is real, whatever the shares of the hosts
// are.
func (c *Checker) checkSlowStart(r *request, n *node) {
	rules := &c.settings.Rules
	outside := func(s sentUnits) bool { return s.at <= c.now-rules.SlowStartWindow }
	n.recentSends = slices.DeleteFunc(n.recentSends, outside)
	n.recentSends = append(n.recentSends, sentUnits{c.now, r.Units})
	sinceStart := c.now - n.warmingSince
	if n.warmingSince <= 0 || sinceStart >= rules.SlowStartDuration || rules.SlowStartShare <= 0 {
		return
	}
	units := 0.0
	for _, s := range n.recentSends {
		units += s.units
	}
	warmed := max(0, sinceStart).Seconds() / rules.SlowStartDuration.Seconds()
	growth := (rules.SlowStartShare + (1-rules.SlowStartShare)*warmed) / rules.SlowStartShare
	allowed := max(1, rules.SlowStartMultiple) * rules.SlowStartAllowance * growth
	c.check(RuleSlowStart, units <= allowed, r.ID, n.ID,
		"%.1f units sent within %v, %v after the node's start, but only %.1f are allowed",
		units, rules.SlowStartWindow, sinceStart, allowed)
}
