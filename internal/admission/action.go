package admission

// ConnectionID names a connection. It is never used twice.
type ConnectionID uint64

// StreamID names a stream of a connection.
type StreamID uint32

// ActionKind is what an Action asks for.
type ActionKind int

// The kinds of Action.
const (
	StartStream     ActionKind = iota // process the stream's request
	RejectStream                      // REFUSED_STREAM: it was not processed (RFC 9113, section 8.7)
	AbortStream                       // reset the stream: its response makes no progress
	LimitStreams                      // announce another limit of streams to the connection
	GoAway                            // GOAWAY: open streams are completed, new ones are not processed
	CloseConnection                   // close the connection
)

var actionNames = [...]string{
	StartStream:     "start",
	RejectStream:    "reject",
	AbortStream:     "abort",
	LimitStreams:    "limit",
	GoAway:          "go away",
	CloseConnection: "close",
}

// String returns the name of an ActionKind, for tests.
func (k ActionKind) String() string { return actionNames[k] }

// Action is what the caller is to do. Actions are carried out in their order.
type Action struct {
	Kind       ActionKind
	Connection ConnectionID
	Stream     StreamID // of StartStream, RejectStream and AbortStream
	Count      int      // of LimitStreams
	Reason     string   // of GoAway and CloseConnection; the client gets it as debug data
}

// The Reasons of GoAway and CloseConnection. Clients get them.
const (
	reasonAge      = "age"
	reasonRequests = "requests"
	reasonDrain    = "drain"
	reasonAbuse    = "abuse"
	reasonStalled  = "nothing is read"
)
