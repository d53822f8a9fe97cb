// Package scheduler decides how one host sends the requests of its clients to a fleet of shared storage nodes:
// which request waits, which node it goes to and when, which request is rejected, and what happens when a node
// fails.
//
// # Model
//
// A [Scheduler] is a deterministic state machine. It has no goroutines, no clock and no I/O, is not safe for
// concurrent use and shares nothing with other Schedulers. Its owner passes each event with the current time to
// one of the event methods ([Scheduler.RequestArrived], [Scheduler.AttemptEnded], [Scheduler.MembershipChanged],
// ...). During that call the Scheduler calls the methods of its [Actions], in the order in which they are to be
// carried out. The same [Settings], seed and events always lead to the same actions, which is what makes a
// recorded run replayable.
//
// # The path of a request
//
//   - admission.go accepts a request, or rejects it as soon as it can no longer be answered in time.
//   - node_selection.go and zone_failover.go choose the node in whose queue it waits.
//   - queue.go orders the requests that wait for a node, and dispatch.go sends them.
//   - guards.go and slow_start.go hold the rules that nothing sent may break.
//   - retry.go decides whether and where a request may be sent again; restrictions.go narrows that for
//     operations that violated their description.
//   - node_health.go holds a node back after failures.
//
// These files are the policy. The key "policy" of deploy/balancer.toml lists them, and no other file of the package
// decides anything about a request. The other files do the accounting: concurrency_limit.go and
// latency_estimates.go estimate what the nodes can do, zone_observation.go collects signs of their health,
// token_bucket.go, volume.go and ordered_keys.go track what clients are entitled to, and the snapshot_*.go files and
// restore.go write and read the state.
//
// docs/design.md says why the policy is what it is.
package scheduler
