package simulation

import (
	"fmt"
	"time"

	"reachpulley/scheduler"
)

const (
	// lastSpan is the span at the end of a scenario for which attempts are counted by node.
	lastSpan = 10 * time.Second
	// probingPerNode is the number of attempts per second at lost nodes that count as probing, for each node there is.
	probingPerNode = 3
	// maxViolations limits the violations that are reported.
	maxViolations = 20
)

// detection follows how long attempts are sent to lost nodes.
type detection struct {
	lostAt      time.Duration // of the first loss; 0: none
	lastBurst   time.Duration // the last time that more attempts were sent to lost nodes than probing explains
	windowBegan time.Duration
	attempts    int // in the current window
}

// recordAttempt follows each attempt of a gateway in a zone.
func (r *zoneRun) recordAttempt(gatewayZone int, request scheduler.Request, node *Node) {
	now := r.simulation.Now
	if now > r.began+r.scenario.Length-lastSpan {
		r.result.ToNode[node.ID]++
	}
	if request.Shard == scheduler.AnyShard && node.Zone != gatewayZone {
		r.spillover[gatewayZone] = append(r.spillover[gatewayZone], arrival{at: now, units: request.Units})
		r.second().SpilledUnits += request.Units
	}
	if node.Unresponsive && r.detection.lostAt > 0 {
		r.detection.recordAttempt(now, probingPerNode*len(r.nodes))
	}
}

// recordAttempt counts an attempt at a lost node. Up to maxProbing attempts in a second count as probing.
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

// sampleSlowStart records the load of nodes in slow start.
func (r *zoneRun) sampleSlowStart() {
	for _, n := range r.nodes {
		if capacity := n.SlowStartCapacity(); capacity > 0 && !n.Unresponsive {
			second := r.second()
			second.SlowStartLoad = max(second.SlowStartLoad, n.WindowUnits()/capacity)
		}
	}
}

func (r *zoneRun) violation(format string, args ...any) {
	if len(r.result.Violations) < maxViolations {
		r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
	}
}

// conclude completes the result after the scenario has ended.
func (r *zoneRun) conclude() *ZoneResult {
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
			r.result.WorstSpillover = max(r.result.WorstSpillover, r.excessSpillover(spilled))
		}
	}
	return r.result
}

// checkExecutions checks that no request ran at two nodes: only the nodes of the first node's shard recognize the retry
// of a write by its key.
func (r *zoneRun) checkExecutions() {
	ranAt := map[string]string{}
	for _, n := range r.nodes {
		for id := range n.Executions {
			if other := ranAt[id]; other != "" {
				r.violation("%s ran at %s and %s", id, other, n.ID)
			}
			ranAt[id] = n.ID
		}
	}
}

// excessSpillover returns by how much the spilled units exceeded their limit, a token bucket, in the worst of all time
// spans; 0 if they never did. Let the balance be the units spilled so far minus the tokens gained so far. A span
// exceeds the limit by the rise of the balance minus the burst, so one pass that remembers the lowest balance finds the
// worst span.
func (r *zoneRun) excessSpillover(spilled []arrival) float64 {
	worst, lowest, sum := 0.0, 0.0, 0.0
	for i, a := range spilled {
		gained := r.scenario.Settings.Spillover * (a.at - r.began).Seconds()
		if balance := sum - gained; i == 0 || balance < lowest {
			lowest = balance
		}
		sum += a.units
		worst = max(worst, sum-gained-lowest-r.scenario.Settings.Burst)
	}
	return worst
}
