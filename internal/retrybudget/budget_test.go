package retrybudget

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Every run of the property tests draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

var testSettings = Settings{Share: 0.5, MinShare: 0.05, Trickle: 1, Burst: 5, Cells: 64}

// For any sequence of attempts, there are no more retries than the burst, the trickle and the share of the served first
// attempts allow.
func TestNoMoreRetriesThanAreEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budgets := New(testSettings)
		key := Key{Operation: "a"}
		now := time.Duration(0)
		served, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				budgets.AttemptEnded(now, key, false, true)
				served++
			case 1:
				budgets.AttemptEnded(now, key, false, false)
			case 2:
				if budgets.Take(now, key) {
					retries++
				}
			case 3:
				budgets.AttemptEnded(now, key, true, rapid.Bool().Draw(t, "served"))
			}
		}
		trickled := testSettings.Trickle * now.Seconds()
		earned := testSettings.Burst + trickled + testSettings.Share*float64(served)
		if float64(retries) > earned+1e-9 {
			t.Fatalf("%d retries were taken, only %.2f were earned", retries, earned)
		}
	})
}

// retriesTaken returns how many retries a thousand served first attempts earn, after a thousand others that settle the
// success share.
func retriesTaken(retriesServed bool) (taken int) {
	budgets := New(Settings{Share: 0.5, MinShare: 0.05, Burst: 5, Cells: 64})
	for i := range 2000 {
		now := time.Duration(i) * time.Millisecond
		budgets.AttemptEnded(now, Key{}, false, true)
		if budgets.Take(now, Key{}) {
			budgets.AttemptEnded(now, Key{}, true, retriesServed)
			if i >= 1000 {
				taken++
			}
		}
	}
	return taken
}

func TestEarnedShareFollowsSuccessOfRetries(t *testing.T) {
	for _, test := range []struct {
		name               string
		retriesServed      bool
		minTaken, maxTaken int
	}{
		{"all retries are served", true, 450, 510},
		{"no retry is served", false, 45, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			if taken := retriesTaken(test.retriesServed); taken < test.minTaken || taken > test.maxTaken {
				t.Errorf("%d retries for 1000 first attempts, want %d to %d", taken, test.minTaken, test.maxTaken)
			}
		})
	}
}

// Retries of an operation at one group of nodes spend no token of another group, and new operations take no memory.
func TestBudgetsAreSeparateAndBounded(t *testing.T) {
	budgets := New(testSettings)
	spent := Key{Operation: "a", Shard: 1}
	other := Key{Operation: "a", Shard: 2}
	for budgets.Take(0, spent) {
	}
	if !budgets.Take(0, other) {
		t.Error("retries at one group of nodes spent the budget of another group")
	}
	for i := range 10_000 {
		budgets.Take(0, Key{Operation: fmt.Sprint(i)})
	}
	if len(budgets.cells) != testSettings.Cells {
		t.Errorf("there are %d cells, want %d", len(budgets.cells), testSettings.Cells)
	}
}

func TestResumeRestoresBudgetsOfSameSettings(t *testing.T) {
	budgets := New(testSettings)
	for i := range 10_000 {
		budgets.Take(0, Key{Operation: fmt.Sprint(i)})
	}
	resumed := New(testSettings)
	if err := resumed.Resume(budgets.Snapshot()); err != nil || !cmp.Equal(resumed.cells, budgets.cells) {
		t.Errorf("Resume: error %v, budgets (-want +got):\n%s", err, cmp.Diff(budgets.cells, resumed.cells))
	}
	if err := resumed.Resume(budgets.Snapshot()[1:]); !errors.Is(err, ErrSettingsChanged) {
		t.Errorf("Resume with another number of budgets: %v, want %v", err, ErrSettingsChanged)
	}
	if err := New(Settings{}).Resume(budgets.Snapshot()); !errors.Is(err, ErrSettingsChanged) {
		t.Errorf("Resume with budgets turned off: %v, want %v", err, ErrSettingsChanged)
	}
}
