package scheduler

// Tuned values of the slow start.
const (
	slowStartDrawShare   = 0.3 // share of the part that new objects get by the draw; twice it for others
	slowStartUsualDemand = 2   // usual demand at a node, in capacities of the warm node
)

// guardSlowStart keeps what this host sends to a warming node within its part of what such a node always
// bears. The part grows along the slowest warming that the rules promise.
//
// With many hosts the part is smaller than a request, and rounding it up would overload the node. Requests
// then pass at random, so many that the part is kept in the mean: requests for the node's data by the demand
// at this host, new objects by a draw that the host makes once a window.
func (s *Scheduler) guardSlowStart(request *requestState, node *nodeState) bool {
	if !s.warmingUp(node) {
		return true
	}
	rules := &s.settings.Rules
	warmed := max(0, s.now-node.warmingSince).Seconds() / rules.SlowStartDuration.Seconds()
	capacity := rules.SlowStartShare + (1-rules.SlowStartShare)*warmed // as a share of the warm node's
	part := rules.SlowStartAllowance / float64(s.settings.Siblings) * capacity / rules.SlowStartShare
	sent := node.unitsSentSince(s.now - rules.SlowStartWindow)
	if part >= s.settings.Sizes.MaxUnits {
		return sent+request.Units <= part
	}
	if request.Shard == AnyShard {
		return sent+(1-node.slowStartDraw)*request.Units <= slowStartDrawShare*part
	}
	usualDemand := slowStartUsualDemand / (rules.SlowStartMultiple * capacity) * part
	demand := node.demand.valueAt(s.now, demandWindows*rules.SlowStartWindow) / demandWindows
	return request.randomDraw*max(demand, usualDemand, part) < 2*slowStartDrawShare*part
}

// warmingUp says whether the node has started so recently that it may not be warm.
func (s *Scheduler) warmingUp(node *nodeState) bool {
	rules := &s.settings.Rules
	return rules.SlowStartShare > 0 &&
		node.warmingSince > 0 &&
		s.now-node.warmingSince < rules.SlowStartDuration
}

// drawSlowStart makes the random draw of a warming node for the next window.
func (s *Scheduler) drawSlowStart(node *nodeState) {
	if s.warmingUp(node) && s.now >= node.slowStartDrawUntil {
		node.slowStartDraw = s.random.Float64()
		node.slowStartDrawUntil = s.now + s.settings.Rules.SlowStartWindow
	}
}
