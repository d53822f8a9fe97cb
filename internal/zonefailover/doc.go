// Package zonefailover assesses the health of zones of storage nodes and limits what may spill over between them:
// which zone is unavailable, which recovers, which zones new work prefers, and how much of it may go to another one.
// It has no clock, no lock and does no I/O: its caller passes the time and calls from one goroutine at a time.
//
// A gateway observes a zone only through its path there. A cut of that path looks like an unavailable zone, and both
// are handled alike: the gateway sends nothing to where nothing responds. It can tell apart whether a single node is
// silent, most of a zone, or all zones at once. In the last case the gateway itself is isolated, and no zone is called
// unavailable.
//
// The parts of the package:
//
//   - Tracker owns the state of nodes and zones. Update moves it on by what was observed of all nodes.
//   - State, with one state machine for nodes (node.go) and one for zones (zone.go).
//   - Settings name the preferred zones by tier and the bounds of spillover.
//   - SpilloverLimiter holds the token buckets that bound spillover.
package zonefailover
