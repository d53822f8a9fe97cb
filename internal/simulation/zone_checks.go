package simulation

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

const (
	// lastAttemptsSpan is the span at the end of a scenario in which ZoneResult.LastAttemptsByNode counts attempts.
	lastAttemptsSpan = 10 * time.Second
	// probingPerNode, multiplied by the number of all nodes, is the highest number of attempts per second at lost nodes
	// that counts as probing.
	probingPerNode = 3
	// maxViolations is the number of violations after which further ones are not reported.
	maxViolations = 20
)

// detection measures how long gateways send more attempts to lost nodes than they need for probing.
type detection struct {
	lostAt      time.Duration // time of the first loss; 0: none
	lastBurst   time.Duration // time of the last attempt that did not count as probing
	windowBegan time.Duration // time at which the current window of 1 second began
	attempts    int           // number of attempts at lost nodes in the current window
}

// recordAttempt records an attempt by a gateway of the zone gatewayZone: in the result, in the spillover of that zone
// and in the detection of losses.
func (r *zoneRun) recordAttempt(gatewayZone int, request scheduler.Request, node *Node) {
	now := r.simulation.Now
	if now > r.began+r.scenario.Length-lastAttemptsSpan {
		r.result.LastAttemptsByNode[node.ID]++
	}
	if request.Shard == scheduler.AnyShard && node.Zone != gatewayZone {
		r.spillover[gatewayZone] = append(r.spillover[gatewayZone], arrival{at: now, units: request.Units})
		r.second().SpilledUnits += request.Units
	}
	if node.Unresponsive && r.detection.lostAt > 0 {
		r.detection.recordAttempt(now, probingPerNode*len(r.nodes))
	}
}

// recordAttempt records an attempt at a lost node. Up to maxProbing attempts in a window count as probing.
func (d *detection) recordAttempt(now time.Duration, maxProbing int) {
	if now-d.windowBegan > time.Second {
		d.windowBegan = now
		d.attempts = 0
	}
	d.attempts++
	if d.attempts > maxProbing {
		d.lastBurst = now
	}
}

// sampleSlowStart records the highest current load of a node in slow start.
func (r *zoneRun) sampleSlowStart() {
	for _, n := range r.nodes {
		if capacity := n.SlowStartCapacity(); capacity > 0 && !n.Unresponsive {
			second := r.second()
			second.SlowStartLoad = max(second.SlowStartLoad, n.WindowUnits()/capacity)
		}
	}
}

// recordViolation records a violation of what must hold in each scenario.
func (r *zoneRun) recordViolation(format string, args ...any) {
	if len(r.result.Violations) < maxViolations {
		r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
	}
}

// finish completes the result after the end of the scenario.
func (r *zoneRun) finish() *ZoneResult {
	r.result.Seconds = r.result.Seconds[:len(r.result.Seconds)-1]
	for _, n := range r.nodes {
		if n.Crashed {
			r.result.Crashed = append(r.result.Crashed, n.ID)
		}
	}
	r.checkExecutions()
	if r.detection.lostAt > 0 {
		r.result.DetectedAfter = max(0, r.detection.lastBurst-r.detection.lostAt)
	}
	if !r.scenario.FailoverDisabled {
		for _, spilled := range r.spillover {
			r.result.MaxExcessSpillover = max(r.result.MaxExcessSpillover, r.excessSpillover(spilled))
		}
	}
	return r.result
}

// checkExecutions checks that no request ran at two nodes. Only the nodes in the shard of the first node recognize the
// retry of a write by its key, and here each node has a shard of its own.
func (r *zoneRun) checkExecutions() {
	ranAt := map[string]string{}
	for _, n := range r.nodes {
		for id := range n.Executions {
			if other := ranAt[id]; other != "" {
				r.recordViolation("%s ran at %s and %s", id, other, n.ID)
			}
			ranAt[id] = n.ID
		}
	}
}

// excessSpillover returns the number of units by which the spillover exceeded its limit, a token bucket, in the worst
// of all time spans, or 0 if it never did. Let the balance be the units spilled so far minus the tokens gained so far.
// A span exceeds the limit by the rise of the balance in it minus the burst, so one pass that keeps the lowest balance
// finds the worst span.
func (r *zoneRun) excessSpillover(spilled []arrival) float64 {
	worst, lowest, sum := 0.0, 0.0, 0.0
	for i, a := range spilled {
		gained := r.scenario.ZoneFailover.Spillover * (a.at - r.began).Seconds()
		if balance := sum - gained; i == 0 || balance < lowest {
			lowest = balance
		}
		sum += a.units
		worst = max(worst, sum-gained-lowest-r.scenario.ZoneFailover.Burst)
	}
	return worst
}
