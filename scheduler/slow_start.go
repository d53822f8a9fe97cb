package scheduler

const (
	// slowStartDrawShare is the share of a host's allowance that new objects may use when they pass at
	// random. Requests for the node's data may use twice this share.
	slowStartDrawShare = 0.3
	// slowStartUsualDemand is the usual demand at a node, as a multiple of the warm node's capacity.
	slowStartUsualDemand = 2
)

// guardSlowStart keeps the units that this host sends to a warming node within the host's part of the
// slow-start allowance, which such a node can always take. The allowance grows as the node warms up, at the
// slowest pace that the rules permit.
//
// With many hosts, the part of each is smaller than the largest request, and rounding it up would overload
// the node. Requests then pass at random, so that the part is kept on average: the chance of requests for the
// node's data follows from the demand at this host, that of new objects from a random draw that the host
// makes once in each SlowStartWindow.
func (s *Scheduler) guardSlowStart(request *requestState, node *nodeState) bool {
	if !s.warmingUp(node) {
		return true
	}
	rules := &s.settings.Rules
	elapsedShare := max(0, s.now-node.warmingSince).Seconds() / rules.SlowStartDuration.Seconds()
	capacity := rules.SlowStartShare + (1-rules.SlowStartShare)*elapsedShare // as a share of the warm node's
	// The units that this host may send to the node within one SlowStartWindow.
	allowance := rules.SlowStartAllowance / float64(s.settings.Siblings) * capacity / rules.SlowStartShare
	sent := node.unitsSentSince(s.now - rules.SlowStartWindow)
	if allowance >= s.settings.Sizes.MaxUnits {
		return sent+request.Units <= allowance
	}
	if request.Shard == AnyShard {
		return sent+(1-node.slowStartDraw)*request.Units <= slowStartDrawShare*allowance
	}
	usualDemand := slowStartUsualDemand / (rules.SlowStartMultiple * capacity) * allowance
	demand := node.demand.valueAt(s.now, demandWindows*rules.SlowStartWindow) / demandWindows
	return request.randomDraw*max(demand, usualDemand, allowance) < 2*slowStartDrawShare*allowance
}

// warmingUp reports whether the node has started, or recovered from a failure, so recently that it may not be
// warm.
func (s *Scheduler) warmingUp(node *nodeState) bool {
	rules := &s.settings.Rules
	return rules.SlowStartShare > 0 &&
		node.warmingSince > 0 &&
		s.now-node.warmingSince < rules.SlowStartDuration
}

// drawSlowStart makes a new random draw for a warming node once the last draw has been in use for a
// SlowStartWindow.
func (s *Scheduler) drawSlowStart(node *nodeState) {
	if s.warmingUp(node) && s.now >= node.slowStartDrawUntil {
		node.slowStartDraw = s.random.Float64()
		node.slowStartDrawUntil = s.now + s.settings.Rules.SlowStartWindow
	}
}
