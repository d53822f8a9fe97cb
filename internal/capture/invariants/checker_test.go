package invariants

import (
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"
)

// The scheduler keeps the invariants on random workloads, each invariant is checked at least once, and the memory of
// the checker does not grow with the length of the capture.
func TestRandomWorkloadsKeepTheRules(t *testing.T) {
	checked := map[Rule]int{}
	rapid.Check(t, func(t *rapid.T) {
		player, checker := newPlayer(t, recordFile(t, rapid.Uint64().Draw(t, "seed"), 3000, 300_000))
		for {
			step, err := player.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			if violations := checker.Step(step); len(violations) > 0 {
				t.Fatalf("event %d: violations of invariants %v, want none", step.Number, violations)
			}
		}
		for rule, n := range checker.Checked {
			checked[rule] += n
		}
		requests, arrivals := len(checker.requests), len(checker.arrivals)
		volumes, keys := len(checker.volumes), len(checker.orderedKeys)
		if requests > 2500 || arrivals > 2500 || volumes > 5 || keys > 9 {
			t.Fatalf("the checker keeps %d requests, %d arrivals, %d volumes, %d ordered keys, "+
				"want at most 2500, 2500, 5, 9",
				requests, arrivals, volumes, keys)
		}
	})
	for _, rule := range Rules {
		if checked[rule] == 0 {
			t.Errorf("rule %q was never checked", rule)
		}
	}
}

// BenchmarkChecker measures a replay without the checker, and a replay of which the checker follows each step.
func BenchmarkChecker(b *testing.B) {
	file := recordFile(b, 1, 20_000, 64<<20)
	for name, withChecker := range map[string]bool{"replay": false, "replay and check": true} {
		b.Run(name, func(b *testing.B) {
			events := 0
			for b.Loop() {
				player, checker := newPlayer(b, file)
				for {
					step, err := player.Next()
					if err != nil {
						break
					}
					events++
					if withChecker {
						checker.Step(step)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
		})
	}
}
