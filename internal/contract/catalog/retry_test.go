package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachpulley/internal/contract"
	"reachpulley/scheduler"
)

// randomNodes carries out the actions of a scheduler. Its nodes end attempts with random results.
type randomNodes struct {
	random *rand.Rand
	sent   map[string][]string // the node of each attempt, by request
	ran    map[string][]int    // the numbers of the attempts that may have run, by request
	open   []scheduler.Outcome // attempts in flight
}

func (n *randomNodes) Send(id, node string, _ time.Duration) {
	n.open = append(n.open, scheduler.Outcome{ID: id, Node: node, Attempt: len(n.sent[id]), VolumeUse: -1})
	n.sent[id] = append(n.sent[id], node)
}
func (n *randomNodes) Cancel(string, int)             {}
func (n *randomNodes) Reject(string, time.Duration)   {}
func (n *randomNodes) Fail(string)                    {}
func (n *randomNodes) Probe(string)                   {}
func (n *randomNodes) SetTimer(time.Duration, uint64) {}
func (n *randomNodes) Watch()                         {}
func (n *randomNodes) Fetch()                         {}
func (n *randomNodes) Log(string)                     {}

// endAttempts ends a random number of the attempts in flight.
func (n *randomNodes) endAttempts(s *scheduler.Scheduler, now time.Duration) {
	for len(n.open) > 0 && n.random.IntN(4) > 0 {
		outcome := n.open[0]
		n.open = n.open[1:]
		outcome.Result = scheduler.Result(n.random.IntN(int(scheduler.NotSent) + 1))
		outcome.Concluded = outcome.Result == scheduler.Served
		switch outcome.Result {
		case scheduler.Overloaded, scheduler.ConnectFailed, scheduler.NotSent:
		default:
			n.ran[outcome.ID] = append(n.ran[outcome.ID], outcome.Attempt)
		}
		s.AttemptEnded(now, outcome)
	}
}

// drawDescription draws operations. In most cases, one of them describes PUT /api/{volume}/{data}.
func drawDescription(t *rapid.T) []*contract.Operation {
	other := &contract.Operation{Method: "GET", Template: "/else", Idempotency: contract.Idempotent}
	if rapid.IntRange(0, 3).Draw(t, "described") == 0 {
		return []*contract.Operation{other}
	}
	o := &contract.Operation{Method: "PUT", Template: "/api/{volume}/{data}"}
	o.Idempotency = rapid.SampledFrom([]contract.Idempotency{
		contract.Idempotent, contract.IdempotentWithKey, contract.NonIdempotent,
	}).Draw(t, "repeats")
	if o.Idempotency == contract.IdempotentWithKey {
		o.Key = contract.Location{In: rapid.SampledFrom([]string{"header", "query"}).Draw(t, "in"), Name: "K"}
		o.DedupWindow = time.Duration(rapid.IntRange(1, 9).Draw(t, "for")) * time.Second
		o.DedupScope = rapid.SampledFrom([]contract.DedupScope{
			contract.ScopeAll, contract.ScopeZone, contract.ScopeShard,
		}).Draw(t, "group")
	}
	o.Class = rapid.SampledFrom([]string{"", "entry-write", "sheet-read"}).Draw(t, "class")
	o.LatencyObjective = time.Duration(rapid.IntRange(0, 2).Draw(t, "aim")) * time.Second
	o.Deadline = 2 * time.Second
	return []*contract.Operation{o, other}
}

// runWrites sends 60 writes of the class entry-write, which clients choose with the header X-Class, through a
// scheduler.
func runWrites(t *rapid.T, c *Catalog, entry *Entry) *randomNodes {
	nodes := &randomNodes{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		sent:   map[string][]string{},
		ran:    map[string][]int{},
	}
	s, err := scheduler.New(c.WithGeneratedClasses(settings), 1, nodes)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Minute
	s.MembershipChanged(now, scheduler.Membership{
		Kind: scheduler.FullList,
		Nodes: []scheduler.Node{
			{ID: "a0"}, {ID: "a1"}, {ID: "b0", Zone: 1, Shard: 1}, {ID: "b1", Zone: 1, Shard: 1},
		},
	})
	const entryWrite = 1 // index of the class in settings.Classes
	for i := range 60 {
		now += time.Duration(nodes.random.IntN(40)) * time.Millisecond
		s.TimerFired(now, 0)
		s.RequestArrived(now, scheduler.Request{
			ID:            fmt.Sprint(i),
			Class:         entryWrite,
			Volume:        "v",
			Key:           fmt.Sprint(i),
			Units:         1,
			Shard:         nodes.random.IntN(3) - 1,
			Hosts:         1,
			ClientTimeout: 2 * time.Second,
			Operation:     entry.Name,
			RetryPolicy:   entry.RetryPolicy,
		})
		nodes.endAttempts(s, now)
	}
	return nodes
}

// Whatever descriptions state and however nodes fail, a write is retried only if its class allows it, only at the shard
// that discards the retry, and never if its description is stricter.
func TestNoWriteRunsTwiceBecauseOfADescription(t *testing.T) {
	retries := 0
	rapid.Check(t, func(t *rapid.T) {
		c, faults := New(drawDescription(t), settings)
		if len(faults) > 0 {
			return // The gateway rejects such a description.
		}
		entry, _ := c.Lookup(&contract.Call{Method: "PUT", Path: "/api/1/2"}, nil)
		nodes := runWrites(t, c, entry)
		for id, ran := range nodes.ran {
			if len(ran) < 2 {
				continue
			}
			retries++
			if entry.RetryPolicy.Idempotency == scheduler.NonIdempotent {
				t.Fatalf("request %s of the unsafe operation %s ran %d times", id, entry.Name, len(ran))
			}
			zoneOf := func(attempt int) byte { return nodes.sent[id][attempt][0] }
			for _, attempt := range ran {
				if zoneOf(attempt) != zoneOf(ran[0]) {
					t.Fatalf("request %s was sent to %v: another shard does not know the key", id, nodes.sent[id])
				}
			}
		}
	})
	if retries == 0 {
		t.Error("0 requests ran more than once, want some: otherwise nothing was checked")
	}
}
