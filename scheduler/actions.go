package scheduler

import "time"

// Actions carries out what a Scheduler decides. Its methods are called only while one of the Scheduler's event
// methods runs, in the order in which the actions are to be carried out.
type Actions interface {
	// Send starts an attempt of a request at a node. With a timeout of 0, the attempt may last until the client
	// gives up.
	Send(id, node string, timeout time.Duration)
	// Cancel cancels an attempt. The outcome of the attempt still has to be reported.
	Cancel(id string, attempt int)
	// Reject ends a request that the client may safely send again. With a retryAfter of 0, the client is not told
	// how long to wait.
	Reject(id string, retryAfter time.Duration)
	// Fail ends a request without a promise that it did not run or may safely be sent again.
	Fail(id string)
	// Probe requests a load report from a node, to learn whether the node responds. The result of the probe is
	// reported with Scheduler.ProbeEnded.
	Probe(node string)
	// SetTimer sets a timer that calls Scheduler.TimerFired with the key after the given time.
	SetTimer(after time.Duration, key uint64)
	// Watch subscribes to changes of the endpoint list.
	Watch()
	// Log adds a line to the operators' log.
	Log(text string)
}
