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

// A shared resource fails calls and processes them all the same. Without retry budgets, the retries that a slowdown
// leaves behind keep it failing until the end; with them, as many requests are served as before within seconds.
func TestRetryBudgetsEndStorm(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		s := SharedStorm(seed)
		s.Length = 60 * time.Second
		without := runStorm(t, s)
		s.Retry = testRetryBudget
		with := runStorm(t, s)
		recovered := with.Recovered >= 0 && with.Recovered <= 15*time.Second
		if without.Recovered >= 0 || !recovered || without.ServedBefore < 150 {
			t.Errorf("seed %d: recovered after %v with budgets, %v without; %.0f served a second before",
				seed, with.Recovered, without.Recovered, without.ServedBefore)
		}
	}
}

// If the nodes slow down themselves, the scheduler's limits end the storm without budgets, and a proxy without those
// limits never recovers.
func TestSchedulerEndsStormOfSlowNodes(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		s := NodeStorm(seed)
		s.Length = 60 * time.Second
		scheduled := runStorm(t, s)
		s.Passthrough = true
		passthrough := runStorm(t, s)
		recovered := scheduled.Recovered >= 0 && scheduled.Recovered <= 10*time.Second
		if !recovered || passthrough.Recovered >= 0 {
			t.Errorf("seed %d: recovered after %v, and %v as a passthrough proxy",
				seed, scheduled.Recovered, passthrough.Recovered)
		}
	}
}

func TestStormFollowsFromSeed(t *testing.T) {
	s := SharedStorm(7)
	s.Length = 30 * time.Second
	s.Retry = testRetryBudget
	if diff := cmp.Diff(runStorm(t, s), runStorm(t, s)); diff != "" {
		t.Errorf("two runs of a seed differ: %s", diff)
	}
}

func TestEveryTryOfStormIsAnswered(t *testing.T) {
	s := SharedStorm(5)
	s.Length = 40 * time.Second
	submitted, answered := 0, 0
	for _, second := range runStorm(t, s).Seconds {
		submitted += second.Submitted
		answered += second.Served + second.Rejected + second.Failed
	}
	if waiting := submitted - answered; waiting < 0 || waiting > s.Clients {
		t.Errorf("%d submitted, %d answered", submitted, answered)
	}
}
