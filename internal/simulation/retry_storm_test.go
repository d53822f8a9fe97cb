package simulation

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/retrybudget"
)

var testRetryBudget = retrybudget.Settings{Share: 0.2, Trickle: 0.5, Burst: 10, Cells: 1024}

func runStorm(t *testing.T, s Storm) StormResult {
	t.Helper()
	result, err := s.Run()
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// A slow shared resource still processes the accepted calls whose callers have stopped waiting. Without retry budgets,
// the retries that a slowdown causes keep the resource overloaded until the end of the simulation. With budgets, the
// rate of served requests recovers within 15 s after the slowdown.
func TestRetryBudgetsEndStorm(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		s := SharedResourceStorm(seed)
		s.Length = 60 * time.Second
		without := runStorm(t, s)
		s.RetryBudget = testRetryBudget
		with := runStorm(t, s)
		recovered := with.RecoveryTime >= 0 && with.RecoveryTime <= 15*time.Second
		if without.RecoveryTime >= 0 || !recovered || without.ServedBefore < 150 {
			t.Errorf("seed %d: recovered after %v with budgets, want at most 15s; after %v without, want -1ns, never; "+
				"%.0f served per second before, want at least 150",
				seed, with.RecoveryTime, without.RecoveryTime, without.ServedBefore)
		}
	}
}

// If the nodes themselves slow down, the scheduler's limits end the storm within 10 s even without retry budgets. With
// a proxy that lacks those limits, the storm does not end.
func TestSchedulerEndsStormOfSlowNodes(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		s := NodeStorm(seed)
		s.Length = 60 * time.Second
		scheduled := runStorm(t, s)
		s.Passthrough = true
		passthrough := runStorm(t, s)
		recovered := scheduled.RecoveryTime >= 0 && scheduled.RecoveryTime <= 10*time.Second
		if !recovered || passthrough.RecoveryTime >= 0 {
			t.Errorf("seed %d: recovered after %v with the scheduler, want at most 10s; "+
				"after %v with a passthrough proxy, want -1ns, never",
				seed, scheduled.RecoveryTime, passthrough.RecoveryTime)
		}
	}
}

func TestSameSeedGivesSameStorm(t *testing.T) {
	s := SharedResourceStorm(7)
	s.Length = 30 * time.Second
	s.RetryBudget = testRetryBudget
	if diff := cmp.Diff(runStorm(t, s), runStorm(t, s)); diff != "" {
		t.Errorf("two runs with the same seed differ (-first +second):\n%s", diff)
	}
}

// At the end of a storm, each client awaits the answer to at most one try.
func TestEveryTryOfStormIsAnswered(t *testing.T) {
	s := SharedResourceStorm(5)
	s.Length = 40 * time.Second
	submitted, answered := 0, 0
	for _, second := range runStorm(t, s).Seconds {
		submitted += second.Submitted
		answered += second.Served + second.Rejected + second.Failed
	}
	if waiting := submitted - answered; waiting < 0 || waiting > s.Clients {
		t.Errorf("%d tries submitted, %d answered: want from 0 to %d tries, one per client, without an answer",
			submitted, answered, s.Clients)
	}
}
