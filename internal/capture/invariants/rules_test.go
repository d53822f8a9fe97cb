package invariants

import (
	"slices"
	"testing"
	"time"

	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

func TestOneAnswerInTime(t *testing.T) {
	checkScenarios(t, map[string]scenarioTest{
		"served": {
			withNodes().arriveAndSend("a", read).
				event(9, ended("a", 0, scheduler.Served)),
			"",
		},
		"answered twice": {
			withNodes().arriveAndSend("a", read).
				event(9, ended("a", 0, scheduler.Served)).
				event(10, timerFired, reject("a")),
			RuleOneAnswer,
		},
		"not answered": {
			new(scenario).
				event(0, arrived("a", read, 1)).
				event(1500, timerFired),
			RuleOneAnswer,
		},
		"answered late": {
			new(scenario).
				event(0, arrived("a", read, 1)).
				event(1120, timerFired, reject("a")),
			RuleOneAnswer,
		},
		"client disconnected": {
			new(scenario).
				event(0, arrived("a", read, 1)).
				event(5, disconnected("a")).
				event(1500, timerFired),
			"",
		},
		"long stream": {
			withNodes().arriveAndSend("a", read).
				event(9, streamStarted("a")).
				event(5000, ended("a", 0, scheduler.Served)),
			"",
		},
		"sent after its answer": {
			withNodes().
				event(1, arrived("a", read, 1), reject("a"), send("a", "n")),
			RuleOneAnswer,
		},
	})
}

func TestDrainingAndUnknownNodes(t *testing.T) {
	checkScenarios(t, map[string]scenarioTest{
		"sent to a draining node": {
			new(scenario).
				event(0, members(scheduler.Draining, 0)).
				arriveAndSend("a", read),
			RuleDraining,
		},
		"sent to a removed node": {
			withNodes().
				event(1, noMembers()).
				event(2, arrived("a", read, 1), send("a", "n")),
			RuleDraining,
		},
		"sent to an unknown node": {
			new(scenario).
				event(0, arrived("a", read, 1), send("a", "x")),
			RuleKnownNames,
		},
		"sent for an unknown request": {
			new(scenario).
				event(0, members(scheduler.Up, 0), send("a", "n")),
			RuleKnownNames,
		},
	})
}

func TestRetriesByClass(t *testing.T) {
	checkScenarios(t, map[string]scenarioTest{
		"second attempt while one is in flight": {
			withNodes().
				event(1, arrived("a", read, 1), send("a", "n"), send("a", "far")),
			RuleRetries,
		},
		"idempotent, after an error": {
			withNodes().arriveAndSend("a", read).
				event(9, ended("a", 0, scheduler.Errored), send("a", "far")).
				event(10, timerFired, reject("a")),
			"",
		},
		"with a key, to another shard": {
			withNodes().arriveAndSend("a", write).
				event(9, ended("a", 0, scheduler.ConnectionReset), send("a", "far")),
			RuleRetries,
		},
		"with a key, to another shard, never ran": {
			withNodes().arriveAndSend("a", write).
				event(9, ended("a", 0, scheduler.ConnectFailed), send("a", "far")).
				event(10, ended("a", 1, scheduler.Served)),
			"",
		},
		"non-idempotent": {
			withNodes().arriveAndSend("a", once).
				event(9, ended("a", 0, scheduler.TimedOut), send("a", "n")),
			RuleRetries,
		},
		"non-idempotent, rejected after it may have run": {
			withNodes().arriveAndSend("a", once).
				event(9, ended("a", 0, scheduler.Errored), reject("a")),
			RuleRetries,
		},
	})
}

func TestRetriesByDescriptionAndRestriction(t *testing.T) {
	checkScenarios(t, map[string]scenarioTest{
		"described as non-idempotent": {
			withNodes().
				event(1, arrivedNonIdempotent("a"), send("a", "n")).
				event(9, ended("a", 0, scheduler.Errored), send("a", "far")),
			RuleRetries,
		},
		"no retries": {
			withNodes().
				event(0, restricted(scheduler.NoRetries)).
				arriveAndSend("a", read).
				event(9, ended("a", 0, scheduler.Errored), send("a", "far")),
			RuleRetries,
		},
		"no retries, and a claim of overload does not count": {
			withNodes().
				event(0, restricted(scheduler.NoRetries)).
				arriveAndSend("a", read).
				event(9, ended("a", 0, scheduler.Overloaded), reject("a")),
			RuleRetries,
		},
		"no hedging": {
			withNodes().
				event(0, restricted(scheduler.NoHedging)).
				arriveAndSend("a", read).
				event(9, ended("a", 0, scheduler.Errored), send("a", "far")).
				event(10, timerFired, reject("a")),
			"",
		},
	})
}

func TestOrderLimitAndSlowStart(t *testing.T) {
	checkScenarios(t, map[string]scenarioTest{
		"out of order": {
			withNodes().arriveAndSend("a", once).
				event(2, arrived("b", once, 1), send("b", "n")),
			RuleKeyOrder,
		},
		"beyond the limit": {
			withNodes().
				event(1, arrived("a", read, 39), send("a", "n")).
				event(2, arrived("b", read, 5), send("b", "far")),
			RuleVolumeLimit,
		},
		"within the limit a second later": {
			withNodes().
				event(1, arrived("a", read, 39), send("a", "n")).
				event(9, ended("a", 0, scheduler.Served)).
				event(1002, arrived("b", read, 5), send("b", "far")).
				event(1010, ended("b", 0, scheduler.Served)),
			"",
		},
		"too much for a node that has just started": {
			new(scenario).
				event(0, members(scheduler.Up, time.Hour-ms)).
				event(1, arrived("a", read, 400), send("a", "n")),
			RuleSlowStart,
		},
	})
}

func TestRetryBudget(t *testing.T) {
	s := withNodes()
	for i := range 15 {
		id := string(rune('a' + i))
		s.event(1+i, arrived(id, read, 0), send(id, "n"))
		s.event(1+i, ended(id, 0, scheduler.Errored), send(id, "n"))
	}
	checker := New(capturetest.Settings)
	for i, step := range s.steps {
		violations := checker.Step(step)
		if len(violations) == 0 {
			continue
		}
		if violations[0].Rule != RuleRetryBudget || i < 20 {
			t.Fatalf("step %d: violations %v, want the first at step 20 or later, of rule %q",
				i, violations, RuleRetryBudget)
		}
		return
	}
	t.Errorf("15 retries of 15 requests led to no violation, want one of rule %q", RuleRetryBudget)
}

// The names of rules are used on the command line, so they do not change.
func TestRuleNames(t *testing.T) {
	want := []Rule{"one answer", "drain", "repeat", "order", "limit", "cold start", "budget", "known names"}
	if !slices.Equal(Rules, want) {
		t.Errorf("names of rules %q, want %q", Rules, want)
	}
}
