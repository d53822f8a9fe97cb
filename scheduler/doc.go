// Package scheduler decides how one host sends the requests of its clients to a fleet of shared storage nodes:
// which node each request goes to and when, which requests wait or are rejected, and what happens when a node
// fails.
//
// # Model
//
// A [Scheduler] is a deterministic state machine. It has no goroutines, no clock and no I/O, is not safe for
// concurrent use and shares nothing with other Schedulers. Its owner passes each event with the current time to
// one of the event methods ([Scheduler.RequestArrived], [Scheduler.AttemptEnded], [Scheduler.MembershipChanged],
// ...). During that call the Scheduler calls the methods of its [Actions], in the order in which they are to be
// carried out. The same [Settings], seed and events always lead to the same actions, so a recorded run can be
// replayed.
//
// # The path of a request
//
//   - admission.go accepts a request, or rejects it as soon as it can no longer be answered in time.
//   - node_selection.go and zone_failover.go choose the node in whose queue it waits.
//   - queue.go orders the requests that wait for a node, and dispatch.go sends them.
//   - guards.go and slow_start.go enforce the rules that every attempt has to comply with.
//   - retry.go decides whether and where a request may be sent again; restrictions.go narrows that for
//     operations whose nodes violated the API description.
//   - node_health.go puts a node into backoff after failures.
//
// These files are the policy. The key "policy" of deploy/balancer.toml lists them, and no other file of the package
// decides anything about a request. The other files keep the state that the policy uses: concurrency_limit.go and
// latency_estimates.go estimate the capacity and the latency of nodes, zone_observation.go records whether nodes
// respond, token_bucket.go, volume.go and ordered_keys.go track what the volumes are entitled to and in which order
// requests may run, and snapshot.go, the snapshot_*.go files and restore.go save and restore the state.
//
// docs/design.md explains the reasons for the policy.
package scheduler
