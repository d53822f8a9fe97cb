// Package gateway assembles a whole gateway and runs it: listeners, frontends, event loop, backends and discovery.
// Programs, tests and tools start as many as they want within one process.
//
// [Serve] does three things, each in a file of its own: assemble (assembly.go) builds the parts, start (run.go) runs
// them, and drain or abort (shutdown.go) ends them. The constructors that assemble calls are in the files of what they
// construct:
//
//   - rejections.go: what is rejected before the scheduler sees it
//   - options.go, limits.go: the inputs of a gateway; the division of memory and sockets
//   - backends.go, frontends.go: the connections to nodes and to clients
//   - recording.go, captures.go: the recording of the scheduler's events and actions; the files of captures
//   - checkpoint.go: the state that survives a restart
//   - contracts.go: descriptions of operations; the check of nodes against them
//   - reload.go: changes of the configuration while the gateway runs
//
// # Order of construction
//
// The order of the constructors in assemble matters:
//
//   - Sockets are divided first, so that a configuration that leaves too few fails before any file is opened.
//   - Discovery and the conformance monitor come before the event loop and report to it. That is safe because neither
//     reports anything before the loop exists: discovery waits for the scheduler's Watch, and the monitor for
//     NotifyRestored and observations.
//   - The learned state of the previous incarnation is restored by the first event that is posted to the loop, as the
//     scheduler expects it before any other event.
//   - The restrictions that follow from distrust of the previous incarnation are the next events, before the list of
//     nodes and before any request, so that no request goes to a node that was avoided.
//   - The cached list of nodes follows, so that the first request finds nodes while discovery is still being called.
//   - The frontends come last: everything that they hand requests to is complete by then.
//
// # Contexts
//
// The context that is passed to [Serve] only requests a graceful shutdown. None of the other contexts is derived from
// it, as requests are served for some time after it has ended.
//
// The serving context is canceled once the frontends have ended. That ends the loop, which fails the requests that are
// still pending; the backends, which close their idle connections; the calls to discovery; and the reloader. As the
// reloader runs until then, a reload takes effect during a drain too: discovery may move, and the gateway still follows
// the drains of nodes.
//
// The recording context is canceled when the loop has returned. The goroutines that write the loop's output (segments,
// triggered captures, checkpoints) then write what the loop left, and end.
//
// # Order of start
//
// The loop is started first, as everything else posts to it. The frontends are started last. Among them the HTTP
// frontend is started first, as the gateway ends when the HTTP server ends.
//
// # Order of shutdown
//
// On a planned stop:
//
//  1. Every HTTP response is the last of its connection, and HTTP/2 clients receive the first GOAWAY.
//  2. The listeners stay open for the notice period. Clients learn of a planned stop a moment later; until
//     then they are served as before, over new connections too.
//  3. The listeners of iSCSI and HTTP/2 are closed, and these frontends shut down while the HTTP server does.
//     All of them answer the requests that they have accepted, within one common drain timeout.
//  4. The serving context is canceled. The loop fails the requests that are still pending after the drain
//     timeout.
//  5. When the loop has returned, the last records and the last checkpoint are written, and all goroutines are joined.
//
// If the HTTP server fails, the other frontends are ended at once, in place of steps 1 to 3. A gateway that cannot
// serve HTTP must exit, so that its supervisor restarts it.
package gateway
