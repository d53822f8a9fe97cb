package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// Whatever valid events come in a random order, the rules hold: a request has one attempt at a time and none after its
// end, attempts go only to listed nodes, requests of an ordered key run in the order of their arrival, retries of
// requests with IdempotentWithKey stay within their scope and window, and each request gets one answer.
func TestRandomEventsNeverBreakTheRules(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			settings := keyedSettings(ScopeShard)
			settings.Classes[0].Ordered = true
			settings.Rules.OrderedKeyQuietPeriod = 50 * ms
			settings.Plans[0].Limit = 200
			settings.Plans[0].Burst = 200
			run := &randomRun{
				harness:  newHarness(t, settings),
				random:   rand.New(rand.NewPCG(seed, 1)),
				observed: map[string]*observedRequest{},
			}
			for step := range 400 {
				run.step(step)
			}
			run.pass(600)
			for _, id := range run.order {
				if !run.observed[id].ended {
					t.Fatalf("request %s has no answer", id)
				}
			}
		})
	}
}

// randomRun sends random events to a Scheduler and checks its actions.
type randomRun struct {
	*harness
	random   *rand.Rand
	observed map[string]*observedRequest
	order    []string // request IDs in the order of arrival
	checked  int      // number of recorded lines that have been checked
}

// observedRequest is the state of a request as the events and actions show it.
type observedRequest struct {
	key      string
	ranOn    string        // node of the first attempt that may have run; empty if there is none
	ranAt    time.Duration // when that attempt was sent
	mayRun   int           // number of attempts that have ended and may have run
	inFlight bool
	ended    bool
}

// step sends one random event.
func (run *randomRun) step(number int) {
	switch run.random.IntN(4) {
	case 0, 1:
		run.sendRequest(number)
	case 2:
		run.endRandomAttempt()
	case 3:
		run.pass(run.random.IntN(12))
	}
	run.check()
}

// pass advances the clock by a number of rounds of 5 ms.
func (run *randomRun) pass(rounds int) {
	for range rounds {
		run.advance(5 * ms)
		run.check()
	}
}

func (run *randomRun) sendRequest(number int) {
	id := fmt.Sprint("r", run.lastID+1)
	run.observed[id] = &observedRequest{key: fmt.Sprint(number % 3)}
	run.order = append(run.order, id)
	run.arrive(Request{
		Key:           run.observed[id].key,
		Shard:         run.random.IntN(3) - 1,
		ClientTimeout: time.Duration(1+run.random.IntN(2000)) * ms,
	})
}

func (run *randomRun) endRandomAttempt() {
	for _, send := range slices.Clone(run.sends) {
		attempt := run.harness.inFlight(send.id)
		if attempt == nil || run.random.IntN(3) > 0 {
			continue
		}
		result := Result(run.random.IntN(int(NotSent)))
		r := run.observed[send.id]
		r.inFlight = false
		if result != Overloaded && result != ConnectFailed {
			r.mayRun++
		} else if r.mayRun == 0 {
			r.ranOn = ""
		}
		r.ended = r.ended || result == Served
		run.endAttempt(send.id, attempt.number, result)
		return
	}
}

// check checks the actions that were recorded since the last check.
func (run *randomRun) check() {
	for ; run.checked < len(run.recorded); run.checked++ {
		words := strings.Fields(run.recorded[run.checked])
		switch words[0] {
		case "send":
			run.checkSend(words[1], words[2])
		case "reject", "fail":
			run.checkAnswer(words[0], words[1])
		}
	}
}

func (run *randomRun) checkSend(id, node string) {
	r := run.observed[id]
	if r.inFlight || r.ended || node != "a" && node != "b" {
		run.t.Fatalf("request %s was sent to node %q, in flight already %v, ended %v; want node a or b, false, false",
			id, node, r.inFlight, r.ended)
	}
	window := run.settings.Classes[0].DedupWindow
	if r.ranOn != "" && (r.ranOn != node || run.now >= r.ranAt+window) {
		run.t.Fatalf("request %s was sent to node %s and may run twice: may have run on %s %v ago",
			id, node, r.ranOn, run.now-r.ranAt)
	}
	for _, earlier := range run.order {
		if earlier == id {
			break
		}
		if other := run.observed[earlier]; other.key == r.key && (!other.ended || other.inFlight) {
			run.t.Fatalf("request %s was sent before the earlier request %s of its key was over", id, earlier)
		}
	}
	r.inFlight = true
	if r.ranOn == "" {
		r.ranOn = node
		r.ranAt = run.now
	}
}

func (run *randomRun) checkAnswer(kind, id string) {
	r := run.observed[id]
	if r.ended {
		run.t.Fatalf("request %s got a second answer: %s", id, kind)
	}
	if kind == "reject" && r.ranOn != "" {
		run.t.Fatalf("request %s was rejected, but it may have run on node %s", id, r.ranOn)
	}
	r.ended = true
}
