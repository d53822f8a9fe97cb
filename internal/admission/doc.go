// Package admission decides for a frontend on which one connection carries many requests, as with HTTP/2: which streams
// are started and in what order, which connections get a lower limit of streams, are asked to go away or are closed,
// and which streams are aborted when memory is short.
//
// The package has no clock, no lock and does no I/O: its caller passes the time, which only needs to advance, reports
// what happened, and carries out the actions that come back.
//
// The parts of the package:
//
//   - Config and Action are the input and the output.
//   - Controller takes the events and owns the state of connections and streams (controller.go).
//   - The queue of waiting streams decides their order (queue.go).
//   - Memory is reserved for streams, and stalled ones are aborted for it (memory.go).
//   - The limit of streams follows the load (limits.go).
//   - Violations lead to GOAWAY, a closed connection and a ban of the address (violations.go).
package admission
