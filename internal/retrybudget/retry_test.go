package retrybudget

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") }

var set = Settings{Share: 0.5, MinShare: 0.05, Trickle: 1, Burst: 5, Cells: 64}

// Whatever happens, further attempts are no more than the burst, the trickle and the share of what was served.
func TestNoMoreThanIsEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(set)
		key, now, served, further := Key{Operation: "a"}, time.Duration(0), 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.AttemptEnded(now, key, false, true)
				served++
			case 1:
				b.AttemptEnded(now, key, false, false)
			case 2:
				if b.Take(now, key) {
					further++
				}
			case 3:
				b.AttemptEnded(now, key, true, rapid.Bool().Draw(t, "served"))
			}
		}
		if most := set.Burst + set.Trickle*now.Seconds() + set.Share*float64(served); float64(further) > most+1e-9 {
			t.Fatalf("%d further attempts, %.2f are earned", further, most)
		}
	})
}

// take gives how many of n further attempts are earned beside n first ones that are served, after learning.
func take(earns bool) (taken int) {
	b := New(Settings{Share: 0.5, MinShare: 0.05, Burst: 5, Cells: 64})
	for i := range 2000 {
		now := time.Duration(i) * time.Millisecond
		b.AttemptEnded(now, Key{}, false, true)
		if b.Take(now, Key{}) {
			b.AttemptEnded(now, Key{}, true, earns)
			if i >= 1000 {
				taken++
			}
		}
	}
	return taken
}

// The share is learned from what further attempts earn.
func TestShareIsLearned(t *testing.T) {
	if good, bad := take(true), take(false); good < 450 || good > 510 || bad < 45 || bad > 100 {
		t.Errorf("of 1000: %d where they are served, %d where they are not", good, bad)
	}
}

// One operation's failures at one group spend nobody else's budget; ever new ones take no memory.
func TestBudgetsAreApartAndBounded(t *testing.T) {
	b := New(set)
	bad, good := Key{Operation: "a", Shard: 1}, Key{Operation: "a", Shard: 2}
	for b.Take(0, bad) {
	}
	if !b.Take(0, good) {
		t.Error("another group's budget is spent")
	}
	for i := range 10_000 {
		b.Take(0, Key{Operation: fmt.Sprint(i)})
	}
	if len(b.cells) != set.Cells {
		t.Errorf("%d cells", len(b.cells))
	}
	again := New(set)
	if err := again.Resume(b.Snapshot()); err != nil || !cmp.Equal(again.cells, b.cells) {
		t.Errorf("not the same after going on: %v", err)
	}
	if again.Resume(b.Snapshot()[1:]) == nil || New(Settings{}).Resume(b.Snapshot()) == nil {
		t.Error("a state of other settings is gone on from")
	}
}
