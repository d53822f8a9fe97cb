package trust

import (
	"flag"
	"fmt"
	"time"

	"reachpulley/scheduler"
)

// Every run of the property tests draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

const testOperation = "GET /sheets/{id}"

// fleet is a set of simulated nodes whose responses are reported to a Tracker. Each second every node responds to every
// client.
type fleet struct {
	tracker *Tracker
	now     time.Duration
	nodes   int
	clients int
	// evidence and version return the Evidence and the Version that are reported for a node's responses when elapsed
	// has passed since fleetStart.
	evidence func(node int, elapsed time.Duration) Evidence
	version  func(node int, elapsed time.Duration) string

	states  map[string][]State // states that each node has entered, in order
	changes []Change
}

// fleetStart is the time at which a fleet starts.
const fleetStart = time.Hour

func newFleet(nodes, clients int, evidence func(int, time.Duration) Evidence) *fleet {
	return &fleet{
		tracker:  New(scheduler.AvoidNode),
		now:      fleetStart,
		nodes:    nodes,
		clients:  clients,
		evidence: evidence,
		version:  func(int, time.Duration) string { return "v1" },
		states:   map[string][]State{},
	}
}

func (f *fleet) run(seconds int) *fleet {
	for range seconds {
		elapsed := f.now - fleetStart
		for node := range f.nodes {
			for client := range f.clients {
				f.record(f.tracker.Observe(f.now, Report{
					Operation: testOperation,
					Node:      nodeName(node),
					Version:   f.version(node, elapsed),
					Client:    uint64(client + 1),
					Evidence:  f.evidence(node, elapsed),
				}))
			}
		}
		f.record(f.tracker.Tick(f.now))
		f.now += time.Second
	}
	return f
}

func (f *fleet) record(changes []Change) {
	f.changes = append(f.changes, changes...)
	for _, change := range changes {
		if change.From != change.To && !change.OfDescription {
			f.states[change.Node] = append(f.states[change.Node], change.To)
		}
	}
}

func nodeName(i int) string { return fmt.Sprint("n", i) }

func always(evidence Evidence) func(int, time.Duration) Evidence {
	return func(int, time.Duration) Evidence { return evidence }
}

// Level returns the level at which an operation is restricted at a node now.
func (t *Tracker) Level(operation, node string) scheduler.RestrictionLevel {
	return max(t.levels[entryKey{operation, allNodes}], t.levels[entryKey{operation, node}])
}
