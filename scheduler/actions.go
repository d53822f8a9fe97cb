package scheduler

import "time"

// Actions carries out what a Scheduler decides. Its methods are called only while one of the Scheduler's event
// methods runs, in the order in which the actions are to be carried out.
type Actions interface {
	// Send starts an attempt of a request at a node. A timeout of 0 lasts until the client gives up.
	Send(id, node string, timeout time.Duration)
	// Cancel cancels an attempt. Its outcome still has to be reported.
	Cancel(id string, attempt int)
	// Reject ends a request that the client may safely send again; a retryAfter of 0 advises no time.
	Reject(id string, retryAfter time.Duration)
	// Fail ends a request without a promise that it did not run.
	Fail(id string)
	// Probe asks a node for its load.
	Probe(node string)
	// SetTimer asks for a call of Scheduler.TimerFired with the key after the given time.
	SetTimer(after time.Duration, key uint64)
	// Watch subscribes to changes of the endpoint list.
	Watch()
	// Log adds a line to the operators' log.
	Log(text string)
}
