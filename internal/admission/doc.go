// Package admission makes the admission decisions of a frontend whose connections carry many requests each, as those of
// HTTP/2 do: which streams are started and in what order, which connections get a lower limit of streams, are asked to
// go away or are closed, and which stalled streams are aborted.
//
// The package reads no clock, takes no lock and does no I/O: its caller passes the time of a monotonic clock, reports
// the events, and carries out the actions that are returned.
//
// The parts of the package:
//
//   - Config holds the limits, and Action is what the caller is to do.
//   - Controller takes the events and owns the state of connections and streams (controller.go).
//   - The queue of waiting streams decides their order (queue.go). A part of each limit is reserved for destinations
//     with few streams in flight (destination.go).
//   - Memory is reserved for streams. Stalled streams are aborted when memory runs out, or after Config.Stall
//     (memory.go).
//   - The limit of streams of each connection follows the load (limits.go).
//   - Violations lead to a GOAWAY, then to a closed connection and a ban of the address (violations.go).
//   - A connection is closed once its streams in flight are answered (closing.go).
package admission
