package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Two keys, "greedy" and "eager", request far more than their parent allows, at different rates. A third one, "modest",
// requests little. The first two get about the same, and the modest one gets at least 98% of what it requests.
func TestParentIsSharedFairlyAmongKeys(t *testing.T) {
	l := newLimiter(t,
		Definition{Name: "client", Rate: 1000, Burst: 1000, Parent: "gateway"},
		Definition{Name: "gateway", Rate: 100, Burst: 50})
	random := rand.New(rand.NewPCG(1, 2))
	admitted := map[string]int{}
	requested := map[string]int{}
	for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
		for _, client := range []struct {
			key    string
			chance float64 // probability of a request in each millisecond
		}{{"greedy", 0.9}, {"modest", 0.01}, {"eager", 0.2}} {
			if random.Float64() >= client.chance {
				continue
			}
			requested[client.key]++
			if decision := l.Take(now, []Claim{{0, client.key}, {1, ""}}); decision.Admitted {
				admitted[client.key]++
				l.Release(decision.Grant)
			}
		}
	}
	if admitted["modest"] < requested["modest"]*98/100 {
		t.Errorf("the modest key got %d of %d requests, want at least 98%%", admitted["modest"], requested["modest"])
	}
	if ratio := float64(admitted["greedy"]) / float64(admitted["eager"]); ratio < 0.9 || ratio > 1.2 {
		t.Errorf("the greedy key got %d requests and the eager one %d, want a ratio from 0.9 to 1.2",
			admitted["greedy"], admitted["eager"])
	}
	if sum := admitted["greedy"] + admitted["modest"] + admitted["eager"]; sum < 5900 || sum > 6060 {
		t.Errorf("%d requests admitted in 60 s, want 5900 to 6060 (100 a second and the burst)", sum)
	}
}
