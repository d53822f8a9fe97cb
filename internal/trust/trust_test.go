package trust

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"reachpulley/scheduler"
)

func init() { flag.Set("rapid.seed", "1") }

const op = "GET /sheets/{id}"

// fleetOf tells a Keeper of nodes: each second every one of them answers each of the clients, and lies tells what an answer is. It gives the states that each
// node was in, in their order.
type fleetOf struct {
	k       *Tracker
	now     time.Duration
	nodes   int
	clients int
	lies    func(node int, second time.Duration) Evidence
	version func(node int, second time.Duration) string
	states  map[string][]State
	changes []Change
}

func newFleet(nodes, clients int, lies func(int, time.Duration) Evidence) *fleetOf {
	return &fleetOf{k: New(scheduler.AvoidNode), now: time.Hour, nodes: nodes, clients: clients, lies: lies, states: map[string][]State{},
		version: func(int, time.Duration) string { return "v1" }}
}

func (f *fleetOf) run(seconds int) *fleetOf {
	for range seconds {
		for n := range f.nodes {
			for c := range f.clients {
				node := fmt.Sprint("n", n)
				f.take(f.k.Observe(f.now, Report{Operation: op, Node: node, Version: f.version(n, f.now-time.Hour), Client: uint64(c + 1), Evidence: f.lies(n, f.now-time.Hour)}))
			}
		}
		f.take(f.k.Tick(f.now))
		f.now += time.Second
	}
	return f
}

func (f *fleetOf) take(all []Change) {
	f.changes = append(f.changes, all...)
	for _, c := range all {
		if c.From != c.To && !c.DescriptionWrong {
			f.states[c.Node] = append(f.states[c.Node], c.To)
		}
	}
}

func always(e Evidence) func(int, time.Duration) Evidence {
	return func(int, time.Duration) Evidence { return e }
}

// One lying node among ten honest ones is avoided, and nobody else is.
func TestOneLiar(t *testing.T) {
	f := newFleet(11, 10, func(node int, _ time.Duration) Evidence {
		if node == 3 {
			return SchemaViolation
		}
		return Conforms
	}).run(5)
	if diff := cmp.Diff(map[string][]State{"n3": {Suspect, Distrusted}}, f.states); diff != "" {
		t.Error(diff)
	}
	if got := f.k.Level(op, "n3"); got != scheduler.AvoidNode || f.k.Level(op, "n2") != scheduler.Unrestricted {
		t.Errorf("level %v, n2 %v", got, f.k.Level(op, "n2"))
	}
}

// A fleet that moved to a version overnight which does otherwise contradicts its description as a whole: nobody is avoided, and nothing is repeated.
// The version that goes back takes the doubt away.
func TestFleetMovesOvernight(t *testing.T) {
	const night = 60 * time.Second
	f := newFleet(10, 10, func(node int, s time.Duration) Evidence {
		if s > night+time.Duration(node)*5*time.Second {
			return SchemaViolation
		}
		return Conforms
	})
	f.version = func(node int, s time.Duration) string {
		if s > night+time.Duration(node)*5*time.Second {
			return "v2"
		}
		return "v1"
	}
	f.run(150)
	fleet := slices.IndexFunc(f.changes, func(c Change) bool { return c.DescriptionWrong })
	if fleet < 0 || f.changes[fleet].Version != "v2" || f.changes[fleet].Level != scheduler.NoRetries {
		t.Fatalf("no word of the fleet in %+v", f.changes)
	}
	for n := range f.nodes {
		if got := f.k.Level(op, fmt.Sprint("n", n)); got != scheduler.NoRetries {
			t.Errorf("n%d: level %v", n, got)
		}
	}
	f.lies, f.version = always(Conforms), func(int, time.Duration) string { return "v1" }
	f.run(600)
	if doubts := f.k.Records(f.now); len(doubts) > 0 || len(f.k.told) > 0 || len(f.k.fleets) > 0 {
		t.Errorf("still %+v", doubts)
	}
}

