package invariants

import (
	"bytes"
	"flag"
	"testing"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/internal/capture/capturetest"
	"reachpulley/scheduler"
)

func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "30")
}

const ms = time.Millisecond

// testingT is what the helpers need of a *testing.T, *testing.B or *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// recordFile records a random workload and returns it as a capture file.
func recordFile(t testingT, seed uint64, events, maxBytes int) []byte {
	t.Helper()
	workload := capturetest.NewWorkload(seed)
	recorder, err := capture.NewRecorder(capturetest.Settings, 1, capture.Options{MaxBytes: maxBytes}, workload)
	if err != nil {
		t.Fatal(err)
	}
	workload.Play(recorder, events)
	file, err := recorder.Recording().File()
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// newPlayer returns a player of a capture file, and a checker for it.
func newPlayer(t testingT, file []byte) (*capture.Player, *Checker) {
	t.Helper()
	reader, err := capture.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	return capture.NewPlayer(reader), New(reader.Head.Settings)
}

// Indexes of the classes of capturetest.Settings.
const (
	read = iota
	write
	once
)

// scenario is a sequence of events with their actions, which begins with an empty state.
type scenario struct{ steps []*capture.Step }

// event adds an event with its actions. Its time is one hour and this number of milliseconds on the Scheduler's clock.
func (s *scenario) event(milliseconds int, event capture.Record, actions ...capture.Record) *scenario {
	event.At = time.Hour + time.Duration(milliseconds)*ms
	step := &capture.Step{Number: uint64(len(s.steps)), Event: &event, Actions: actions}
	if len(s.steps) == 0 {
		step.ResumedFrom = &scheduler.Snapshot{}
	}
	s.steps = append(s.steps, step)
	return s
}

// withNodes returns a scenario with two nodes that are up.
func withNodes() *scenario { return new(scenario).event(0, members(scheduler.Up, 0)) }

// arriveAndSend adds the arrival of a request at 1 ms and its sending to the first node.
func (s *scenario) arriveAndSend(id string, class int) *scenario {
	return s.event(1, arrived(id, class, 1), send(id, "n"))
}

// members returns a full list of two nodes: "n" with this phase and start time, and "far" in another zone and shard.
func members(phase scheduler.Phase, startedAt time.Duration) capture.Record {
	return capture.Record{
		Kind: capture.KindMembershipChanged,
		Membership: &scheduler.Membership{
			Kind: scheduler.FullList,
			Nodes: []scheduler.Node{
				{ID: "n", Phase: phase, StartedAt: startedAt},
				{ID: "far", Zone: 1, Shard: 1},
			},
		},
	}
}

// noMembers returns a full list without nodes.
func noMembers() capture.Record {
	return capture.Record{
		Kind:       capture.KindMembershipChanged,
		Membership: &scheduler.Membership{Kind: scheduler.FullList},
	}
}

func arrived(id string, class int, units float64) capture.Record {
	return capture.Record{
		Kind: capture.KindRequestArrived,
		Request: &scheduler.Request{
			ID:            id,
			Operation:     "op",
			Class:         class,
			Volume:        "v",
			Key:           "k",
			Units:         units,
			ClientTimeout: time.Second,
			Hosts:         1,
		},
	}
}

// arrivedNonIdempotent returns the arrival of a read whose description forbids retries.
func arrivedNonIdempotent(id string) capture.Record {
	r := arrived(id, read, 1)
	r.Request.RetryPolicy.Idempotency = scheduler.NonIdempotent
	return r
}

func restricted(level scheduler.RestrictionLevel) capture.Record {
	return capture.Record{
		Kind:        capture.KindRestricted,
		Restriction: &scheduler.Restriction{Operation: "op", Level: level},
	}
}

func ended(id string, attempt int, result scheduler.Result) capture.Record {
	return capture.Record{
		Kind: capture.KindAttemptEnded,
		Outcome: &scheduler.Outcome{
			ID:        id,
			Attempt:   attempt,
			Node:      "n",
			Result:    result,
			Concluded: result == scheduler.Served,
		},
	}
}

func disconnected(id string) capture.Record {
	return capture.Record{Kind: capture.KindClientDisconnected, ID: id}
}

func streamStarted(id string) capture.Record {
	return capture.Record{Kind: capture.KindStreamStarted, ID: id}
}

var timerFired = capture.Record{Kind: capture.KindTimerFired}

func send(id, node string) capture.Record {
	return capture.Record{Kind: capture.KindSend, ID: id, Node: node}
}

func reject(id string) capture.Record { return capture.Record{Kind: capture.KindReject, ID: id} }

// scenarioTest is a scenario and the rule that it must violate.
type scenarioTest struct {
	scenario *scenario
	want     Rule // rule of the first or the last violation; empty: there must be no violation
}

func checkScenarios(t *testing.T, tests map[string]scenarioTest) {
	t.Helper()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			checker := New(capturetest.Settings)
			var found []Violation
			for _, step := range test.scenario.steps {
				found = append(found, checker.Step(step)...)
			}
			switch {
			case test.want == "" && len(found) > 0:
				t.Errorf("violations %v, want none", found)
			case test.want != "" && len(found) == 0:
				t.Errorf("no violation, want one of rule %q", test.want)
			case test.want != "" && found[0].Rule != test.want && found[len(found)-1].Rule != test.want:
				t.Errorf("violations %v, want one of rule %q", found, test.want)
			}
		})
	}
}
