package scheduler

import (
	"fmt"
	"testing"
	"time"
)

func TestNewObjectGoesToTheNodeWithTheShortestWait(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.nodes["a"].setLatency(0.2, 0.2)
	h.nodes["b"].setLatency(0.02, 0.02)
	h.arrive(Request{Shard: AnyShard})
	h.wantActions("send r1 b", 1)
}

// BenchmarkSelectNode measures the selection of a node in fleets of several sizes.
func BenchmarkSelectNode(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000} {
		s, err := New(zonedSettings(), 1, discardActions{})
		if err != nil {
			b.Fatal(err)
		}
		list := Membership{Kind: FullList}
		for i := range nodes {
			list.Nodes = append(list.Nodes, Node{ID: fmt.Sprint("n", i), Zone: i % 2, Shard: i})
		}
		s.MembershipChanged(time.Hour, list)
		for kind, shard := range map[string]int{"for its data": nodes - 1, "a new object": AnyShard} {
			request := &requestState{
				Request:     Request{Class: 0, Units: 2, Shard: shard},
				class:       &s.settings.Classes[0],
				objectiveAt: s.now + time.Second,
				answerBy:    s.now + time.Second,
			}
			request.volume = s.volumeOf(request.Request)
			b.Run(fmt.Sprint(kind, ", nodes: ", nodes), func(b *testing.B) {
				for b.Loop() {
					s.selectNode(request)
				}
			})
		}
	}
}