// A client that tries to discredit a node, or all of them, gets no further than to be counted, whatever it asks for and however often. Other clients'
// answers are good.
func TestOneClientDiscreditsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, now := New(scheduler.AvoidNode), time.Hour
		soft := rapid.SampledFrom([]Evidence{UnknownStatus, UnknownMediaType, SchemaViolation, Slow, IgnoredRetryAfter, ResponsesDiffer})
		for range rapid.IntRange(1, 500).Draw(t, "answers") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			one := Report{Operation: op, Node: "n", Client: 7, Evidence: soft.Draw(t, "evidence")}
			if rapid.IntRange(0, 5).Draw(t, "other") == 0 {
				one.Client, one.Evidence = uint64(rapid.IntRange(100, 200).Draw(t, "client")), Conforms
			}
			if changes := k.Observe(now, one); len(changes) > 0 {
				t.Fatalf("%+v", changes)
			}
			k.Tick(now)
		}
	})
}

// What no client can bring about counts whoever asked.
func TestHardEvidence(t *testing.T) {
	f := newFleet(4, 1, func(node int, _ time.Duration) Evidence {
		if node == 0 {
			return ExecutedAfterDenial
		}
		return Conforms
	}).run(3)
	if got := f.states["n0"]; !slices.Equal(got, []State{Suspect, Distrusted}) || len(f.states) != 1 {
		t.Errorf("%v", f.states)
	}
}

// Trust returns by a probation, within a time that can be told: a hold, what the weight takes to fade, and the proofs.
func TestTrustReturns(t *testing.T) {
	f := newFleet(4, 10, func(node int, s time.Duration) Evidence {
		if node == 0 && s < 10*time.Second {
			return RepeatExecuted
		}
		return Conforms
	}).run(200)
	if got := f.states["n0"]; !slices.Equal(got, []State{Suspect, Distrusted, Probation, Trusted}) {
		t.Errorf("%v", got)
	}
}

// A node that lies again on probation is distrusted for twice the time, and so on; one that wavers by the second does not drag traffic along.
func TestWavering(t *testing.T) {
	for _, period := range []time.Duration{2 * time.Second, 20 * time.Second, 120 * time.Second} {
		f := newFleet(4, 10, func(node int, s time.Duration) Evidence {
			if node == 0 && s/period%2 == 0 {
				return RepeatExecuted
			}
			return Conforms
		}).run(3600)
		if moves := len(f.states["n0"]); moves > 50 {
			t.Errorf("period %v: %d moves in an hour", period, moves)
		}
		if f.k.cells[key{op, "n0"}].hold < 4*holdFirst && period > time.Minute {
			t.Errorf("period %v: a hold of %v", period, f.k.cells[key{op, "n0"}].hold)
		}
	}
}

// A rare contradiction that comes with honest traffic costs nothing, in days.
func TestRareContradictionsAreBorne(t *testing.T) {
	n := 0
	f := newFleet(3, 20, func(int, time.Duration) Evidence {
		if n++; n%100 == 0 {
			return UnknownStatus
		}
		return Conforms
	}).run(2000)
	if len(f.changes) > 0 {
		t.Errorf("%+v", f.changes[0])
	}
}

// A node gains nothing by another name of its program with every answer.
func TestNoTrustByAnotherVersion(t *testing.T) {
	f := newFleet(4, 10, func(node int, _ time.Duration) Evidence {
		if node == 0 {
			return RepeatExecuted
		}
		return Conforms
	})
	f.version = func(node int, s time.Duration) string { return fmt.Sprint("v", node, s) }
	f.run(100)
	if f.k.Level(op, "n0") != scheduler.AvoidNode {
		t.Errorf("%v", f.states)
	}
	if len(f.k.fleets) > mostVersions {
		t.Errorf("%d versions", len(f.k.fleets))
	}
}

