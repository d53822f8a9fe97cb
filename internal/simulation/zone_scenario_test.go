package simulation

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/zonefailover"
	"reachpulley/scheduler"
)

func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "10") // scenarios take long, even longer under the race detector
}

// settleTime is the time from the last event until all nodes get their share of the load again. It covers the longest
// stable period that is required of a zone after flapping, the membership delay and the slow start.
const settleTime = 70 * time.Second

// runZones runs a scenario.
func runZones(t interface{ Fatal(...any) }, scenario ZoneScenario) *ZoneResult {
	result, err := scenario.Run()
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// zoneLoss returns a scenario in which a zone is unavailable for 20 s. Then a share of its nodes returns, restarted or
// not; a share of 0 means all nodes.
func zoneLoss(seed uint64, restarted bool, returningShare float64) ZoneScenario {
	return ZoneScenario{
		Seed:            seed,
		Zones:           2,
		NodesPerZone:    5,
		Gateways:        3,
		Load:            0.35,
		NewObjectShare:  0.35,
		Length:          100 * time.Second,
		MembershipDelay: 5 * time.Second,
		ZoneFailover:    zonefailover.Settings{Spillover: 60, Burst: 24},
		Events: []ZoneEvent{
			{At: 15 * time.Second, Zone: 0, Gateway: -1, Unavailable: true},
			{At: 35 * time.Second, Zone: 0, Gateway: -1, Restarted: restarted, NodeShare: returningShare},
		},
	}
}

// checkInvariants checks what must hold in every scenario: no crash, no violation and no spillover over its limit.
func checkInvariants(t interface{ Errorf(string, ...any) }, result *ZoneResult) {
	if len(result.Crashed) > 0 || len(result.Violations) > 0 || result.MaxExcessSpillover > 1e-6 {
		t.Errorf("crashed: %v; violations: %v; spillover %.1f units over the limit; want none of these",
			result.Crashed, result.Violations, result.MaxExcessSpillover)
	}
}

// When a zone is lost and returns, new objects spill over within the limit, few of them are lost, and no node crashes
// in its slow start.
func TestZoneLossAndReturn(t *testing.T) {
	for _, test := range []struct {
		name           string
		restarted      bool
		returningShare float64 // 0: all
	}{
		{"all nodes restarted", true, 0},
		{"only the network failed", false, 0},
		{"three of five nodes return restarted", true, 0.6},
	} {
		t.Run(test.name, func(t *testing.T) {
			scenario := zoneLoss(1, test.restarted, test.returningShare)
			result := runZones(t, scenario)
			checkInvariants(t, result)
			lost, spilled, rejected := 0, 0.0, 0
			for i, second := range result.Seconds {
				if i >= 15 {
					lost += second.NewObjectsLost
				}
				if i >= 20 && i < 35 {
					spilled += second.SpilledUnits
					rejected += second.Rejected
				}
			}
			if lost > 40 || spilled < 300 || rejected == 0 || result.DetectedAfter > time.Second {
				t.Errorf("%d new objects lost, want at most 40; %.0f units spilled over, want at least 300; "+
					"%d requests rejected, want some; loss detected after %v, want at most 1s",
					lost, spilled, rejected, result.DetectedAfter)
			}
			returning := scenario.NodesPerZone
			if test.returningShare > 0 {
				returning = int(test.returningShare * float64(scenario.NodesPerZone))
			}
			for i := range scenario.NodesPerZone {
				attempts := result.LastAttemptsByNode[nodeID(0, i)]
				if i < returning && attempts < 50 || i >= returning && attempts > 60 {
					t.Errorf("%s got %d attempts in the last 10 s, want at least 50 if it returned (%t), "+
						"else at most 60",
						nodeID(0, i), attempts, i < returning)
				}
			}
		})
	}
}

// Many gateways under a load of twice the capacity of all nodes do not crash a zone in its slow start. Passthrough
// proxies in their place crash all its nodes.
func TestManyGatewaysDoNotCrashReturningZone(t *testing.T) {
	scenario := zoneLoss(1, true, 0)
	scenario.Gateways = 120
	scenario.NodesPerZone = 2
	scenario.Load = 2
	scenario.Length = 50 * time.Second
	result := runZones(t, scenario)
	checkInvariants(t, result)
	highest := 0.0
	for _, second := range result.Seconds {
		highest = max(highest, second.SlowStartLoad)
	}
	if highest > 0.6 {
		t.Errorf("a node in slow start got up to %.2f of the load that crashes it, want at most 0.6", highest)
	}
	scenario.Passthrough = true
	if result := runZones(t, scenario); len(result.Crashed) != scenario.NodesPerZone {
		t.Errorf("nodes that crashed with passthrough proxies: %v, want all %d of the zone",
			result.Crashed, scenario.NodesPerZone)
	}
}

// If no probes are allowed, gateways detect the return of a node by sending it requests that they would otherwise
// reject. The node then gets its share of the load again.
func TestReturnIsDetectedWithoutProbes(t *testing.T) {
	scenario := zoneLoss(2, true, 0)
	scenario.probesDisabled = true
	result := runZones(t, scenario)
	checkInvariants(t, result)
	if result.LastAttemptsByNode[nodeID(0, 0)] < 50 {
		t.Errorf("attempts in the last 10 s: %v, want at least 50 at %s", result.LastAttemptsByNode, nodeID(0, 0))
	}
}

// If one gateway loses its path to a zone, only its own share of new objects spills over, and the other gateways
// continue as before.
func TestOneGatewayLosesPathToZone(t *testing.T) {
	scenario := zoneLoss(3, false, 0)
	for i := range scenario.Events {
		scenario.Events[i].Gateway = 0
	}
	result := runZones(t, scenario)
	checkInvariants(t, result)
	if second := result.Seconds[25]; second.SpilledUnits > 30 || second.Served < 100 {
		t.Errorf("second 25: %+v, want at most 30 units spilled over and at least 100 requests served", second)
	}
}

// Without a spillover rate in the settings, nothing spills over: what the zone itself cannot serve is rejected.
func TestNoSpilloverWithoutRate(t *testing.T) {
	scenario := zoneLoss(4, true, 0)
	scenario.ZoneFailover = zonefailover.Settings{}
	result := runZones(t, scenario)
	checkInvariants(t, result)
	for i, second := range result.Seconds {
		if second.SpilledUnits > 0 {
			t.Fatalf("second %d: %v units spilled over, want 0", i, second.SpilledUnits)
		}
	}
}

// Zones are lost and return, in whole or in part, repeatedly, for one gateway only, or with a delayed membership. In
// all such scenarios each request gets one answer in time, no node crashes in its slow start, spillover stays within
// its limit, and after settleTime all nodes get a share of the load.
func TestRandomScenarios(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := drawScenario(t)
		result := runZones(t, scenario)
		checkInvariants(t, result)
		for zone := range scenario.Zones {
			for i := range scenario.NodesPerZone {
				if id := nodeID(zone, i); result.LastAttemptsByNode[id] == 0 {
					t.Fatalf("attempts in the last 10 s: %v, want at least 1 at %s", result.LastAttemptsByNode, id)
				}
			}
		}
	})
}

