package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// Random legal events keep the rules: one attempt at a time, nothing after the end, only to nodes that are up,
// ordered keys in turn, keyed repeats in their group and time, one answer each.
func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		set := keyedSettings(ScopeShard)
		set.Classes[0].Ordered, set.Rules.OrderedKeyQuietPeriod = true, 50*ms
		set.Plans[0].Limit, set.Plans[0].Burst = 200, 200
		h := newHarness(t, set)
		random := rand.New(rand.NewPCG(seed, 1))
		type state struct {
			key, ranOn string
			ranAt      time.Duration
			out, ended bool
		}
		all, order, up := map[string]*state{}, []string{}, map[string]bool{"a": true, "b": true}
		attempts, answers, seen := map[string]int{}, map[string]int{}, 0
		check := func() {
			for ; seen < len(h.recorded); seen++ {
				word := strings.Fields(h.recorded[seen])
				switch word[0] {
				case "send":
					r := all[word[1]]
					if r.out || r.ended || !up[word[2]] {
						t.Fatalf("seed %d: %s: out %v, ended %v, node up %v", seed, h.recorded[seen], r.out, r.ended, up[word[2]])
					}
					if r.ranOn != "" && (r.ranOn != word[2] || h.now >= r.ranAt+set.Classes[0].DedupWindow) {
						t.Fatalf("seed %d: %s may run twice: ran on %s %v ago", seed, h.recorded[seen], r.ranOn, h.now-r.ranAt)
					}
					for _, id := range order {
						if o := all[id]; id == word[1] {
							break
						} else if o.key == r.key && (!o.ended || o.out) {
							t.Fatalf("seed %d: %s before %s", seed, word[1], id)
						}
					}
					r.out = true
					if r.ranOn == "" {
						r.ranOn, r.ranAt = word[2], h.now
					}
				case "refuse", "fail":
					answers[word[1]]++
					if all[word[1]].ended {
						t.Fatalf("seed %d: %s: a second answer", seed, h.recorded[seen])
					}
					if word[0] == "refuse" && all[word[1]].ranOn != "" {
						t.Fatalf("seed %d: %s, but it may have run", seed, h.recorded[seen])
					}
					all[word[1]].ended = true
				}
			}
		}
		for step := range 400 {
			switch random.IntN(4) {
			case 0, 1:
				id := fmt.Sprint("r", h.id+1)
				all[id] = &state{key: fmt.Sprint(step % 3)}
				order = append(order, id)
				h.arrive(Request{Key: all[id].key, Shard: random.IntN(3) - 1, ClientTimeout: time.Duration(1+random.IntN(2000)) * ms})
			case 2:
				for _, s := range slices.Clone(h.sends) {
					if r := h.requests[s.id]; r != nil && len(r.inFlight) > 0 && random.IntN(3) == 0 {
						result := Result(random.IntN(int(NotSent)))
						n := r.inFlight[0].number
						all[s.id].out = false
						if result == Overloaded || result == ConnectFailed {
							if attempts[s.id] == 0 {
								all[s.id].ranOn = ""
							}
						} else {
							attempts[s.id]++
						}
						all[s.id].ended = all[s.id].ended || result == Served
						h.endAttempt(s.id, n, result)
						check()
						break
					}
				}
			case 3:
				for range random.IntN(12) {
					h.advance(5 * ms)
					check()
				}
			}
			check()
		}
		for range 600 {
			h.advance(5 * ms)
			check()
		}
		for _, id := range order {
			if !all[id].ended {
				t.Fatalf("seed %d: %s has no answer", seed, id)
			}
		}
	}
}