// Ever new operations and nodes take bounded memory, and none in doubt is forgotten for them.
func TestBounds(t *testing.T) {
	k := New(scheduler.AvoidNode)
	for range 3 {
		k.Observe(time.Hour, Report{Operation: op, Node: "liar", Evidence: ExecutedAfterDenial})
	}
	for i := range 4 * MaxCells {
		k.Observe(time.Hour+time.Duration(i), Report{Operation: fmt.Sprint("GET /", i), Node: "n", Evidence: Conforms})
	}
	if len(k.cells) > MaxCells || k.Level(op, "liar") != scheduler.AvoidNode {
		t.Errorf("%d cells, the liar is %v", len(k.cells), k.Level(op, "liar"))
	}
	full := New(scheduler.AvoidNode)
	for i := range MaxCells + 10 {
		for range 2 {
			full.Observe(time.Hour, Report{Operation: fmt.Sprint("GET /", i), Node: "n", Evidence: ExecutedAfterDenial})
		}
	}
	if len(full.cells) != MaxCells || full.Dropped() == 0 {
		t.Errorf("%d cells, %d dropped", len(full.cells), full.Dropped())
	}
}

// Whatever is told: what is given out is what holds, never above the bound that the operator set, and the same for the same evidence.
func TestChangesTellTheLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := scheduler.RestrictionLevel(rapid.IntRange(0, int(scheduler.AvoidNode)).Draw(t, "most"))
		k, twin := New(most), New(most)
		held := map[[2]string]scheduler.RestrictionLevel{}
		now := time.Hour
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			one := Report{Operation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "op"), Node: fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "node")),
				Version: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"), Client: uint64(rapid.IntRange(1, 9).Draw(t, "client")),
				Evidence: Evidence(rapid.IntRange(0, int(kinds)-1).Draw(t, "evidence"))}
			changes := append(k.Observe(now, one), k.Tick(now)...)
			if diff := cmp.Diff(changes, append(twin.Observe(now, one), twin.Tick(now)...)); diff != "" {
				t.Fatal(diff)
			}
			for _, c := range changes {
				held[[2]string{c.Operation, c.Node}] = c.Level
				if c.Level > most {
					t.Fatalf("%+v", c)
				}
			}
			for _, o := range []string{"a", "b"} {
				for n := range 5 {
					node := fmt.Sprint("n", n)
					if got := max(held[[2]string{o, ""}], held[[2]string{o, node}]); got != k.Level(o, node) {
						t.Fatalf("%s at %s: told %v, holds %v", o, node, got, k.Level(o, node))
					}
				}
			}
		}
	})
}

// A restart forgets no doubt, and gives nobody more trust than it had.
func TestRecall(t *testing.T) {
	f := newFleet(5, 10, func(node int, s time.Duration) Evidence {
		switch {
		case node == 0:
			return RepeatExecuted
		case node == 1 && s > 2*time.Second:
			return SchemaViolation
		}
		return Conforms
	}).run(4)
	doubts := f.k.Records(f.now)
	if len(doubts) != 2 {
		t.Fatalf("%+v", doubts)
	}
	next := New(scheduler.AvoidNode)
	changes, err := next.Restore(time.Minute, doubts, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range changes {
		if c.Level != f.k.Level(c.Operation, c.Node) || next.Level(c.Operation, c.Node) != c.Level {
			t.Errorf("%+v", c)
		}
	}
	if len(next.told) != len(f.k.told) {
		t.Errorf("%d levels, %d before", len(next.told), len(f.k.told))
	}
	for _, bad := range []Record{{Operation: "x", Node: "n", State: "cheerful"}, {Operation: "x", Node: "n", State: "distrusted", Worst: "?"},
		{Operation: "x", Node: "n", State: "distrusted", Worst: "fits", Weight: -1}} {
		if _, err := New(scheduler.AvoidNode).Restore(0, []Record{bad}, 0); err == nil {
			t.Errorf("%+v is believed", bad)
		}
	}
}

// Level is how carefully an operation is to be handled at a node now.
func (k *Tracker) Level(operation, node string) scheduler.RestrictionLevel {
	return max(k.told[key{operation, ""}], k.told[key{operation, node}])
}
