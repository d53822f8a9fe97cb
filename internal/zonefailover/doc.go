// Package zonefailover assesses the health of zones of storage nodes and limits the work that may spill over between
// them: which zone is unavailable, which one is recovering, which zones new work prefers, and how much of it may go to
// another zone. The package reads no clock, takes no lock and does no I/O: its caller passes the time and calls from
// one goroutine at a time.
//
// A gateway observes a zone only over its network path to the zone. If that path is cut, the zone looks unavailable,
// and the gateway treats both cases alike: it sends no work to nodes that don't respond. It can tell whether a single
// node, most of a zone, or all zones at once are silent. In the last case the gateway itself is isolated, and no zone
// becomes unavailable.
//
// The parts of the package:
//
//   - Tracker owns the state of nodes and zones. Update advances it by the observations of all nodes.
//   - State, with one state machine for nodes (node.go) and one for zones (zone.go).
//   - Settings hold the tier of each zone and the bounds of spillover.
//   - SpilloverLimiter holds the token buckets that enforce these bounds.
package zonefailover
