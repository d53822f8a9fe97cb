package trigger

// noAnswer is SecondCounts.MinTimeLeft of a second without a final answer, in milliseconds.
const noAnswer = 1e9

// SecondCounts counts what happened within one second of the Scheduler's clock. The second lasts longer if no event
// takes place at its end: it ends at the next event. Conditions use the names in the tags, which are part of the
// operators' configuration and do not change.
type SecondCounts struct {
	// Requests.
	Arrived      int `expr:"arrived"`
	Served       int `expr:"served"` // answered within the latency objective of the class
	Late         int `expr:"late"`   // answered after the latency objective of the class
	Rejected     int `expr:"refused"`
	Failed       int `expr:"failed"`
	Disconnected int `expr:"left"` // the client disconnected before an answer
	Open         int `expr:"open"` // requests without an answer at the end of the second
	// MinTimeLeft is the minimum, over all final answers, of the time that was left until the client timeout, in
	// milliseconds. It is noAnswer if there was no final answer.
	MinTimeLeft float64 `expr:"tightest"`

	// Attempts.
	Sent        int `expr:"sent"`
	Retries     int `expr:"again"`       // attempts among Sent that were not the first of their request
	Errors      int `expr:"errors"`      // attempts that ended with an error or a broken connection
	Unreachable int `expr:"unreachable"` // attempts that could not connect
	Overloaded  int `expr:"full"`        // attempts that an overloaded node rejected

	// Nodes.
	Nodes       int `expr:"nodes"`    // nodes that are up
	UnusedNodes int `expr:"left_out"` // nodes that are up and got no attempt although attempts were sent
}
