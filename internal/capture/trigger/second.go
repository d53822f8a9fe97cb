package trigger

// noAnswer is Second.MinTimeLeft without any final answer.
const noAnswer = 1e9

// Second is what happened within one second of the recorder's clock. Conditions use the names of the tags, which
// are a part of the operators' configuration and do not change.
type Second struct {
	// Requests.
	Arrived      int `expr:"arrived"`
	Served       int `expr:"served"` // answered within the latency objective of the class
	Late         int `expr:"late"`   // answered after it
	Rejected     int `expr:"refused"`
	Failed       int `expr:"failed"`
	Disconnected int `expr:"left"` // the client disconnected before an answer
	Open         int `expr:"open"` // without an answer at the end of the second
	// MinTimeLeft is the time that was left of the client timeout at the final answers, in milliseconds. It is the
	// minimum over all of them, and noAnswer without any.
	MinTimeLeft float64 `expr:"tightest"`

	// Attempts.
	Sent        int `expr:"sent"`
	Retries     int `expr:"again"`       // of those sent
	Errors      int `expr:"errors"`      // answered with an error, or the connection broke
	Unreachable int `expr:"unreachable"` // could not connect
	Overloaded  int `expr:"full"`        // rejected by an overloaded node

	// Nodes.
	Nodes       int `expr:"nodes"`    // that are up
	UnusedNodes int `expr:"left_out"` // that are up and got no attempt, while others did
}