// drawScenario returns a random scenario.
func drawScenario(t *rapid.T) ZoneScenario {
	scenario := ZoneScenario{
		Seed:            rapid.Uint64().Draw(t, "seed"),
		Zones:           rapid.IntRange(2, 3).Draw(t, "zones"),
		NodesPerZone:    rapid.IntRange(2, 5).Draw(t, "nodes"),
		Gateways:        rapid.IntRange(2, 4).Draw(t, "gateways"),
		Load:            0.1 + 0.15*float64(rapid.IntRange(0, 5).Draw(t, "load")),
		NewObjectShare:  0.35,
		MembershipDelay: time.Duration(rapid.IntRange(0, 8).Draw(t, "membership delay")) * time.Second,
		ZoneFailover: zonefailover.Settings{
			Spillover: float64(rapid.IntRange(0, 8).Draw(t, "spillover")) * 20,
			Burst:     32,
			Share:     rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "share"),
		},
	}
	at := 5 * time.Second
	for range rapid.IntRange(1, 3).Draw(t, "events") {
		at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
		event := ZoneEvent{
			Zone:      rapid.IntRange(0, scenario.Zones-1).Draw(t, "zone"),
			NodeShare: rapid.SampledFrom([]float64{0, 0.5, 0.9}).Draw(t, "node share"),
			Gateway:   rapid.IntRange(-3, scenario.Gateways-1).Draw(t, "gateway"),
			Restarted: rapid.Bool().Draw(t, "restarted"),
		}
		event.Gateway = max(event.Gateway, -1)
		periods := []time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second, 20 * time.Second}
		period := rapid.SampledFrom(periods).Draw(t, "period")
		for range rapid.IntRange(1, 4).Draw(t, "flaps") {
			lost := event
			lost.At = at
			lost.Unavailable = true
			returned := event
			returned.At = at + period/2
			returned.NodeShare = 0
			scenario.Events = append(scenario.Events, lost, returned)
			at += period
		}
	}
	scenario.Length = at + settleTime
	return scenario
}

// The check for a request that ran at two nodes reports a violation.
func TestRequestAtTwoNodesIsViolation(t *testing.T) {
	run := newZoneRun(ZoneScenario{})
	run.nodes = []*Node{
		{Node: scheduler.Node{ID: "a0"}, Executions: map[string]int{"r": 1}},
		{Node: scheduler.Node{ID: "b0"}, Executions: map[string]int{"r": 1, "s": 1}},
	}
	result := run.finish()
	if len(result.Violations) != 1 || result.Violations[0] != "r ran at a0 and b0" {
		t.Errorf("violations: %q, want only \"r ran at a0 and b0\"", result.Violations)
	}
}
