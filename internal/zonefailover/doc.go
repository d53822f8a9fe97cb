// Package zonefailover assesses the health of zones of storage nodes and limits the work that may spill over between
// them: which zone is unavailable, which one is recovering, which zones new work prefers, and how much of it may go to
// another zone. The package reads no clock, takes no lock and does no I/O: its caller passes the time and calls from
// one goroutine at a time.
//
// A gateway observes a zone only over its network path to the zone. If that path is cut, the zone looks as if it had an
// outage, and the gateway treats both cases alike: it sends only trial requests to nodes that don't respond. It can
// tell whether a single node, most of a zone, or all zones at once are silent. If it has contacted at least two zones
// and all of them are silent, the gateway itself counts as isolated, and no zone becomes unavailable.
//
// The parts of the package:
//
//   - Tracker owns the state of nodes and zones. Its Update takes the observations of all nodes.
//   - State is the health of a node or a zone. Nodes and zones have a state machine each (node.go, zone.go).
//   - Settings hold the tier of each zone and the bounds of spillover.
//   - SpilloverLimiter holds the token buckets that enforce these bounds.
package zonefailover
